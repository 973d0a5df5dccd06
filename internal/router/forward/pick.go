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

// pick returns the upstream of the next attempt.
func (j *job) pick() (*directory.Upstream, error) {
	if j.service == nil {
		return nil, verdict.New(verdict.NotRun, errNoUpstream)
	}
	all := j.Directory.Receiving(j.serviceName)
	for _, length := range []int{shortlistLength, len(all)} {
		if u := j.pickAmong(j.shortlist(all, length), len(all)); u != nil {
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
	if !j.manyRegions {
		return j.leaders(all, length, func(*directory.Upstream) bool { return true })
	}
	home := j.Regions[j.FailureDomain]
	local := func(u *directory.Upstream) bool { return j.Regions[u.FailureDomain()] == home }
	return append(j.leaders(all, length, local),
		j.leaders(all, length, func(u *directory.Upstream) bool { return !local(u) })...)
}

func (j *job) leaders(all []*directory.Upstream, length int, eligible func(*directory.Upstream) bool) []*directory.Upstream {
	key := j.call.ID
	if j.affine() {
		key = j.call.affinity()
	}
	first := place.Leaders(place.Key(key), len(all), length, func(i int) (uint64, bool) { return all[i].IDHash(), eligible(all[i]) })
	list := make([]*directory.Upstream, len(first))
	for i, u := range first {
		list[i] = all[u]
	}
	return list
}

// affine reports whether the request belongs with others that share its prompt.
func (j *job) affine() bool { return j.route.Affine() && j.call.affinity() != "" }

// pickAmong returns the upstream of the next attempt from a list, nil if none
// may receive the request. open is the number of upstreams that take new work.
func (j *job) pickAmong(upstreams []*directory.Upstream, open int) *directory.Upstream {
	now := clock.Now()
	candidates := j.candidates(now, upstreams)
	for {
		c := j.choose(now, candidates)
		if c.Index < 0 && j.mayHaveRun && j.sameAgain(candidates) {
			continue
		}
		if c.Index < 0 {
			return nil
		}
		u := upstreams[c.Index]
		cold := u.Cold(now) && j.service.ColdRate() > 0
		if cold && !j.Cold.Allow(now, u.ID(), j.service.ColdRate(), j.Board.LiveRouters(now)) {
			candidates[c.Index].Held = true
			continue
		}
		j.bound = c.Bound
		j.log().WithFields(logrus.Fields{
			"upstream": u.ID(), "reason": c.Reason, "load": candidates[c.Index].Load, "bound": c.Bound,
			"candidates": open, "cold": cold, "affinity": j.call.affinity(), "attempt": j.sent + 1,
			"left_ms": j.remaining().Milliseconds(),
		}).Info("picked")
		return u
	}
}

// sameAgain admits the upstreams that the request was sent to before, since no
// other is left, and reports whether there are any. One that failed a request
// may well answer the next; one that rejected it is full.
func (j *job) sameAgain(candidates []balance.Candidate) bool {
	found := false
	for i := range candidates {
		if candidates[i].Held && !candidates[i].Barred && j.tried[candidates[i].ID] {
			candidates[i].Held = false
			delete(j.tried, candidates[i].ID)
			found = true
		}
	}
	return found
}

func (j *job) choose(now clock.Instant, candidates []balance.Candidate) balance.Choice {
	if j.affine() {
		return j.Balancer.Affine(candidates, j.loads.of(now, j.serviceName))
	}
	return balance.Spread(place.Key(j.call.ID), candidates)
}

func (j *job) candidates(now clock.Instant, upstreams []*directory.Upstream) []balance.Candidate {
	loads, own := j.Board.Loads(now, keys(upstreams))
	list := make([]balance.Candidate, len(upstreams))
	for i, u := range upstreams {
		list[i] = balance.Candidate{
			ID: u.ID(), Load: loads[i], Own: own[i], Slots: u.Slots(), Near: u.FailureDomain() == j.FailureDomain,
			Suspect: j.Health.Suspect(now, u.ID()), Held: j.tried[u.ID()],
		}
	}
	j.holdRegions(list, upstreams)
	return list
}

// holdRegions holds back upstreams in regions where the request may not be
// served, and those of other regions while this one has any.
func (j *job) holdRegions(list []balance.Candidate, upstreams []*directory.Upstream) {
	home := j.Regions[j.FailureDomain]
	local := false
	for i, u := range upstreams {
		region := j.Regions[u.FailureDomain()]
		if !j.route.Allows(region) || !j.workspace.Allows(region) {
			list[i].Held, list[i].Barred = true, true
		}
		local = local || region == home && !list[i].Held && !list[i].Suspect
	}
	for i, u := range upstreams {
		if local && j.Regions[u.FailureDomain()] != home {
			list[i].Held = true
		}
	}
}
