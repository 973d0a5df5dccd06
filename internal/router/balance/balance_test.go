package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rendezvous"
)

// TestPick runs the scripts in testdata. They guard against picking suspect or
// excluded upstreams while others are available, and against loads above the
// bound.
func TestPick(t *testing.T) {
	datadriven.RunTest(t, "testdata/pick", func(t *testing.T, td *datadriven.TestData) string {
		var candidates []Candidate
		for line := range strings.Lines(td.Input) {
			f := strings.Fields(line)
			c := Candidate{ID: f[0]}
			if _, err := fmt.Sscan(f[1], &c.Load); err != nil {
				td.Fatalf(t, "load: %v", err)
			}
			c.OwnLoad = c.Load
			for _, flag := range f[2:] {
				switch flag {
				case "near":
					c.SameDomain = true
				case "suspect":
					c.Suspect = true
				case "held":
					c.Excluded = true
				}
			}
			candidates = append(candidates, c)
		}
		var choice Choice
		switch td.Cmd {
		case "affine":
			candidates = rendezvousOrder(td.CmdArgs[0].Key, candidates)
			choice = New(2).PickAffine(candidates, serviceLoadOf(candidates))
		case "spread":
			var draw uint64
			td.ScanArgs(t, "draw", &draw)
			choice = PickOfTwo(draw, candidates)
		}
		if choice.Index < 0 {
			return choice.Reason + "\n"
		}
		return fmt.Sprintf("%s %s bound=%d\n", candidates[choice.Index].ID, choice.Reason, choice.Bound)
	})
}

// TestAffineBoundWithHotKey guards against an engine with more than twice the
// mean load plus 3 when 28% of the requests share one document, and against
// moving requests of other documents from their home. Rendezvous order without
// a bound exceeds that limit.
func TestAffineBoundWithHotKey(t *testing.T) {
	const engines, rounds, duration = 9, 4000, 40
	for _, bounded := range []bool{true, false} {
		candidates := make([]Candidate, engines)
		for i := range candidates {
			candidates[i] = Candidate{ID: fmt.Sprint("engine-", i), Slots: 64}
		}
		var ends [duration][]int
		over, spilled := 0, 0
		for i := range rounds {
			for _, c := range ends[i%duration] {
				candidates[c].Load--
			}
			ends[i%duration] = nil
			key := fmt.Sprint("document-", i*7919%67)
			if i%100 < 28 {
				key = "hot"
			}
			order := rendezvousOrder(key, candidates)
			choice := Choice{Index: 0, Reason: "home"}
			if bounded {
				choice = New(2).PickAffine(order, serviceLoadOf(candidates))
			}
			choice.Index = slices.IndexFunc(candidates, func(c Candidate) bool { return c.ID == order[choice.Index].ID })
			if choice.Reason == "spill" && key != "hot" {
				spilled++
			}
			candidates[choice.Index].Load++
			ends[i%duration] = append(ends[i%duration], choice.Index)
			total := 0
			for _, c := range candidates {
				total += c.Load
			}
			if float64(candidates[choice.Index].Load) > 2*float64(total)/engines+3 {
				over++
			}
		}
		if bounded && (over > 0 || spilled > rounds/10) {
			t.Errorf("%d requests met an engine over the limit, and %d requests of other documents left their home", over, spilled)
		}
		if !bounded && over < rounds/20 {
			t.Errorf("rendezvous order without a bound exceeded the limit only %d times, so the load is too low for this test", over)
		}
	}
}

