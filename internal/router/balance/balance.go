package balance

import (
	"math"

	"github.com/hemlockcroft/hemlockcroft/internal/router/place"
)

const (
	// loadFactor is the multiple of the mean load above which an engine
	// receives no affine request. The platform judges twice the mean; the
	// margin covers the age of peers' digests.
	loadFactor = 1.6
	// loadSlack is added to the bound so that an idle fleet keeps affinity.
	loadSlack = 2.5
	// evenSlack is what the bound leaves at least above an even share of the
	// load, so that affinity does not end where few upstreams take new work.
	evenSlack = 1.5
)

// Closed describes the upstreams of a service that take no new work, since they
// leave or their failure domain is out of service. The mean load of the service
// includes them.
type Closed struct {
	Count int
	// Load is the number of requests still in progress there.
	Load int
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

// Bound returns the highest load that an upstream may have after one more
// request, given the load of all n candidates.
func Bound(total, n int) int {
	if n == 0 {
		return 0
	}
	return int(math.Floor(loadFactor*float64(total+1)/float64(n) + loadSlack))
}

// Affine picks the first candidate in rendezvous order of the key whose load
// is within the bound, so that all routers send equal prefixes to the same
// engine, and to the same next one when that is full.
func Affine(key string, candidates []Candidate, closed Closed) Choice {
	usable := usable(candidates)
	if len(usable) == 0 {
		return none
	}
	names := make([]string, len(usable))
	index := map[string]int{}
	for i, c := range usable {
		names[i] = candidates[c].ID
		index[names[i]] = c
	}
	bound := affineBound(candidates, usable, closed)
	for rank, name := range place.Order(place.Key(key), names) {
		if candidates[index[name]].Load+1 <= bound {
			reason := "home"
			if rank > 0 {
				reason = "spill"
			}
			return Choice{Index: index[name], Reason: reason, Bound: bound}
		}
	}
	c := least(candidates, usable)
	c.Bound = bound
	return c
}

// affineBound returns the highest load that an affine choice allows: the bound
// over the whole service, which upstreams without new work lower, or over the
// usable ones if that is lower, and in any case a little more than an even
// share of the load.
func affineBound(candidates []Candidate, usable []int, closed Closed) int {
	open, all := 0, closed.Load
	for _, c := range usable {
		open += candidates[c].Load
	}
	for _, c := range candidates {
		all += c.Load
	}
	bound := min(Bound(open, len(usable)), Bound(all, len(candidates)+closed.Count))
	even := float64(open+1)/float64(len(usable)) + evenSlack
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
	var healthy, suspect []int
	for i, c := range candidates {
		switch {
		case c.Held:
		case c.Suspect:
			suspect = append(suspect, i)
		default:
			healthy = append(healthy, i)
		}
	}
	if len(healthy) >= len(suspect) {
		return healthy
	}
	return append(healthy, suspect...)
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
