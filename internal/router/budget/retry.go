package budget

import (
	"sync"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

// buckets is the number of steps in which a window slides.
const buckets = 20

// spare is the share of the allowance that is used; the rest covers routers
// that count their live peers differently for a moment.
const spare = 0.85

// window counts events of a sliding window.
type window struct {
	counts [buckets]int
	step   int64
}

func (w *window) slide(now clock.Instant, length time.Duration) {
	step := int64(now) / (int64(length) / buckets)
	for range min(step-w.step, buckets) {
		w.step++
		w.counts[w.step%buckets] = 0
	}
	w.step = step
}

func (w *window) add() { w.counts[w.step%buckets]++ }

func (w *window) sum() int {
	total := 0
	for _, n := range w.counts {
		total += n
	}
	return total
}

// service is the counts of one service.
type service struct{ requests, repeats window }

// Retry limits the repeated requests to each service. Its methods are safe for
// concurrent use.
type Retry struct {
	mu       sync.Mutex
	ratio    float64
	slack    float64
	length   time.Duration
	services map[string]*service
}

// NewRetry returns a budget: in each window of the given length the fleet may
// repeat ratio times the requests for a service, and slack more.
func NewRetry(ratio, slack float64, length time.Duration) *Retry {
	return &Retry{ratio: ratio, slack: slack, length: length, services: map[string]*service{}}
}

// Request counts a request of a caller for a service.
func (r *Retry) Request(now clock.Instant, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.at(now, name).requests.add()
}

// Repeat reports whether one more request to a service may be repeated by this
// router, and counts it if so. routers is the number of live routers.
func (r *Retry) Repeat(now clock.Instant, name string, routers int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.at(now, name)
	allowed := spare * (r.ratio*float64(s.requests.sum()) + r.slack/float64(max(1, routers)))
	if float64(s.repeats.sum()+1) > allowed {
		return false
	}
	s.repeats.add()
	return true
}

func (r *Retry) at(now clock.Instant, name string) *service {
	s := r.services[name]
	if s == nil {
		s = &service{}
		r.services[name] = s
	}
	s.requests.slide(now, r.length)
	s.repeats.slide(now, r.length)
	return s
}
