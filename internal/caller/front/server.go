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
	// maxHeaderBytes bounds the header of a request in bytes, whatever the
	// configuration allows. It protects the host's memory.
	maxHeaderBytes = 1 << 20
	// readHeaderTimeout bounds the time for a header. The server's limit is fixed
	// when it starts, so it is longer than configurations usually allow.
	readHeaderTimeout = 10 * time.Second
	// balancerLag is the time after which the balancer, which takes a router out
	// after two failed checks a second apart, sends no new connections.
	balancerLag = 2200 * time.Millisecond
	// idleCheckInterval is how often idle connections are checked against the limit.
	idleCheckInterval = 500 * time.Millisecond
	// shutdownPollInterval is how often a stopping server looks for idle connections.
	shutdownPollInterval = 20 * time.Millisecond
)

// errGraceExpired means that requests were still in progress at the end of the grace
// period.
var errGraceExpired = errors.New("requests were cut off at the end of the grace period")

// Server serves callers on one address.
type Server struct {
	handler http.Handler
	// idleTimeout returns how long a connection may stay idle, 0 for no limit.
	idleTimeout  func() time.Duration
	shuttingDown atomic.Bool
	// shutdownDeadline is when requests in progress are cut off, once the server is closing.
	shutdownDeadline atomic.Pointer[time.Time]

	mu sync.Mutex
	// idleSince is when each connection became idle, zero while it is in use.
	idleSince map[*conn]time.Time
}

// New returns a server.
func New(handler http.Handler, idleTimeout func() time.Duration) *Server {
	return &Server{handler: handler, idleTimeout: idleTimeout, idleSince: map[*conn]time.Time{}}
}

// ServeHTTP serves a request; a closing server asks the caller to go elsewhere.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.shuttingDown.Load() {
		w.Header().Set("Connection", "close")
	}
	s.handler.ServeHTTP(w, r)
}

// TimeLeft returns how long requests may still take, and false while the server
// is not closing: the balancer takes some time to send new connections elsewhere.
func (s *Server) TimeLeft() (time.Duration, bool) {
	deadline := s.shutdownDeadline.Load()
	if deadline == nil {
		return 0, false
	}
	return time.Until(*deadline), true
}

// Serve serves until leaving is done, then goes on for the lag of the balancer,
// finishes the requests in progress and returns. Requests that last longer than
// grace are broken off.
func (s *Server) Serve(ctx context.Context, address string, grace time.Duration) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	return s.serve(ctx, l, grace)
}

func (s *Server) serve(ctx context.Context, l net.Listener, grace time.Duration) error {
	h := &http.Server{Handler: s, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: s.trackState}
	ended := make(chan error, 1)
	go func() { ended <- h.Serve(trackingListener{l}) }()
	idleCheck := time.NewTicker(idleCheckInterval)
	defer idleCheck.Stop()
	for {
		select {
		case err := <-ended:
			return fmt.Errorf("serve callers: %w", err)
		case <-idleCheck.C:
			if limit := s.idleTimeout(); limit > 0 {
				s.closeIdleSince(time.Now().Add(-limit))
			}
		case <-ctx.Done():
			err := s.shutdown(grace)
			return errors.Join(err, h.Close(), ignoreServerClosed(<-ended))
		}
	}
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// shutdown closes the connections between requests until none is left. The
// listener stays open, since the balancer may have no other router to send to.
func (s *Server) shutdown(grace time.Duration) error {
	deadline := time.Now().Add(grace)
	time.Sleep(min(balancerLag, grace/2))
	s.shutdownDeadline.Store(&deadline)
	s.shuttingDown.Store(true)
	for {
		now := time.Now()
		if s.closeIdleSince(now) == 0 {
			return nil
		}
		if now.After(deadline) {
			return errGraceExpired
		}
		time.Sleep(shutdownPollInterval)
	}
}

// trackState keeps the connections and when they became idle.
func (s *Server) trackState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.markIdle()
		s.idleSince[c] = time.Now()
	case http.StateNew:
		s.idleSince[c] = time.Now()
	case http.StateActive:
		s.idleSince[c] = time.Time{}
	case http.StateClosed, http.StateHijacked:
		delete(s.idleSince, c)
	}
}

// closeIdleSince closes the connections that have been idle since before, and
// returns how many are left.
func (s *Server) closeIdleSince(before time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, since := range s.idleSince {
		if !since.IsZero() && since.Before(before) && c.closeIfIdle() {
			delete(s.idleSince, c)
		}
	}
	return len(s.idleSince)
}
