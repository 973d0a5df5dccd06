// Command case plays the cases of the third review. It exits with 1 if the rule was
// broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxTime is the longest that a case may take.
const maxTime = 110 * time.Second

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (broken bool, err error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: case NAME PROGRAM FOLDER")
		return 2
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		return 2
	}
	rec, err := newRecord(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	f, err := newFleet(rec, os.Args[2])
	if err != nil {
		rec.say("cannot run: %v", err)
		return 2
	}
	defer f.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, disruption: %t", os.Args[1], trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
			rec.say("cannot run: stopped")
		case <-time.After(maxTime):
			rec.say("cannot run: too slow")
		}
		f.close()
		os.Exit(2)
	}()
	broken, err := play(f, trouble)
	if err != nil {
		rec.say("cannot run: %v", err)
		return 2
	}
	for _, r := range f.routers {
		if !r.alive() {
			rec.printf("router %s is not running at the end", r.name)
		}
	}
	if broken {
		rec.say("the rule was broken")
		return 1
	}
	rec.say("the rule held")
	return 0
}
