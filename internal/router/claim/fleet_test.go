package claim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hemlockcroft/hemlockcroft/internal/router/membership"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

const (
	tickInterval    = 100 * time.Millisecond
	grantLifetime   = 6 * time.Second
	listSkew        = 5 * time.Second
	responseTimeout = time.Second
)

// ownership is what the admission state of a router holds for an upstream.
type ownership struct {
	gained     time.Time
	fullAtOnce bool // the full limit applies from the start
	fencing    uint64
}

// process is a router in the simulated fleet.
type process struct {
	sim                                                *simulation
	peer                                               membership.Peer
	boot                                               int
	members                                            *membership.Members
	claims                                             *Claims
	owned                                              map[string]ownership
	version                                            uint64
	ready, draining                                    bool
	running, paused, storeUnreachable, listUnreachable bool
	watchesStore                                       bool
	inbox                                              []func()
	index                                              int
}

// simulation is a fleet with one store. It knows the actual state of all
// routers and records violations of the invariants.
type simulation struct {
	now          time.Time
	ticks        int
	r            *rand.Rand
	store        *fakeStore
	storeDown    bool
	version      uint64
	routers      []*process
	cutLinks     map[[2]int]bool
	hostLists    []hostListAt // newest last
	lastFencing  map[string]uint64
	lastVersions map[string]uint64
	confirmed    []confirmedChange
	faults       bool
	violations   []string
	permissions  func(p *process) (full, fresh bool)
	coverage     map[string]int
}

type hostListAt struct {
	at    time.Time
	peers []membership.Peer
}

// confirmedChange is a change that a majority of the listed routers confirmed.
type confirmedChange struct {
	version uint64
	at      time.Time
}

var fleetUpstreams = []Upstream{
	{"a-1", "dom-a", "reg"},
	{"a-2", "dom-a", "reg"},
	{"a-3", "dom-a", "reg"},
	{"b-1", "dom-b", "reg"},
	{"b-2", "dom-b", "reg"},
	{"c-1", "dom-c", "reg"},
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		now: time.Unix(1000, 0), r: rand.New(rand.NewPCG(seed, 1)), version: 1,
		cutLinks: map[[2]int]bool{}, lastFencing: map[string]uint64{}, lastVersions: map[string]uint64{}, coverage: map[string]int{},
	}
	s.permissions = func(p *process) (full, fresh bool) { return p.claims.FullLimitAllowed(s.now), p.members.Fresh(s.now) }
	s.store = newFakeStore(s.now)
	for i, id := range []string{"ra-1", "ra-2", "ra-3", "rb-1", "rb-2"} {
		p := membership.Peer{ID: id, Address: id, FailureDomain: "dom-" + id[1:2], Region: "reg"}
		s.routers = append(s.routers, &process{sim: s, peer: p, index: i, watchesStore: i%3 == 0})
	}
	s.setHostList(s.routers)
	for _, p := range s.routers {
		p.start()
	}
	return s
}

// setHostList makes the given routers the current host list.
func (s *simulation) setHostList(routers []*process) {
	var peers []membership.Peer
	for _, p := range routers {
		peers = append(peers, p.peer)
	}
	s.hostLists = append(s.hostLists, hostListAt{s.now, peers})
}

// laggedHostList returns the host list as a reader with a random delay of up to
// listSkew sees it.
func (s *simulation) laggedHostList() []membership.Peer {
	at := s.now.Add(-time.Duration(s.r.Int64N(int64(listSkew))))
	for i := len(s.hostLists) - 1; i > 0; i-- {
		if !s.hostLists[i].at.After(at) {
			return s.hostLists[i].peers
		}
	}
	return s.hostLists[0].peers
}

func (p *process) start() {
	p.boot++
	self := membership.Self{ID: p.peer.ID, BootID: fmt.Sprint(p.boot), Address: p.peer.Address, FailureDomain: p.peer.FailureDomain, Region: "reg"}
	p.members = membership.New(self)
	p.claims = New(p.sim.store, Self(self), p.members, p)
	p.owned, p.version, p.inbox = map[string]ownership{}, 0, nil
	p.running, p.paused, p.ready, p.draining = true, false, false, false
}

