package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeLatency is the time in which the store answers a call.
	storeLatency = 4 * time.Millisecond
	// storeHistory is how long the store keeps its changes.
	storeHistory = 20 * time.Second
	// storePage is the largest number of items in one answer.
	storePage = 500
)

// item is a key of the store, or an event of a watch.
type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       uint64 `json:"revision"`
	CreateRevision uint64 `json:"create_revision,omitempty"`
	Lease          uint64 `json:"lease,omitempty"`
	Deleted        bool   `json:"deleted,omitempty"`
	at             time.Time
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in of the platform's metadata store.
type store struct {
	address string
	server  *http.Server

	mu       sync.Mutex
	changed  chan struct{}
	revision uint64
	oldest   uint64
	items    map[string]item
	history  []item
	leases   map[uint64]*lease
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the store: %w", err)
	}
	s := &store{
		address: l.Addr().String(), changed: make(chan struct{}),
		revision: 100, items: map[string]item{}, leases: map[uint64]*lease{},
	}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) stop() { _ = s.server.Close() }

// put writes a key for an operator or a worker. Its return is the acknowledgement.
func (s *store) put(key string, value any) uint64 {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(item{Key: key, Value: text})
	return s.revision
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.write(item{Key: key, Deleted: true})
	}
}

func (s *store) write(i item) {
	s.revision++
	i.Revision, i.at = s.revision, time.Now()
	if i.Deleted {
		delete(s.items, i.Key)
	} else {
		i.CreateRevision = s.revision
		if old, ok := s.items[i.Key]; ok {
			i.CreateRevision = old.CreateRevision
		}
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	for len(s.history) > 0 && time.Since(s.history[0].at) > storeHistory {
		s.oldest = s.history[0].Revision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expireLeases() {
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.write(item{Key: key, Deleted: true})
		}
	}
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	q := r.URL.Query()
	number := func(name string) uint64 {
		n, _ := strconv.ParseUint(q.Get(name), 10, 64)
		return n
	}
	if r.URL.Path == "/api/kv-watch" {
		s.serveWatch(w, r, q.Get("prefix"), number("after"), time.Duration(number("wait_ms"))*time.Millisecond)
		return
	}
	s.mu.Lock()
	s.expireLeases()
	status, body := s.call(r)
	s.mu.Unlock()
	answer(w, status, body)
}

func answer(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

type object map[string]any

func (s *store) call(r *http.Request) (int, any) {
	last := func() uint64 {
		n, _ := strconv.ParseUint(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:], 10, 64)
		return n
	}
	switch path := r.URL.Path; {
	case path == "/api/kv-key":
		i, ok := s.items[r.URL.Query().Get("key")]
		if !ok {
			return http.StatusNotFound, object{"as_of": s.revision}
		}
		return http.StatusOK, object{"key": i.Key, "value": i.Value, "revision": i.Revision, "create_revision": i.CreateRevision, "lease": i.Lease, "as_of": s.revision}
	case path == "/api/kv-range":
		return http.StatusOK, s.page(r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	case path == "/api/kv-lease":
		var in struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.NewDecoder(r.Body).Decode(&in) != nil || in.TTL < 1000 {
			return http.StatusBadRequest, object{}
		}
		s.revision++
		ttl := time.Duration(in.TTL) * time.Millisecond
		s.leases[s.revision] = &lease{ttl, time.Now().Add(ttl)}
		return http.StatusOK, object{"lease": s.revision, "ttl_ms": in.TTL}
	case strings.HasPrefix(path, "/api/kv-keep/"):
		l := s.leases[last()]
		if l == nil {
			return http.StatusNotFound, object{}
		}
		l.end = time.Now().Add(l.ttl)
		return http.StatusOK, object{"ttl_ms": l.ttl.Milliseconds()}
	case strings.HasPrefix(path, "/api/kv-lease-end/"):
		s.endLease(last())
		return http.StatusOK, object{}
	case path == "/api/kv-txn":
		return s.transaction(r)
	}
	return http.StatusNotFound, object{}
}

func (s *store) page(prefix, after string) any {
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > storePage
	if more {
		items = items[:storePage]
	}
	return object{"items": items, "has_more": more, "as_of": s.revision}
}

func (s *store) transaction(r *http.Request) (int, any) {
	var in struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected_rev"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		return http.StatusBadRequest, object{}
	}
	for _, e := range in.Expected {
		if s.items[e.Key].Revision != e.Revision {
			return http.StatusPreconditionFailed, object{"items": []item{s.items[e.Key]}}
		}
	}
	for _, p := range in.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return http.StatusForbidden, object{}
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, object{}
		}
	}
	for _, p := range in.Puts {
		s.write(item{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range in.Remove {
		if _, ok := s.items[key]; ok {
			s.write(item{Key: key, Deleted: true})
		}
	}
	return http.StatusOK, object{"revision": s.revision}
}

// serveWatch waits for a change.
func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timeout := time.After(wait)
	over := false
	for {
		s.mu.Lock()
		s.expireLeases()
		changed, revision := s.changed, s.revision
		compacted := after < s.oldest
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		switch {
		case compacted:
			answer(w, http.StatusGone, object{})
			return
		case len(events) > 0 || over:
			answer(w, http.StatusOK, object{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
