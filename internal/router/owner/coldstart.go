package owner

import (
	"slices"

	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

const (
	// latencyWindowSize is the size of the window of the running median.
	latencyWindowSize = 32
	// minLatencySamples is the number of samples below which a latency is not
	// judged.
	minLatencySamples = 8
	// baseTokens is added to the uncached prompt tokens that a time to first
	// token is divided by, so that a cached prompt is comparable to a long
	// uncached one.
	baseTokens = 256
	// cacheLossDivisor is the divisor of the reported cache size below which a
	// fall counts as loss rather than eviction.
	cacheLossDivisor = 4
	// noEpoch is the epoch of a grant whose start was not seen.
	noEpoch = ^uint32(0)
)

// coldStart is the cold-start limit of an upstream and the signs that it depends
// on.
type coldStart struct {
	limit int
	epoch uint32

	boot         string
	previousBoot string
	reportedCold bool
	cacheTokens  int

	ttft         latencyWindow // time to first token
	ttftPerToken latencyWindow // the same for each uncached token
	sampleCount  int
}

// reset returns to the cold limit; completions of earlier grants no longer
// raise it.
func (w *coldStart) reset(coldLimit int) {
	w.limit = coldLimit
	w.epoch++
}

// raiseLimit raises the limit by one, unless the upstream says that it is cold.
func (w *coldStart) raiseLimit(maxLoad int) {
	if !w.reportedCold {
		w.limit = min(w.limit+1, maxLoad)
	}
}

// observeBoot notes a boot identity and reports whether the upstream has
// restarted. A late message that shows the boot before the present one is not
// a restart. A restarted upstream counts as cold until a load report of the new
// boot says otherwise: completions before the first such report raised the
// limit of an engine that was still cold.
func (w *coldStart) observeBoot(boot string) bool {
	if boot == "" || boot == w.boot || boot == w.previousBoot {
		return false
	}
	first := w.boot == ""
	w.previousBoot, w.boot = w.boot, boot
	if !first {
		w.reportedCold = true
	}
	return !first
}

// observeReport notes a load report and says whether it shows a cold start or the
// loss of most of the cache.
func (w *coldStart) observeReport(r LoadReport) bool {
	turnedCold := r.State == stateCold && !w.reportedCold
	lost := r.CacheTokens < w.cacheTokens/cacheLossDivisor
	if w.reportedCold && r.State != stateCold {
		// What was granted while the upstream said that it was cold may have
		// started before yet another cold start; it is no evidence.
		w.epoch++
	}
	w.reportedCold = r.State == stateCold
	w.cacheTokens = r.CacheTokens
	return turnedCold || lost
}

// latencyWindow is a window of samples of one measure.
type latencyWindow [latencyWindowSize]float32

// exceedsMedian reports whether a sample is over factor times the median of the
// first n.
func (l latencyWindow) exceedsMedian(factor float64, n int, sample float32) bool {
	slices.Sort(l[:n])
	return float64(sample) > factor*float64(l[n/2])
}

// observeLatency notes a time to first token and reports whether it is over factor
// times the running median, both as it is and for each uncached token. A long
// uncached prompt among cached ones exceeds only the first, a short cached one
// among long ones only the second.
func (w *coldStart) observeLatency(factor float64, r *rpc.Release) bool {
	if r.GetFirstTokenMs() == 0 {
		return false
	}
	uncached := max(int(r.GetPromptTokens())-int(r.GetCachedTokens()), 0)
	ttft := float32(r.GetFirstTokenMs())
	perToken := ttft / float32(uncached+baseTokens)
	n := min(w.sampleCount, latencyWindowSize)
	slow := n >= minLatencySamples && w.ttft.exceedsMedian(factor, n, ttft) && w.ttftPerToken.exceedsMedian(factor, n, perToken)
	w.ttft[w.sampleCount%latencyWindowSize], w.ttftPerToken[w.sampleCount%latencyWindowSize] = ttft, perToken
	w.sampleCount++
	return slow
}
