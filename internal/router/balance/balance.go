package balance

import (
	"math"
)

const (
	// loadFactorShare is the part of the multiple of the mean load that may be used up
	// to which an engine receives affine requests; the rest covers the age of
	// peers' digests.
	loadFactorShare = 0.8
	// boundSlack is added to the bound so that an idle fleet keeps affinity.
	boundSlack = 2.5
	// evenShareSlack is what the bound leaves at least above an even share of the
	// load, so that affinity does not end where few upstreams take new work.
	evenShareSlack = 1.5
)

// ServiceLoad sums up all upstreams of a service.
type ServiceLoad struct {
	// Active counts the upstreams that take new work, and ActiveLoad the requests in
	// progress there.
	Active, ActiveLoad int
	// Draining counts those that take none, since they leave or their failure
	// domain is out of service, and DrainingLoad the requests still in progress
	// there. The mean load of the service includes them.
	Draining, DrainingLoad int
}

// Candidate is one upstream that may receive a request.
type Candidate struct {
	ID string
	// Load is the number of requests in progress from the whole fleet.
	Load int
	// OwnLoad is the part of Load that this router sent, which is never stale.
	OwnLoad int
	// Slots is how many requests the upstream runs at once.
	Slots int
	// SameDomain reports whether the upstream is in the router's failure domain.
	SameDomain bool
	// Suspect marks an upstream that failed lately.
	Suspect bool
	// Excluded marks an upstream that must not receive this request, since it was
	// tried before or its cold start allows no more.
	Excluded bool
	// Forbidden marks a held upstream that must never receive this request.
	Forbidden bool
}

// Choice is the outcome of a pick and the inputs that decided it.
type Choice struct {
	// Index is the position of the candidate, -1 if none may receive the request.
	Index int
	// Reason names the rule that decided: "home", "spill", "least", "suspect"
	// or "none".
	Reason string
	// Bound is the highest load that an affine choice allowed, 0 if none applied.
	Bound int
}

// noChoice is the choice if no candidate may receive the request.
var noChoice = Choice{Index: -1, Reason: "none"}

// Balancer picks upstreams within a bound on their loads.
type Balancer struct {
	// loadFactor is the multiple of the mean load within which affine requests go.
	loadFactor float64
}

// New returns a balancer for a fleet in which no upstream may hold more than a
// multiple of the mean load of its service, and 3.
func New(loadFactor float64) Balancer { return Balancer{loadFactorShare * loadFactor} }

// loadBound returns the highest load that an upstream may have after one more
// request, given the load of all n upstreams.
func (b Balancer) loadBound(total, n int) int {
	if n == 0 {
		return 0
	}
	return int(math.Floor(b.loadFactor*float64(total+1)/float64(n) + boundSlack))
}

// PickAffine picks the first candidate whose load is within the bound. Candidates
// stand in rendezvous order of what the requests share, so that all routers send
// equal prefixes to the same engine, and to the same next one when that is full.
// They may be the first ones only of a large service.
func (b Balancer) PickAffine(candidates []Candidate, service ServiceLoad) Choice {
	eligible := eligibleCandidates(candidates)
	if len(eligible) == 0 {
		return noChoice
	}
	bound := b.affineBound(service, float64(len(eligible))/float64(len(candidates)))
	for rank, c := range eligible {
		if candidates[c].Load+1 <= bound {
			reason := "home"
			if rank > 0 {
				reason = "spill"
			}
			return Choice{Index: c, Reason: reason, Bound: bound}
		}
	}
	c := leastLoaded(candidates, eligible)
	c.Bound = bound
	return c
}

// affineBound returns the highest load that an affine choice allows: the bound
// over the whole service or over the usable share of its open upstreams,
// whichever is lower, and in any case a little more than an even share of the
// load.
func (b Balancer) affineBound(s ServiceLoad, eligibleShare float64) int {
	active := max(1, int(math.Round(eligibleShare*float64(s.Active))))
	bound := min(b.loadBound(s.ActiveLoad, active), b.loadBound(s.ActiveLoad+s.DrainingLoad, s.Active+s.Draining))
	even := float64(s.ActiveLoad+1)/float64(active) + evenShareSlack
	return max(bound, int(math.Ceil(even)))
}

// PickOfTwo picks the one with fewer requests of this router among two candidates
// that draw selects. Counts of peers are older than a
// short request lasts, and routers that all went by them would overload the
// same upstream until the next digest.
func PickOfTwo(random uint64, candidates []Candidate) Choice {
	eligible := eligibleCandidates(candidates)
	if len(eligible) == 0 {
		return noChoice
	}
	n := uint64(len(eligible))
	first := random % n
	pair := []int{eligible[first]}
	if n > 1 {
		pair = append(pair, eligible[(first+1+(random/n)%(n-1))%n])
	}
	best := pair[0]
	if len(pair) > 1 && fewerOwnRequests(candidates[pair[1]], candidates[best]) {
		best = pair[1]
	}
	return newChoice(candidates, best)
}

func fewerOwnRequests(a, b Candidate) bool {
	return a.OwnLoad*max(1, b.Slots) < b.OwnLoad*max(1, a.Slots)
}

// eligibleCandidates returns the positions of the candidates that may receive the request:
// the healthy ones, or all if most are suspect, since the few that are left
// would be overloaded.
func eligibleCandidates(candidates []Candidate) []int {
	var free, healthy []int
	for i, c := range candidates {
		if c.Excluded {
			continue
		}
		free = append(free, i)
		if !c.Suspect {
			healthy = append(healthy, i)
		}
	}
	if 2*len(healthy) >= len(free) {
		return healthy
	}
	return free
}

// leastLoaded returns the candidate with the smallest load for each slot.
func leastLoaded(candidates []Candidate, among []int) Choice {
	best := among[0]
	for _, c := range among[1:] {
		if lessLoaded(candidates[c], candidates[best]) {
			best = c
		}
	}
	return newChoice(candidates, best)
}

func newChoice(candidates []Candidate, best int) Choice {
	reason := "least"
	if candidates[best].Suspect {
		reason = "suspect"
	}
	return Choice{Index: best, Reason: reason}
}

func lessLoaded(a, b Candidate) bool {
	x, y := a.Load*max(1, b.Slots), b.Load*max(1, a.Slots)
	if x != y {
		return x < y
	}
	return a.SameDomain && !b.SameDomain
}