// TestAffineBoundWithDrainingDomain guards against overload while a failure
// domain with 4 of 11 engines drains. The mean load includes the draining
// engines, so the limit of twice the mean plus 3 is lower than a bound over the
// active engines allows. At most 3% of the requests may meet an engine over the
// limit; a bound over the active engines alone exceeds that.
func TestAffineBoundWithDrainingDomain(t *testing.T) {
	const active, draining, requests, duration = 7, 4, 6000, 60
	overLimitShare := func(countedDraining int) float64 {
		random := rand.New(rand.NewPCG(1, 2))
		candidates := make([]Candidate, active)
		for i := range candidates {
			candidates[i] = Candidate{ID: fmt.Sprint("engine-", i), Slots: 64}
		}
		var ends [duration]int
		for i := range ends {
			ends[i] = -1
		}
		over := 0
		for i := range requests {
			if c := ends[i%duration]; c >= 0 {
				candidates[c].Load--
			}
			order := rendezvousOrder(fmt.Sprint("document-", int(random.ExpFloat64()*12)), candidates)
			service := serviceLoadOf(candidates)
			service.Draining = countedDraining
			first := order[New(2).PickAffine(order, service).Index].ID
			c := slices.IndexFunc(candidates, func(c Candidate) bool { return c.ID == first })
			if float64(candidates[c].Load) > 2*float64(duration)/(active+draining)+3 {
				over++
			}
			candidates[c].Load++
			ends[i%duration] = c
		}
		return float64(over) / requests
	}
	if share := overLimitShare(draining); share > 0.03 {
		t.Errorf("%.3f of the requests met an engine over the limit", share)
	}
	if share := overLimitShare(0); share <= 0.03 {
		t.Errorf("with a bound over the active engines only %.3f of the requests met an engine over the limit, so the load is too low for this test", share)
	}
}

// TestPickOfTwoWithStaleLoads guards against routers that all pick the same
// upstream until the next digest, as picking the least loaded one does. It
// simulates 78 routers and 5 upstreams with 6 slots each, 190 requests per
// second of 60 ms, and digests every 400 ms.
func TestPickOfTwoWithStaleLoads(t *testing.T) {
	const routers, upstreams, slots, digestMS, workMS, seconds = 78, 5, 6, 400, 60, 60
	rejectedShare := func(pick func(draw uint64, c []Candidate) int) (share float64) {
		random := rand.New(rand.NewPCG(1, 2))
		var own [routers][upstreams]int
		var reported, running [upstreams]int
		type end struct{ router, upstream int }
		ends := map[int][]end{}
		rejected, requests := 0, 0
		for ms := range seconds * 1000 {
			for _, e := range ends[ms] {
				own[e.router][e.upstream]--
				running[e.upstream]--
			}
			delete(ends, ms)
			if ms%digestMS == 0 {
				reported = running
			}
			if random.IntN(1000) >= 190 {
				continue
			}
			requests++
			r := random.IntN(routers)
			candidates := make([]Candidate, upstreams)
			for u := range candidates {
				candidates[u] = Candidate{ID: fmt.Sprint(u), Load: reported[u] + own[r][u], OwnLoad: own[r][u], Slots: slots}
			}
			u := pick(random.Uint64(), candidates)
			if running[u] >= slots {
				rejected++
				continue
			}
			own[r][u]++
			running[u]++
			ends[ms+workMS] = append(ends[ms+workMS], end{r, u})
		}
		return float64(rejected) / float64(requests)
	}
	twoChoices := rejectedShare(func(draw uint64, c []Candidate) int { return PickOfTwo(draw, c).Index })
	leastLoadedShare := rejectedShare(func(_ uint64, c []Candidate) int {
		return leastLoaded(c, []int{0, 1, 2, 3, 4}).Index
	})
	// By Erlang's loss formula, a random choice is rejected in 2% of the cases
	// at this load.
	if twoChoices > 0.03 || leastLoadedShare < 3*twoChoices {
		t.Errorf("%.3f of the requests met a full upstream, with the least loaded choice %.3f", twoChoices, leastLoadedShare)
	}
}

// rendezvousOrder returns the candidates in rendezvous order for a key.
func rendezvousOrder(key string, list []Candidate) []Candidate {
	order := rendezvous.TopN(rendezvous.Key(key), len(list), len(list), func(i int) (uint64, bool) {
		return xxhash.Sum64String(list[i].ID), true
	})
	sorted := make([]Candidate, len(list))
	for i, c := range order {
		sorted[i] = list[c]
	}
	return sorted
}

