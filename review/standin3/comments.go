package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["comments"] = playComments }

const (
	// readTime is how long an engine reads one prompt: the 9,200 tokens of a kit-draft at
	// 92.1 tokens a ms. It reads one after the other.
	readTime = 100 * time.Millisecond
	// commentTime is the time between two comments to a request that waits.
	commentTime = 250 * time.Millisecond
	// usualRate is the number of streams a second, hotShare the share of one tenant in
	// them, and hotFactor by how much that tenant sends more than usual for hotTime.
	usualRate = 20.0
	hotShare  = 0.15
	hotFactor = 7.5
	hotTime   = 6500 * time.Millisecond
	// minLeft is how far the client's deadline must be for a cut to count.
	minLeft = time.Second
)

// playComments has sound engines that send comments while a request waits for its prompt to
// be read, and a tenant that sends many times its usual. A stream whose connection ends
// without an event was not answered.
func playComments(f *fleet, trouble bool) (bool, error) {
	f.st.put("op/config", config(7, map[string][]string{"studio": {"key-one"}, "hotels": {"key-two"}}), 0)
	var mu sync.Mutex
	dropped := map[string]bool{}
	longest := time.Duration(0)
	reading := map[*worker]chan struct{}{}
	serve := func(c *call) bool {
		f.rec.printf("worker %s gets %s", c.w.id, c.id)
		mu.Lock()
		turn := reading[c.w]
		mu.Unlock()
		_, _ = c.conn.Write([]byte(c.head(http.StatusOK, -1, c.seal(map[string]string{"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}))))
		write := func(text string) { _, _ = c.conn.Write([]byte(fmt.Sprintf("%x\r\n%s\r\n", len(text), text))) }
		leave := func() bool {
			f.rec.printf("worker %s: connection of %s closed by the router, %d ms after the request, before its first event", c.w.id, c.id, time.Since(c.arrived).Milliseconds())
			mu.Lock()
			dropped[c.id] = true
			mu.Unlock()
			return false
		}
		for waiting := true; waiting; {
			select {
			case turn <- struct{}{}:
				waiting = false
			case <-time.After(commentTime):
				write(": waiting\n\n")
			case <-c.cancelled:
				return leave()
			}
		}
		select {
		case <-time.After(readTime):
			<-turn
		case <-c.cancelled:
			<-turn
			return leave()
		}
		mu.Lock()
		longest = max(longest, time.Since(c.arrived))
		mu.Unlock()
		f.rec.printf("worker %s runs %s, first event after %d ms", c.w.id, c.id, time.Since(c.arrived).Milliseconds())
		for e := 1; e <= 7; e++ {
			write(fmt.Sprintf("id: %d\ndata: tokens %d of %s\n\n", e, e, c.id))
			select {
			case <-time.After(30 * time.Millisecond):
			case <-c.cancelled:
				return false
			}
		}
		_, _ = c.conn.Write([]byte("0\r\n\r\n"))
		return true
	}
	for i := range 3 {
		w, err := f.addWorker(fmt.Sprintf("i-drafter%d", i), "drafter", zones[i], 64, serve)
		if err != nil {
			return false, err
		}
		mu.Lock()
		reading[w] = make(chan struct{}, 1)
		mu.Unlock()
	}
	if err := f.addRouters(3); err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	// Clients keep their connections. free holds those that are not in use, by router.
	free := make([][]*client, len(f.routers))
	complete, refused, cut := 0, 0, 0
	var wait sync.WaitGroup
	send := func(n int, key string) {
		defer wait.Done()
		router := f.routers[n%3]
		mu.Lock()
		c := &client{address: router.front}
		if list := free[n%3]; len(list) > 0 {
			c, free[n%3] = list[len(list)-1], list[:len(list)-1]
		}
		mu.Unlock()
		kept := c.conn != nil
		q := request{id: newID(), method: http.MethodPost, path: "/kit/draft", key: key, deadline: 4 * time.Second, body: []byte("a brief")}
		q.fields = [][2]string{{"Model", "m"}, {"Token-Usage", "9200,49"}, {"Prompt-Prefix", fmt.Sprintf("aa%02d:2520,%s:6100,%s:580", n%4, newID(), newID())}}
		res := f.do(c, router, q)
		left := q.deadline - res.ended.Sub(res.sent)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case res.err == nil && res.status == http.StatusOK:
			complete++
		case res.err == nil:
			refused++
		case kept && dropped[q.id] && left >= minLeft:
			cut++
			f.rec.printf("request %s on a kept connection: the router closed it without an event, %d ms before the client's deadline", q.id, left.Milliseconds())
		}
		if c.conn != nil {
			free[n%3] = append(free[n%3], c)
		}
	}
	begin := time.Now()
	hotFrom, hotTo := 4*time.Second, 4*time.Second+hotTime
	usual, hot := 0.0, 0.0
	for n := 0; time.Since(begin) < 14*time.Second; n++ {
		time.Sleep(5 * time.Millisecond)
		at := time.Since(begin)
		for ; usual < at.Seconds()*usualRate; usual++ {
			n++
			key := "key-one"
			if float64(n%100) < 100*hotShare {
				key = "key-two"
			}
			wait.Add(1)
			go send(n, key)
		}
		if trouble && at > hotFrom && at < hotTo {
			for ; hot < (at-hotFrom).Seconds()*usualRate*hotShare*(hotFactor-1); hot++ {
				n++
				wait.Add(1)
				go send(n, "key-two")
			}
		}
	}
	wait.Wait()
	mu.Lock()
	defer mu.Unlock()
	f.rec.say("%d streams complete, %d refused; longest time to a first event %d ms", complete, refused, longest.Milliseconds())
	f.rec.say("on kept connections %d closed without an event, though the engine was at work and the deadline at least %v away", cut, minLeft)
	for _, list := range free {
		for _, c := range list {
			c.close()
		}
	}
	return cut > 3, nil
}
