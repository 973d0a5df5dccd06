package budget

import "github.com/hemlockcroft/hemlockcroft/internal/host/clock"

// Left returns how many requests Allow would permit now, and how many it permits in each
// second. It counts nothing.
func (c *ColdStart) Left(now clock.Instant, upstream string, rate float64, routers []string) (left, share int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	share = c.share(upstream, rate, routers)
	left = share
	for _, t := range c.sent[upstream] {
		if now.Sub(t) <= coldWindow+coldMargin {
			left--
		}
	}
	return max(0, left), share
}
