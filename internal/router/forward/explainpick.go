package forward

import (
	"fmt"
	"slices"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/balance"
	"github.com/hemlockcroft/hemlockcroft/internal/router/directory"
)

// versionsOf returns the versions of upstreams in order.
func versionsOf(group []*directory.Upstream) []string {
	list := []string{}
	for _, u := range group {
		list = append(list, u.Version())
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// explainGroup picks as pickFromGroup does, and returns nil if no upstream of the group
// may receive the request.
func (j *job) explainGroup(now clock.Instant, group []*directory.Upstream, g *ExplainedGroup) *ExplainedChoice {
	for _, length := range []int{shortlistLength, len(group)} {
		if c := j.explainFrom(now, j.shortlist(group, length), group, g); c != nil {
			return c
		}
		if len(group) <= shortlistLength {
			break
		}
	}
	return nil
}

// explainFrom picks as pickFrom does for a first attempt, and sets the candidates of g.
func (j *job) explainFrom(now clock.Instant, upstreams, group []*directory.Upstream, g *ExplainedGroup) *ExplainedChoice {
	candidates := j.candidates(now, upstreams)
	ages := j.estimateSlowdowns(now, upstreams, candidates)
	j.estimatePrompts(now, upstreams, candidates)
	reasons := j.explainReasons(now, upstreams, candidates)
	routers, exhausted := j.Gossip.LiveRouters(now), make([]bool, len(upstreams))
	for i, u := range upstreams {
		if !u.Cold(now) || j.service.ColdRate() <= 0 {
			continue
		}
		left, share := j.ColdStart.Left(now, u.ID(), j.service.ColdRate(), routers)
		reasons[i] = append(reasons[i], fmt.Sprintf("cold start, %d of %d requests per second left", left, share))
		exhausted[i] = left == 0
	}
	shares, explored := make([]float64, len(candidates)), 0.0
	if !j.affine() {
		shares, explored = balance.Shares(candidates, exhausted)
	}
	choice := j.chooseCandidate(now, candidates, group)
	for choice.Index >= 0 && exhausted[choice.Index] {
		candidates[choice.Index].Excluded = true
		choice = j.chooseCandidate(now, candidates, group)
	}
	if j.affine() && choice.Index >= 0 {
		shares[choice.Index] = 1
	}
	g.Candidates, g.Explored = nil, roundRate(explored)
	for i, u := range upstreams {
		c := j.explainUpstream(u)
		c.Load, c.OwnLoad, c.Bound = candidates[i].Load, candidates[i].OwnLoad, choice.Bound
		c.Slowdown = roundRate(candidates[i].Slowdown)
		if ages != nil {
			c.SlowdownAgeMS = -1
			if ages[i] >= 0 {
				c.SlowdownAgeMS = ages[i].Milliseconds()
			}
		}
		c.FirstEventMS, c.Uncached = candidates[i].FirstEvent.Milliseconds(), candidates[i].Uncached
		c.Excluded, c.Suspect, c.Reasons = candidates[i].Excluded || exhausted[i], candidates[i].Suspect, reasons[i]
		c.Probability = roundRate(shares[i])
		g.Candidates = append(g.Candidates, c)
	}
	if choice.Index < 0 {
		return nil
	}
	u := upstreams[choice.Index]
	return &ExplainedChoice{Upstream: u.ID(), Rule: choice.Reason, Version: u.Version()}
}

// explainReasons returns why candidates are excluded or suspect.
func (j *job) explainReasons(now clock.Instant, upstreams []*directory.Upstream, candidates []balance.Candidate) [][]string {
	list := make([][]string, len(upstreams))
	for i, u := range upstreams {
		add := func(format string, args ...any) { list[i] = append(list[i], fmt.Sprintf(format, args...)) }
		paused := j.Health.PauseLeft(now, u.ID())
		ejected := j.Health.EjectionLeft(now, u.ID())
		switch {
		case paused > 0:
			add("asked for a pause, %v left", paused.Round(time.Millisecond))
		case ejected > 0:
			add("ejected after failures, %v left", ejected.Round(time.Millisecond))
		case j.Health.Risky(now, u.ID()):
			add("failed recently, to be tried by requests that can be repeated")
		}
		if j.rejectsAll(now, u.ID()) {
			add("rejects everything while others do not")
		}
		region := j.Regions[u.FailureDomain()]
		switch {
		case !j.route.AllowsRegion(region) || !j.workspace.AllowsRegion(region):
			add("region not allowed: %s", region)
		case candidates[i].Excluded && paused == 0:
			add("in another region: %s", region)
		}
	}
	return list
}
