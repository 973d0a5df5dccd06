package httpserver

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
	// maxHeaderBytes limits the header of a request regardless of the
	// configuration, to protect the host's memory.
	maxHeaderBytes = 1 << 20
	// readHeaderTimeout limits the time to read a header. It is longer than
	// configurations usually allow, since it cannot change while the server runs.
	readHeaderTimeout = 10 * time.Second
	// balancerLag is how long the load balancer may keep sending new connections
	// to a router that is no longer ready. It removes a router after two failed
	// readiness checks, which are one second apart.
	balancerLag = 2200 * time.Millisecond
	// firstRequestGrace is how long a new connection is kept open without a request,
	// since its first one may be under way or unread.
	firstRequestGrace = 300 * time.Millisecond
	// idleCheckInterval is how often connections are checked for the idle timeout.
	idleCheckInterval = 500 * time.Millisecond
	// shutdownPollInterval is how often idle connections are closed during shutdown.
	shutdownPollInterval = 20 * time.Millisecond
)

// errGraceExpired means that requests were still in progress at the end of the
// grace period.
var errGraceExpired = errors.New("requests aborted at the end of the grace period")

// Server is an HTTP server for callers with an idle timeout that may change and a
// shutdown that aborts no request within the grace period.
type Server struct {
	handler http.Handler
	gate    *Gate
	// idleTimeout returns how long a connection may stay idle, 0 for no limit.
	idleTimeout  func() time.Duration
	shuttingDown atomic.Bool
	// shutdownDeadline is when requests in progress are aborted, nil before
	// shutdown is requested.
	shutdownDeadline atomic.Pointer[time.Time]

	mu sync.Mutex
	// idleSince holds the time at which each open connection became idle, for a new
	// one after firstRequestGrace, or the zero time while a request is in progress.
	idleSince map[*conn]time.Time
}

// New returns a server that passes requests to handler. It reads idleTimeout at
// each check, 0 meaning no timeout. gate limits what callers hold; nil sets no limit.
func New(handler http.Handler, idleTimeout func() time.Duration, gate *Gate) *Server {
	return &Server{handler: handler, gate: gate, idleTimeout: idleTimeout, idleSince: map[*conn]time.Time{}}
}

// ServeHTTP passes a request to the handler. During shutdown it also closes the
// connection after the response, so that the caller connects to another router.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.shuttingDown.Load() {
		w.Header().Set("Connection", "close")
	}
	s.handler.ServeHTTP(w, r)
}

// ClosingConnections reports whether connections are being closed. That starts some
// time after shutdown is requested, since the load balancer keeps sending new
// connections at first.
func (s *Server) ClosingConnections() bool { return s.shuttingDown.Load() }

// ShutdownTimeLeft returns the time until requests in progress are aborted, and
// false unless shutdown was requested.
func (s *Server) ShutdownTimeLeft() (time.Duration, bool) {
	deadline := s.shutdownDeadline.Load()
	if deadline == nil {
		return 0, false
	}
	return time.Until(*deadline), true
}

// Serve accepts connections on address until ctx is done. It then serves on for
// balancerLag, but at most half of grace, closes each connection once it is idle,
// and returns when none is left. Requests that take longer than grace are aborted,
// which is an error.
func (s *Server) Serve(ctx context.Context, address string, grace time.Duration) error {
	l, err := s.gate.Listen(ctx, "tcp4", address)
	if err != nil {
		return err
	}
	return s.serve(ctx, l, grace)
}

func (s *Server) serve(ctx context.Context, l net.Listener, grace time.Duration) error {
	h := &http.Server{Handler: s, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: s.trackState}
	if s.gate != nil {
		s.gate.Attach(h)
		// The limits also apply during the shutdown.
		gateCtx, stopGate := context.WithCancel(context.WithoutCancel(ctx))
		gateEnded := make(chan error, 1)
		go func() { gateEnded <- s.gate.Run(gateCtx) }()
		defer func() {
			stopGate()
			<-gateEnded
		}()
	}
	ended := make(chan error, 1)
	go func() { ended <- h.Serve(l) }()
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
			err := s.shutdown(l, grace)
			return errors.Join(err, h.Close(), ignoreServerClosed(<-ended))
		}
	}
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	if errors.Is(err, net.ErrClosed) {
		// The listener was closed before the server.
		return nil
	}
	return err
}

// shutdown closes connections as they become idle until none is left. The
// listener stays open until firstRequestGrace before the end, since the load
// balancer may have no other router to use.
func (s *Server) shutdown(l net.Listener, grace time.Duration) error {
	deadline := time.Now().Add(grace)
	s.shutdownDeadline.Store(&deadline)
	time.Sleep(min(balancerLag, grace/2))
	s.shuttingDown.Store(true)
	// Connections that arrive later are refused instead of being accepted and
	// aborted.
	lastAccept := time.AfterFunc(time.Until(deadline)-firstRequestGrace, func() { _ = l.Close() })
	defer lastAccept.Stop()
	for {
		now := time.Now()
		if s.closeIdleSince(now) == 0 {
			return nil
		}
		if now.After(deadline) {
			if s.closeIdleSince(now.Add(firstRequestGrace)) == 0 {
				return nil
			}
			return errGraceExpired
		}
		time.Sleep(shutdownPollInterval)
	}
}

// trackState records the open connections and when each became idle.
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
		s.idleSince[c] = time.Now().Add(firstRequestGrace)
	case http.StateActive:
		s.idleSince[c] = time.Time{}
	case http.StateClosed, http.StateHijacked:
		delete(s.idleSince, c)
	}
}

// closeIdleSince closes the connections that became idle before a time, and
// returns how many connections remain.
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
