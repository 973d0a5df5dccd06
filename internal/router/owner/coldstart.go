package owner

import (
	"slices"

	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

const (
	// latencyWindowSize is the number of samples in the window of the running
	// median.
	latencyWindowSize = 32
	// minLatencySamples is the number of samples needed before a latency is
	// compared with the median.
	minLatencySamples = 8
	// baseTokens is added to the uncached prompt tokens by which the time to
	// first token is divided, so that a cached prompt is comparable to a long
	// uncached one.
	baseTokens = 256
	// cacheLossDivisor tells a lost cache from eviction: the cache counts as lost
	// if it is smaller than its last reported size divided by this number.
	cacheLossDivisor = 4
	// noEpoch is the epoch of a grant whose start was not seen.
	noEpoch = ^uint32(0)
)

// coldStart is the cold-start limit of an upstream and the signals that change
// it.
type coldStart struct {
	limit int
	epoch uint32

	bootID         string
	previousBootID string
	reportedCold   bool
	cacheTokens    int

	ttft         latencyWindow // time to first token
	ttftPerToken latencyWindow // time to first token for each uncached prompt token
	sampleCount  int
}

// reset returns to the cold limit. Completions of earlier grants no longer
// raise it.
func (c *coldStart) reset(coldLimit int) {
	c.limit = coldLimit
	c.epoch++
}

// raiseLimit raises the limit by one, unless the upstream reports that it is
// cold.
func (c *coldStart) raiseLimit(maxLoad int) {
	if !c.reportedCold {
		c.limit = min(c.limit+1, maxLoad)
	}
}

// observeBootID records a boot ID and reports whether the upstream has
// restarted. A late message with the previous boot ID is not a restart. A
// restarted upstream counts as cold until a load report with the new boot ID says
// otherwise: completions before the first such report raised the limit of an
// engine that was still cold.
func (c *coldStart) observeBootID(bootID string) bool {
	if bootID == "" || bootID == c.bootID || bootID == c.previousBootID {
		return false
	}
	first := c.bootID == ""
	c.previousBootID, c.bootID = c.bootID, bootID
	if !first {
		c.reportedCold = true
	}
	return !first
}

// observeReport records a load report and reports whether it shows a cold start
// or the loss of most of the cache.
func (c *coldStart) observeReport(r LoadReport) bool {
	turnedCold := r.State == stateCold && !c.reportedCold
	lost := r.CacheTokens < c.cacheTokens/cacheLossDivisor
	if c.reportedCold && r.State != stateCold {
		// Requests granted while the upstream reported that it was cold may
		// have started before another cold start, so their completions must not
		// raise the limit.
		c.epoch++
	}
	c.reportedCold = r.State == stateCold
	c.cacheTokens = r.CacheTokens
	return turnedCold || lost
}

// latencyWindow is a ring buffer of latency samples.
type latencyWindow [latencyWindowSize]float32

// exceedsMedian reports whether sample is more than factor times the median of
// the first n samples.
func (l latencyWindow) exceedsMedian(factor float64, n int, sample float32) bool {
	slices.Sort(l[:n])
	return float64(sample) > factor*float64(l[n/2])
}

// observeLatency records a time to first token and reports whether it is more
// than factor times the running median, both as measured and for each uncached
// token. A long uncached prompt among cached ones exceeds only the first, a
// short cached prompt among long ones only the second.
func (c *coldStart) observeLatency(factor float64, r *rpc.Release) bool {
	if r.GetFirstTokenMs() == 0 {
		return false
	}
	uncached := max(int(r.GetPromptTokens())-int(r.GetCachedTokens()), 0)
	ttft := float32(r.GetFirstTokenMs())
	perToken := ttft / float32(uncached+baseTokens)
	n := min(c.sampleCount, latencyWindowSize)
	slow := n >= minLatencySamples && c.ttft.exceedsMedian(factor, n, ttft) && c.ttftPerToken.exceedsMedian(factor, n, perToken)
	c.ttft[c.sampleCount%latencyWindowSize], c.ttftPerToken[c.sampleCount%latencyWindowSize] = ttft, perToken
	c.sampleCount++
	return slow
}
