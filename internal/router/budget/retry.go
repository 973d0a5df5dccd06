package budget

import (
	"sync"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

// bucketCount is the number of steps in which a window slides.
const bucketCount = 20

// usableShare is the share of the allowance that is used; the rest covers routers
// that count their live peers differently for a moment.
const usableShare = 0.85

// window counts events of a sliding window.
type window struct {
	counts [bucketCount]int
	step   int64
}

func (w *window) advance(now clock.Instant, length time.Duration) {
	step := int64(now) / (int64(length) / bucketCount)
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

// serviceCounts is the counts of one service.
type serviceCounts struct{ requests, retries window }

// Retry limits the repeated requests to each service. Its methods are safe for
// concurrent use.
type Retry struct {
	mu       sync.Mutex
	ratio    float64
	slack    float64
	window   time.Duration
	services map[string]*serviceCounts
}

// NewRetry returns a budget: in each window of the given length the fleet may
// repeat ratio times the requests for a service, and slack more.
func NewRetry(ratio, slack float64, length time.Duration) *Retry {
	return &Retry{ratio: ratio, slack: slack, window: length, services: map[string]*serviceCounts{}}
}

// CountRequest counts a request of a caller for a service.
func (r *Retry) CountRequest(now clock.Instant, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts(now, name).requests.add()
}

// AllowRetry reports whether one more request to a service may be repeated by this
// router, and counts it if so. routers is the number of live routers.
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
