package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	drainBound = 2 * time.Second
	// lateWrite is how late the store executes a write that got no answer.
	lateWrite = 5500 * time.Millisecond
	// servesOn is how long a worker that leaves serves on.
	servesOn = 10 * time.Second
	// silence is the time without registrations after which an entry is removed.
	silence = 3 * heartbeat
)

// passedOn is an answer with Server-Leaving that a client got.
type passedOn struct {
	router string
	at     time.Time
}

// traffic sends lookups through each router until stop is closed.
func (s *setup) traffic(stop chan struct{}, path string, gap time.Duration, seen func(router string, r response)) *sync.WaitGroup {
	var wg sync.WaitGroup
	for _, p := range s.routers {
		for range 2 {
			c := s.client("at "+p.name, p)
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer c.close()
				for {
					select {
					case <-stop:
						return
					case <-time.After(gap):
					}
					seen(p.name, c.send(request{id: newRequestID(), method: http.MethodGet, path: path, deadline: 1500 * time.Millisecond}))
				}
			}()
		}
	}
	return &wg
}

// leavingCase plays a worker that leaves, and a write of an earlier registration that
// the store executes late.
func leavingCase(s *setup) (bool, error) {
	routes := []object{route("lookup", "/lookup/", "safe", "orderdesk", 800, 100, 2, true)}
	if err := s.startStore(configuration(7, routes, []object{service("orderdesk", false)})); err != nil {
		return false, err
	}
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
	told := map[string]time.Time{}
	stop := make(chan struct{})
	wg := s.traffic(stop, "/lookup/1", 30*time.Millisecond, func(router string, r response) {
		mu.Lock()
		defer mu.Unlock()
		sent[r.id], via[r.id] = r.sent, router
		if r.err == nil && r.header.Get("Server-Leaving") != "" && told[router].IsZero() {
			told[router] = r.ended
			s.line("router %s passed on an answer with Server-Leaving", router)
		}
	})
	k := s.workers[0]
	time.Sleep(3 * time.Second)
	lost := k.loseBeat()
	lostAt := time.Now()
	s.line("worker %s registers (seq %v); the call gets no answer", k.id, lost["seq"])
	time.Sleep(heartbeat + 300*time.Millisecond)
	k.beat()
	time.Sleep(200 * time.Millisecond)
	k.leaving.Store(true)
	s.line("worker %s leaves: Server-Leaving in all answers", k.id)
	time.Sleep(500 * time.Millisecond)
	k.beat()
	time.Sleep(600 * time.Millisecond)
	k.unregister()
	s.line("the entry of worker %s is removed; it serves on", k.id)
	time.Sleep(time.Until(lostAt.Add(lateWrite)))
	if s.trouble {
		s.store.put(k.key(), lost)
		s.line("the store executes the lost registration (seq %v) %s after it was sent", lost["seq"], lateWrite)
	}
	time.Sleep(silence)
	s.store.remove(k.key())
	s.line("the entry of worker %s is removed after %s of silence", k.id, silence)
	time.Sleep(servesOn - time.Since(lostAt.Add(heartbeat+500*time.Millisecond)))
	close(stop)
	wg.Wait()
	late := 0
	for _, a := range k.received() {
		router := via[a.id]
		if at := told[router]; !at.IsZero() && sent[a.id].After(at.Add(drainBound)) {
			late++
			s.line("worker %s got %s from %s, sent %d ms after that router had passed on Server-Leaving", k.id, a.id, router, sent[a.id].Sub(at).Milliseconds())
		}
	}
	s.say("routers that passed on an answer with Server-Leaving: %d; requests that then reached that worker from them, sent over %s later: %d (DRAIN: none may)", len(told), drainBound, late)
	return late > 0, nil
}
