package balance

import (
	"sync"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

const (
	// firstEjection is how long an upstream is avoided after a connection
	// failure; it doubles with each further failure, up to lastEjection, so
	// that a crashed upstream costs few requests and a restarted one is soon
	// used again.
	firstEjection = 300 * time.Millisecond
	lastEjection  = 2400 * time.Millisecond
	// failureWeight is the weight of the newest outcome in the moving average
	// of failed requests.
	failureWeight = 0.2
	// failureLimit is the average above which an upstream is avoided although
	// it accepts connections: about four failures in a row.
	failureLimit = 0.5
)

// record is what was seen of one upstream.
type record struct {
	failures  float64
	ejections int
	until     clock.Instant
}

// Health remembers the outcomes of requests by upstream. It is safe for
// concurrent use.
type Health struct {
	mu      sync.Mutex
	records map[string]*record
}

// NewHealth returns a memory without outcomes.
func NewHealth() *Health { return &Health{records: map[string]*record{}} }

// OK notes an answer of an upstream.
func (h *Health) OK(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := h.records[id]; r != nil {
		r.failures *= 1 - failureWeight
		r.ejections = 0
		r.until = 0
	}
}

// Unreachable notes that a connection could not be made or went silent, and
// returns for how long the upstream is avoided.
func (h *Health) Unreachable(now clock.Instant, id string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.record(id).eject(now)
}

// Failed notes a request that the upstream accepted and failed, and returns
// for how long the upstream is avoided, 0 if it stays in use.
func (h *Health) Failed(now clock.Instant, id string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.record(id)
	r.failures += failureWeight * (1 - r.failures)
	if r.failures < failureLimit {
		return 0
	}
	return r.eject(now)
}

// Suspect reports whether an upstream is to be avoided.
func (h *Health) Suspect(now clock.Instant, id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.records[id]
	return r != nil && now < r.until
}

// Keep forgets all upstreams that are not listed.
func (h *Health) Keep(ids []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	kept := map[string]*record{}
	for _, id := range ids {
		if r := h.records[id]; r != nil {
			kept[id] = r
		}
	}
	h.records = kept
}

func (h *Health) record(id string) *record {
	r := h.records[id]
	if r == nil {
		r = &record{}
		h.records[id] = r
	}
	return r
}

func (r *record) eject(now clock.Instant) time.Duration {
	if now < r.until {
		return 0
	}
	d := min(firstEjection<<min(r.ejections, 8), lastEjection)
	r.ejections++
	r.until = now.Add(d)
	return d
}
