package forward

import (
	"context"
	"sync"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

const (
	// startupWindow is the time after the start of a router in which requests wait
	// for its first configuration and list of upstreams. Reading both takes 20 ms,
	// and half a second if a whole fleet starts with a long configuration.
	startupWindow = time.Second
	// maxStartupWait bounds the wait of one request.
	maxStartupWait = 500 * time.Millisecond
	// startupWaitDivisor is the part of a caller's patience that may be spent waiting, so
	// that a refusal leaves time to try another router.
	startupWaitDivisor = 3
)

// StartupGate is the beginning of a router's life, in which it knows neither routes
// nor upstreams. Refusing what arrives then would send callers away from a
// router that can serve them some milliseconds later, to others that may just
// have started as well.
type StartupGate struct {
	startedAt clock.Instant
	once      sync.Once
	ready     chan struct{}
}

// NewStartupGate returns the beginning of a router that starts now.
func NewStartupGate(now clock.Instant) *StartupGate {
	return &StartupGate{startedAt: now, ready: make(chan struct{})}
}

// Open notes that the router knows what it needs to serve requests.
func (s *StartupGate) Open() { s.once.Do(func() { close(s.ready) }) }

// wait returns once the router knows what it needs, or when the request must
// not wait any longer.
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

// startupWait returns how long a request may wait for a router that started some
// time ago. A patience of 0 is none that the caller stated.
func startupWait(age, timeout time.Duration) time.Duration {
	limit := min(maxStartupWait, startupWindow-age)
	if timeout > 0 {
		limit = min(limit, timeout/startupWaitDivisor)
	}
	return max(0, limit)
}
