package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["comments"] = playComments }

const (
	// usualFirst and slowFirst are the times to the first event, commentTime the time
	// between two comments that keep the connection open until then.
	usualFirst  = 500 * time.Millisecond
	slowFirst   = 2 * time.Second
	commentTime = 250 * time.Millisecond
)

// playComments has engines that send comments while a request waits for its first token,
// and turn slow. A stream whose connection ends without an event was not answered.
func playComments(f *fleet, trouble bool) (bool, error) {
	f.st.put("op/config", config(7, map[string][]string{"studio": {"key-one"}}), 0)
	var mu sync.Mutex
	slow := false
	dropped := map[string]bool{}
	serve := func(c *call) bool {
		mu.Lock()
		wait := usualFirst
		if slow {
			wait = slowFirst
		}
		mu.Unlock()
		f.rec.printf("worker %s gets %s, first event in %d ms", c.w.id, c.id, wait.Milliseconds())
		_, _ = c.conn.Write([]byte(c.head(http.StatusOK, -1, c.seal(map[string]string{"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}))))
		write := func(text string) { _, _ = c.conn.Write([]byte(fmt.Sprintf("%x\r\n%s\r\n", len(text), text))) }
		first := time.After(wait)
		for waiting := true; waiting; {
			write(": waiting\n\n")
			select {
			case <-time.After(commentTime):
			case <-first:
				waiting = false
			case <-c.cancelled:
				f.rec.printf("worker %s: connection of %s closed by the router before the first event, %d ms after the request", c.w.id, c.id, time.Since(c.arrived).Milliseconds())
				mu.Lock()
				dropped[c.id] = true
				mu.Unlock()
				return false
			}
		}
		f.rec.printf("worker %s runs %s", c.w.id, c.id)
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
	complete, cut := 0, 0
	for i := range 12 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c := &client{address: f.routers[i%3].front}
			defer c.close()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(300 * time.Millisecond):
				}
				q := request{id: newID(), method: http.MethodPost, path: "/kit/draft", key: "key-one", deadline: 4 * time.Second, body: []byte("a brief")}
				q.fields = [][2]string{{"Model", "m"}, {"Token-Usage", "400,49"}, {"Prompt-Prefix", fmt.Sprintf("aa%02d:200,cc%02d:100,%s:100", i%3, (i+n)%40, newID())}}
				kept := c.conn != nil
				res := f.do(c, f.routers[i%3], q)
				mu.Lock()
				switch {
				case res.err == nil && res.status == http.StatusOK:
					complete++
				case kept && res.err != nil && dropped[q.id] && res.ended.Sub(res.sent) < 3*time.Second:
					cut++
					f.rec.printf("request %s on a kept connection: the router closed it without an event, %d ms before the client's deadline", q.id, (q.deadline - res.ended.Sub(res.sent)).Milliseconds())
				}
				mu.Unlock()
			}
		}()
	}
	time.Sleep(5 * time.Second)
	if trouble {
		mu.Lock()
		slow = true
		mu.Unlock()
		f.rec.say("the engines turn slow")
	}
	time.Sleep(12 * time.Second)
	close(stop)
	wait.Wait()
	f.rec.say("%d streams complete; on kept connections %d closed without an event, though the engine was at work and the deadline far", complete, cut)
	return cut > 3, nil
}
