package balance

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

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
	// longestBusy bounds the time for which an upstream that asks to be left alone
	// is avoided.
	longestBusy = time.Second
	// soundLimit is the average of failures below which answers are of no interest
	// to peers.
	soundLimit = 0.02
	// maxCount bounds a count of Seen, which peers get as one byte.
	maxCount = 255
)

// Seen counts the outcomes of requests at one upstream since they were last
// told to peers.
type Seen struct {
	// Upstream is the hash of the upstream's id.
	Upstream uint64
	// OK and Failed count answers and requests that were accepted and failed.
	OK, Failed uint8
	// Unreachable counts connections that could not be made, and requests that
	// were rejected by an upstream that wants to be left alone.
	Unreachable uint8
}

// record is what is known of one upstream.
type record struct {
	failures  float64
	ejections int
	until     clock.Instant
	// busy is until when the upstream wants to be left alone.
	busy clock.Instant
	// answered is when this router last got an answer.
	answered clock.Instant
	seen     Seen
}

// Health remembers the outcomes of requests by upstream, those of peers
// included: a router of a large fleet sends too few requests to each upstream
// to notice alone that one fails. It is safe for concurrent use.
type Health struct {
	mu      sync.Mutex
	records map[uint64]*record
}

// NewHealth returns a memory without outcomes.
func NewHealth() *Health { return &Health{records: map[uint64]*record{}} }

// OK notes an answer of an upstream.
func (h *Health) OK(now clock.Instant, id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.record(xxhash.Sum64String(id))
	r.seen.OK = count(r.seen.OK)
	r.answered = now
	r.succeed()
	r.until = 0
}

// Unreachable notes that a connection could not be made or went silent, and
// returns for how long the upstream is avoided.
func (h *Health) Unreachable(now clock.Instant, id string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.record(xxhash.Sum64String(id))
	r.seen.Unreachable = count(r.seen.Unreachable)
	return r.eject(now)
}

// Busy notes that an upstream rejected a request and asked to be left alone for
// a time. Its answers to other requests do not end that.
func (h *Health) Busy(now clock.Instant, id string, wish time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.record(xxhash.Sum64String(id))
	r.seen.Unreachable = count(r.seen.Unreachable)
	r.busy = now.Add(min(wish, longestBusy))
}

// Failed notes a request that the upstream accepted and failed, and returns
// for how long the upstream is avoided, 0 if it stays in use.
func (h *Health) Failed(now clock.Instant, id string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.record(xxhash.Sum64String(id))
	r.seen.Failed = count(r.seen.Failed)
	return r.fail(now)
}

// Told notes outcomes that a peer has seen. An upstream that this router
// reached within the shortest ejection is not avoided because a peer did not.
func (h *Health) Told(now clock.Instant, s Seen) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.record(s.Upstream)
	for range s.OK {
		r.succeed()
	}
	for range s.Failed {
		r.fail(now)
	}
	if s.Unreachable > 0 && (r.answered == 0 || now.Sub(r.answered) > firstEjection) {
		r.eject(now)
	}
}

// News returns the outcomes since the last call, those of upstreams that only
// answer left out.
func (h *Health) News() []Seen {
	h.mu.Lock()
	defer h.mu.Unlock()
	var news []Seen
	for key, r := range h.records {
		if r.sound() {
			r.seen = Seen{}
		}
		if r.seen != (Seen{}) {
			s := r.seen
			s.Upstream = key
			news = append(news, s)
			r.seen = Seen{}
		}
	}
	return news
}

// Suspect reports whether an upstream is to be avoided.
func (h *Health) Suspect(now clock.Instant, id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.records[xxhash.Sum64String(id)]
	return r != nil && now < max(r.until, r.busy)
}

// Keep forgets all upstreams that are not listed.
func (h *Health) Keep(ids []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	kept := map[uint64]*record{}
	for _, id := range ids {
		key := xxhash.Sum64String(id)
		if r := h.records[key]; r != nil {
			kept[key] = r
		}
	}
	h.records = kept
}

func (h *Health) record(key uint64) *record {
	r := h.records[key]
	if r == nil {
		r = &record{}
		h.records[key] = r
	}
	return r
}

// sound reports whether nothing but answers is known of the upstream.
func (r *record) sound() bool {
	return r.seen.Failed == 0 && r.seen.Unreachable == 0 && r.failures < soundLimit && r.ejections == 0
}

func (r *record) succeed() {
	r.failures *= 1 - failureWeight
	r.ejections = 0
}

func (r *record) fail(now clock.Instant) time.Duration {
	r.failures += failureWeight * (1 - r.failures)
	if r.failures < failureLimit {
		return 0
	}
	return r.eject(now)
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

func count(n uint8) uint8 {
	if n == maxCount {
		return n
	}
	return n + 1
}
