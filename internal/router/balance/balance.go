package balance

import (
	"math"
)

const (
	// loadMargin is the part of the multiple of the mean load that may be used up
	// to which an engine receives affine requests; the rest covers the age of
	// peers' digests.
	loadMargin = 0.8
	// loadSlack is added to the bound so that an idle fleet keeps affinity.
	loadSlack = 2.5
	// evenSlack is what the bound leaves at least above an even share of the
	// load, so that affinity does not end where few upstreams take new work.
	evenSlack = 1.5
)

// Service sums up all upstreams of a service.
type Service struct {
	// Open counts the upstreams that take new work, and OpenLoad the requests in
	// progress there.
	Open, OpenLoad int
	// Closed counts those that take none, since they leave or their failure
	// domain is out of service, and ClosedLoad the requests still in progress
	// there. The mean load of the service includes them.
	Closed, ClosedLoad int
}

// Candidate is one upstream that may receive a request.
type Candidate struct {
	ID string
	// Load is the number of requests in progress from the whole fleet.
	Load int
	// Own is the part of Load that this router sent, which is never stale.
	Own int
	// Slots is how many requests the upstream runs at once.
	Slots int
	// Near reports whether the upstream is in the router's failure domain.
	Near bool
	// Suspect marks an upstream that failed lately.
	Suspect bool
	// Held marks an upstream that must not receive this request, since it was
	// tried before or its cold start allows no more.
	Held bool
	// Barred marks a held upstream that must never receive this request.
	Barred bool
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

// none is the choice if no candidate may receive the request.
var none = Choice{Index: -1, Reason: "none"}

// Balancer picks upstreams within a bound on their loads.
type Balancer struct {
	// factor is the multiple of the mean load within which affine requests go.
	factor float64
}

// New returns a balancer for a fleet in which no upstream may hold more than a
// multiple of the mean load of its service, and 3.
func New(multiple float64) Balancer { return Balancer{loadMargin * multiple} }

// bound returns the highest load that an upstream may have after one more
// request, given the load of all n upstreams.
func (b Balancer) bound(total, n int) int {
	if n == 0 {
		return 0
	}
	return int(math.Floor(b.factor*float64(total+1)/float64(n) + loadSlack))
}

// Affine picks the first candidate whose load is within the bound. Candidates
// stand in rendezvous order of what the requests share, so that all routers send
// equal prefixes to the same engine, and to the same next one when that is full.
// They may be the first ones only of a large service.
func (b Balancer) Affine(candidates []Candidate, service Service) Choice {
	usable := usable(candidates)
	if len(usable) == 0 {
		return none
	}
	bound := b.affineBound(service, float64(len(usable))/float64(len(candidates)))
	for rank, c := range usable {
		if candidates[c].Load+1 <= bound {
			reason := "home"
			if rank > 0 {
				reason = "spill"
			}
			return Choice{Index: c, Reason: reason, Bound: bound}
		}
	}
	c := least(candidates, usable)
	c.Bound = bound
	return c
}

// affineBound returns the highest load that an affine choice allows: the bound
// over the whole service or over the usable share of its open upstreams,
// whichever is lower, and in any case a little more than an even share of the
// load.
func (b Balancer) affineBound(s Service, usable float64) int {
	open := max(1, int(math.Round(usable*float64(s.Open))))
	bound := min(b.bound(s.OpenLoad, open), b.bound(s.OpenLoad+s.ClosedLoad, s.Open+s.Closed))
	even := float64(s.OpenLoad+1)/float64(open) + evenSlack
	return max(bound, int(math.Ceil(even)))
}

// Spread picks the one with fewer requests of this router among two candidates
// that draw selects. Counts of peers are older than a
// short request lasts, and routers that all went by them would overload the
// same upstream until the next digest.
func Spread(draw uint64, candidates []Candidate) Choice {
	usable := usable(candidates)
	if len(usable) == 0 {
		return none
	}
	n := uint64(len(usable))
	first := draw % n
	pair := []int{usable[first]}
	if n > 1 {
		pair = append(pair, usable[(first+1+(draw/n)%(n-1))%n])
	}
	best := pair[0]
	if len(pair) > 1 && fewer(candidates[pair[1]], candidates[best]) {
		best = pair[1]
	}
	return chosen(candidates, best)
}

func fewer(a, b Candidate) bool {
	return a.Own*max(1, b.Slots) < b.Own*max(1, a.Slots)
}

// usable returns the positions of the candidates that may receive the request:
// the healthy ones, or all if most are suspect, since the few that are left
// would be overloaded.
func usable(candidates []Candidate) []int {
	var free, healthy []int
	for i, c := range candidates {
		if c.Held {
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

// least returns the candidate with the smallest load for each slot.
func least(candidates []Candidate, among []int) Choice {
	best := among[0]
	for _, c := range among[1:] {
		if lighter(candidates[c], candidates[best]) {
			best = c
		}
	}
	return chosen(candidates, best)
}

func chosen(candidates []Candidate, best int) Choice {
	reason := "least"
	if candidates[best].Suspect {
		reason = "suspect"
	}
	return Choice{Index: best, Reason: reason}
}

func lighter(a, b Candidate) bool {
	x, y := a.Load*max(1, b.Slots), b.Load*max(1, a.Slots)
	if x != y {
		return x < y
	}
	return a.Near && !b.Near
}
