package kv

import (
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/standin"
)

// Faults are the faults in force; POST /faults changes the fields it names.
type Faults struct {
	Down          bool `json:"down"`           // closes every connection that carries a request
	SlowMS        int  `json:"slow_ms"`        // delay of each call in ms
	LoseResponses int  `json:"lose_responses"` // next key writes to perform without a response
	Silent        bool `json:"silent"`         // accepts calls and never answers them
	MuteWatches   bool `json:"mute_watches"`   // open watches go silent for good
}

// Server is the key-value service as an http.Handler.
type Server struct {
	progress time.Duration
	mux      *http.ServeMux

	mu      sync.Mutex
	store   *store
	faults  Faults
	mutes   int // number of times that open watches were muted
	calls   map[string]int64
	changed chan struct{} // closed and replaced at each change of keys or faults
}

// New returns an empty service whose watches report progress at the given
// interval if asked to.
func New(progress time.Duration) *Server {
	s := &Server{progress: progress, mux: http.NewServeMux(), store: newStore(), calls: map[string]int64{}, changed: make(chan struct{})}
	for kind, call := range calls {
		s.mux.HandleFunc("POST /v3/"+kind, func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, kind, call) })
	}
	s.mux.HandleFunc("POST /v3/watch", s.watch)
	s.mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) {
		standin.Write(w, http.StatusOK, s.Calls())
	})
	s.mux.HandleFunc("/faults", func(w http.ResponseWriter, r *http.Request) {
		faults := s.Faults()
		standin.Faults(w, r, &faults, func() { s.SetFaults(faults) })
	})
	return s
}

// ServeHTTP answers the gateway's paths, /calls and /faults.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.MuteWatches || f.Silent {
		s.mutes++
	}
	s.notify()
}

// Calls returns the number of calls received by kind, such as "kv/put"; a
// watch counts as one.
func (s *Server) Calls() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// notify wakes the watches; the caller holds the lock.
func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// call is one kind of call on the store. Streamed calls wrap their response.
type call struct {
	write    bool // subject to lose_responses
	streamed bool
	run      func(s *Server, body []byte) (any, error)
}

// one applies a single operation; the caller holds the lock.
func one(s *Server, o operation) (outcome, error) {
	outcomes, err := s.store.apply([]operation{o})
	if err != nil {
		return outcome{}, err
	}
	return outcomes[0], nil
}

var calls = map[string]call{
	"kv/range": {run: func(s *Server, body []byte) (any, error) {
		var r rangeRequest
		if err := json.Unmarshal(body, &r); err != nil {
			return nil, err
		}
		return s.store.rangeKeys(&r), nil
	}},
	"kv/put": {write: true, run: func(s *Server, body []byte) (any, error) {
		var r putRequest
		if err := json.Unmarshal(body, &r); err != nil {
			return nil, err
		}
		o, err := one(s, operation{Put: &r})
		if err != nil {
			return nil, err
		}
		o.Put.Header = s.store.header()
		return o.Put, nil
	}},
	"kv/deleterange": {write: true, run: func(s *Server, body []byte) (any, error) {
		var r deleteRequest
		if err := json.Unmarshal(body, &r); err != nil {
			return nil, err
		}
		o, err := one(s, operation{Delete: &r})
		if err != nil {
			return nil, err
		}
		o.Delete.Header = s.store.header()
		return o.Delete, nil
	}},
	"kv/txn": {write: true, run: func(s *Server, body []byte) (any, error) {
		var r txnRequest
		if err := json.Unmarshal(body, &r); err != nil {
			return nil, err
		}
		return s.store.txn(&r)
	}},
	"lease/grant":     {run: leaseCall((*Server).grant)},
	"lease/keepalive": {streamed: true, run: leaseCall((*Server).keepAlive)},
	"lease/revoke":    {run: leaseCall((*Server).revoke)},
}

func leaseCall(run func(s *Server, r leaseMessage) (leaseMessage, error)) func(s *Server, body []byte) (any, error) {
	return func(s *Server, body []byte) (any, error) {
		var r leaseMessage
		if err := json.Unmarshal(body, &r); err != nil {
			return nil, err
		}
		response, err := run(s, r)
		response.Header = s.store.header()
		return response, err
	}
}

func (s *Server) grant(r leaseMessage) (leaseMessage, error) {
	id := int64(r.ID)
	if id == 0 {
		s.store.nextLease++
		id = s.store.nextLease
	}
	if s.store.leases[id] != nil {
		return leaseMessage{}, errors.New("etcdserver: lease already exists")
	}
	ttl := time.Duration(max(r.TTL, minTTL)) * time.Second
	s.store.leases[id] = &lease{
		ttl: ttl, expires: time.Now().Add(ttl), keys: map[string]bool{},
		timer: time.AfterFunc(ttl, func() { s.expire(id) }),
	}
	return leaseMessage{ID: number(id), TTL: number(ttl / time.Second)}, nil
}

