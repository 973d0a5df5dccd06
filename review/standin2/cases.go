package main

import (
	"fmt"
	"sync"
	"time"
)

// startRouters starts routers, one a zone in turn, and waits until they are ready.
func (f *fleet) startRouters(n int) error {
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i := range n {
		if _, err := f.startRouter(fmt.Sprintf("router-%d", i+1), zones[i%3]); err != nil {
			return err
		}
	}
	return f.awaitReady()
}

// spread calls send at a rate for a time, each in a goroutine of its own, and waits for all.
func spread(rate float64, d time.Duration, send func(n int)) {
	var all sync.WaitGroup
	start := time.Now()
	for n := 0; ; n++ {
		at := time.Duration(float64(n) / rate * float64(time.Second))
		if at >= d {
			break
		}
		time.Sleep(at - time.Since(start))
		all.Add(1)
		go func() {
			defer all.Done()
			send(n)
		}()
	}
	all.Wait()
}
