package shedding

import (
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

const (
	// lateWeight is the weight of a request that cannot meet its objective any more.
	lateWeight = 0.5
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller comes
	// back. Earlier the rates have not changed, and later few callers have time left.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 450 * time.Millisecond
	// callerShare is the part of its remaining time that a caller waits at most.
	callerShare = 1.0 / 3
)

// Reasons of refusals.
const (
	// ReasonTime means that the request cannot be completed before its deadline.
	ReasonTime = "no time"
	// ReasonShare means that the request exceeds the share of its priority and
	// workspace.
	ReasonShare = "over its share"
)

// Decision is the result of Admit and the inputs that decided it.
type Decision struct {
	// Reason is empty if the request is admitted.
	Reason string
	// RetryAfter is when the caller should come back.
	RetryAfter time.Duration
	// Short reports whether capacity is short. The other fields are zero if not.
	Short bool
	// Share is the part of the requests of this priority and workspace that is admitted.
	Share float64
	// Capacity, Demand and Rejected are requests per second: the admitted rate, the
	// rate of requests and that of the rejected ones.
	Capacity, Demand, Rejected float64
	// Latency is the mean latency of completed requests.
	Latency time.Duration
	// Peers is the number of peers whose rates are included, Oldest the age of the
	// oldest of them.
	Peers  int
	Oldest time.Duration
}

// Admitted reports whether the request may be sent.
func (d Decision) Admitted() bool { return d.Reason == "" }

// Admit decides whether a request may be sent to an upstream, as the first attempt or as
// a retry, and counts it in the demand.
func (c *Controller) Admit(now clock.Instant, r Request) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(now, r.Service)
	if s == nil {
		return Decision{}
	}
	key, state := c.class(now, s, r.class())
	state.demand.add(now, 1)
	if !s.short(now) {
		return Decision{}
	}
	v := c.currentView(now, s)
	if !s.refuses(now) || s.inconclusive(now, v) {
		return Decision{}
	}
	d := Decision{
		Short: true, Share: v.shareOf(key), Capacity: v.admitted, Demand: v.totalDemand(), Rejected: v.rejected + v.broken,
		Latency: v.latency, Peers: v.peers, Oldest: v.oldest,
	}
	d.Reason = state.decide(r, d)
	if d.Admitted() {
		s.admitted++
		c.admitted++
		return d
	}
	s.refused++
	c.refused[d.Reason]++
	s.refusedAt = now
	d.RetryAfter = s.retryAfter(now, r, v)
	return d
}

// decide returns why a request is refused, or an empty string.
func (s *classState) decide(r Request, d Decision) string {
	if r.Remaining < d.Latency {
		return ReasonTime
	}
	if d.Share >= 1 {
		return ""
	}
	s.credit += admittedWeight(r, d) * d.Share
	if s.credit < 1 {
		return ReasonShare
	}
	s.credit--
	return ""
}

// retryAfter returns when a refused caller should come back: in the order of the
// refusals, at the rate at which this router sends requests, and not later than the
// caller is likely to wait.
func (s *service) retryAfter(now clock.Instant, r Request, v *view) time.Duration {
	limit := maxRetryAfter
	if r.CallerRemaining > 0 {
		limit = min(limit, time.Duration(callerShare*float64(r.CallerRemaining)))
	}
	gap := time.Second
	if own := s.ownDemand(now); own > 0 && v.totalDemand() > 0 {
		gap = time.Duration(float64(time.Second) / max(1, v.admitted*own/v.totalDemand()))
	}
	s.slot = max(now.Add(min(minRetryAfter, limit)), min(s.slot.Add(gap), now.Add(limit)))
	return s.slot.Sub(now)
}

// ownDemand returns the rate of requests at this router.
func (s *service) ownDemand(now clock.Instant) (sum float64) {
	for _, state := range s.classes {
		sum += state.demand.get(now)
	}
	return sum
}