// serviceLoadOf returns the load of a service whose upstreams are all
// candidates.
func serviceLoadOf(list []Candidate) ServiceLoad {
	s := ServiceLoad{Active: len(list)}
	for _, c := range list {
		s.ActiveLoad += c.Load
	}
	return s
}

// TestBound guards against a bound above the configured multiple of the
// mean load plus 3, above which the platform counts an overload.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 200).Draw(t, "n")
		total := rapid.IntRange(0, 20000).Draw(t, "total")
		multiple := rapid.Float64Range(1, 4).Draw(t, "multiple")
		if b, limit := New(multiple).loadBound(total, n), multiple*float64(total+1)/float64(n)+3; float64(b) > limit {
			t.Fatalf("bound %d for a load of %d on %d upstreams exceeds %.1f", b, total, n, limit)
		}
	})
}

// TestHealth guards against using an upstream that keeps failing and against
// avoiding one that has recovered.
func TestHealth(t *testing.T) {
	h := NewHealth()
	now := clock.Instant(time.Hour)
	h.RecordUnreachable(now, "a")
	if !h.Suspect(now, "a") {
		t.Error("an unreachable upstream is not suspect")
	}
	now = now.Add(maxEjection)
	if h.Suspect(now, "a") {
		t.Error("an upstream is suspect for longer than the longest ejection")
	}
	for range 3 {
		h.RecordFailure(now, "b")
	}
	if h.Suspect(now, "b") {
		t.Error("an upstream is suspect after three failures")
	}
	for range 10 {
		h.RecordFailure(now, "b")
	}
	if !h.Suspect(now, "b") {
		t.Error("an upstream that always fails is not suspect")
	}
	h.RecordSuccess(now, "b")
	if h.Suspect(now, "b") {
		t.Error("an upstream is suspect after a response")
	}
}

// TestRisky guards against requests that nothing can replace being sent to an
// upstream that fails what it accepts, against avoiding one for long that only
// could not be reached or that succeeds again, and against never using one again.
func TestRisky(t *testing.T) {
	now := clock.Instant(time.Hour)
	failing, unreachable := NewHealth(), NewHealth()
	for range 20 {
		failing.RecordFailure(now, "a")
	}
	unreachable.RecordUnreachable(now, "a")
	afterEjection := now.Add(maxEjection)
	if failing.Suspect(afterEjection, "a") || !failing.Risky(afterEjection, "a") {
		t.Error("an upstream on probation is not only risky")
	}
	if unreachable.Risky(afterEjection, "a") || failing.Risky(afterEjection, "b") {
		t.Error("an upstream that was unreachable, or is unknown, is risky")
	}
	if failing.Risky(now.Add(maxEjection+probation), "a") {
		t.Error("the probation does not end")
	}
	for range 5 {
		failing.RecordSuccess(afterEjection, "a")
	}
	if failing.Risky(afterEjection, "a") {
		t.Error("an upstream is risky after successes")
	}
}

// TestProbesByReplaceableRequests simulates a large fleet in which one of six
// upstreams fails all that it accepts for 8 s, as a server does that calls itself
// healthy. It guards against losing requests that nothing can replace as probes:
// with Suspect in place of Risky for them, the fleet loses at least twice as many.
func TestProbesByReplaceableRequests(t *testing.T) {
	const routers, upstreams, seconds, perRouterPerSecond = 295, 6, 8, 1.6
	lost := func(suspect func(h *Health, now clock.Instant, id string, replaceable bool) bool) (n int) {
		random := rand.New(rand.NewPCG(1, 2))
		fleet := make([]*Health, routers)
		for i := range fleet {
			fleet[i] = NewHealth()
		}
		const step = 10 * time.Millisecond
		for now := clock.Instant(time.Hour); now < clock.Instant(time.Hour+seconds*time.Second); now = now.Add(step) {
			for _, h := range fleet {
				// Each router reports to one peer after the other, all within 3 s.
				if random.IntN(20) == 0 {
					for _, o := range h.TakeOutcomes() {
						for range routers / 15 {
							fleet[random.IntN(routers)].MergePeer(now, o)
						}
					}
				}
				if random.Float64() >= perRouterPerSecond*step.Seconds() {
					continue
				}
				replaceable := random.IntN(4) == 0
				candidates := make([]Candidate, upstreams)
				for u := range candidates {
					id := string(rune('a' + u))
					candidates[u] = Candidate{ID: id, Slots: 6, Suspect: suspect(h, now, id, replaceable)}
				}
				id := candidates[PickOfTwo(random.Uint64(), candidates).Index].ID
				switch {
				case id != "a":
					h.RecordSuccess(now, id)
				case replaceable:
					h.RecordFailure(now, id)
				default:
					h.RecordFailure(now, id)
					n++
				}
			}
		}
		return n
	}
	withProbation := lost(func(h *Health, now clock.Instant, id string, replaceable bool) bool {
		if replaceable {
			return h.Suspect(now, id)
		}
		return h.Risky(now, id)
	})
	naive := lost(func(h *Health, now clock.Instant, id string, _ bool) bool { return h.Suspect(now, id) })
	t.Logf("lost %d, %d if any request probes", withProbation, naive)
	if 2*withProbation > naive {
		t.Errorf("lost %d requests, %d if any request probes", withProbation, naive)
	}
}

