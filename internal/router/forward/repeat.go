package forward

import (
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/route"
)

const (
	// staleForOnce is the longest idle time of a connection that carries a
	// request which may run once only. If the upstream closed it meanwhile, the
	// outcome would be unknown.
	staleForOnce = 3 * time.Second
	// staleForRepeatable bounds the idle time for requests that are simply sent
	// again.
	staleForRepeatable = time.Minute
	// objectives is how many objectives an upstream may take before another is
	// tried: an answer that late is on time nowhere.
	objectives = 2
	// waitShare is the part of the time left that an upstream gets at least, so
	// that one that is merely slow is not given up.
	waitShare = 1.0 / 3
	// gaps is how many of the longest pauses that are on time may pass between
	// two events.
	gaps = 4
)

// comeBack returns when a caller that an upstream rejected should come back. One
// that belongs to an engine can be served by another at once. Other requests are
// spread evenly, so that the other upstreams are about as full: their queues must
// drain first, and callers come back a few times only.
func comeBack(affine bool) time.Duration {
	if affine {
		return retrySoon
	}
	return retryLater
}

// freshness returns the longest idle time of a connection that may carry a
// request of the route.
func freshness(r *route.Route) time.Duration {
	if r.MayRepeat() {
		return staleForRepeatable
	}
	return staleForOnce
}

// patience returns how long an upstream may send nothing, given what is left of
// the request's time and the sendings so far. The last try gets all that is
// left, and so does a request that may not be repeated: nobody is better off if
// it is given up early.
func patience(r *route.Route, left time.Duration, sent int, begun bool) time.Duration {
	switch {
	case !r.MayRepeat() || sent >= r.MaxAttempts():
		return left
	case begun && r.EventGap() > 0:
		return min(left, gaps*r.EventGap())
	}
	wait := max(objectives*r.Objective(), time.Duration(waitShare*float64(left)))
	return min(left, wait)
}

// patience returns how long the present attempt may bring nothing.
func (j *job) patience() time.Duration {
	sent := j.sent
	if !j.begun {
		// The present attempt is counted once its answer begins.
		sent++
	}
	return max(0, patience(j.route, j.remaining(), sent, j.begun))
}
