package budget

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rendezvous"
)

// coldWindow is the period to which the rate of an upstream in cold start
// applies.
const coldWindow = time.Second

// coldMargin extends the window by the time that a request may spend between
// the decision and its arrival at the upstream.
const coldMargin = 100 * time.Millisecond

// ColdStart limits the requests to upstreams in cold start. It is safe for
// concurrent use.
type ColdStart struct {
	mu     sync.Mutex
	self   string
	factor float64
	slack  float64
	sent   map[string][]clock.Instant
}

// NewColdStart returns a limiter: in each second the fleet may send factor
// times the rate of an upstream, plus slack requests. self is the name of this
// router.
func NewColdStart(self string, factor, slack float64) *ColdStart {
	return &ColdStart{self: self, factor: factor, slack: slack, sent: map[string][]clock.Instant{}}
}

// Allow reports whether this router may send one more request to an upstream
// that handles rate requests per second in cold start, and counts the request
// if so. routers are the names of all live routers.
func (c *ColdStart) Allow(now clock.Instant, upstream string, rate float64, routers []string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	recent := slices.DeleteFunc(c.sent[upstream], func(t clock.Instant) bool {
		return now.Sub(t) > coldWindow+coldMargin
	})
	allowed := len(recent) < c.share(upstream, rate, routers)
	if allowed {
		recent = append(recent, now)
	}
	c.sent[upstream] = recent
	return allowed
}

// Retain drops all upstreams that are not listed.
func (c *ColdStart) Retain(upstreams []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := map[string][]clock.Instant{}
	for _, id := range upstreams {
		if sent, ok := c.sent[id]; ok {
			kept[id] = sent
		}
	}
	c.sent = kept
}

// share returns how many requests per second this router may send. If there are
// more routers than requests, the first routers in rendezvous order for the
// upstream may send one each.
func (c *ColdStart) share(upstream string, rate float64, routers []string) int {
	total := int(math.Floor(usableShare * (rate*c.factor + c.slack)))
	n := max(1, len(routers))
	if total >= n {
		return total / n
	}
	first := rendezvous.Order(rendezvous.Key(upstream), routers)
	if slices.Contains(first[:min(total, len(first))], c.self) {
		return 1
	}
	return 0
}
