package etcd

import (
	"context"
	"sync"
	"time"
)

// rateLimiter is a token bucket that limits the rate of calls; a nil rateLimiter
// limits nothing.
type rateLimiter struct {
	rate    float64       // calls/s
	burst   float64       // calls
	maxWait time.Duration // longest wait of a call; with 0, calls fail at once

	mu         sync.Mutex
	tokens     float64 // negative while calls wait
	lastRefill time.Time
}

// newRateLimiter returns a limiter with a burst of one second's calls, at least
// one; a rate of 0 means no limit.
func newRateLimiter(rate float64, maxWait time.Duration) *rateLimiter {
	if rate <= 0 {
		return nil
	}
	burst := max(rate, 1)
	return &rateLimiter{rate: rate, burst: burst, maxWait: maxWait, tokens: burst}
}

// reserve takes a token and returns how long the call must wait for it. If that
// is longer than maxWait, it takes no token and returns false, unless force is
// set.
func (b *rateLimiter) reserve(now time.Time, force bool) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.lastRefill.IsZero() {
		b.tokens = min(b.burst, b.tokens+max(0, now.Sub(b.lastRefill).Seconds())*b.rate)
	}
	b.lastRefill = now
	wait := time.Duration(max(0, 1-b.tokens) / b.rate * float64(time.Second))
	if wait > b.maxWait && !force {
		return wait, false
	}
	b.tokens--
	return wait, true
}

// refund returns the token of a call that was not sent.
func (b *rateLimiter) refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens++
}

// wait waits for a token and fails with ErrRateLimited if it would wait longer
// than maxWait.
func (b *rateLimiter) wait(ctx context.Context) error {
	if b == nil {
		return nil
	}
	wait, ok := b.reserve(time.Now(), false)
	if !ok {
		return ErrRateLimited
	}
	if wait == 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		b.refund()
		return ctx.Err()
	}
}

// takeToken takes a token without waiting; later calls wait longer
// instead.
func (b *rateLimiter) takeToken() {
	if b != nil {
		b.reserve(time.Now(), true)
	}
}
