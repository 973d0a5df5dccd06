package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["era"] = playEra }

const (
	// copyAge is how old the copy is that the store comes back from, and awayTime how
	// long it is away.
	copyAge  = 8 * time.Second
	awayTime = 500 * time.Millisecond
	// orderInterval is the time between two orders at a router, as at night.
	orderInterval = 4 * time.Second
	// contactTime and drainTime are contact_ms and drain_ms of the sheet.
	contactTime = 3 * time.Second
	drainTime   = 2 * time.Second
)

// playEra restores the store from an old copy. Once it has been stable for longer than
// contact_ms, two workers leave that never report that they drain: their entries are removed,
// and they go on serving. No request may reach them later than drain_ms after that.
func playEra(f *fleet, trouble bool) (bool, error) {
	f.st.put("op/config", config(7, map[string][]string{"studio": {"key-one"}}), 0)
	for i := range 9 {
		if _, err := f.addWorker(fmt.Sprintf("i-drafter%d", i), "drafter", zones[i%3], 64, servePlain(15*time.Millisecond)); err != nil {
			return false, err
		}
	}
	var desks []*worker
	var mu sync.Mutex
	acked := map[*worker]time.Time{}
	type arrival struct {
		id string
		w  *worker
		at time.Time
	}
	var arrivals []arrival
	for i := range 3 {
		plain := servePlain(15 * time.Millisecond)
		w, err := f.addWorker(fmt.Sprintf("i-desk%d", i), "orderdesk", zones[i], 6, func(c *call) bool {
			mu.Lock()
			arrivals = append(arrivals, arrival{c.id, c.w, c.arrived})
			mu.Unlock()
			return plain(c)
		})
		if err != nil {
			return false, err
		}
		desks = append(desks, w)
	}
	if err := f.addRouters(9); err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	// Each client sends an order to its own router about each orderInterval.
	stop := make(chan struct{})
	sent := map[string]time.Time{}
	from := map[string]string{}
	statuses := map[int]int{}
	var wait sync.WaitGroup
	for i, r := range f.routers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c := &client{address: r.front}
			defer c.close()
			time.Sleep(orderInterval * time.Duration(i) / 9)
			for {
				q := request{id: newID(), method: http.MethodPost, path: "/order/new", key: "key-one", deadline: 1500 * time.Millisecond, body: []byte("one cutting")}
				mu.Lock()
				sent[q.id], from[q.id] = time.Now(), r.name
				mu.Unlock()
				res := f.do(c, r, q)
				mu.Lock()
				statuses[res.status]++
				mu.Unlock()
				select {
				case <-stop:
					return
				case <-time.After(orderInterval):
				}
			}
		}()
	}
	time.Sleep(11 * time.Second)
	if trouble {
		f.rec.say("store: away")
		f.st.setAway(true)
		time.Sleep(awayTime)
		f.st.restore(copyAge)
		f.st.setAway(false)
		// What the workers and the operator wrote is written again.
		for _, w := range f.workers {
			w.register()
		}
		f.st.put("op/config", config(7, map[string][]string{"studio": {"key-one"}}), 0)
	}
	time.Sleep(contactTime + 200*time.Millisecond)
	for _, w := range desks[1:] {
		w.silence()
		w.leaving.Store(true)
		revision := f.st.remove("servers/" + w.id)
		mu.Lock()
		acked[w] = time.Now()
		mu.Unlock()
		f.rec.say("worker %s leaves without draining: entry removed at revision %d; all its answers say Server-Leaving from now on", w.id, revision)
		if revision == 0 {
			return false, fmt.Errorf("the entry is missing")
		}
	}
	time.Sleep(30 * time.Second)
	close(stop)
	wait.Wait()
	late := 0
	mu.Lock()
	defer mu.Unlock()
	for _, a := range arrivals {
		gone, ok := acked[a.w]
		if !ok || !sent[a.id].After(gone) || a.at.Sub(gone) <= drainTime {
			continue
		}
		late++
		f.rec.say("request %s, sent to %s %d ms after the removal, reached %s %d ms after it", a.id, from[a.id], sent[a.id].Sub(gone).Milliseconds(), a.w.id, a.at.Sub(gone).Milliseconds())
	}
	f.rec.say("%d requests reached the two workers later than drain_ms; answers by status: %v", late, statuses)
	return late > 0, nil
}
