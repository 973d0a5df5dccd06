package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["refused"] = caseRefused }

// caseRefused: a worker fails part of its requests with 503, without Not-Executed, after
// they have run. Clients repeat once what they were told has not run.
func caseRefused(f *fleet, trouble bool) (bool, error) {
	f.configure(baseConfig(1))
	epoch := strconv.FormatInt(time.Now().UnixMilli(), 10)
	for i := range 3 {
		args := []string{"-id", fmt.Sprintf("desk-%d", i+1), "-address", freeAddress(), "-service", "desk", "-slots", "6", "-epoch", epoch}
		if trouble && i == 0 {
			args = append(args, "-fail", "0.45", "-status", "503", "-fail-times", "6+6.5")
		}
		if _, err := f.startWorker(args...); err != nil {
			return false, err
		}
	}
	if err := f.startRouters(3); err != nil {
		return false, err
	}
	var mu sync.Mutex
	answers := map[string]answer{}
	spread(20, 18*time.Second, func(n int) {
		for try := range 2 {
			a := f.send(f.routers[(n+try)%3], "POST", "/order/new", fmt.Sprintf("order-%d-%d", n, try+1), "body", 1500*time.Millisecond, nil)
			mu.Lock()
			answers[a.id] = a
			mu.Unlock()
			if a.status != 503 && a.status != 429 {
				return
			}
			wait, _ := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
			time.Sleep(time.Duration(wait * float64(time.Second)))
		}
	})
	time.Sleep(300 * time.Millisecond)
	refused, doubled := 0, 0
	ran := map[string]int{}
	for _, e := range f.allEvents() {
		if e.Event != "runs" {
			continue
		}
		order := e.Request[:strings.LastIndex(e.Request, "-")]
		if ran[order]++; ran[order] == 2 {
			doubled++
			f.record.line("%s was placed twice", order)
		}
		switch a := answers[e.Request]; a.status {
		case 408, 421, 429, 503:
			refused++
			f.record.line("REFUSED: %s was answered %d and has run at %s", e.Request, a.status, e.Worker)
		}
	}
	f.record.line("%d requests were answered as not run and have run, %d orders were placed twice", refused, doubled)
	return refused > 0, nil
}
