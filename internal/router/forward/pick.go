package forward

import (
	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	"github.com/hemlockcroft/hemlockcroft/internal/router/balance"
	"github.com/hemlockcroft/hemlockcroft/internal/router/directory"
	"github.com/hemlockcroft/hemlockcroft/internal/router/place"
)

// shortlistLength is how many upstreams are looked at for a request, the first
// in rendezvous order. All are looked at if none of these may receive it.
const shortlistLength = 16

// pickUpstream returns the upstream of the next attempt.
func (j *job) pickUpstream() (*directory.Upstream, error) {
	if j.service == nil {
		return nil, verdict.New(verdict.NotRun, errNoUpstream)
	}
	all := j.Directory.Receiving(j.serviceName)
	for _, length := range []int{shortlistLength, len(all)} {
		if u := j.pickFrom(j.shortlist(all, length), len(all)); u != nil {
			return u, nil
		}
		if len(all) <= shortlistLength {
			break
		}
	}
	return nil, verdict.New(verdict.NotRun, errNoUpstream)
}

// shortlist returns the first upstreams in rendezvous order of what the
// requests of a chat or document share, or else of the request itself. Where
// there are several regions, it holds the first of this one before the first of
// all others, so that a large region does not hide this one.
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
	key := j.call.ID
	if j.affine() {
		key = j.call.affinityKey()
	}
	top := place.TopN(place.Key(key), len(all), length, func(i int) (uint64, bool) { return all[i].Key(), eligible(all[i]) })
	list := make([]*directory.Upstream, len(top))
	for i, u := range top {
		list[i] = all[u]
	}
	return list
}

// affine reports whether the request belongs with others that share its prompt.
func (j *job) affine() bool { return j.route.Affine() && j.call.affinityKey() != "" }

// pickFrom returns the upstream of the next attempt from a list, nil if none
// may receive the request. open is the number of upstreams that take new work.
func (j *job) pickFrom(upstreams []*directory.Upstream, receiving int) *directory.Upstream {
	now := clock.Now()
	candidates := j.candidates(now, upstreams)
	for {
		c := j.chooseCandidate(now, candidates)
		if c.Index < 0 && j.mayHaveRun && j.readmitTried(candidates) {
			continue
		}
		if c.Index < 0 {
			return nil
		}
		u := upstreams[c.Index]
		cold := u.Cold(now) && j.service.ColdRate() > 0
		if cold && !j.ColdStart.Allow(now, u.ID(), j.service.ColdRate(), j.Board.Routers(now)) {
			candidates[c.Index].Excluded = true
			continue
		}
		j.loadBound = c.Bound
		j.log().WithFields(logrus.Fields{
			"upstream": u.ID(), "reason": c.Reason, "load": candidates[c.Index].Load, "bound": c.Bound,
			"candidates": receiving, "cold": cold, "affinity": j.call.affinityKey(), "attempt": j.attemptsSent + 1,
			"left_ms": j.remaining().Milliseconds(),
		}).Info("picked")
		return u
	}
}

// readmitTried admits the upstreams that the request was sent to before, since no
// other is left, and reports whether there are any. One that failed a request
// may well answer the next; one that rejected it is full.
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

func (j *job) chooseCandidate(now clock.Instant, candidates []balance.Candidate) balance.Choice {
	if j.affine() {
		return j.Balancer.PickAffine(candidates, j.loads.get(now, j.serviceName))
	}
	return balance.PickOfTwo(place.Key(j.call.ID), candidates)
}

func (j *job) candidates(now clock.Instant, upstreams []*directory.Upstream) []balance.Candidate {
	loads, own := j.Board.Loads(now, upstreamKeys(upstreams))
	list := make([]balance.Candidate, len(upstreams))
	for i, u := range upstreams {
		list[i] = balance.Candidate{
			ID: u.ID(), Load: loads[i], OwnLoad: own[i], Slots: u.Slots(), SameDomain: u.FailureDomain() == j.FailureDomain,
			Suspect: j.Health.Suspect(now, u.ID()), Excluded: j.tried[u.ID()],
		}
	}
	j.excludeRegions(list, upstreams)
	return list
}

// excludeRegions holds back upstreams in regions where the request may not be
// served, and those of other regions while this one has any.
func (j *job) excludeRegions(list []balance.Candidate, upstreams []*directory.Upstream) {
	localRegion := j.Regions[j.FailureDomain]
	hasLocal := false
	for i, u := range upstreams {
		region := j.Regions[u.FailureDomain()]
		if !j.route.AllowsRegion(region) || !j.workspace.AllowsRegion(region) {
			list[i].Excluded, list[i].Forbidden = true, true
		}
		hasLocal = hasLocal || region == localRegion && !list[i].Excluded && !list[i].Suspect
	}
	for i, u := range upstreams {
		if hasLocal && j.Regions[u.FailureDomain()] != localRegion {
			list[i].Excluded = true
		}
	}
}
