package balance

import "math/rand/v2"

const (
	// UnevenFactor is the ratio between the slowest and the fastest upstream from
	// which they count as uneven. Response times of equal upstreams that are
	// estimated from a few requests differ by less.
	UnevenFactor = 1.5
	// similarTimes is the ratio up to which expected times count as equal, so that the
	// router's own counts decide. The loads of peers are up to a second old, and all
	// routers have the same error in their estimates, so they would all follow it.
	similarTimes = 1.5
	// exploreShare is the share of requests that are placed in proportion to the speed
	// of the upstreams, whatever their loads, so that routers learn of slow upstreams
	// that recover. An upstream that is 8 times as slow as two others gets 0.6% of
	// the requests from it.
	exploreShare = 0.1
)

// Reasons of choices between upstreams of different speed.
const (
	ReasonTime    = "time"
	ReasonExplore = "explore"
)

// PickByTime picks the candidate with the shorter expected time to completion of two
// that are drawn in proportion to their speed. The draw keeps routers that see the same
// estimates from picking the same one; the proportion keeps work at a slow upstream
// within what it can do. Without a difference in speed it is PickOfTwo.
func PickByTime(random uint64, candidates []Candidate) Choice {
	eligible := eligibleCandidates(candidates)
	if !uneven(candidates, eligible) {
		return PickOfTwo(random, candidates)
	}
	draw := rand.New(rand.NewPCG(random, uint64(len(candidates))))
	first := drawBySpeed(draw, candidates, eligible, -1)
	if draw.Float64() < exploreShare {
		return Choice{Index: first, Reason: ReasonExplore}
	}
	second := drawBySpeed(draw, candidates, eligible, first)
	if finishesEarlier(candidates[second], candidates[first]) {
		first = second
	}
	return Choice{Index: first, Reason: ReasonTime}
}

// uneven reports whether some candidates are noticeably slower than others.
func uneven(candidates []Candidate, indexes []int) bool {
	for _, i := range indexes {
		if len(indexes) > 1 && candidates[i].slowdown() != candidates[indexes[0]].slowdown() {
			return true
		}
	}
	return false
}

// drawBySpeed draws one of the candidates other than excluded in proportion to the
// number of requests that they complete in a given time.
func drawBySpeed(draw *rand.Rand, candidates []Candidate, indexes []int, excluded int) int {
	total := 0.0
	for _, i := range indexes {
		if i != excluded {
			total += candidates[i].speed()
		}
	}
	point, last := draw.Float64()*total, excluded
	for _, i := range indexes {
		if i == excluded {
			continue
		}
		last = i
		if point -= candidates[i].speed(); point < 0 {
			break
		}
	}
	return last
}

func finishesEarlier(a, b Candidate) bool {
	x, y := a.expectedTime(), b.expectedTime()
	if x > similarTimes*y || y > similarTimes*x {
		return x < y
	}
	return fewerOwnRequests(a, b)
}

// slowdown returns the slowdown, 1 for one within the error of the estimate.
func (c Candidate) slowdown() float64 {
	if c.Slowdown < UnevenFactor {
		return 1
	}
	return c.Slowdown
}

func (c Candidate) speed() float64 { return float64(max(1, c.Slots)) / c.slowdown() }

// expectedTime returns the time until a new request is completed, in units of the time
// that the fastest candidate takes without a queue.
func (c Candidate) expectedTime() float64 {
	slots := float64(max(1, c.Slots))
	return c.slowdown() * (1 + max(0, float64(c.Load+1)-slots)/slots)
}
