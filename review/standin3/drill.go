package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["revoked"] = playRevoked }

const (
	// revokeTime is revoke_ms of the sheet.
	revokeTime = 5 * time.Second
	// rewriteTime is when the operator has written its configuration again after the
	// drill.
	rewriteTime = 2 * time.Second
)

// playRevoked takes a key away and later restores the store from a copy that is older than
// that. A router that is killed meanwhile starts again. No request with the key that is sent
// later than revoke_ms after the acknowledgement may run.
func playRevoked(f *fleet, trouble bool) (bool, error) {
	both := map[string][]string{"studio": {"key-one", "key-two"}}
	one := map[string][]string{"studio": {"key-one"}}
	f.st.put("op/config", config(7, both), 0)
	var mu sync.Mutex
	ran := map[string]time.Time{}
	plain := servePlain(15 * time.Millisecond)
	for i := range 3 {
		_, err := f.addWorker(fmt.Sprintf("i-desk%d", i), "orderdesk", zones[i], 6, func(c *call) bool {
			mu.Lock()
			ran[c.id] = c.arrived
			mu.Unlock()
			return plain(c)
		})
		if err != nil {
			return false, err
		}
	}
	if err := f.addRouters(9); err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	type order struct {
		sent   time.Time
		router string
	}
	revoked := map[string]order{}
	served := 0
	for i, r := range f.routers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c := &client{address: r.front}
			defer c.close()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(100+i) * time.Millisecond):
				}
				// Half of the orders come with the key that is taken away.
				key := []string{"key-one", "key-two"}[n%2]
				q := request{id: newID(), method: http.MethodPost, path: "/order/new", key: key, deadline: 1500 * time.Millisecond, body: []byte("one cutting")}
				if key == "key-two" {
					mu.Lock()
					revoked[q.id] = order{time.Now(), r.name}
					mu.Unlock()
				}
				f.rec.printf("%s comes with %s", q.id, key)
				if res := f.do(c, r, q); res.status == http.StatusOK && res.err == nil {
					mu.Lock()
					served++
					mu.Unlock()
				}
			}
		}()
	}
	time.Sleep(5 * time.Second)
	f.st.put("op/config", config(9, one), 0)
	acked := time.Now()
	f.rec.say("version 9, without key-two, acknowledged")
	time.Sleep(revokeTime + 500*time.Millisecond)
	victim := f.routers[4]
	if trouble {
		victim.signal(syscall.SIGKILL)
		<-victim.ended
		f.rec.say("router %s killed", victim.name)
		f.st.setAway(true)
		f.rec.say("store: away")
		time.Sleep(awayTime)
		f.st.restore(copyAge)
		f.st.setAway(false)
		if err := f.start(victim); err != nil {
			return false, err
		}
		for _, w := range f.workers {
			w.register()
		}
		time.Sleep(rewriteTime)
		f.st.put("op/config", config(9, one), 0)
		f.rec.say("the operator has written version 9 again")
	}
	time.Sleep(8 * time.Second)
	close(stop)
	wait.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for id, o := range revoked {
		if at, ok := ran[id]; ok && o.sent.Sub(acked) > revokeTime {
			late++
			f.rec.printf("request %s with key-two, sent %d ms after the acknowledgement to %s, ran (reached its worker at %.0f ms)", id, o.sent.Sub(acked).Milliseconds(), o.router, f.rec.at(at))
		}
	}
	f.rec.say("%d orders served; %d with the key that was taken away ran though sent later than revoke_ms after the acknowledgement", served, late)
	return late > 0, nil
}