func (p *process) checkFencing(upstream string, fencing uint64) {
	if fencing <= p.sim.lastFencing[upstream] {
		p.sim.reportViolation("fencing token of %s at %s is %d after %d", upstream, p.peer.ID, fencing, p.sim.lastFencing[upstream])
	}
	p.sim.lastFencing[upstream] = fencing
}

func (p *process) Gained(now time.Time, upstream string, fencing uint64, handover *rpc.HandoverRequest, first bool) {
	if first && p.sim.lastFencing[upstream] != 0 {
		p.sim.reportViolation("%s counts as a first claim at %s", upstream, p.peer.ID)
	}
	p.checkFencing(upstream, fencing)
	if handover != nil {
		p.sim.coverage["handover"]++
	}
	if first {
		p.sim.coverage["first claim"]++
	}
	p.owned[upstream] = ownership{now, handover != nil || first, fencing}
}

func (p *process) FencingChanged(_ time.Time, upstream string, fencing uint64) {
	p.checkFencing(upstream, fencing)
	o := p.owned[upstream]
	p.sim.coverage["renewed"]++
	o.fencing = fencing
	p.owned[upstream] = o
}

func (p *process) Lost(_ time.Time, upstream string) { delete(p.owned, upstream) }

func (p *process) StartHandover(_ time.Time, upstream string, to membership.Peer) {
	r := &rpc.HandoverRequest{Router: p.peer.ID, Upstream: upstream, Fencing: p.owned[upstream].fencing}
	delete(p.owned, upstream)
	p.call(to.ID, func(q *process) any { return q.claims.AcceptHandover(p.sim.now, r) }, func(response any) {
		p.claims.FinishHandover(p.sim.now, upstream, response == true)
	})
}

// call sends a request to another router. A paused receiver handles it when it
// resumes. The sender treats responses after responseTimeout as lost.
func (p *process) call(to string, handle func(q *process) any, receive func(response any)) {
	s := p.sim
	i := slices.IndexFunc(s.routers, func(q *process) bool { return q.peer.ID == to })
	q, sent, boot := s.routers[i], s.now, p.boot
	if !q.running || s.blocked(p, q) {
		receive(nil)
		return
	}
	toBoot := q.boot
	q.inbox = append(q.inbox, func() {
		if q.boot != toBoot {
			return
		}
		response := handle(q)
		if s.blocked(p, q) || s.faults && s.r.IntN(8) == 0 || s.now.Sub(sent) > responseTimeout {
			response = nil
		}
		p.inbox = append(p.inbox, func() {
			if p.boot == boot {
				receive(response)
			}
		})
	})
}

func (s *simulation) blocked(p, q *process) bool { return s.cutLinks[[2]int{p.index, q.index}] }

// tick runs one tick of a router: messages, host list, configuration, exchanges
// and claims.
func (p *process) tick() {
	s := p.sim
	inbox := p.inbox
	p.inbox = nil
	for _, handle := range inbox {
		handle()
	}
	if (s.ticks+p.index)%20 == 0 && !p.listUnreachable {
		p.members.SetHostList(s.now, s.laggedHostList())
		p.claims.SetUpstreams(s.now, fleetUpstreams)
	}
	p.updateConfig()
	p.claims.Step(s.now)
	p.members.SetStoreReachable(s.now, p.claims.StoreReachable())
	if (s.ticks+p.index)%5 == 0 {
		p.exchange()
	}
}

func (p *process) updateConfig() {
	s := p.sim
	if p.watchesStore && s.ticks%10 == 0 && !s.storeDown && !p.storeUnreachable {
		p.adoptConfig(s.version, s.now)
	}
	if v, from := p.members.NewestConfig(); v > p.version {
		for _, q := range s.routers {
			if q.peer.Address == from && q.running && !q.paused && !s.blocked(p, q) {
				p.adoptConfig(q.version, time.Time{})
			}
		}
	}
	if !p.ready && p.members.Fresh(s.now) {
		p.ready = true
		p.members.SetState(rpc.RouterState_ROUTER_STATE_READY)
	}
}

func (p *process) adoptConfig(version uint64, confirmed time.Time) {
	p.version = max(p.version, version)
	p.members.SetConfig(p.sim.now, version, confirmed)
}

