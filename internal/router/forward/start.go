package forward

import (
	"context"
	"sync"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

const (
	// startupWindow is the time after the start of a router in which requests
	// wait for its first configuration and list of upstreams. Reading both
	// takes 20 ms, or half a second if a whole fleet starts with a long
	// configuration.
	startupWindow = time.Second
	// maxStartupWait bounds the wait of one request.
	maxStartupWait = 500 * time.Millisecond
	// startupWaitDivisor limits the wait to a third of the caller's timeout, so
	// that the caller has time to try another router after a refusal.
	startupWaitDivisor = 3
)

// StartupGate holds requests back while a starting router has neither routes
// nor upstreams. Refusing them would send callers away from a router that can
// serve them some milliseconds later, to others that may have just started as
// well.
type StartupGate struct {
	startedAt clock.Instant
	once      sync.Once
	ready     chan struct{}
}

// NewStartupGate returns a closed gate for a router that starts now.
func NewStartupGate(now clock.Instant) *StartupGate {
	return &StartupGate{startedAt: now, ready: make(chan struct{})}
}

// Open lets requests pass, because the router can serve them now. It may be
// called more than once.
func (s *StartupGate) Open() { s.once.Do(func() { close(s.ready) }) }

// wait returns once the gate is open, or when the request must not wait any
// longer.
func (s *StartupGate) wait(ctx context.Context, now clock.Instant, timeout time.Duration) {
	select {
	case <-s.ready:
		return
	default:
	}
	limit := startupWait(now.Sub(s.startedAt), timeout)
	if limit <= 0 {
		return
	}
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-s.ready:
	case <-t.C:
	case <-ctx.Done():
	}
}

// startupWait returns how long a request may wait for a router that started age
// ago. A timeout of 0 means that the caller stated none.
func startupWait(age, timeout time.Duration) time.Duration {
	limit := min(maxStartupWait, startupWindow-age)
	if timeout > 0 {
		limit = min(limit, timeout/startupWaitDivisor)
	}
	return max(0, limit)
}
