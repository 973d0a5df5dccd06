package forward

import (
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	"github.com/hemlockcroft/hemlockcroft/internal/router/balance"
	"github.com/hemlockcroft/hemlockcroft/internal/router/directory"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rendezvous"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rollout"
)

// shortlistLength is the number of upstreams considered for a request, the
// first in rendezvous order. If none of them may receive it, all are
// considered.
const shortlistLength = 16

// pickUpstream picks the upstream of the next attempt.
func (j *job) pickUpstream() (*directory.Upstream, error) {
	if j.service == nil {
		return nil, verdict.New(verdict.NotRun, errNoUpstream)
	}
	all := j.Directory.Receiving(j.serviceName)
	for _, group := range j.versionGroups(all) {
		if u := j.pickFromGroup(group); u != nil {
			return u, nil
		}
	}
	noUpstream := verdict.New(verdict.NotRun, errNoUpstream)
	if pause := j.pauseOfAll(all); pause > 0 {
		return nil, noUpstream.WithRetryAfter(pause)
	}
	return nil, noUpstream
}

// versionGroups divides the upstreams by version if the service moves to another one.
func (j *job) versionGroups(all []*directory.Upstream) [][]*directory.Upstream {
	now := clock.Now()
	return j.Rollouts.Choose(now, rollout.Request{Service: j.serviceName, Key: j.rolloutKey(), Retry: j.attemptsSent > 0, Fresh: j.OrdersFresh(now)}, all)
}

// rolloutKey returns the key that assigns the request to a version.
func (j *job) rolloutKey() string {
	if j.affine() {
		return strconv.FormatUint(j.info.PlacementKey, 16)
	}
	return j.info.ID
}

// pickFromGroup picks one of a group of upstreams, or returns nil.
func (j *job) pickFromGroup(group []*directory.Upstream) *directory.Upstream {
	for _, length := range []int{shortlistLength, len(group)} {
		if u := j.pickFrom(j.shortlist(group, length), group); u != nil {
			return u
		}
		if len(group) <= shortlistLength {
			break
		}
	}
	return nil
}