// keepAlive answers without a TTL if the lease has expired, as etcd does.
func (s *Server) keepAlive(r leaseMessage) (leaseMessage, error) {
	l := s.store.leases[int64(r.ID)]
	if l == nil {
		return leaseMessage{ID: r.ID}, nil
	}
	l.expires = time.Now().Add(l.ttl)
	l.timer.Reset(l.ttl)
	return leaseMessage{ID: r.ID, TTL: number(l.ttl / time.Second)}, nil
}

func (s *Server) revoke(r leaseMessage) (leaseMessage, error) {
	if !s.store.revoke(int64(r.ID)) {
		return leaseMessage{}, errLeaseNotFound
	}
	return leaseMessage{}, nil
}

func (s *Server) expire(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A keepalive may have come between the timer and the lock.
	if l := s.store.leases[id]; l == nil || time.Now().Before(l.expires) {
		return
	}
	s.store.revoke(id)
	s.notify()
}

// arrive counts a call, applies the faults that precede it and returns its body.
func (s *Server) arrive(w http.ResponseWriter, r *http.Request, kind string) ([]byte, bool) {
	s.mu.Lock()
	s.calls[kind]++
	faults := s.faults
	s.mu.Unlock()
	if faults.Down {
		standin.Drop()
	}
	if faults.Silent {
		standin.Silence(r)
	}
	body, ok := standin.Body(w, r)
	if !ok || !clock.Sleep(r.Context(), time.Duration(faults.SlowMS)*time.Millisecond) {
		return nil, false
	}
	return protocolNames(body), true
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, kind string, c call) {
	body, ok := s.arrive(w, r, kind)
	if !ok {
		return
	}
	response, lost, err := s.perform(c, body)
	switch {
	case lost:
		standin.Drop()
	case errors.Is(err, errLeaseNotFound):
		standin.Fail(w, http.StatusNotFound, err.Error())
	case err != nil:
		standin.Fail(w, http.StatusBadRequest, err.Error())
	case c.streamed:
		standin.Write(w, http.StatusOK, streamed{Result: response})
	default:
		standin.Write(w, http.StatusOK, response)
	}
}

// perform runs a call and reports whether its response is to be lost.
func (s *Server) perform(c call, body []byte) (response any, lost bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.store.revision
	response, err = c.run(s, body)
	if s.store.revision != before {
		s.notify()
	}
	if lost = c.write && s.faults.LoseResponses > 0; lost {
		s.faults.LoseResponses--
	}
	return response, lost, err
}

// pending is what a watch sends next.
type pending struct {
	response watchResponse
	next     int64 // revision to continue at
	muted    bool
	mutes    int
	down     bool
	changed  <-chan struct{}
}

func (s *Server) pending(from, end []byte, start int64) pending {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := pending{
		response: watchResponse{Header: s.store.header()}, next: s.store.revision + 1,
		muted: s.faults.MuteWatches || s.faults.Silent, mutes: s.mutes, down: s.faults.Down, changed: s.changed,
	}
	if start <= s.store.compacted {
		p.response.Canceled, p.response.CompactRevision = true, number(s.store.compacted+1)
		return p
	}
	p.next = max(p.next, start)
	first := sort.Search(len(s.store.history), func(i int) bool { return int64(s.store.history[i].Kv.ModRevision) >= start })
	for _, e := range s.store.history[first:] {
		if within(e.Kv.Key, from, end) {
			p.response.Events = append(p.response.Events, e)
		}
	}
	return p
}

// watch streams the events from the start revision on. A muted watch stays
// silent even after the fault is lifted, like a connection that died.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	body, ok := s.arrive(w, r, "watch")
	if !ok {
		return
	}
	var request watchRequest
	if err := json.Unmarshal(body, &request); err != nil || request.Create == nil {
		standin.Fail(w, http.StatusBadRequest, "watch: create_request is missing or not valid")
		return
	}
	c := request.Create
	next := int64(c.StartRevision)
	if next == 0 {
		s.mu.Lock()
		next = s.store.revision + 1
		s.mu.Unlock()
	}
	w.Header().Set("Content-Type", "application/json")
	control, encoder := http.NewResponseController(w), json.NewEncoder(w)
	send := func(m watchResponse) bool {
		return encoder.Encode(streamed{Result: m}) == nil && control.Flush() == nil
	}
	ticker := time.NewTicker(s.progress)
	defer ticker.Stop()
	created, tick, mutes := false, false, 0
	for {
		p := s.pending(c.Key, c.RangeEnd, next)
		if p.down {
			standin.Drop()
		}
		if !created {
			mutes = p.mutes
		}
		if p.muted || p.mutes != mutes {
			standin.Silence(r)
		}
		if !created {
			created = true
			if !send(watchResponse{Header: p.response.Header, Created: true}) {
				return
			}
		}
		if len(p.response.Events) > 0 || p.response.Canceled || (tick && c.ProgressNotify) {
			if !send(p.response) || p.response.Canceled {
				return
			}
		}
		next = p.next
		select {
		case <-r.Context().Done():
			return
		case <-p.changed:
			tick = false
		case <-ticker.C:
			tick = true
		}
	}
}