func (p *process) exchange() {
	sent := p.sim.now
	request := p.members.NewRequest(sent, p.claims.WantsHoldOff(sent))
	for _, t := range p.members.Targets(sent) {
		p.call(t.ID, func(q *process) any { return q.members.HandleRequest(q.sim.now, request) }, func(response any) {
			if r, ok := response.(*rpc.ExchangeResponse); ok {
				p.members.HandleResponse(sent, p.sim.now, t.Address, r)
			}
		})
	}
}

// advance runs the fleet for the given ticks and checks the invariants after
// each.
func (s *simulation) advance(ticks int) {
	for range ticks {
		s.now = s.now.Add(tickInterval)
		s.ticks++
		s.store.advance(s.now)
		if s.r.IntN(30) == 0 {
			s.store.applyLate()
		}
		for _, i := range s.r.Perm(len(s.routers)) {
			p := s.routers[i]
			if !p.running {
				continue
			}
			if !p.paused {
				p.tick()
			}
			// A call in flight continues while its process is paused.
			s.store.nextFault = s.drawFault(p)
			p.claims.performPending()
		}
		s.checkInvariants()
	}
}

func (s *simulation) drawFault(p *process) storeFault {
	switch {
	case s.storeDown || p.storeUnreachable:
		return faultDown
	case s.faults && s.r.IntN(4) == 0:
		return storeFault(1 + s.r.IntN(3))
	}
	return faultNone
}

func (s *simulation) reportViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("at %v: ", s.now.Sub(time.Unix(1000, 0)))+fmt.Sprintf(format, args...))
}

// hasFullLimit reports whether p admits beyond the reserve at the upstream.
func (p *process) hasFullLimit(upstream string, limit bool) bool {
	o, ok := p.owned[upstream]
	return p.running && ok && limit && (o.fullAtOnce || p.sim.now.Sub(o.gained) >= grantLifetime)
}

// checkInvariants records violations: two routers with the full limit for one
// upstream, a configuration version that decreases, and a router that counts as
// fresh although it lacks a change that was confirmed longer ago than the
// freshness limit.
func (s *simulation) checkInvariants() {
	holders := map[string][]string{}
	for _, p := range s.routers {
		if !p.running {
			continue
		}
		limit, fresh := s.permissions(p)
		if limit && !s.now.Before(p.claims.LeaseUntil()) {
			s.coverage["limit under promises"]++
		}
		if fresh && p.version < s.version {
			s.coverage["fresh before a change arrives"]++
		}
		for upstream := range p.owned {
			if p.hasFullLimit(upstream, limit) {
				holders[upstream] = append(holders[upstream], p.peer.ID)
			}
		}
		key := fmt.Sprintf("%s/%d", p.peer.ID, p.boot)
		if p.version < s.lastVersions[key] {
			s.reportViolation("version of %s went back from %d to %d", key, s.lastVersions[key], p.version)
		}
		s.lastVersions[key] = p.version
		for _, c := range s.confirmed {
			if fresh && p.version < c.version && s.now.Sub(c.at) > membership.FreshnessLimit {
				s.reportViolation("%s is fresh with version %d, %d was confirmed at %v", key, p.version, c.version, c.at.Sub(time.Unix(1000, 0)))
			}
		}
	}
	for upstream, ids := range holders {
		if len(ids) > 1 {
			s.reportViolation("%s has the full limit at %s", upstream, strings.Join(ids, " and "))
		}
	}
}

// changeConfig applies an operator's change that reaches some of the routers.
func (s *simulation) changeConfig(skip int) {
	if s.storeDown {
		return
	}
	s.version++
	listed, confirmed := s.laggedHostList(), 0
	for _, p := range s.routers {
		inList := slices.ContainsFunc(listed, func(l membership.Peer) bool { return l.ID == p.peer.ID })
		if p.running && !p.paused && inList && s.r.IntN(4) >= skip {
			p.adoptConfig(s.version, time.Time{})
			confirmed++
		}
	}
	if confirmed > len(listed)/2 {
		s.coverage["confirmed"]++
		s.confirmed = append(s.confirmed, confirmedChange{s.version, s.now})
	}
}

