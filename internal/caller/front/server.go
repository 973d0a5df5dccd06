package front

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxHeader bounds the header of a request in bytes, whatever the
	// configuration allows. It protects the host's memory.
	maxHeader = 1 << 20
	// headerTimeout bounds the time for a header. The server's limit is fixed
	// when it starts, so it is longer than configurations usually allow.
	headerTimeout = 10 * time.Second
	// balancerLag is the time after which the balancer, which takes a router out
	// after two failed checks a second apart, sends no new connections.
	balancerLag = 2200 * time.Millisecond
	// sweepInterval is how often idle connections are checked against the limit.
	sweepInterval = 500 * time.Millisecond
	// stopInterval is how often a stopping server looks for idle connections.
	stopInterval = 20 * time.Millisecond
)

// errCutOff means that requests were still in progress at the end of the grace
// period.
var errCutOff = errors.New("requests were cut off at the end of the grace period")

// Server serves callers on one address.
type Server struct {
	handler http.Handler
	// idleLimit returns how long a connection may stay idle, 0 for no limit.
	idleLimit func() time.Duration
	closing   atomic.Bool
	// end is when requests in progress are cut off, once the server is closing.
	end atomic.Pointer[time.Time]

	mu sync.Mutex
	// since is when each connection became idle, zero while it is in use.
	since map[*conn]time.Time
}

// New returns a server.
func New(handler http.Handler, idleLimit func() time.Duration) *Server {
	return &Server{handler: handler, idleLimit: idleLimit, since: map[*conn]time.Time{}}
}

// ServeHTTP serves a request; a closing server asks the caller to go elsewhere.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	s.handler.ServeHTTP(w, r)
}

// TimeLeft returns how long requests may still take, and false while the server
// is not closing: the balancer takes some time to send new connections elsewhere.
func (s *Server) TimeLeft() (time.Duration, bool) {
	end := s.end.Load()
	if end == nil {
		return 0, false
	}
	return time.Until(*end), true
}

// Serve serves until leaving is done, then goes on for the lag of the balancer,
// finishes the requests in progress and returns. Requests that last longer than
// grace are broken off.
func (s *Server) Serve(leaving context.Context, address string, grace time.Duration) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	return s.serve(leaving, l, grace)
}

func (s *Server) serve(leaving context.Context, l net.Listener, grace time.Duration) error {
	h := &http.Server{Handler: s, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeader, ConnState: s.track}
	ended := make(chan error, 1)
	go func() { ended <- h.Serve(listener{l}) }()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case err := <-ended:
			return fmt.Errorf("serve callers: %w", err)
		case <-sweep.C:
			if limit := s.idleLimit(); limit > 0 {
				s.closeIdle(time.Now().Add(-limit))
			}
		case <-leaving.Done():
			err := s.stop(grace)
			return errors.Join(err, h.Close(), ignoreClosed(<-ended))
		}
	}
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// stop closes the connections between requests until none is left. The
// listener stays open, since the balancer may have no other router to send to.
func (s *Server) stop(grace time.Duration) error {
	end := time.Now().Add(grace)
	time.Sleep(min(balancerLag, grace/2))
	s.end.Store(&end)
	s.closing.Store(true)
	for {
		now := time.Now()
		if s.closeIdle(now) == 0 {
			return nil
		}
		if now.After(end) {
			return errCutOff
		}
		time.Sleep(stopInterval)
	}
}

// track keeps the connections and when they became idle.
func (s *Server) track(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.setIdle()
		s.since[c] = time.Now()
	case http.StateNew:
		s.since[c] = time.Now()
	case http.StateActive:
		s.since[c] = time.Time{}
	case http.StateClosed, http.StateHijacked:
		delete(s.since, c)
	}
}

// closeIdle closes the connections that have been idle since before, and
// returns how many are left.
func (s *Server) closeIdle(before time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, since := range s.since {
		if !since.IsZero() && since.Before(before) && c.retire() {
			delete(s.since, c)
		}
	}
	return len(s.since)
}
