package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["handover"] = playHandover }

const (
	// firstToken is the time to the first token, tokenTime that of each further one.
	// eventTokens is the number of tokens of an event.
	firstToken  = 60 * time.Millisecond
	tokenTime   = 40 * time.Millisecond
	eventTokens = 7
	// minPreemption and maxPreemption are how long a request stands still that was
	// preempted in the middle of its stream.
	minPreemption = 800 * time.Millisecond
	maxPreemption = 1400 * time.Millisecond
)

// playHandover has one engine that preempts requests in the middle of their streams for
// want of memory. A request runs at the engines at which it got its first token.
func playHandover(f *fleet, trouble bool) (bool, error) {
	f.st.put("op/config", config(7, map[string][]string{"studio": {"key-one"}}), 0)
	var mu sync.Mutex
	random := rand.New(rand.NewSource(1))
	preemption := func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return minPreemption + time.Duration(random.Int63n(int64(maxPreemption-minPreemption)))
	}
	ran := map[string]map[string]bool{}
	serve := func(c *call) bool {
		pause := func(d time.Duration) bool {
			select {
			case <-time.After(d):
				return true
			case <-c.cancelled:
				return false
			}
		}
		tight := trouble && c.w.id == "i-drafter0"
		next := 1
		if after := c.req.Header.Get("Last-Event-Id"); after != "" {
			fmt.Sscan(after, &next)
			next++
		}
		f.rec.printf("worker %s gets %s, events from %d", c.w.id, c.id, next)
		if !pause(firstToken) {
			f.rec.printf("worker %s drops %s before its first token", c.w.id, c.id)
			return false
		}
		mu.Lock()
		if ran[c.id] == nil {
			ran[c.id] = map[string]bool{}
		}
		ran[c.id][c.w.id] = true
		n := len(ran[c.id])
		mu.Unlock()
		f.rec.printf("worker %s runs %s: engine %d of this attempt", c.w.id, c.id, n)
		fields := c.seal(map[string]string{"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"})
		for e := next; e <= 12; e++ {
			if tight && e > 2 && !pause(preemption()) {
				f.rec.printf("worker %s drops %s before event %d", c.w.id, c.id, e)
				return false
			}
			if !pause((eventTokens - 1) * tokenTime) {
				f.rec.printf("worker %s drops %s before event %d", c.w.id, c.id, e)
				return false
			}
			if e == next {
				_, _ = c.conn.Write([]byte(c.head(http.StatusOK, -1, fields)))
			}
			text := fmt.Sprintf("id: %d\ndata: tokens %d of %s\n\n", e, e, c.id)
			_, _ = c.conn.Write([]byte(fmt.Sprintf("%x\r\n%s\r\n", len(text), text)))
		}
		_, _ = c.conn.Write([]byte("0\r\n\r\n"))
		return true
	}
	for i := range 9 {
		if _, err := f.addWorker(fmt.Sprintf("i-drafter%d", i), "drafter", zones[i%3], 64, serve); err != nil {
			return false, err
		}
	}
	if err := f.addRouters(3); err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for i := range 36 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c := &client{address: f.routers[i%3].front}
			defer c.close()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				q := request{id: newID(), method: http.MethodPost, path: "/hint/colour", key: "key-one", deadline: 10 * time.Second, body: []byte("a hint")}
				q.fields = [][2]string{{"Model", "m"}, {"Token-Usage", "400,84"}, {"Prompt-Prefix", fmt.Sprintf("aa%02d:200,cc%02d:100,%s:100", i%3, (i+n)%40, newID())}}
				res := f.do(c, f.routers[i%3], q)
				for e := 1; res.err == nil && res.status == http.StatusOK && e <= 12; e++ {
					if strings.Count(string(res.body), fmt.Sprintf("id: %d\n", e)) != 1 {
						f.rec.printf("client: %s: event %d is missing or comes twice", q.id, e)
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	time.Sleep(40 * time.Second)
	close(stop)
	wait.Wait()
	counts := map[int]int{}
	over := 0
	for id, w := range ran {
		counts[len(w)]++
		if len(w) > 2 {
			over++
			f.rec.printf("request %s ran at %d engines in one client attempt", id, len(w))
		}
	}
	f.rec.say("requests by the number of engines at which they ran: %v; max_attempts is 2", counts)
	return over > 3, nil
}
