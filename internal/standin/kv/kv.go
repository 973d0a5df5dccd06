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
	CallDelayMS   int  `json:"slow_ms"`        // delay of each call in ms
	LoseResponses int  `json:"lose_responses"` // next key writes to perform without a response
	HangCalls     bool `json:"silent"`         // accepts calls and never answers them
	HangWatches   bool `json:"mute_watches"`   // open watches go silent for good
}

// Server is the key-value service as an http.Handler.
type Server struct {
	progressInterval time.Duration
	mux              *http.ServeMux

	mu         sync.Mutex
	store      *store
	faults     Faults
	hangCount  int // number of times that open watches were muted
	callCounts map[string]int64
	changed    chan struct{} // closed and replaced at each change of keys or faults
}

// New returns an empty service whose watches report progress at the given
// interval if asked to.
func New(progressInterval time.Duration) *Server {
	s := &Server{progressInterval: progressInterval, mux: http.NewServeMux(), store: newStore(), callCounts: map[string]int64{}, changed: make(chan struct{})}
	for kind, m := range methods {
		s.mux.HandleFunc("POST /v3/"+kind, func(w http.ResponseWriter, r *http.Request) { s.serveCall(w, r, kind, m) })
	}
	s.mux.HandleFunc("POST /v3/watch", s.serveWatch)
	s.mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, s.Calls())
	})
	s.mux.HandleFunc("/faults", func(w http.ResponseWriter, r *http.Request) {
		faults := s.Faults()
		standin.HandleFaults(w, r, &faults, func() { s.SetFaults(faults) })
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
	if f.HangWatches || f.HangCalls {
		s.hangCount++
	}
	s.wakeWatches()
}

// Calls returns the number of calls received by kind, such as "kv/put"; a
// watch counts as one.
func (s *Server) Calls() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.callCounts)
}

// wakeWatches wakes the watches; the caller holds the lock.
func (s *Server) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// method is one kind of call on the store. Streamed calls wrap their response.
type method struct {
	write    bool // subject to lose_responses
	streamed bool
	run      func(s *Server, body []byte) (any, error)
}

// applyOne applies a single operation; the caller holds the lock.
func applyOne(s *Server, o operation) (operationResponse, error) {
	responses, err := s.store.apply([]operation{o})
	if err != nil {
		return operationResponse{}, err
	}
	return responses[0], nil
}