// TestRecordPause guards against sending requests to an upstream that asked for a
// pause while it still responds to earlier requests, against a pause that is cut
// short, also by a shorter one, and against one that does not end.
func TestRecordPause(t *testing.T) {
	h, peer := NewHealth(), NewHealth()
	now := clock.Instant(time.Hour)
	h.RecordPause(now, "a", time.Minute)
	h.RecordPause(now, "a", time.Second)
	h.RecordSuccess(now, "a")
	if last := now.Add(time.Minute - 1); !h.Suspect(last, "a") || h.PauseLeft(last, "a") != 1 {
		t.Error("a paused upstream is not suspect")
	}
	h.Retain(now, nil)
	if h.PauseLeft(now, "a") != time.Minute {
		t.Error("a pause is forgotten when the registration of its upstream lapses")
	}
	if end := now.Add(time.Minute); h.Suspect(end, "a") || h.PauseLeft(end, "a") != 0 {
		t.Error("an upstream is suspect after its pause")
	}
	if h.PauseLeft(now, "b") != 0 {
		t.Error("an unknown upstream is paused")
	}
	for _, s := range h.TakeOutcomes() {
		peer.MergePeer(now, s)
	}
	if !peer.Suspect(now, "a") {
		t.Error("the paused upstream is not reported to peers")
	}
	unreachable := NewHealth()
	unreachable.RecordUnreachable(now, "a")
	unreachable.RecordSuccess(now, "a")
	if unreachable.Suspect(now, "a") {
		t.Error("an unreachable upstream is suspect after a response, so this test does not tell a pause from unreachable")
	}
}

// TestMergePeer guards against every router trying an upstream that fails for
// the whole fleet, and against ejecting an upstream that only one peer cannot
// reach.
func TestMergePeer(t *testing.T) {
	now := clock.Instant(time.Hour)
	routers := make([]*Health, 30)
	for i := range routers {
		routers[i] = NewHealth()
	}
	exchange := func() {
		for i, from := range routers {
			for _, s := range from.TakeOutcomes() {
				for j, to := range routers {
					if i != j {
						to.MergePeer(now, s)
					}
				}
			}
		}
	}
	for i := range 5 {
		routers[i].RecordFailure(now, "mute")
		routers[i].RecordSuccess(now, "good")
	}
	exchange()
	if !routers[29].Suspect(now, "mute") || routers[29].Suspect(now, "good") {
		t.Error("the outcomes reported by five peers do not eject the failing upstream alone")
	}
	routers[0].RecordUnreachable(now, "cut")
	routers[1].RecordSuccess(now, "cut")
	exchange()
	if routers[1].Suspect(now, "cut") || !routers[2].Suspect(now, "cut") {
		t.Error("a router that reaches the upstream ejects it, or one without outcomes of its own does not")
	}
	exchange()
	if len(routers[0].TakeOutcomes()) != 0 {
		t.Error("outcomes are reported twice")
	}
}

