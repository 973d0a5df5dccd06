package forward

import (
	"context"
	"sync"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

const (
	// startWindow is the time after the start of a router in which requests wait
	// for its first configuration and list of upstreams. Reading both takes 20 ms,
	// and half a second if a whole fleet starts with a long configuration.
	startWindow = time.Second
	// startLimit bounds the wait of one request.
	startLimit = 500 * time.Millisecond
	// startShare is the part of a caller's patience that may be spent waiting, so
	// that a refusal leaves time to try another router.
	startShare = 3
)

// Start is the beginning of a router's life, in which it knows neither routes
// nor upstreams. Refusing what arrives then would send callers away from a
// router that can serve them some milliseconds later, to others that may just
// have started as well.
type Start struct {
	began clock.Instant
	once  sync.Once
	known chan struct{}
}

// NewStart returns the beginning of a router that starts now.
func NewStart(now clock.Instant) *Start {
	return &Start{began: now, known: make(chan struct{})}
}

// Complete notes that the router knows what it needs to serve requests.
func (s *Start) Complete() { s.once.Do(func() { close(s.known) }) }

// await returns once the router knows what it needs, or when the request must
// not wait any longer.
func (s *Start) await(ctx context.Context, now clock.Instant, patience time.Duration) {
	select {
	case <-s.known:
		return
	default:
	}
	limit := startWait(now.Sub(s.began), patience)
	if limit <= 0 {
		return
	}
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-s.known:
	case <-t.C:
	case <-ctx.Done():
	}
}

// startWait returns how long a request may wait for a router that started some
// time ago. A patience of 0 is none that the caller stated.
func startWait(age, patience time.Duration) time.Duration {
	wait := min(startLimit, startWindow-age)
	if patience > 0 {
		wait = min(wait, patience/startShare)
	}
	return max(0, wait)
}
