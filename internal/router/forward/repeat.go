package forward

import (
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/route"
)

const (
	// maxIdleAtMostOnce is the longest idle time of a connection that carries a
	// request which may run once only. If the upstream closed it meanwhile, the
	// outcome would be unknown.
	maxIdleAtMostOnce = 3 * time.Second
	// maxIdleRetryable bounds the idle time for requests that are simply sent
	// again.
	maxIdleRetryable = time.Minute
	// objectiveFactor is how many objectives an upstream may take before another is
	// tried: an answer that late is on time nowhere.
	objectiveFactor = 2
	// minWaitShare is the part of the time left that an upstream gets at least, so
	// that one that is merely slow is not given up.
	minWaitShare = 1.0 / 3
	// eventGapFactor is how many of the longest pauses that are on time may pass between
	// two events.
	eventGapFactor = 4
)

// rejectionRetryAfter returns when a caller that an upstream rejected should come back. One
// that belongs to an engine can be served by another at once. Other requests are
// spread evenly, so that the other upstreams are about as full: their queues must
// drain first, and callers come back a few times only.
func rejectionRetryAfter(affine bool) time.Duration {
	if affine {
		return shortRetryAfter
	}
	return longRetryAfter
}

// maxConnectionIdle returns the longest idle time of a connection that may carry a
// request of the route.
func maxConnectionIdle(r *route.Route) time.Duration {
	if r.Retryable() {
		return maxIdleRetryable
	}
	return maxIdleAtMostOnce
}

// stallTimeout returns how long an upstream may send nothing, given what is left of
// the request's time and the sendings so far. The last try gets all that is
// left, and so does a request that may not be repeated: nobody is better off if
// it is given up early.
func stallTimeout(r *route.Route, remaining time.Duration, sent int, started bool) time.Duration {
	switch {
	case !r.Retryable() || sent >= r.MaxAttempts():
		return remaining
	case started && r.EventGap() > 0:
		return min(remaining, eventGapFactor*r.EventGap())
	}
	limit := max(objectiveFactor*r.Objective(), time.Duration(minWaitShare*float64(remaining)))
	return min(remaining, limit)
}

// stallTimeout returns how long the present attempt may bring nothing.
func (j *job) stallTimeout() time.Duration {
	sent := j.attemptsSent
	if !j.responseStarted {
		// The present attempt is counted once its answer begins.
		sent++
	}
	return max(0, stallTimeout(j.route, j.remaining(), sent, j.responseStarted))
}