// events are the possible events: do applies one to router p, with variant k.
var events = []struct {
	name string
	do   func(s *simulation, p *process, k int)
}{
	{"nothing", func(*simulation, *process, int) {}},
	{"store down", func(s *simulation, _ *process, _ int) { s.storeDown = !s.storeDown }},
	{"store cut", func(_ *simulation, p *process, _ int) { p.storeUnreachable = !p.storeUnreachable }},
	{"host list cut", func(_ *simulation, p *process, _ int) { p.listUnreachable = !p.listUnreachable }},
	{"faults", func(s *simulation, _ *process, _ int) { s.faults = !s.faults }},
	{"pause", func(_ *simulation, p *process, _ int) { p.paused = p.running && !p.paused }},
	{"kill or start", func(_ *simulation, p *process, _ int) {
		if p.running = !p.running; p.running {
			p.start()
		}
	}},
	{"restart", func(_ *simulation, p *process, _ int) { p.start() }},
	{"leave", func(_ *simulation, p *process, _ int) {
		p.draining = true
		p.members.SetState(rpc.RouterState_ROUTER_STATE_LEAVING)
		p.claims.Drain()
	}},
	{"partition", func(s *simulation, _ *process, k int) {
		for i := range s.routers {
			for j := range s.routers {
				s.cutLinks[[2]int{i, j}] = k>>i&1 != k>>j&1
			}
		}
	}},
	{"one link", func(s *simulation, p *process, k int) {
		l := [2]int{p.index, k % len(s.routers)}
		s.cutLinks[l] = !s.cutLinks[l]
	}},
	{"heal", func(s *simulation, _ *process, _ int) { s.cutLinks = map[[2]int]bool{} }},
	{"recover", func(s *simulation, _ *process, _ int) {
		s.cutLinks, s.storeDown, s.faults = map[[2]int]bool{}, false, false
		for _, p := range s.routers {
			p.storeUnreachable, p.listUnreachable, p.paused = false, false, false
			if !p.running || p.draining {
				p.start()
			}
		}
	}},
	{"host list", func(s *simulation, _ *process, k int) {
		var routers []*process
		for i, p := range s.routers {
			if k>>i&1 == 1 {
				routers = append(routers, p)
			}
		}
		s.setHostList(routers)
	}},
	{"whole host list", func(s *simulation, _ *process, _ int) { s.setHostList(s.routers) }},
	{"change", func(s *simulation, _ *process, k int) { s.changeConfig(k % 3) }},
}

// runEvents applies a series of events and stops at the first violation.
func (s *simulation) runEvents(steps int, draw func(n int, label string) int) {
	s.advance(200)
	for range steps {
		e := events[draw(len(events), "event")]
		e.do(s, s.routers[draw(len(s.routers), "router")], draw(32, "kind"))
		s.advance(1 + draw(60, "ticks"))
		if len(s.violations) > 0 {
			return
		}
	}
}

// TestFleetInvariants guards against two routers at the full limit for one
// upstream, a second claim that counts as the first, fencing tokens and
// configuration versions that decrease, and work under a replaced configuration.
func TestFleetInvariants(t *testing.T) {
	reached := map[string]int{"first claim": 0, "handover": 0, "renewed": 0, "limit under promises": 0, "fresh before a change arrives": 0, "confirmed": 0}
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(t, "seed"))
		s.runEvents(25, func(n int, label string) int { return rapid.IntRange(0, n-1).Draw(t, label) })
		if len(s.violations) > 0 {
			t.Fatal(strings.Join(s.violations, "\n"))
		}
		for what, n := range s.coverage {
			reached[what] += n
		}
	})
	for what, n := range reached {
		if n == 0 {
			t.Errorf("no run reached %q", what)
		}
	}
}

// TestInvariantsCatchNaiveRouter guards against invariants that can't fail. A
// router that trusts its lease until the store denies it, and keeps using its
// last configuration, must violate them.
func TestInvariantsCatchNaiveRouter(t *testing.T) {
	missing := []string{"has the full limit", "is fresh with version"}
	for seed := uint64(0); seed < 100 && len(missing) > 0; seed++ {
		r := rand.New(rand.NewPCG(seed, 2))
		s := newSimulation(seed)
		s.permissions = func(p *process) (full, fresh bool) { return true, p.version > 0 }
		s.runEvents(60, func(n int, _ string) int { return r.IntN(n) })
		faults := strings.Join(s.violations, "\n")
		missing = slices.DeleteFunc(missing, func(kind string) bool { return strings.Contains(faults, kind) })
	}
	if len(missing) > 0 {
		t.Errorf("the naive router violated no invariant with %q", missing)
	}
}
