package balance

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

const (
	// minEjection is how long an upstream is ejected after a connection
	// failure. The time doubles with each further failure, up to maxEjection,
	// so that a crashed upstream costs few requests and a restarted one is used
	// again soon.
	minEjection = 300 * time.Millisecond
	maxEjection = 2400 * time.Millisecond
	// failureWeight is the weight of the newest outcome in the moving average
	// of the failure rate.
	failureWeight = 0.2
	// failureThreshold is the failure rate above which an upstream is ejected
	// although it accepts connections: about four failures in a row.
	failureThreshold = 0.5
	// probation is how long after its ejection an upstream with a high failure rate
	// is probed only by requests that another attempt can replace.
	probation = 10 * time.Second
	// healthyThreshold is the failure rate below which successes are not
	// reported to peers.
	healthyThreshold = 0.02
	// maxOutcomeCount is the largest count in Outcomes, which is sent to peers
	// as one byte.
	maxOutcomeCount = 255
)

// Outcomes counts the outcomes of requests at one upstream since the last
// report to peers.
type Outcomes struct {
	// Upstream is the hash of the upstream's ID.
	Upstream uint64
	// OK counts responses, and Failed requests that failed after the upstream
	// accepted them.
	OK, Failed uint8
	// Unreachable counts failed connections, and requests rejected by an
	// upstream that asked for a pause with Retry-After.
	Unreachable uint8
}

// upstreamHealth is the health of one upstream.
type upstreamHealth struct {
	failureRate  float64
	ejections    int
	ejectedUntil clock.Instant
	// pausedUntil is the end of the pause that the upstream asked for.
	pausedUntil clock.Instant
	// lastSuccess is when this router last received a response.
	lastSuccess clock.Instant
	unreported  Outcomes
}

// Health ejects upstreams that fail (outlier ejection). It includes the
// outcomes that peers report: a router of a large fleet sends too few requests
// to each upstream to detect a failing one alone. It is safe for concurrent
// use.
type Health struct {
	mu        sync.Mutex
	upstreams map[uint64]*upstreamHealth
}

// NewHealth returns a Health without outcomes.
func NewHealth() *Health { return &Health{upstreams: map[uint64]*upstreamHealth{}} }

// RecordSuccess records a response of an upstream and ends its ejection.
func (h *Health) RecordSuccess(now clock.Instant, id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.getOrCreate(xxhash.Sum64String(id))
	r.unreported.OK = incrementCapped(r.unreported.OK)
	r.lastSuccess = now
	r.succeed()
	r.ejectedUntil = 0
}

// RecordUnreachable records that a connection could not be made or timed out,
// and returns for how long the upstream is ejected.
func (h *Health) RecordUnreachable(now clock.Instant, id string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.getOrCreate(xxhash.Sum64String(id))
	r.unreported.Unreachable = incrementCapped(r.unreported.Unreachable)
	return r.eject(now)
}

// RecordPause records that an upstream rejected a request and wants no further
// ones for a time. Neither responses to other requests nor a shorter pause end an
// earlier one.
func (h *Health) RecordPause(now clock.Instant, id string, pause time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.getOrCreate(xxhash.Sum64String(id))
	r.unreported.Unreachable = incrementCapped(r.unreported.Unreachable)
	r.pausedUntil = max(r.pausedUntil, now.Add(pause))
}

// PauseLeft returns how long an upstream still wants no requests, 0 if it takes
// them.
func (h *Health) PauseLeft(now clock.Instant, id string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.upstreams[xxhash.Sum64String(id)]
	if r == nil {
		return 0
	}
	return max(0, r.pausedUntil.Sub(now))
}

// RecordFailure records a request that failed after the upstream accepted it.
// It returns for how long the upstream is ejected, 0 if it stays in use.
func (h *Health) RecordFailure(now clock.Instant, id string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.getOrCreate(xxhash.Sum64String(id))
	r.unreported.Failed = incrementCapped(r.unreported.Failed)
	return r.fail(now)
}

// MergePeer adds outcomes that a peer reported. An upstream that responded to
// this router within minEjection is not ejected because a peer could not reach
// it.
func (h *Health) MergePeer(now clock.Instant, o Outcomes) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.getOrCreate(o.Upstream)
	for range o.OK {
		r.succeed()
	}
	for range o.Failed {
		r.fail(now)
	}
	if o.Unreachable > 0 && (r.lastSuccess == 0 || now.Sub(r.lastSuccess) > minEjection) {
		r.eject(now)
	}
}

// TakeOutcomes returns the outcomes since the last call and resets them. It
// omits healthy upstreams.
func (h *Health) TakeOutcomes() []Outcomes {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []Outcomes
	for key, r := range h.upstreams {
		if r.healthy() {
			r.unreported = Outcomes{}
		}
		if r.unreported != (Outcomes{}) {
			o := r.unreported
			o.Upstream = key
			list = append(list, o)
			r.unreported = Outcomes{}
		}
	}
	return list
}

// Suspect reports whether an upstream is ejected or asked for a pause.
func (h *Health) Suspect(now clock.Instant, id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.upstreams[xxhash.Sum64String(id)]
	return r != nil && now < max(r.ejectedUntil, r.pausedUntil)
}

// Risky reports whether an upstream is suspect, or was ejected for failing requests
// that it had accepted and has not succeeded since. A request that no other attempt
// can replace must not probe it: in a large fleet each router probes for itself, so
// that an upstream which fails everything would cost as many requests as it gets
// probes.
func (h *Health) Risky(now clock.Instant, id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.upstreams[xxhash.Sum64String(id)]
	if r == nil {
		return false
	}
	onProbation := r.failureRate >= failureThreshold && now < r.ejectedUntil.Add(probation)
	return onProbation || now < max(r.ejectedUntil, r.pausedUntil)
}

// Retain drops all upstreams that are not in ids, except those that asked for a
// pause: their registration may lapse and return meanwhile.
func (h *Health) Retain(now clock.Instant, ids []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	kept := map[uint64]*upstreamHealth{}
	for key, r := range h.upstreams {
		if now < r.pausedUntil {
			kept[key] = r
		}
	}
	for _, id := range ids {
		key := xxhash.Sum64String(id)
		if r := h.upstreams[key]; r != nil {
			kept[key] = r
		}
	}
	h.upstreams = kept
}

func (h *Health) getOrCreate(key uint64) *upstreamHealth {
	r := h.upstreams[key]
	if r == nil {
		r = &upstreamHealth{}
		h.upstreams[key] = r
	}
	return r
}

// healthy reports whether the upstream had only successes recently.
func (r *upstreamHealth) healthy() bool {
	return r.unreported.Failed == 0 && r.unreported.Unreachable == 0 && r.failureRate < healthyThreshold && r.ejections == 0
}

func (r *upstreamHealth) succeed() {
	r.failureRate *= 1 - failureWeight
	r.ejections = 0
}

func (r *upstreamHealth) fail(now clock.Instant) time.Duration {
	r.failureRate += failureWeight * (1 - r.failureRate)
	if r.failureRate < failureThreshold {
		return 0
	}
	return r.eject(now)
}

func (r *upstreamHealth) eject(now clock.Instant) time.Duration {
	if now < r.ejectedUntil {
		return 0
	}
	d := min(minEjection<<min(r.ejections, 8), maxEjection)
	r.ejections++
	r.ejectedUntil = now.Add(d)
	return d
}

func incrementCapped(n uint8) uint8 {
	if n == maxOutcomeCount {
		return n
	}
	return n + 1
}
