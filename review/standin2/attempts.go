package main

import (
	"fmt"
	"strconv"
	"time"
)

func init() { cases["attempts"] = caseAttempts }

// Times of the disruptions after the start.
const (
	stallTimes = "6+6.5,18+6.5,30+6.5,42+6.5,54+6.5,66+6.5,78+6.5"
	lostTimes  = "7+6,19+6,31+6,43+6,55+6,67+6,79+6"
)

// caseAttempts: some streams of one worker stall, and answers of others are lost.
func caseAttempts(f *fleet, trouble bool) (bool, error) {
	f.configure(baseConfig(1))
	epoch := strconv.FormatInt(time.Now().UnixMilli(), 10)
	for i := range 9 {
		args := []string{"-id", fmt.Sprintf("model-%d", i+1), "-address", freeAddress(), "-service", "model", "-epoch", epoch}
		switch {
		case trouble && i == 0:
			args = append(args, "-stall", "0.45", "-stall-times", stallTimes)
		case trouble && i <= 5:
			args = append(args, "-lost", "0.3", "-lost-times", lostTimes)
		}
		if _, err := f.startWorker(args...); err != nil {
			return false, err
		}
	}
	if err := f.startRouters(3); err != nil {
		return false, err
	}
	spread(80, 88*time.Second, func(n int) {
		f.send(f.routers[n%3], "POST", "/chat/new", fmt.Sprintf("chat-%d", n), "body", 10*time.Second, map[string]string{
			"Model": "m", "Token-Usage": "200,50", "Prompt-Prefix": fmt.Sprintf("%x:100,%x:100", n%44+1, n+1000),
		})
	})
	ran := map[string]map[string]bool{}
	for _, e := range f.allEvents() {
		if e.Event == "runs" {
			if ran[e.Request] == nil {
				ran[e.Request] = map[string]bool{}
			}
			ran[e.Request][e.Worker] = true
		}
	}
	over := 0
	for id, workers := range ran {
		if len(workers) > 2 {
			over++
			f.record.line("BUDGET: %s ran on %d workers, its route allows 2", id, len(workers))
		}
	}
	f.record.line("%d requests ran on more workers than allowed, 3 are excused", over)
	return over > 3, nil
}
