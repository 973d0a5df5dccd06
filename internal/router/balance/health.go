package balance

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

const (
	// minEjection is how long an upstream is avoided after a connection
	// failure; it doubles with each further failure, up to maxEjection, so
	// that a crashed upstream costs few requests and a restarted one is soon
	// used again.
	minEjection = 300 * time.Millisecond
	maxEjection = 2400 * time.Millisecond
	// failureWeight is the weight of the newest outcome in the moving average
	// of failed requests.
	failureWeight = 0.2
	// failureThreshold is the average above which an upstream is avoided although
	// it accepts connections: about four failures in a row.
	failureThreshold = 0.5
	// maxBusy bounds the time for which an upstream that asks to be left alone
	// is avoided.
	maxBusy = time.Second
	// healthyThreshold is the average of failures below which answers are of no interest
	// to peers.
	healthyThreshold = 0.02
	// maxOutcomeCount bounds a count of Seen, which peers get as one byte.
	maxOutcomeCount = 255
)

// Outcomes counts the outcomes of requests at one upstream since they were last
// told to peers.
type Outcomes struct {
	// Upstream is the hash of the upstream's id.
	Upstream uint64
	// OK and Failed count answers and requests that were accepted and failed.
	OK, Failed uint8
	// Unreachable counts connections that could not be made, and requests that
	// were rejected by an upstream that wants to be left alone.
	Unreachable uint8
}

// upstreamHealth is what is known of one upstream.
type upstreamHealth struct {
	failureRate  float64
	ejections    int
	ejectedUntil clock.Instant
	// busyUntil is until when the upstream wants to be left alone.
	busyUntil clock.Instant
	// lastSuccess is when this router last got an answer.
	lastSuccess clock.Instant
	unreported  Outcomes
}

// Health remembers the outcomes of requests by upstream, those of peers
// included: a router of a large fleet sends too few requests to each upstream
// to notice alone that one fails. It is safe for concurrent use.
type Health struct {
	mu      sync.Mutex
	records map[uint64]*upstreamHealth
}

// NewHealth returns a memory without outcomes.
func NewHealth() *Health { return &Health{records: map[uint64]*upstreamHealth{}} }

// RecordSuccess notes an answer of an upstream.
func (h *Health) RecordSuccess(now clock.Instant, id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.record(xxhash.Sum64String(id))
	r.unreported.OK = incrementCapped(r.unreported.OK)
	r.lastSuccess = now
	r.succeed()
	r.ejectedUntil = 0
}

// RecordUnreachable notes that a connection could not be made or went silent, and
// returns for how long the upstream is avoided.
func (h *Health) RecordUnreachable(now clock.Instant, id string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.record(xxhash.Sum64String(id))
	r.unreported.Unreachable = incrementCapped(r.unreported.Unreachable)
	return r.eject(now)
}

// RecordBusy notes that an upstream rejected a request and asked to be left alone for
// a time. Its answers to other requests do not end that.
func (h *Health) RecordBusy(now clock.Instant, id string, requested time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.record(xxhash.Sum64String(id))
	r.unreported.Unreachable = incrementCapped(r.unreported.Unreachable)
	r.busyUntil = now.Add(min(requested, maxBusy))
}

// RecordFailure notes a request that the upstream accepted and failed, and returns
// for how long the upstream is avoided, 0 if it stays in use.
func (h *Health) RecordFailure(now clock.Instant, id string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.record(xxhash.Sum64String(id))
	r.unreported.Failed = incrementCapped(r.unreported.Failed)
	return r.fail(now)
}

// MergePeer notes outcomes that a peer has seen. An upstream that this router
// reached within the shortest ejection is not avoided because a peer did not.
func (h *Health) MergePeer(now clock.Instant, o Outcomes) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.record(o.Upstream)
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

// TakeOutcomes returns the outcomes since the last call, those of upstreams that only
// answer left out.
func (h *Health) TakeOutcomes() []Outcomes {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []Outcomes
	for key, r := range h.records {
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

// Suspect reports whether an upstream is to be avoided.
func (h *Health) Suspect(now clock.Instant, id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.records[xxhash.Sum64String(id)]
	return r != nil && now < max(r.ejectedUntil, r.busyUntil)
}

// Retain forgets all upstreams that are not listed.
func (h *Health) Retain(ids []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	kept := map[uint64]*upstreamHealth{}
	for _, id := range ids {
		key := xxhash.Sum64String(id)
		if r := h.records[key]; r != nil {
			kept[key] = r
		}
	}
	h.records = kept
}

func (h *Health) record(key uint64) *upstreamHealth {
	r := h.records[key]
	if r == nil {
		r = &upstreamHealth{}
		h.records[key] = r
	}
	return r
}

// healthy reports whether nothing but answers is known of the upstream.
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
