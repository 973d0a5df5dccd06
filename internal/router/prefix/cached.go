package prefix

import "github.com/hemlockcroft/hemlockcroft/internal/host/clock"

// CachedAt returns, for each of the engines, how many of the prefixes it has cached as
// far as is known. prefixes must be in ascending length; an engine that has one of them
// has the shorter ones as well.
func (h *Index) CachedAt(now clock.Instant, prefixes []Hash, engines []EngineID) []int {
	h.mu.Lock()
	defer h.mu.Unlock()
	cached := make([]int, len(engines))
	for i, p := range prefixes {
		for _, o := range h.holders[p] {
			if now.Sub(o.lastUsed) > h.ttl {
				continue
			}
			for k, engine := range engines {
				if engine == o.engine {
					cached[k] = i + 1
				}
			}
		}
	}
	return cached
}
