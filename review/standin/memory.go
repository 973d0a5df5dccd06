package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// hotFactor is the x of hot_tenant in the site file.
	hotFactor = 7.5
	// linkBytesPerSecond is a bit less than link_mbps = 1000 of a machine.
	linkBytesPerSecond = 100_000_000
	// uploadBytesPerSecond is the rate of one upload. They begin one after the other, so
	// that all together keep to linkBytesPerSecond.
	uploadBytesPerSecond = 25_000_000
	// minGap is the least time between two requests of the tenant.
	minGap = 30 * time.Millisecond
	// engineWork is the time in which an engine answers.
	engineWork = 4 * time.Second
)

// partsCase plays one tenant that sends many times its usual, with prompts of many
// parts. The header of each request is within the limit of the configuration.
func partsCase(s *setup) (bool, error) {
	const usualClients, parts = 8, 1200
	var list []string
	for i := range parts {
		list = append(list, fmt.Sprintf("%08x:100", 0x5c1e0000+i))
	}
	return s.hotTenant(usualClients, 18_000, map[string]string{
		"Model": "m", "Token-Usage": "120000,80", "Prompt-Prefix": strings.Join(list, ","),
	})
}

// bodiesCase plays one tenant that sends many times its usual, with long bodies. Each
// is within the limit of the configuration.
func bodiesCase(s *setup) (bool, error) {
	const usualClients = 12
	return s.hotTenant(usualClients, 4_000_000, nil)
}

// hotTenant plays the tenant. The rule is LOST: more than three requests on kept
// connections are passed on to sound workers and get no answer.
func (s *setup) hotTenant(usualClients, bodyBytes int, header map[string]string) (bool, error) {
	r := route("brief", "/brief/", "unsafe", "drafter", 10000, 1000, 1, true)
	r["sticky"] = true
	if err := s.startStore(configuration(7, []object{r}, []object{service("drafter", true)})); err != nil {
		return false, err
	}
	for i, zone := range zones {
		if _, err := s.addWorker("i-"+string(rune('a'+i)), "drafter", zone, 64, 192, true, workFor(engineWork)); err != nil {
			return false, err
		}
	}
	if err := s.startRouters(1); err != nil {
		return false, err
	}
	p := s.routers[0]
	go p.limitMemory()
	n := usualClients
	if s.trouble {
		n = int(float64(usualClients) * hotFactor)
	}
	headerBytes := 0
	for name, value := range header {
		headerBytes += len(name) + len(value) + len(": \r\n")
	}
	s.say("%d clients of one tenant, each with one request with a body of %d bytes and %d bytes of headers that describe the prompt", n, bodyBytes, headerBytes)
	clients := make([]*client, n)
	var wg sync.WaitGroup
	for i := range clients {
		clients[i] = s.client(fmt.Sprint("c", i), p)
		defer clients[i].close()
		wg.Add(1)
		go func() {
			defer wg.Done()
			// The connection is kept for the next request.
			r := clients[i].send(request{id: newRequestID(), method: http.MethodPost, path: "/brief/1", deadline: 10 * time.Second, body: []byte("short brief")})
			if r.err != nil || r.status != http.StatusOK {
				s.say("a request before the disruption failed: %s", r.text())
			}
		}()
	}
	wg.Wait()
	time.Sleep(3500 * time.Millisecond)
	results := make([]response, n)
	body := make([]byte, bodyBytes)
	for i, c := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * max(minGap, time.Duration(bodyBytes)*time.Second/linkBytesPerSecond))
			results[i] = c.send(request{
				id: newRequestID(), method: http.MethodPost, path: "/brief/1", deadline: 10 * time.Second, header: header,
				body: body, bytesPerSecond: uploadBytesPerSecond,
			})
		}()
	}
	wg.Wait()
	time.Sleep(200 * time.Millisecond)
	ran := map[string]bool{}
	for _, k := range s.workers {
		for _, a := range k.received() {
			if a.ran {
				ran[a.id] = true
			}
		}
	}
	served, lost := 0, 0
	for _, r := range results {
		switch {
		case r.err == nil && r.status == http.StatusOK:
			served++
		case r.err != nil && !r.timedOut() && ran[r.id]:
			lost++
		}
	}
	s.say("of %d requests: %d served, %d ran at a sound worker and their kept connection was closed without an answer (LOST: more than three)", n, served, lost)
	s.say("peak memory of the router %d MB, limit %d MB, the process has ended: %t", p.peak(), memoryMB, p.hasEnded())
	return lost > 3, nil
}