// pauseOfAll returns the time until the first of the upstreams takes requests
// again, 0 if one of them has not asked for a pause.
func (j *job) pauseOfAll(upstreams []*directory.Upstream) time.Duration {
	now := clock.Now()
	var shortest time.Duration
	for i, u := range upstreams {
		left := j.Health.PauseLeft(now, u.ID())
		if i == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest
}

// shortlist returns the first upstreams in rendezvous order for the request's
// affinity key, or for its ID if it has none. If there are several regions, it
// returns the first upstreams of this region followed by the first of all
// others, so that a large region does not displace this one.
func (j *job) shortlist(all []*directory.Upstream, length int) []*directory.Upstream {
	if !j.multiRegion {
		return j.topUpstreams(all, length, func(*directory.Upstream) bool { return true })
	}
	localRegion := j.Regions[j.FailureDomain]
	local := func(u *directory.Upstream) bool { return j.Regions[u.FailureDomain()] == localRegion }
	return append(j.topUpstreams(all, length, local),
		j.topUpstreams(all, length, func(u *directory.Upstream) bool { return !local(u) })...)
}

func (j *job) topUpstreams(all []*directory.Upstream, length int, eligible func(*directory.Upstream) bool) []*directory.Upstream {
	top := rendezvous.TopN(j.info.placementKey(j.affine()), len(all), length, func(i int) (uint64, bool) { return all[i].IDHash(), eligible(all[i]) })
	list := make([]*directory.Upstream, len(top))
	for i, u := range top {
		list[i] = all[u]
	}
	return list
}

// affine reports whether the request is routed by its prompt prefix.
func (j *job) affine() bool { return j.route.Affine() && len(j.info.Prefixes) > 0 }

// pickFrom picks an upstream from a list, or returns nil if none may receive
// the request. group holds the upstreams of which the list is a part.
func (j *job) pickFrom(upstreams, group []*directory.Upstream) *directory.Upstream {
	now := clock.Now()
	candidates := j.candidates(now, upstreams)
	ages := j.estimateSlowdowns(now, upstreams, candidates)
	j.estimatePrompts(now, upstreams, candidates)
	for {
		c := j.chooseCandidate(now, candidates, group)
		if c.Index < 0 && j.mayHaveRun && j.readmitTried(candidates) {
			continue
		}
		if c.Index < 0 {
			return nil
		}
		u := upstreams[c.Index]
		cold := u.Cold(now) && j.service.ColdRate() > 0
		if cold && !j.ColdStart.Allow(now, u.ID(), j.service.ColdRate(), j.Gossip.LiveRouters(now)) {
			candidates[c.Index].Excluded = true
			continue
		}
		j.loadBound, j.uncached = c.Bound, candidates[c.Index].Uncached
		j.countPick(c)
		entry := j.log().WithFields(promptFields(candidates[c.Index]))
		if ages != nil && ages[c.Index] >= 0 {
			entry = entry.WithFields(logrus.Fields{"slowdown": candidates[c.Index].Slowdown, "slowdown_age_ms": ages[c.Index].Milliseconds()})
		}
		entry.WithFields(logrus.Fields{
			"upstream": u.ID(), "reason": c.Reason, "load": candidates[c.Index].Load, "bound": c.Bound,
			"candidates": len(group), "version": u.Version(), "cold": cold, "affinity": strconv.FormatUint(j.info.PlacementKey, 16), "attempt": j.attemptsSent + 1,
			"left_ms": j.remaining().Milliseconds(),
		}).Info("picked")
		return u
	}
}

// readmitTried readmits the upstreams that were already tried, when no other is
// left, and reports whether there are any. An upstream that failed a request
// may serve the next one, while one that rejected it is full.
func (j *job) readmitTried(candidates []balance.Candidate) bool {
	found := false
	for i := range candidates {
		if candidates[i].Excluded && !candidates[i].Forbidden && j.tried[candidates[i].ID] {
			candidates[i].Excluded = false
			delete(j.tried, candidates[i].ID)
			found = true
		}
	}
	return found
}

func (j *job) chooseCandidate(now clock.Instant, candidates []balance.Candidate, group []*directory.Upstream) balance.Choice {
	if j.affine() {
		return j.Balancer.PickByPrompt(candidates, j.loads.get(now, j.serviceName, group), j.firstEventLimit(now))
	}
	return balance.PickByTime(rendezvous.Key(j.info.ID), candidates)
}

// replaceable reports whether another attempt can replace the next one if that
// fails after the upstream accepted it.
func (j *job) replaceable() bool {
	return j.route.Retryable() && j.attemptsSent+1 < j.route.MaxAttempts()
}

func (j *job) candidates(now clock.Instant, upstreams []*directory.Upstream) []balance.Candidate {
	loads, ownLoads := j.Gossip.Loads(now, upstreamKeys(upstreams))
	list := make([]balance.Candidate, len(upstreams))
	suspect := j.Health.Risky
	if j.replaceable() {
		suspect = j.Health.Suspect
	}
	for i, u := range upstreams {
		paused := j.Health.PauseLeft(now, u.ID()) > 0
		list[i] = balance.Candidate{
			ID: u.ID(), Load: loads[i], OwnLoad: ownLoads[i], Slots: u.Slots(), SameDomain: u.FailureDomain() == j.FailureDomain,
			Suspect: suspect(now, u.ID()) || j.rejectsAll(now, u.ID()), Excluded: paused || j.tried[u.ID()], Forbidden: paused,
		}
	}
	j.excludeRegions(list, upstreams)
	return list
}

// excludeRegions excludes upstreams in regions where the request must not be
// served, and those of other regions while this region has a usable one.
func (j *job) excludeRegions(candidates []balance.Candidate, upstreams []*directory.Upstream) {
	localRegion := j.Regions[j.FailureDomain]
	hasLocal := false
	for i, u := range upstreams {
		region := j.Regions[u.FailureDomain()]
		if !j.route.AllowsRegion(region) || !j.workspace.AllowsRegion(region) {
			candidates[i].Excluded, candidates[i].Forbidden = true, true
		}
		hasLocal = hasLocal || region == localRegion && !candidates[i].Excluded && !candidates[i].Suspect
	}
	for i, u := range upstreams {
		if hasLocal && j.Regions[u.FailureDomain()] != localRegion {
			candidates[i].Excluded = true
		}
	}
}
