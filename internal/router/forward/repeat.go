package forward

import (
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/route"
)

const (
	// maxIdleAtMostOnce is the longest idle time of a connection that carries
	// an at-most-once request. If the upstream had closed the connection
	// meanwhile, the outcome of the request would be unknown.
	maxIdleAtMostOnce = 3 * time.Second
	// maxIdleRetryable is the longest idle time of a connection that carries a
	// retryable request, which is simply sent again if the connection was
	// closed.
	maxIdleRetryable = time.Minute
	// objectiveFactor is the number of latency objectives after which another
	// upstream is tried. A response that late misses the objective anyway.
	objectiveFactor = 2
	// minWaitShare is the share of the remaining time that an upstream gets at
	// least, so that a slow one is not abandoned too early.
	minWaitShare = 1.0 / 3
	// eventGapFactor is the number of event gap objectives that may pass
	// between two events.
	eventGapFactor = 4
)

// rejectionRetryAfter returns the Retry-After time for a request that an
// upstream rejected. An affine request can be served by another engine at once.
// Other requests are distributed evenly, so the other upstreams are about as
// full: their queues must drain first, since callers retry only a few times.
func rejectionRetryAfter(affine bool) time.Duration {
	if affine {
		return shortRetryAfter
	}
	return longRetryAfter
}

// maxConnectionIdle returns the longest idle time of a connection that may
// carry a request of the route.
func maxConnectionIdle(r *route.Route) time.Duration {
	if r.Retryable() {
		return maxIdleRetryable
	}
	return maxIdleAtMostOnce
}

// stallTimeout returns how long an upstream may send nothing, given the time
// remaining for the request and the number of attempts sent so far. The last
// attempt gets all the remaining time, and so does a request that must not be
// retried or whose response was sent in part, since giving up early helps nobody.
func stallTimeout(r *route.Route, remaining time.Duration, sent int, started bool) time.Duration {
	switch {
	case !r.Retryable() || sent >= r.MaxAttempts() || started && !r.Resumable():
		return remaining
	case started && r.EventGap() > 0:
		return min(remaining, eventGapFactor*r.EventGap())
	}
	limit := max(objectiveFactor*r.Objective(), time.Duration(minWaitShare*float64(remaining)))
	return min(remaining, limit)
}

// stallTimeout returns how long the upstream of the current attempt may send
// nothing.
func (j *job) stallTimeout() time.Duration {
	sent := j.attemptsSent
	if !j.responseStarted {
		// The current attempt is counted in attemptsSent only when its response
		// begins.
		sent++
	}
	return max(0, stallTimeout(j.route, j.remaining(), sent, j.responseStarted))
}
