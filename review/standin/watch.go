package main

import (
	"sync"
	"time"
)

// cutInterval is the time between two cuts of the watches that are waiting.
const cutInterval = 2 * time.Second

// watchCase plays a store that cuts waiting watches now and then, and a worker whose
// entry is removed.
func watchCase(s *setup) (bool, error) {
	routes := []object{route("lookup", "/lookup/", "safe", "orderdesk", 800, 100, 2, true)}
	if err := s.startStore(configuration(7, routes, []object{service("orderdesk", false)})); err != nil {
		return false, err
	}
	s.store.earlyHeader = true
	for i, zone := range zones {
		if _, err := s.addWorker("i-"+string(rune('a'+i)), "orderdesk", zone, 6, 24, false, workFor(15*time.Millisecond)); err != nil {
			return false, err
		}
	}
	if err := s.startRouters(3); err != nil {
		return false, err
	}
	var mu sync.Mutex
	sent := map[string]time.Time{}
	via := map[string]string{}
	stop := make(chan struct{})
	wg := s.traffic(stop, "/lookup/1", 30*time.Millisecond, func(router string, r response) {
		mu.Lock()
		defer mu.Unlock()
		sent[r.id], via[r.id] = r.sent, router
	})
	cutsDone := make(chan struct{})
	go func() {
		defer close(cutsDone)
		for s.trouble {
			select {
			case <-stop:
				return
			case <-time.After(cutInterval):
			}
			s.line("the store cuts the watches that are waiting")
			s.store.cutWatches()
		}
	}()
	time.Sleep(5 * time.Second)
	k := s.workers[0]
	k.unregister()
	removed := time.Now()
	s.line("the entry of worker %s is removed, it serves on for %s", k.id, servesOn)
	time.Sleep(servesOn)
	close(stop)
	wg.Wait()
	<-cutsDone
	late, last := 0, time.Duration(0)
	routers := map[string]int{}
	for _, a := range k.received() {
		if after := sent[a.id].Sub(removed); after > drainBound {
			late++
			routers[via[a.id]]++
			last = max(last, after)
			s.line("worker %s got %s from %s, sent %d ms after the removal", k.id, a.id, via[a.id], after.Milliseconds())
		}
	}
	s.say("watches cut: %d; requests that reached the worker, sent over %s after its removal: %d, the last %d ms after it, by router %v (DRAIN: none may)", s.store.watchesCut(), drainBound, late, last.Milliseconds(), routers)
	return late > 0, nil
}
