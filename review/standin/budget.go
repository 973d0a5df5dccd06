package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// Bounds of the settings.
	budgetRatio  = 0.2
	budgetSlack  = 58
	budgetWindow = 10 * time.Second

	// failShare is the share of requests that the workers fail.
	failShare = 0.45
	// lookupGap is the time between two lookups, and uploadGap that between two
	// uploads, which take uploadTime each.
	lookupGap  = 8 * time.Millisecond
	uploadGap  = 500 * time.Millisecond
	uploadTime = time.Second
	// uploadBytes is the size of the body of an upload.
	uploadBytes = 200_000
	budgetTime  = 30 * time.Second
)

// failing returns a job that fails a share of its requests with a status 500.
func failing(d time.Duration, share float64) job {
	sound := workFor(d)
	return func(k *worker, w http.ResponseWriter, r *http.Request, body []byte) {
		if rand.Float64() >= share {
			sound(k, w, r, body)
			return
		}
		time.Sleep(d)
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "error of "+k.id)
		k.record.line("worker %s failed %s", k.id, r.Header.Get("Request-Id"))
	}
}

// budgetCase plays workers that fail a part of their requests, while some clients take
// seconds to send their bodies.
func budgetCase(s *setup) (bool, error) {
	routes := []object{
		route("lookup", "/lookup/", "safe", "orderdesk", 800, 100, 2, true),
		route("upload", "/upload/", "safe", "orderdesk", 10000, 1000, 2, true),
	}
	if err := s.startStore(configuration(7, routes, []object{service("orderdesk", false)})); err != nil {
		return false, err
	}
	for i, zone := range zones {
		if _, err := s.addWorker("i-"+string(rune('a'+i)), "orderdesk", zone, 6, 24, false, failing(15*time.Millisecond, failShare)); err != nil {
			return false, err
		}
	}
	if err := s.startRouters(1); err != nil {
		return false, err
	}
	p := s.routers[0]
	var mu sync.Mutex
	var sent []time.Time
	var wg sync.WaitGroup
	// A client with a free connection sends the next request.
	free := make(chan *client, 1000)
	send := func(q request) {
		mu.Lock()
		sent = append(sent, time.Now())
		mu.Unlock()
		wg.Add(1)
		go func() {
			defer wg.Done()
			var c *client
			select {
			case c = <-free:
			default:
				c = s.client(fmt.Sprint("for ", q.id), p)
			}
			c.send(q)
			free <- c
		}()
	}
	begin := time.Now()
	nextUpload := begin
	for time.Since(begin) < budgetTime {
		send(request{id: newRequestID(), method: http.MethodGet, path: "/lookup/1", deadline: 1500 * time.Millisecond})
		if s.trouble && time.Now().After(nextUpload) {
			nextUpload = nextUpload.Add(uploadGap)
			send(request{id: newRequestID(), method: http.MethodPost, path: "/upload/1", deadline: 10 * time.Second, body: make([]byte, uploadBytes), bytesPerSecond: int(uploadBytes / uploadTime.Seconds())})
		}
		time.Sleep(lookupGap)
	}
	wg.Wait()
	close(free)
	for c := range free {
		c.close()
	}
	first := map[string]time.Time{}
	var arrivals []time.Time
	for _, k := range s.workers {
		for _, a := range k.received() {
			if at, ok := first[a.id]; !ok || a.at.Before(at) {
				first[a.id] = a.at
			}
		}
	}
	for _, k := range s.workers {
		for _, a := range k.received() {
			if a.at != first[a.id] {
				arrivals = append(arrivals, a.at)
			}
		}
	}
	count := func(list []time.Time, from time.Time) int {
		n := 0
		for _, at := range list {
			if !at.Before(from) && at.Before(from.Add(budgetWindow)) {
				n++
			}
		}
		return n
	}
	worst, worstRequests, worstAt := 0, 0, time.Duration(0)
	isBroken := false
	excess := 0.0
	for at := time.Duration(0); at <= budgetTime; at += 100 * time.Millisecond {
		from := begin.Add(at)
		requests := max(count(sent, from), count(sent, from.Add(-budgetWindow)), count(sent, from.Add(-budgetWindow/2)))
		repeats := count(arrivals, from)
		if over := float64(repeats) - (budgetRatio*float64(requests) + budgetSlack); worst == 0 || over > excess {
			worst, worstRequests, worstAt, excess = repeats, requests, at, over
			isBroken = over > 0
		}
	}
	s.say("%d requests, %d arrivals beyond the first of each request", len(sent), len(arrivals))
	s.say("worst window, %s after the beginning: %d such arrivals for %d requests, allowed are %.1f (BUDGET)", worstAt, worst, worstRequests, budgetRatio*float64(worstRequests)+budgetSlack)
	return isBroken, nil
}
