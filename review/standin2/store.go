package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store with its last change.
type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       uint64 `json:"revision"`
	CreateRevision uint64 `json:"create_revision,omitempty"`
	Lease          uint64 `json:"lease,omitempty"`
	Deleted        bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's metadata store: linearizable, in memory, with
// the calls of PROTOCOL.md.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	changed  chan struct{}
	leases   map[uint64]*lease
	nextID   uint64
	// beats holds the time of the last registration of each worker.
	beats   map[string]time.Time
	address string
	server  *http.Server
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// workerSilence is the time without registrations after which a worker's entry is
// removed: three heartbeats.
const workerSilence = 3600 * time.Millisecond

// startStore serves a new store on a free loopback port.
func startStore() (*store, error) {
	s := &store{revision: 10, items: map[string]item{}, changed: make(chan struct{}), leases: map[uint64]*lease{}, beats: map[string]time.Time{}, nextID: 1000}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.getKey)
	mux.HandleFunc("GET /api/kv-range", s.getRange)
	mux.HandleFunc("GET /api/kv-watch", s.watch)
	mux.HandleFunc("POST /api/kv-txn", s.transact)
	mux.HandleFunc("POST /api/kv-lease", s.grant)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.endLease)
	// Workers write their registrations here; routers don't know the path.
	mux.HandleFunc("PUT /worker/{id}", s.register)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	go s.expireLeases()
	return s, nil
}

func (s *store) stop() { _ = s.server.Close() }

// put writes a key and returns the revision.
func (s *store) put(key string, value []byte, leaseID uint64) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.putLocked(key, value, leaseID)
	s.wake()
	return s.revision
}

func (s *store) putLocked(key string, value []byte, leaseID uint64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.CreateRevision
	}
	it := item{Key: key, Value: value, Revision: s.revision, CreateRevision: created, Lease: leaseID}
	s.items[key] = it
	s.events = append(s.events, it)
}

// remove deletes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.removeLocked(key)
	s.wake()
}

func (s *store) removeLocked(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.events = append(s.events, item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expireLeases() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.end) {
				s.dropLease(id)
			}
		}
		for key, at := range s.beats {
			if time.Since(at) > workerSilence {
				delete(s.beats, key)
				s.revision++
				s.removeLocked(key)
				s.wake()
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) dropLease(id uint64) {
	delete(s.leases, id)
	s.revision++
	for key, it := range s.items {
		if it.Lease == id {
			s.removeLocked(key)
		}
	}
	s.wake()
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if v != nil {
		_ = json.NewEncoder(w).Encode(v)
	}
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"as_of": revision})
		return
	}
	reply(w, http.StatusOK, map[string]any{"key": it.Key, "value": it.Value, "revision": it.Revision, "create_revision": it.CreateRevision, "lease": it.Lease, "as_of": revision})
}

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	list := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, it)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	more := len(list) > 500
	reply(w, http.StatusOK, map[string]any{"items": list[:min(len(list), 500)], "has_more": more, "as_of": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for last := false; ; {
		s.mu.Lock()
		list := []item{}
		first, _ := slices.BinarySearchFunc(s.events, after+1, func(e item, n uint64) int {
			if e.Revision < n {
				return -1
			}
			return 1
		})
		for _, e := range s.events[first:] {
			if strings.HasPrefix(e.Key, prefix) {
				list = append(list, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(list) > 0 || last {
			reply(w, http.StatusOK, map[string]any{"events": list, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
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
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []item
	for _, e := range t.Expected {
		if it := s.items[e.Key]; it.Revision != e.Revision {
			current = append(current, it)
		}
	}
	if len(current) > 0 {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, http.StatusNotFound, nil)
			return
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, http.StatusForbidden, nil)
			return
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.putLocked(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.removeLocked(key)
	}
	s.wake()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var q struct {
		TTL int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&q)
	ttl := time.Duration(max(q.TTL, 1000)) * time.Millisecond
	s.mu.Lock()
	s.nextID++
	id := s.nextID
	s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.end = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		reply(w, http.StatusNotFound, nil)
		return
	}
	reply(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		reply(w, http.StatusNotFound, nil)
		return
	}
	s.dropLease(id)
	reply(w, http.StatusOK, map[string]any{})
}

// register writes the registration of a worker.
func (s *store) register(w http.ResponseWriter, r *http.Request) {
	var raw json.RawMessage
	if err := json.NewDecoder(r.Body).Decode(&raw); err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	key := "servers/" + r.PathValue("id")
	s.mu.Lock()
	s.beats[key] = time.Now()
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"revision": s.put(key, raw, 0)})
}

// writeRegistration registers a worker in the store at an address.
func writeRegistration(ctx context.Context, storeAddress, id string, entry map[string]any) error {
	text, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+storeAddress+"/worker/"+id, strings.NewReader(string(text)))
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("store answered %d", res.StatusCode)
	}
	return nil
}
