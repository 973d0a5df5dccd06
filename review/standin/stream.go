package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// streamEvents is the number of events of a stream, and eventGap the time
	// between two of them.
	streamEvents = 50
	eventGap     = 100 * time.Millisecond
	// longPrompt is how long a long prompt delays the tokens of the requests that
	// run beside it. Clients abandon a stream after a gap of 2.4 s.
	longPrompt = 1600 * time.Millisecond
	// slotsPerEngine and queuePerEngine are small so that few clients fill them.
	slotsPerEngine = 4
	queuePerEngine = 1
)

// engineDelay delays the events of all requests at one worker.
type engineDelay struct {
	worker atomic.Pointer[string]
	until  atomic.Int64
}

func (d *engineDelay) wait(k *worker) {
	if id := d.worker.Load(); id != nil && *id == k.id {
		time.Sleep(time.Until(time.UnixMilli(d.until.Load())))
	}
}

func (d *engineDelay) stream(k *worker, w http.ResponseWriter, r *http.Request, _ []byte) {
	id := r.Header.Get("Request-Id")
	first := 0
	if after := r.Header.Get("Last-Event-Id"); after != "" {
		n, _ := strconv.Atoi(after)
		first = n + 1
		k.record.line("worker %s goes on with %s after event %s", k.id, id, after)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for i := first; i < streamEvents; i++ {
		time.Sleep(eventGap)
		d.wait(k)
		if r.Context().Err() != nil {
			k.record.line("worker %s: %s was cancelled before event %d", k.id, id, i)
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d of %s\n\n", i, i, id); err != nil {
			return
		}
		if flusher.Flush() != nil {
			return
		}
	}
	k.record.line("worker %s ended the stream of %s", k.id, id)
}

// streamCase plays a planned stop of a router while one of two engines reads a long
// prompt and the other has no place left.
func streamCase(s *setup) (bool, error) {
	routes := []object{route("hint", "/hint/", "stream", "drafter", 10000, 500, 2, true), route("lookup", "/lookup/", "safe", "orderdesk", 800, 100, 2, true)}
	if err := s.startStore(configuration(7, routes, []object{service("drafter", true), service("orderdesk", false)})); err != nil {
		return false, err
	}
	if _, err := s.addWorker("i-o", "orderdesk", zones[2], 6, 24, false, workFor(15*time.Millisecond)); err != nil {
		return false, err
	}
	delay := &engineDelay{}
	for i := range 2 {
		if _, err := s.addWorker("i-"+string(rune('a'+i)), "drafter", zones[i], slotsPerEngine, queuePerEngine, true, delay.stream); err != nil {
			return false, err
		}
	}
	if err := s.startRouters(1); err != nil {
		return false, err
	}
	p := s.routers[0]
	const running = 2 * slotsPerEngine
	var wg sync.WaitGroup
	results := make([]response, running)
	begin := time.Now()
	start := func(i int, path string) {
		c := s.client(fmt.Sprint("c", i), p)
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer c.close()
			// The connection is kept from an earlier request.
			if r := c.send(request{id: newRequestID(), method: http.MethodGet, path: "/lookup/1", deadline: time.Second}); r.err != nil {
				s.say("a request before the disruption failed: %s", r.text())
			}
			r := c.send(request{id: newRequestID(), method: http.MethodPost, path: path, deadline: 10 * time.Second, body: []byte("chat")})
			if i < running {
				results[i] = r
			}
		}()
		time.Sleep(60 * time.Millisecond)
	}
	for i := range running {
		start(i, "/hint/1")
	}
	// Two more requests wait in the queues of the engines.
	for i := range 2 * queuePerEngine {
		start(running+i, "/hint/2")
	}
	time.Sleep(time.Until(begin.Add(1500 * time.Millisecond)))
	p.signal(syscall.SIGTERM)
	stopAt := time.Now()
	time.Sleep(500 * time.Millisecond)
	if s.trouble {
		id := s.workers[1].id
		delay.until.Store(time.Now().Add(longPrompt).UnixMilli())
		delay.worker.Store(&id)
		s.line("worker %s reads a long prompt, which delays the tokens of its other requests by %s", id, longPrompt)
	}
	wg.Wait()
	lost := 0
	for _, r := range results {
		if r.err != nil && !r.timedOut() {
			lost++
			s.say("%s, %d ms after SIGTERM, %d ms after it was sent", r.text(), r.ended.Sub(stopAt).Milliseconds(), r.ended.Sub(r.sent).Milliseconds())
		}
	}
	s.say("of %d streams that had begun before SIGTERM, %d ended without a complete answer (LOST: none may)", running, lost)
	return lost > 0, nil
}
