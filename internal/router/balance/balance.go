package balance

import (
	"math"
	"time"
)

const (
	// loadFactorShare is the fraction of the configured load factor that affine
	// requests may use; the rest covers the age of the load digests of peers.
	loadFactorShare = 0.8
	// boundSlack is the number of requests added to the bound, so that an idle
	// fleet keeps its affinity.
	boundSlack = 2.5
	// evenShareSlack is the number of requests above an even share of the load
	// that the bound always allows, so that affinity still works while only few
	// upstreams take new work.
	evenShareSlack = 1.5
)

// ServiceLoad is the total load of the upstreams of a service.
type ServiceLoad struct {
	// Active is the number of upstreams that take new work, and ActiveLoad
	// their number of requests in progress.
	Active, ActiveLoad int
	// Draining is the number of upstreams that take no new work, because they
	// drain or their failure domain is evacuated, and DrainingLoad their number
	// of requests in progress. Both count towards the mean load of the service.
	Draining, DrainingLoad int
}

// Candidate is an upstream considered for a request.
type Candidate struct {
	ID string
	// Load is the number of requests in progress at the upstream, from all
	// routers.
	Load int
	// OwnLoad is the part of Load that this router sent. It is never stale.
	OwnLoad int
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	// Slowdown is how long work takes at the upstream now, as a multiple of what it
	// takes at the fastest candidate, 0 if it is unknown.
	Slowdown float64
	// FirstEvent is the estimated time until the prompt of the request is read there, 0
	// if it is unknown.
	FirstEvent time.Duration
	// Uncached is the number of tokens of the prompt that the upstream has to read, and
	// Reread the part of them that another one has cached.
	Uncached, Reread int
	// SameDomain reports whether the upstream is in the failure domain of this
	// router.
	SameDomain bool
	// Suspect marks an upstream that failed recently.
	Suspect bool
	// Excluded marks an upstream that must not receive this request, because it
	// was tried before, its cold start allows no more requests, or it is in
	// another region.
	Excluded bool
	// Forbidden marks an excluded upstream that must not be readmitted when no
	// other is left.
	Forbidden bool
}

// Choice is the result of a pick and the inputs that decided it.
type Choice struct {
	// Index is the index of the chosen candidate, -1 if none may receive the
	// request.
	Index int
	// Reason names the rule that decided: "home", "spill", "least", "suspect",
	// ReasonTime, ReasonExplore, ReasonPrompt or "none".
	Reason string
	// Bound is the highest load that the affine pick allowed, 0 if no bound
	// applied.
	Bound int
}

// noChoice is the result if no candidate may receive the request.
var noChoice = Choice{Index: -1, Reason: "none"}

// Balancer picks upstreams by affinity with bounded loads.
type Balancer struct {
	// loadFactor is the multiple of the mean load up to which affine requests
	// are sent to an upstream.
	loadFactor float64
}

// New returns a balancer that limits the load of each upstream to loadFactor
// times the mean load of its service, plus 3 requests.
func New(loadFactor float64) Balancer { return Balancer{loadFactorShare * loadFactor} }

// loadBound returns the highest load that an upstream may reach with one more
// request, given the total load of n upstreams.
func (b Balancer) loadBound(total, n int) int {
	if n == 0 {
		return 0
	}
	return int(math.Floor(b.loadFactor*float64(total+1)/float64(n) + boundSlack))
}

// PickAffine picks the first candidate whose load is within the bound.
// Candidates must be in rendezvous order of the key that the requests share, so
// that all routers send equal prefixes to the same engine, and to the same next
// engine when that one is full. For a large service, candidates may be the
// first part of that order only.
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

// affineBound returns the highest load that an affine pick allows: the lower of
// the bound over the whole service and the bound over the eligible share of its
// active upstreams, but at least an even share of the load plus evenShareSlack.
func (b Balancer) affineBound(s ServiceLoad, eligibleShare float64) int {
	active := max(1, int(math.Round(eligibleShare*float64(s.Active))))
	bound := min(b.loadBound(s.ActiveLoad, active), b.loadBound(s.ActiveLoad+s.DrainingLoad, s.Active+s.Draining))
	even := float64(s.ActiveLoad+1)/float64(active) + evenShareSlack
	return max(bound, int(math.Ceil(even)))
}

// PickOfTwo selects two candidates by a random number and picks the one with
// fewer requests from this router (power of two choices). It ignores the loads
// that peers report: they are older than a short request lasts, and routers that
// all followed them would overload the same upstream until the next digest.
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

// eligibleCandidates returns the indexes of the candidates that may receive the
// request: the healthy ones, or all that are not excluded if most are suspect,
// since the few healthy ones would be overloaded.
func eligibleCandidates(candidates []Candidate) []int {
	var available, healthy []int
	for i, c := range candidates {
		if c.Excluded {
			continue
		}
		available = append(available, i)
		if !c.Suspect {
			healthy = append(healthy, i)
		}
	}
	if 2*len(healthy) >= len(available) {
		return healthy
	}
	return available
}

// leastLoaded picks the candidate with the lowest load per slot.
func leastLoaded(candidates []Candidate, indexes []int) Choice {
	best := indexes[0]
	for _, c := range indexes[1:] {
		if lessLoaded(candidates[c], candidates[best]) {
			best = c
		}
	}
	return newChoice(candidates, best)
}

func newChoice(candidates []Candidate, index int) Choice {
	reason := "least"
	if candidates[index].Suspect {
		reason = "suspect"
	}
	return Choice{Index: index, Reason: reason}
}

func lessLoaded(a, b Candidate) bool {
	x, y := a.Load*max(1, b.Slots), b.Load*max(1, a.Slots)
	if x != y {
		return x < y
	}
	return a.SameDomain && !b.SameDomain
}
