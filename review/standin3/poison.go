package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["poison"] = func(f *fleet, trouble bool) (bool, error) {
		return playPoison(f, trouble, os.Getenv("CHUNKED") == "1", 0, "")
	}
	cases["night"] = func(f *fleet, trouble bool) (bool, error) { return playPoison(f, trouble, true, quietTime, "") }
	cases["ids"] = func(f *fleet, trouble bool) (bool, error) {
		return playPoison(f, trouble, true, 0, strings.Repeat("0123456789", longID/10))
	}
}

const (
	// badPart is the part that crashes workers, restartTime how long one is away then.
	badPart     = "bad0bad0"
	restartTime = 3 * time.Second
	// quietTime is the time between a sound prompt and the first bad one in the case night,
	// and rareTime that between two sound ones then.
	quietTime = 12 * time.Second
	rareTime  = 30 * time.Second
	// longID is by how many bytes the ids are longer in the case ids. A key of the store
	// may have 200 bytes, with servers/ before the id.
	longID = 150
	// allowedAfter is how many requests with the part may reach workers after the time.
	allowedAfter = 3
)

// playPoison sends requests with a part of a prompt that crashes each worker that begins
// to write an answer on it. The workers send their streams in chunks, or with neither a
// length nor chunks. If quiet is not 0, sound prompts become rare, and one comes that long
// before the bad ones begin, while orders go on. The workers' ids end with pad.
func playPoison(f *fleet, trouble, chunked bool, quiet time.Duration, pad string) (bool, error) {
	f.st.put("op/config", config(7, map[string][]string{"studio": {"key-one"}}), 0)
	var mu sync.Mutex
	var crashes []time.Time
	late, reached := 0, 0
	serve := func(c *call) bool {
		bad := strings.Contains(c.req.Header.Get("Prompt-Prefix"), badPart)
		if bad {
			mu.Lock()
			reached++
			n := len(crashes)
			if n >= 5 && time.Since(crashes[4]) > contactTime {
				late++
			}
			mu.Unlock()
			f.rec.printf("worker %s gets %s with the part that crashes workers (%d crashes before)", c.w.id, c.id, n)
		} else {
			f.rec.printf("worker %s runs %s", c.w.id, c.id)
		}
		fields := c.seal(map[string]string{"Content-Type": "text/event-stream"})
		if chunked {
			fields["Transfer-Encoding"] = "chunked"
		} else {
			fields["Connection"] = "close"
		}
		write := func(text string) {
			if chunked {
				text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
			}
			_, _ = c.conn.Write([]byte(text))
		}
		time.Sleep(60 * time.Millisecond)
		_, _ = c.conn.Write([]byte(c.head(http.StatusOK, -1, fields)))
		if bad {
			// It begins to write its answer and ends inside the first event.
			write("id: 1\ndata: tok")
			time.Sleep(5 * time.Millisecond)
			mu.Lock()
			crashes = append(crashes, time.Now())
			n := len(crashes)
			mu.Unlock()
			f.rec.printf("worker %s crashes, crash %d", c.w.id, n)
			c.w.crash()
			w := c.w
			go func() {
				time.Sleep(restartTime)
				w.st.remove("servers/" + w.id)
				w.mu.Lock()
				w.id = fmt.Sprintf("i-again%d%s", n, pad)
				w.mu.Unlock()
				if err := w.up(); err == nil {
					f.rec.printf("worker %s is back", w.id)
				}
			}()
			return false
		}
		for i := range 7 {
			select {
			case <-c.cancelled:
				return false
			case <-time.After(20 * time.Millisecond):
			}
			write(fmt.Sprintf("id: %d\ndata: token %d of %s\n\n", i+1, i+1, c.id))
		}
		if chunked {
			_, _ = c.conn.Write([]byte("0\r\n\r\n"))
		}
		return chunked
	}
	for i := range 9 {
		if _, err := f.addWorker(fmt.Sprintf("i-drafter%d%s", i, pad), "drafter", zones[i%3], 64, serve); err != nil {
			return false, err
		}
	}
	for i := range 3 {
		if _, err := f.addWorker(fmt.Sprintf("i-desk%d", i), "orderdesk", zones[i%3], 6, servePlain(15*time.Millisecond)); err != nil {
			return false, err
		}
	}
	if err := f.addRouters(9); err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	stop, endSound, bad := make(chan struct{}), make(chan struct{}), make(chan struct{})
	complete, failed, orders := 0, 0, 0
	var wait sync.WaitGroup
	send := func(every time.Duration, number int, parts func(i int) string, ended chan struct{}) {
		sound := ended != bad
		wait.Add(1)
		go func() {
			defer wait.Done()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-ended:
					return
				case <-time.After(every):
				}
				r := f.routers[(i*2+number)%len(f.routers)]
				wait.Add(1)
				go func() {
					defer wait.Done()
					c := &client{address: r.front}
					defer c.close()
					q := request{id: newID(), method: http.MethodPost, path: "/kit/draft", key: "key-one", deadline: 4 * time.Second, body: []byte("a brief")}
					q.fields = [][2]string{{"Model", "m"}, {"Token-Usage", "400,50"}, {"Prompt-Prefix", parts(i)}}
					res := f.do(c, r, q)
					if !sound {
						return
					}
					mu.Lock()
					defer mu.Unlock()
					if res.err == nil && res.status == http.StatusOK {
						complete++
					} else {
						failed++
					}
				}()
			}
		}()
	}
	// Sound requests share the caller and the other parts with the bad ones.
	soundParts := func(i int) string { return fmt.Sprintf("aa%02d:200,cc%02d:100,%s:100", i%4, i%13, newID()) }
	send(25*time.Millisecond, 0, soundParts, endSound)
	wait.Add(1)
	go func() {
		defer wait.Done()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(200 * time.Millisecond):
			}
			r := f.routers[i%len(f.routers)]
			c := &client{address: r.front}
			q := request{id: newID(), method: http.MethodPost, path: "/order/new", key: "key-one", deadline: 1500 * time.Millisecond, body: []byte("one cutting")}
			if res := f.do(c, r, q); res.err == nil && res.status == http.StatusOK {
				orders++
			}
			c.close()
		}
	}()
	time.Sleep(8 * time.Second)
	if quiet > 0 {
		f.rec.say("from now on a sound prompt comes each %v, orders go on; the first bad one comes in %v", rareTime, quiet)
		close(endSound)
		send(rareTime, 0, soundParts, stop)
		time.Sleep(quiet)
	}
	if trouble {
		send(700*time.Millisecond, 1, func(i int) string {
			return fmt.Sprintf("aa%02d:200,%s:100,%s:100", i%4, badPart, newID())
		}, bad)
	}
	time.Sleep(35 * time.Second)
	close(stop)
	wait.Wait()
	f.rec.say("%d crashes; %d requests with the part reached workers, %d of them later than contact_ms after the fifth crash", len(crashes), reached, late)
	f.rec.say("sound requests: %d complete, %d not; %d orders served", complete, failed, orders)
	return late > allowedAfter, nil
}
