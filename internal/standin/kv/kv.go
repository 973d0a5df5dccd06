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

// Faults are the injected faults; POST /faults changes the fields it names.
type Faults struct {
	Down          bool `json:"down"`           // abort every call and every open watch
	CallDelayMS   int  `json:"slow_ms"`        // delay of each call in milliseconds
	LoseResponses int  `json:"lose_responses"` // execute this many of the next writes of keys without a response
	HangCalls     bool `json:"silent"`         // accept calls and never respond; open watches hang permanently
	HangWatches   bool `json:"mute_watches"`   // open watches hang permanently
}

// Server is the fake key-value store; it implements http.Handler.
type Server struct {
	progressInterval time.Duration
	mux              *http.ServeMux

	mu         sync.Mutex
	store      *store
	faults     Faults
	hangCount  int // number of times that a fault made the open watches hang
	callCounts map[string]int64
	changed    chan struct{} // closed and replaced at each change of keys or faults
}

// New returns an empty store. Watches that request progress notifications get
// them at progressInterval.
func New(progressInterval time.Duration) *Server {
	s := &Server{progressInterval: progressInterval, mux: http.NewServeMux(), store: newStore(), callCounts: map[string]int64{}, changed: make(chan struct{})}
	for kind, m := range methods {
		s.mux.HandleFunc("POST /v3/"+kind, func(w http.ResponseWriter, r *http.Request) { s.serveCall(w, r, kind, m) })
	}
	s.mux.HandleFunc("POST /v3/watch", s.serveWatch)
	s.mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, s.CallCounts())
	})
	s.mux.HandleFunc("/faults", func(w http.ResponseWriter, r *http.Request) {
		faults := s.Faults()
		standin.HandleFaults(w, r, &faults, func() { s.SetFaults(faults) })
	})
	return s
}

// ServeHTTP serves the gateway's API and /calls and /faults.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Faults returns the injected faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.HangWatches || f.HangCalls {
		s.hangCount++
	}
	s.wakeWatches()
}

// CallCounts returns the number of received calls by kind, such as "kv/put". A watch
// counts as one call.
func (s *Server) CallCounts() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.callCounts)
}

// wakeWatches makes all watches check for new events and faults. The caller holds
// s.mu.
func (s *Server) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// method is one kind of call. The gateway wraps the response of a streamed one.
type method struct {
	write    bool // LoseResponses applies
	streamed bool
	run      func(s *Server, body []byte) (any, error)
}

// applyOne applies a single operation. The caller holds s.mu.
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
		s.store.lastLeaseID++
		id = s.store.lastLeaseID
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

// keepLeaseAlive returns no TTL if the lease has expired, as etcd does.
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
	if !s.store.revokeLease(int64(r.ID)) {
		return leaseMessage{}, errLeaseNotFound
	}
	return leaseMessage{}, nil
}

func (s *Server) expireLease(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A keepalive may have arrived after the timer fired and before the lock.
	if l := s.store.leases[id]; l == nil || time.Now().Before(l.expires) {
		return
	}
	s.store.revokeLease(id)
	s.wakeWatches()
}

// receiveCall counts a call, applies the faults that come before its execution
// and returns the body with field names in snake case.
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

// execute runs a call and reports whether LoseResponses applies to it.
func (s *Server) execute(m method, body []byte) (response any, loseResponse bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revisionBefore := s.store.revision
	response, err = m.run(s, body)
	if s.store.revision != revisionBefore {
		s.wakeWatches()
	}
	if loseResponse = m.write && s.faults.LoseResponses > 0; loseResponse {
		s.faults.LoseResponses--
	}
	return response, loseResponse, err
}

// watchBatch is what a watch sends next, with the faults that apply to it.
type watchBatch struct {
	response     watchResponse
	nextRevision int64 // where the next batch starts
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
	if start <= s.store.compactedRevision {
		b.response.Canceled, b.response.CompactRevision = true, jsonInt64(s.store.compactedRevision+1)
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

// serveWatch streams the events from the start revision on. A watch that hangs
// stays so when the fault is lifted, like a dead connection.
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