// TestEligibleCandidatesMostSuspect guards against overloading the last healthy
// upstreams when most upstreams of a service are suspect.
func TestEligibleCandidatesMostSuspect(t *testing.T) {
	list := []Candidate{{ID: "a", Suspect: true}, {ID: "b", Suspect: true}, {ID: "c", OwnLoad: 9, Load: 9}}
	if got := eligibleCandidates(list); len(got) != 3 {
		t.Errorf("%d of 3 upstreams are used", len(got))
	}
	list[1].Suspect = false
	if got := eligibleCandidates(list); len(got) != 2 {
		t.Errorf("%d upstreams are used, want the two healthy ones", len(got))
	}
}

// TestAffineBoundWithReportedLoads guards against overload from stale loads
// while a failure domain with 25 of 63 engines drains. 91 routers send 600
// requests per second that run for a third of a second, but know the loads of
// peers only as a mean over the last 0.9 s. With the loads above the bound that
// engines report in their responses, at most 3% of the requests may meet an
// engine over twice the mean plus 3; without them more do.
func TestAffineBoundWithReportedLoads(t *testing.T) {
	const (
		active, draining, documents = 38, 25, 300
		perSecond, seconds          = 600, 60
		stepMS, windowMS            = 10, 900
		responseMS, lifetimeMS      = 100, 300
		shortestMS, longestMS       = 100, 600
		limitFactor, limitMargin    = 2.0, 3.0
	)
	overLimitShare := func(withReportedLoads bool) float64 {
		random := rand.New(rand.NewPCG(1, 2))
		var running, reportedAt, reportedLoad [active]int
		var window [windowMS / stepMS][active]int
		var sums [active]int
		ends, responses := map[int][]int{}, map[int][]int{}
		over, requests, total := 0, 0, 0
		for ms := range seconds * 1000 {
			for _, u := range ends[ms] {
				running[u]--
				total--
			}
			if ms%stepMS == 0 {
				slot := &window[ms/stepMS%len(window)]
				for u := range running {
					sums[u] += running[u] - slot[u]
				}
				*slot = running
			}
			bound := New(limitFactor).affineBound(ServiceLoad{Active: active, ActiveLoad: total, Draining: draining}, 1)
			for _, u := range responses[ms] {
				if running[u] > bound {
					reportedAt[u], reportedLoad[u] = ms, running[u]
				}
			}
			delete(ends, ms)
			delete(responses, ms)
			if random.IntN(1000) >= perSecond {
				continue
			}
			candidates := make([]Candidate, active)
			for u := range candidates {
				candidates[u] = Candidate{ID: fmt.Sprint("engine-", u), Load: sums[u] / len(window), Slots: 64}
				if withReportedLoads && reportedAt[u] > 0 && ms-reportedAt[u] < lifetimeMS {
					candidates[u].Load = max(candidates[u].Load, reportedLoad[u])
				}
			}
			order := rendezvousOrder(fmt.Sprint("document-", random.IntN(documents)), candidates)
			choice := New(limitFactor).PickAffine(order, ServiceLoad{Active: active, ActiveLoad: total, Draining: draining})
			u := slices.IndexFunc(candidates, func(c Candidate) bool { return c.ID == order[choice.Index].ID })
			requests++
			if float64(running[u]) > limitFactor*float64(total)/(active+draining)+limitMargin {
				over++
			}
			running[u]++
			total++
			end := ms + shortestMS + random.IntN(longestMS-shortestMS)
			ends[end] = append(ends[end], u)
			responses[ms+responseMS] = append(responses[ms+responseMS], u)
		}
		return float64(over) / float64(requests)
	}
	withReportedLoads, withoutReportedLoads := overLimitShare(true), overLimitShare(false)
	if withReportedLoads > 0.03 {
		t.Errorf("%.3f of the requests met an engine over the limit", withReportedLoads)
	}
	if withoutReportedLoads <= 0.03 {
		t.Errorf("without reported loads only %.3f of the requests met an engine over the limit, so the load is too low for this test", withoutReportedLoads)
	}
}
