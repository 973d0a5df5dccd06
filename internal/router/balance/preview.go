package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

// EjectionLeft returns how long an upstream remains ejected, 0 if it is not.
func (h *Health) EjectionLeft(now clock.Instant, id string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.upstreams[xxhash.Sum64String(id)]
	if r == nil {
		return 0
	}
	return max(0, r.ejectedUntil.Sub(now))
}

const (
	// sharesDraws is the number of draws from which Shares estimates. It makes the
	// standard error 0.016 at most.
	sharesDraws = 1000
	// sharesWork limits the draws times the candidates, since each draw looks at all of
	// them and a service may have thousands. minSharesDraws are made in any case.
	sharesWork     = 32000
	minSharesDraws = 20
)

// Shares returns the share of requests that PickByTime sends to each candidate, and the
// part of all requests that are explorations, both estimated from a fixed series of draws.
// The candidates marked in exhausted are excluded once they are picked, as those whose
// cold start allows no more requests.
func Shares(candidates []Candidate, exhausted []bool) (shares []float64, explored float64) {
	shares = make([]float64, len(candidates))
	draw := rand.New(rand.NewPCG(1, 2))
	draws := max(minSharesDraws, min(sharesDraws, sharesWork/max(1, len(candidates))))
	one := 1 / float64(draws)
	for range draws {
		random, list := draw.Uint64(), candidates
		c := PickByTime(random, list)
		for c.Index >= 0 && exhausted[c.Index] {
			if &list[0] == &candidates[0] {
				list = slices.Clone(candidates)
			}
			list[c.Index].Excluded = true
			c = PickByTime(random, list)
		}
		if c.Index < 0 {
			break
		}
		shares[c.Index] += one
		if c.Reason == ReasonExplore {
			explored += one
		}
	}
	return shares, explored
}
