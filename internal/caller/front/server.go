package front

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// maxHeader bounds the header of a request in bytes. Configurations bound
	// it further, but the server's limit is fixed when it starts.
	maxHeader = 64 << 10
	// headerTimeout bounds the time for a header, for the same reason.
	headerTimeout = 10 * time.Second
	// balancerLag is the time after which the balancer, which takes a router out
	// after two failed checks a second apart, sends no new connections.
	balancerLag = 2200 * time.Millisecond
	// sweepInterval is how often idle connections are checked against the limit.
	sweepInterval = 500 * time.Millisecond
)

// Server serves callers on one address.
type Server struct {
	handler http.Handler
	// idleLimit returns how long a connection may stay idle, 0 for no limit.
	idleLimit func() time.Duration

	mu    sync.Mutex
	idle  map[net.Conn]time.Time
	count int
}

// New returns a server.
func New(handler http.Handler, idleLimit func() time.Duration) *Server {
	return &Server{handler: handler, idleLimit: idleLimit, idle: map[net.Conn]time.Time{}}
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}

// Serve serves until leaving is done, then goes on for the lag of the balancer,
// finishes the requests in progress and returns. Requests that last longer than
// grace are broken off.
func (s *Server) Serve(leaving context.Context, address string, grace time.Duration) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	h := &http.Server{
		Handler: s.handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeader, ConnState: s.track,
	}
	ended := make(chan error, 1)
	go func() { ended <- h.Serve(listener) }()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case err := <-ended:
			return fmt.Errorf("serve callers: %w", err)
		case <-sweep.C:
			s.closeIdle(time.Now())
		case <-leaving.Done():
			return s.stop(h, ended, grace)
		}
	}
}

// stop ends the server; ended is where its goroutine reports.
func (s *Server) stop(h *http.Server, ended <-chan error, grace time.Duration) error {
	time.Sleep(min(balancerLag, grace/2))
	ctx, cancel := context.WithTimeout(context.Background(), grace-min(balancerLag, grace/2))
	defer cancel()
	h.SetKeepAlivesEnabled(false)
	err := h.Shutdown(ctx)
	if err != nil {
		err = errors.Join(err, h.Close())
	}
	if end := <-ended; !errors.Is(end, http.ErrServerClosed) {
		err = errors.Join(err, end)
	}
	return err
}

// track keeps the connections that wait for a request.
func (s *Server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.count++
	case http.StateIdle:
		s.idle[c] = time.Now()
		return
	case http.StateClosed, http.StateHijacked:
		s.count--
	}
	delete(s.idle, c)
}

// closeIdle closes connections that are idle for longer than the limit.
func (s *Server) closeIdle(now time.Time) {
	limit := s.idleLimit()
	if limit <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, since := range s.idle {
		if now.Sub(since) > limit {
			delete(s.idle, c)
			// The caller may have closed it at the same moment.
			_ = c.Close()
		}
	}
}