var methods = map[string]method{
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
		o, err := applyOne(s, operation{Put: &r})
		if err != nil {
			return nil, err
		}
		o.Put.Header = s.store.header()
		return o.Put, nil
	}},
	"kv/deleterange": {write: true, run: func(s *Server, body []byte) (any, error) {
		var r deleteRangeRequest
		if err := json.Unmarshal(body, &r); err != nil {
			return nil, err
		}
		o, err := applyOne(s, operation{Delete: &r})
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
	"lease/grant":     {run: leaseMethod((*Server).grantLease)},
	"lease/keepalive": {streamed: true, run: leaseMethod((*Server).keepLeaseAlive)},
	"lease/revoke":    {run: leaseMethod((*Server).revokeLease)},
}

func leaseMethod(run func(s *Server, r leaseMessage) (leaseMessage, error)) func(s *Server, body []byte) (any, error) {
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

func (s *Server) grantLease(r leaseMessage) (leaseMessage, error) {
	id := int64(r.ID)
	if id == 0 {
		s.store.nextLease++
		id = s.store.nextLease
	}
	if s.store.leases[id] != nil {
		return leaseMessage{}, errors.New("etcdserver: lease already exists")
	}
	ttl := time.Duration(max(r.TTL, minTTLSeconds)) * time.Second
	s.store.leases[id] = &lease{
		ttl: ttl, expires: time.Now().Add(ttl), keys: map[string]bool{},
		timer: time.AfterFunc(ttl, func() { s.expireLease(id) }),
	}
	return leaseMessage{ID: jsonInt64(id), TTL: jsonInt64(ttl / time.Second)}, nil
}

// keepLeaseAlive answers without a TTL if the lease has expired, as etcd does.
func (s *Server) keepLeaseAlive(r leaseMessage) (leaseMessage, error) {
	l := s.store.leases[int64(r.ID)]
	if l == nil {
		return leaseMessage{ID: r.ID}, nil
	}
	l.expires = time.Now().Add(l.ttl)
	l.timer.Reset(l.ttl)
	return leaseMessage{ID: r.ID, TTL: jsonInt64(l.ttl / time.Second)}, nil
}

func (s *Server) revokeLease(r leaseMessage) (leaseMessage, error) {
	if !s.store.revoke(int64(r.ID)) {
		return leaseMessage{}, errLeaseNotFound
	}
	return leaseMessage{}, nil
}

func (s *Server) expireLease(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A keepalive may have come between the timer and the lock.
	if l := s.store.leases[id]; l == nil || time.Now().Before(l.expires) {
		return
	}
	s.store.revoke(id)
	s.wakeWatches()
}

// receiveCall counts a call, applies the faults that precede it and returns its body.
func (s *Server) receiveCall(w http.ResponseWriter, r *http.Request, kind string) ([]byte, bool) {
	s.mu.Lock()
	s.callCounts[kind]++
	faults := s.faults
	s.mu.Unlock()
	if faults.Down {
		standin.Abort()
	}
	if faults.HangCalls {
		standin.Hang(r)
	}
	body, ok := standin.ReadBody(w, r)
	if !ok || !clock.Sleep(r.Context(), time.Duration(faults.CallDelayMS)*time.Millisecond) {
		return nil, false
	}
	return snakeCaseFields(body), true
}

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request, kind string, m method) {
	body, ok := s.receiveCall(w, r, kind)
	if !ok {
		return
	}
	response, loseResponse, err := s.execute(m, body)
	switch {
	case loseResponse:
		standin.Abort()
	case errors.Is(err, errLeaseNotFound):
		standin.WriteError(w, http.StatusNotFound, err.Error())
	case err != nil:
		standin.WriteError(w, http.StatusBadRequest, err.Error())
	case m.streamed:
		standin.WriteJSON(w, http.StatusOK, streamMessage{Result: response})
	default:
		standin.WriteJSON(w, http.StatusOK, response)
	}
}

// execute runs a call and reports whether its response is to be lost.
func (s *Server) execute(m method, body []byte) (response any, loseResponse bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.store.revision
	response, err = m.run(s, body)
	if s.store.revision != before {
		s.wakeWatches()
	}
	if loseResponse = m.write && s.faults.LoseResponses > 0; loseResponse {
		s.faults.LoseResponses--
	}
	return response, loseResponse, err
}

// watchBatch is what a watch sends next.
type watchBatch struct {
	response     watchResponse
	nextRevision int64 // revision to continue at
	hanging      bool
	hangCount    int
	down         bool
	changed      <-chan struct{}
}

func (s *Server) nextBatch(from, end []byte, start int64) watchBatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := watchBatch{
		response: watchResponse{Header: s.store.header()}, nextRevision: s.store.revision + 1,
		hanging: s.faults.HangWatches || s.faults.HangCalls, hangCount: s.hangCount, down: s.faults.Down, changed: s.changed,
	}
	if start <= s.store.compacted {
		b.response.Canceled, b.response.CompactRevision = true, jsonInt64(s.store.compacted+1)
		return b
	}
	b.nextRevision = max(b.nextRevision, start)
	first := sort.Search(len(s.store.history), func(i int) bool { return int64(s.store.history[i].Kv.ModRevision) >= start })
	for _, e := range s.store.history[first:] {
		if inRange(e.Kv.Key, from, end) {
			b.response.Events = append(b.response.Events, e)
		}
	}
	return b
}

// serveWatch streams the events from the start revision on. A muted watch stays
// silent even after the fault is lifted, like a connection that died.
func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	body, ok := s.receiveCall(w, r, "watch")
	if !ok {
		return
	}
	var request watchRequest
	if err := json.Unmarshal(body, &request); err != nil || request.Create == nil {
		standin.WriteError(w, http.StatusBadRequest, "watch: create_request is missing or not valid")
		return
	}
	c := request.Create
	nextRevision := int64(c.StartRevision)
	if nextRevision == 0 {
		s.mu.Lock()
		nextRevision = s.store.revision + 1
		s.mu.Unlock()
	}
	w.Header().Set("Content-Type", "application/json")
	control, encoder := http.NewResponseController(w), json.NewEncoder(w)
	send := func(m watchResponse) bool {
		return encoder.Encode(streamMessage{Result: m}) == nil && control.Flush() == nil
	}
	ticker := time.NewTicker(s.progressInterval)
	defer ticker.Stop()
	created, progressDue, hangCount := false, false, 0
	for {
		b := s.nextBatch(c.Key, c.RangeEnd, nextRevision)
		if b.down {
			standin.Abort()
		}
		if !created {
			hangCount = b.hangCount
		}
		if b.hanging || b.hangCount != hangCount {
			standin.Hang(r)
		}
		if !created {
			created = true
			if !send(watchResponse{Header: b.response.Header, Created: true}) {
				return
			}
		}
		if len(b.response.Events) > 0 || b.response.Canceled || (progressDue && c.ProgressNotify) {
			if !send(b.response) || b.response.Canceled {
				return
			}
		}
		nextRevision = b.nextRevision
		select {
		case <-r.Context().Done():
			return
		case <-b.changed:
			progressDue = false
		case <-ticker.C:
			progressDue = true
		}
	}
}
