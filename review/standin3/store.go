package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store.
type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value"`
	Revision       uint64 `json:"revision"`
	CreateRevision uint64 `json:"create_revision"`
	Lease          uint64 `json:"lease"`
}

type event struct {
	item
	at      time.Time
	deleted bool
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// image is a copy of the whole store.
type image struct {
	at       time.Time
	revision uint64
	items    map[string]item
	leases   map[uint64]lease
	events   []event
}

const (
	// historyTime is how long the store keeps changes (history_s of the sheet).
	historyTime = 20 * time.Second
	// imageInterval is the time between two copies, imageTime how long they are kept.
	imageInterval = 100 * time.Millisecond
	imageTime     = 12 * time.Second
	// pageItems is the number of items in a page.
	pageItems = 500
	// answerDelay is the time of an answer on the sheet.
	answerDelay = 4 * time.Millisecond
)

// store is a stand-in of the platform's metadata store.
type store struct {
	rec     *record
	address string
	server  *http.Server

	mu        sync.Mutex
	revision  uint64
	era       uint64
	lastLease uint64
	items     map[string]item
	leases    map[uint64]lease
	events    []event
	compacted uint64
	images    []image
	changed   chan struct{}
	away      bool
	refuse    func(call, client string) bool
	calls     map[string]int
	stop      chan struct{}
}

func startStore(rec *record, ip string) (*store, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{
		rec: rec, address: l.Addr().String(), revision: 100, era: 1, lastLease: 7000, items: map[string]item{}, leases: map[uint64]lease{},
		changed: make(chan struct{}), calls: map[string]int{}, stop: make(chan struct{}), compacted: 100,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.serveKey)
	mux.HandleFunc("GET /api/kv-range", s.serveRange)
	mux.HandleFunc("GET /api/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /api/kv-txn", s.serveTxn)
	mux.HandleFunc("POST /api/kv-lease", s.serveLease)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.serveLeaseEnd)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		away, era := s.away, s.era
		s.calls[r.Method+" "+r.URL.Path]++
		refuse := s.refuse
		s.mu.Unlock()
		if away || refuse != nil && refuse(r.URL.Path, r.RemoteAddr) {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(answerDelay)
		w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(l) }()
	go s.tick()
	return s, nil
}

func (s *store) close() {
	close(s.stop)
	_ = s.server.Close()
}

// tick ends leases, drops old history and copies the store.
func (s *store) tick() {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(imageInterval):
		}
		s.mu.Lock()
		now := time.Now()
		if !s.away {
			for id, l := range s.leases {
				if now.After(l.end) {
					s.endLease(id)
				}
			}
		}
		for len(s.events) > 0 && now.Sub(s.events[0].at) > historyTime {
			s.compacted = s.events[0].Revision
			s.events = s.events[1:]
		}
		s.images = append(s.images, image{now, s.revision, maps.Clone(s.items), maps.Clone(s.leases), slices.Clone(s.events)})
		for len(s.images) > 0 && now.Sub(s.images[0].at) > imageTime {
			s.images = s.images[1:]
		}
		s.mu.Unlock()
	}
}

// setAway makes the store reset each call, and ends the waiting ones.
func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.wake()
}

// restore replaces the store by its copy of some time ago.
func (s *store) restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := time.Now().Add(-age)
	best := s.images[0]
	for _, i := range s.images {
		if i.at.Before(limit) {
			best = i
		}
	}
	s.rec.say("store: back from a copy %.1f s old: revision %d instead of %d, era %d", time.Since(best.at).Seconds(), best.revision, s.revision, s.era+1)
	s.revision, s.items, s.leases, s.events = best.revision, maps.Clone(best.items), maps.Clone(best.leases), slices.Clone(best.events)
	s.images = nil
	s.era++
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key and returns its revision. The caller is a worker or the operator; the
// return is the store's acknowledgement. It returns 0 while the store is away.
func (s *store) put(key string, value any, lease uint64) uint64 {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0
	}
	s.revision++
	s.putLocked(key, text, lease)
	s.wake()
	return s.revision
}

func (s *store) putLocked(key string, value []byte, lease uint64) {
	i := item{key, value, s.revision, s.revision, lease}
	if old, ok := s.items[key]; ok {
		i.CreateRevision = old.CreateRevision
	}
	s.items[key] = i
	s.events = append(s.events, event{i, time.Now(), false})
}

// remove removes a key and returns the revision, 0 if the store is away or has none.
func (s *store) remove(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok || s.away {
		return 0
	}
	s.revision++
	s.removeLocked(key)
	s.wake()
	return s.revision
}

func (s *store) removeLocked(key string) {
	delete(s.items, key)
	s.events = append(s.events, event{item{Key: key, Revision: s.revision}, time.Now(), true})
}

func (s *store) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.items[key]
	return ok
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for k, i := range s.items {
		if i.Lease == id {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.revision++
	for _, k := range keys {
		s.removeLocked(k)
	}
	s.wake()
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "create_revision": i.CreateRevision, "lease": i.Lease, "as_of": s.revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []item{}
	for _, k := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			list = append(list, s.items[k])
		}
	}
	more := len(list) > pageItems
	if more {
		list = list[:pageItems]
	}
	reply(w, http.StatusOK, map[string]any{"items": list, "has_more": more, "as_of": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || err2 != nil || wait < 0 || wait > 30000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for done := false; ; {
		s.mu.Lock()
		if s.away || s.era != era {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after > s.revision || after < s.compacted {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		list := []map[string]any{}
		for _, e := range s.events {
			if e.Revision <= after || !strings.HasPrefix(e.Key, q.Get("prefix")) {
				continue
			}
			if e.deleted {
				list = append(list, map[string]any{"key": e.Key, "revision": e.Revision, "deleted": true})
				continue
			}
			list = append(list, map[string]any{"key": e.Key, "value": e.Value, "revision": e.Revision, "create_revision": e.CreateRevision, "lease": e.Lease})
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(list) > 0 || done {
			reply(w, http.StatusOK, map[string]any{"events": list, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			done = true
		case <-r.Context().Done():
			return
		}
	}
}

type txn struct {
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

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := false
	current := []item{}
	for _, e := range t.Expected {
		failed = failed || s.items[e.Key].Revision != e.Revision
		if i, ok := s.items[e.Key]; ok {
			current = append(current, i)
		}
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.putLocked(p.Key, p.Value, p.Lease)
	}
	for _, k := range t.Remove {
		if _, ok := s.items[k]; ok {
			s.removeLocked(k)
		}
	}
	s.wake()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var q struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil || q.TTL < 1000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	ttl := time.Duration(q.TTL) * time.Millisecond
	s.leases[s.lastLease] = lease{ttl, time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.lastLease, "ttl_ms": q.TTL})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.end = time.Now().Add(l.ttl)
	s.leases[id] = l
	reply(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
	reply(w, http.StatusOK, map[string]any{})
}
