package budget

import (
	"sync"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

// bucketCount is the number of buckets in a sliding window.
const bucketCount = 20

// usableShare is the fraction of a fleet-wide limit that is used. The rest
// covers short times in which routers disagree about the number of live peers.
const usableShare = 0.85

// window counts events in a sliding window.
type window struct {
	counts [bucketCount]int
	step   int64
}

// advance moves the window to now. An earlier time leaves it as it is: requests are
// counted as of their arrival, which may be seconds ago.
func (w *window) advance(now clock.Instant, length time.Duration) {
	step := int64(now) / (int64(length) / bucketCount)
	if step <= w.step {
		return
	}
	for range min(step-w.step, bucketCount) {
		w.step++
		w.counts[w.step%bucketCount] = 0
	}
	w.step = step
}

func (w *window) add() { w.counts[w.step%bucketCount]++ }

func (w *window) sum() int {
	total := 0
	for _, n := range w.counts {
		total += n
	}
	return total
}

// serviceCounts holds the counts of one service.
type serviceCounts struct{ requests, retries window }

// Retry limits the retries of each service. It is safe for concurrent use.
type Retry struct {
	mu       sync.Mutex
	ratio    float64
	slack    float64
	window   time.Duration
	services map[string]*serviceCounts
}

// NewRetry returns a budget: in each window of the given length the fleet may
// send ratio retries per request of a service, plus slack retries.
func NewRetry(ratio, slack float64, length time.Duration) *Retry {
	return &Retry{ratio: ratio, slack: slack, window: length, services: map[string]*serviceCounts{}}
}

// CountRequest counts a caller's request to a service, which adds to its
// budget.
func (r *Retry) CountRequest(now clock.Instant, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts(now, name).requests.add()
}

// AllowRetry reports whether this router may retry a request to a service, and
// counts the retry if so. routers is the number of live routers.
func (r *Retry) AllowRetry(now clock.Instant, name string, routers int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.counts(now, name)
	allowed := usableShare * (r.ratio*float64(s.requests.sum()) + r.slack/float64(max(1, routers)))
	if float64(s.retries.sum()+1) > allowed {
		return false
	}
	s.retries.add()
	return true
}

func (r *Retry) counts(now clock.Instant, name string) *serviceCounts {
	s := r.services[name]
	if s == nil {
		s = &serviceCounts{}
		r.services[name] = s
	}
	s.requests.advance(now, r.window)
	s.retries.advance(now, r.window)
	return s
}
