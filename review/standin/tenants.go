package main

import (
	"net/http"
	"time"
)

const (
	revokeBound = 5 * time.Second
	keyHeld     = "n2ctnfzs989anu6wsjnb"
	keyNever    = "zzzzzzzzzzzzzzzzzzzz"
)

// tenantsCase plays an operator who takes the last tenant, and so all keys, out of the
// configuration.
func tenantsCase(s *setup) (bool, error) {
	config := configuration(7, []object{route("order", "/order/", "unsafe", "orderdesk", 800, 100, 1, false)}, []object{service("orderdesk", false)})
	config["tenants"] = []object{{"name": "hule930", "api_keys": []string{keyHeld}, "priority": 1}}
	if err := s.startStore(config); err != nil {
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
	keys := map[string]string{}
	sentAt := map[string]time.Time{}
	round := func(list ...string) {
		for _, p := range s.routers {
			for _, key := range list {
				c := s.client("at "+p.name+" with key "+key, p)
				q := request{id: newRequestID(), method: http.MethodPost, path: "/order/1", deadline: 1500 * time.Millisecond, body: []byte("order"), header: map[string]string{"Authorization": "Bearer " + key}}
				keys[q.id], sentAt[q.id] = key, time.Now()
				r := c.send(q)
				if r.err == nil {
					s.line("key %s at %s: status %d", key, p.name, r.status)
				}
				c.close()
			}
		}
	}
	round(keyHeld, keyNever)
	revoked := time.Time{}
	if s.trouble {
		config["version"] = 12
		config["tenants"] = []object{}
		revoked = s.configure(config)
		s.say("the configuration has no tenant any more, so no key is in force")
	}
	time.Sleep(revokeBound + time.Second)
	round(keyHeld, keyNever)
	late, never := 0, 0
	for _, k := range s.workers {
		for _, a := range k.received() {
			switch {
			case !a.ran:
			case keys[a.id] == keyNever:
				never++
				s.line("worker %s ran %s, whose key no configuration held, with Tenant %q", k.id, a.id, a.header.Get("Tenant"))
			case !revoked.IsZero() && sentAt[a.id].After(revoked.Add(revokeBound)):
				late++
				s.line("worker %s ran %s, sent %d ms after the acknowledgement, with Tenant %q", k.id, a.id, sentAt[a.id].Sub(revoked).Milliseconds(), a.header.Get("Tenant"))
			}
		}
	}
	s.say("requests that ran with a key that was taken away over %s before: %d (CONFIG); with a key that no configuration ever held: %d (ROUTE)", revokeBound, late, never)
	return late > 0 || never > 0, nil
}
