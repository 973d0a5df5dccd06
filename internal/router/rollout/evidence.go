package rollout

import (
	"maps"
	"math"
	"slices"
)

const (
	// maxFalseAlarm is the probability, for one comparison, of outcomes as bad as those
	// seen if the new version were only as bad as it may be.
	maxFalseAlarm = 1e-4
	// maxFalseAlarmRest is the same for the outcomes without the worst upstream, which
	// may have failed for itself.
	maxFalseAlarmRest = 1e-2
	// failureFactor and failureMargin give the failure rate that a sound version may
	// have, from the rate of the old version at the same time on the same route.
	failureFactor = 1.5
	failureMargin = 0.01
	// slowFactor and slowMargin do the same for slow responses. A new version begins
	// without cached prompts, so more of its responses are slow.
	slowFactor = 1.5
	slowMargin = 0.15
	// minBad is the number of bad responses below which there is no evidence, and
	// minBadRest the same without the worst upstream. A canary with little traffic on a
	// route has few bad responses there at all.
	minBad     = 5
	minBadRest = 2
)

// counts are the outcomes of requests at one version on one route.
type counts struct {
	// total and failed count responses, and timed and slow those whose time is
	// comparable.
	total, failed, timed, slow int
}

func (c counts) plus(d counts) counts {
	return counts{c.total + d.total, c.failed + d.failed, c.timed + d.timed, c.slow + d.slow}
}

// rowKey identifies outcomes: the hash of the route, and the hash of the upstream for the
// new version or 0 for the old one.
type rowKey struct{ route, upstream uint32 }

// tally holds outcomes by route and upstream.
type tally map[rowKey]counts

// finding is evidence that a version is bad.
type finding struct {
	kind     string
	route    uint32 // 0 for all routes together
	bad, of  int    // at the new version
	old, ofO int    // at the old version
}

// comparison holds the outcomes of both versions on one route.
type comparison struct{ old, next, nextRest counts }

// judge compares the outcomes of the new version with those of the old one over the same
// time, route by route and in all. It must show without the worst upstream of the new
// version too, which may have failed for itself.
func judge(rows tally) (finding, bool) {
	worst, several := worstUpstream(rows)
	routes := map[uint32]comparison{}
	for key, n := range rows {
		for _, route := range []uint32{key.route, 0} {
			c := routes[route]
			switch {
			case key.upstream == 0:
				c.old = c.old.plus(n)
			case several && key.upstream == worst:
				c.next = c.next.plus(n)
			default:
				c.next, c.nextRest = c.next.plus(n), c.nextRest.plus(n)
			}
			routes[route] = c
		}
	}
	for _, route := range slices.Sorted(maps.Keys(routes)) {
		old, next, rest := routes[route].old, routes[route].next, routes[route].nextRest
		allowed := failureFactor*rate(old.failed, old.total) + failureMargin
		if exceeds(next.failed, next.total, minBad, allowed, maxFalseAlarm) && exceeds(rest.failed, rest.total, minBadRest, allowed, maxFalseAlarmRest) {
			return finding{"failures", route, next.failed, next.total, old.failed, old.total}, true
		}
		allowed = slowFactor*rate(old.slow, old.timed) + slowMargin
		if exceeds(next.slow, next.timed, minBad, allowed, maxFalseAlarm) && exceeds(rest.slow, rest.timed, minBadRest, allowed, maxFalseAlarmRest) {
			return finding{"slow responses", route, next.slow, next.timed, old.slow, old.timed}, true
		}
	}
	return finding{}, false
}

// rate estimates the rate of bad outcomes, high while few outcomes are known.
func rate(bad, total int) float64 { return (float64(bad) + 1) / (float64(total) + 2) }

// worstUpstream returns the upstream of the new version with most bad outcomes, and
// whether there are several upstreams.
func worstUpstream(rows tally) (worst uint32, several bool) {
	bad := map[uint32]int{}
	for key, c := range rows {
		if key.upstream != 0 {
			bad[key.upstream] += c.failed + c.slow
		}
	}
	most := -1
	for upstream, n := range bad {
		if n > most || n == most && upstream < worst {
			worst, most = upstream, n
		}
	}
	return worst, len(bad) > 1
}

// exceeds reports whether bad of total outcomes are at least the given number and more
// than chance gives at an allowed rate.
func exceeds(bad, total, atLeast int, allowed, falseAlarm float64) bool {
	if bad < atLeast || allowed >= 1 || float64(bad) <= allowed*float64(total) {
		return false
	}
	return binomialTail(bad, total, allowed) < falseAlarm
}

// binomialTail returns the probability of at least k successes in n trials, each with
// probability p.
func binomialTail(k, n int, p float64) float64 {
	sum := 0.0
	for i := k; i <= n; i++ {
		term := math.Exp(logChoose(n, i) + float64(i)*math.Log(p) + float64(n-i)*math.Log1p(-p))
		sum += term
		if term < sum*1e-9 {
			break
		}
	}
	return sum
}

func logChoose(n, k int) float64 {
	a, _ := math.Lgamma(float64(n + 1))
	b, _ := math.Lgamma(float64(k + 1))
	c, _ := math.Lgamma(float64(n - k + 1))
	return a - b - c
}
