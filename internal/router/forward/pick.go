package forward

import (
	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	"github.com/hemlockcroft/hemlockcroft/internal/router/balance"
	"github.com/hemlockcroft/hemlockcroft/internal/router/directory"
	"github.com/hemlockcroft/hemlockcroft/internal/router/place"
)

// pick returns the upstream of the next attempt.
func (j *job) pick() (*directory.Upstream, error) {
	if j.service == nil {
		return nil, verdict.New(verdict.NotRun, errNoUpstream)
	}
	now := clock.Now()
	upstreams := j.Directory.Receiving(j.serviceName)
	candidates := j.candidates(now, upstreams)
	closed := j.closed(now, candidates)
	for {
		c := j.choose(candidates, closed)
		if c.Index < 0 && j.mayHaveRun && j.sameAgain(candidates) {
			continue
		}
		if c.Index < 0 {
			return nil, verdict.New(verdict.NotRun, errNoUpstream)
		}
		u := upstreams[c.Index]
		cold := u.Cold(now) && j.service.ColdRate() > 0
		if cold && !j.Cold.Allow(now, u.ID(), j.service.ColdRate(), j.Board.Routers(now)) {
			candidates[c.Index].Held = true
			continue
		}
		j.log().WithFields(logrus.Fields{
			"upstream": u.ID(), "reason": c.Reason, "load": candidates[c.Index].Load, "bound": c.Bound,
			"candidates": len(candidates), "cold": cold, "affinity": j.call.affinity(), "attempt": j.sent + 1,
			"left_ms": j.remaining().Milliseconds(),
		}).Info("picked")
		return u, nil
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

func (j *job) choose(candidates []balance.Candidate, closed balance.Closed) balance.Choice {
	if j.affine() {
		return balance.Affine(j.call.affinity(), candidates, closed)
	}
	return balance.Spread(place.Key(j.call.ID), candidates)
}

// affine reports whether the request belongs with others that share its prompt.
func (j *job) affine() bool { return j.route.Affine() && j.call.affinity() != "" }

// closed sums up the service's upstreams that are no candidates.
func (j *job) closed(now clock.Instant, candidates []balance.Candidate) balance.Closed {
	known := j.Directory.Known(j.serviceName)
	if !j.affine() || len(known) == len(candidates) {
		return balance.Closed{}
	}
	open := map[string]bool{}
	for _, c := range candidates {
		open[c.ID] = true
	}
	var ids []string
	for _, u := range known {
		if !open[u.ID()] {
			ids = append(ids, u.ID())
		}
	}
	loads, _ := j.Board.Loads(now, ids)
	sum := balance.Closed{Count: len(ids)}
	for _, n := range loads {
		sum.Load += n
	}
	return sum
}

func (j *job) candidates(now clock.Instant, upstreams []*directory.Upstream) []balance.Candidate {
	ids := make([]string, len(upstreams))
	for i, u := range upstreams {
		ids[i] = u.ID()
	}
	loads, own := j.Board.Loads(now, ids)
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
