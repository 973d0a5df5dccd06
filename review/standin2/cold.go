package main

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["cold"] = caseCold }

// Figures of the bound on cold workers, as in the settings and the configuration.
const (
	coldPerSecond = 17.0
	coldOver      = 1.5
	coldSlack     = 5.0
	coldBound     = coldPerSecond*coldOver + coldSlack
)

// caseCold: workers are killed, one after the other, and start again at once under the
// ids that they had, cold. A cold worker crashes above the bound and is started again.
func caseCold(f *fleet, trouble bool) (bool, error) {
	f.configure(baseConfig(1))
	var mu sync.Mutex
	ending, crashes := false, 0
	workers := map[int]*process{}
	var supervise func(n int, cold bool, address string) error
	supervise = func(n int, cold bool, address string) error {
		args := []string{"-id", fmt.Sprintf("desk-%d", n), "-address", address, "-service", "desk", "-slots", "64"}
		if cold {
			args = append(args, "-cold", "3s", "-cold-crash", strconv.Itoa(int(math.Ceil(coldBound))))
		}
		p, err := f.startWorker(args...)
		if err != nil {
			return err
		}
		mu.Lock()
		workers[n] = p
		mu.Unlock()
		go func() {
			<-p.ended
			mu.Lock()
			crashes++
			stop := ending
			mu.Unlock()
			if !stop {
				_ = supervise(n, true, address)
			}
		}()
		return nil
	}
	for i := range 3 {
		if err := supervise(i+1, false, freeAddress()); err != nil {
			return false, err
		}
	}
	if err := f.startRouters(3); err != nil {
		return false, err
	}
	if trouble {
		for i := range 3 {
			time.AfterFunc(time.Duration(i+1)*6*time.Second, func() {
				f.record.line("worker desk-%d is killed", i+1)
				mu.Lock()
				defer mu.Unlock()
				_ = workers[i+1].cmd.Process.Signal(syscall.SIGKILL)
			})
		}
	}
	sent := map[string]time.Time{}
	lost := 0
	spread(150, 24*time.Second, func(n int) {
		a := f.send(f.routers[n%3], "POST", "/order/new", fmt.Sprintf("order-%d", n), "body", 1500*time.Millisecond, nil)
		mu.Lock()
		defer mu.Unlock()
		sent[a.id] = a.sent
		if a.status != 200 {
			lost++
		}
	})
	mu.Lock()
	ending = true
	n := crashes
	mu.Unlock()
	most := f.mostWhileCold(sent)
	f.record.line("a cold worker got up to %d requests that were sent and arrived in one second, the bound is %.1f", most, coldBound)
	f.record.line("workers ended %d times, %d orders were not answered with 200", n, lost)
	return float64(most) > coldBound, nil
}

// mostWhileCold returns the largest number of requests that were sent and arrived inside
// one second at one incarnation of a worker while it was cold.
func (f *fleet) mostWhileCold(sent map[string]time.Time) int {
	type incarnation struct {
		worker string
		born   int64
	}
	cold := map[incarnation][]event{}
	for _, e := range f.allEvents() {
		if e.Event == "arrived" && !strings.HasPrefix(e.Detail, "cold_ms=0 ") {
			k := incarnation{e.Worker, e.Born}
			cold[k] = append(cold[k], e)
		}
	}
	most := 0
	for _, list := range cold {
		for _, start := range list {
			from := sent[start.Request].UnixMicro()
			n := 0
			for _, e := range list {
				if at := sent[e.Request].UnixMicro(); at >= from && e.At <= from+1e6 {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most
}
