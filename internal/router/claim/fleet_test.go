package claim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hemlockcroft/hemlockcroft/internal/router/member"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

const (
	tickInterval  = 100 * time.Millisecond
	grantLifetime = 6 * time.Second
	listSkew      = 5 * time.Second
	answerTimeout = time.Second
)

// ownership is what the admission state of a router would hold.
type ownership struct {
	gained     time.Time
	fullAtOnce bool // at the full limit from the start
	fencing    uint64
}

// process is one boot of a router in the simulated fleet.
type process struct {
	sim                                           *simulation
	peer                                          member.Peer
	boot                                          int
	members                                       *member.Members
	claims                                        *Claims
	owned                                         map[string]ownership
	version                                       uint64
	ready, leaving                                bool
	up, paused, storeUnreachable, listUnreachable bool
	watchesStore                                  bool
	inbox                                         []func()
	index                                         int
}

// simulation is a fleet over one store, with the truth about it.
type simulation struct {
	now          time.Time
	ticks        int
	r            *rand.Rand
	store        *fakeStore
	storeDown    bool
	version      uint64
	routers      []*process
	cutLinks     map[[2]int]bool
	hostLists    []hostListAt // of the host list, newest last
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
	peers []member.Peer
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

func newWorld(seed uint64) *simulation {
	w := &simulation{
		now: time.Unix(1000, 0), r: rand.New(rand.NewPCG(seed, 1)), version: 1,
		cutLinks: map[[2]int]bool{}, lastFencing: map[string]uint64{}, lastVersions: map[string]uint64{}, coverage: map[string]int{},
	}
	w.permissions = func(p *process) (full, fresh bool) { return p.claims.FullLimit(w.now), p.members.Fresh(w.now) }
	w.store = newFakeStore(w.now)
	for i, id := range []string{"ra-1", "ra-2", "ra-3", "rb-1", "rb-2"} {
		p := member.Peer{ID: id, Address: id, FailureDomain: "dom-" + id[1:2], Region: "reg"}
		w.routers = append(w.routers, &process{sim: w, peer: p, index: i, watchesStore: i%3 == 0})
	}
	w.setHostList(w.routers)
	for _, p := range w.routers {
		p.start()
	}
	return w
}

// setHostList makes the given routers the truth of the host list.
func (w *simulation) setHostList(routers []*process) {
	var peers []member.Peer
	for _, p := range routers {
		peers = append(peers, p.peer)
	}
	w.hostLists = append(w.hostLists, hostListAt{w.now, peers})
}

// laggedHostList returns the host list as some reader may see it now.
func (w *simulation) laggedHostList() []member.Peer {
	at := w.now.Add(-time.Duration(w.r.Int64N(int64(listSkew))))
	for i := len(w.hostLists) - 1; i > 0; i-- {
		if !w.hostLists[i].at.After(at) {
			return w.hostLists[i].peers
		}
	}
	return w.hostLists[0].peers
}

func (p *process) start() {
	p.boot++
	s := member.Self{ID: p.peer.ID, Boot: fmt.Sprint(p.boot), Address: p.peer.Address, FailureDomain: p.peer.FailureDomain, Region: "reg"}
	p.members = member.New(s)
	p.claims = New(p.sim.store, Self(s), p.members, p)
	p.owned, p.version, p.inbox = map[string]ownership{}, 0, nil
	p.up, p.paused, p.ready, p.leaving = true, false, false, false
}

func (p *process) checkFencing(upstream string, fencing uint64) {
	if fencing <= p.sim.lastFencing[upstream] {
		p.sim.reportViolation("fencing token of %s at %s is %d after %d", upstream, p.peer.ID, fencing, p.sim.lastFencing[upstream])
	}
	p.sim.lastFencing[upstream] = fencing
}

func (p *process) Gained(now time.Time, upstream string, fencing uint64, handover *rpc.HandoverRequest, first bool) {
	if first && p.sim.lastFencing[upstream] != 0 {
		p.sim.reportViolation("%s counts as never owned at %s", upstream, p.peer.ID)
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

func (p *process) StartHandover(_ time.Time, upstream string, to member.Peer) {
	r := &rpc.HandoverRequest{Router: p.peer.ID, Upstream: upstream, Fencing: p.owned[upstream].fencing}
	delete(p.owned, upstream)
	p.call(to.ID, func(q *process) any { return q.claims.AcceptHandover(p.sim.now, r) }, func(answer any) {
		p.claims.FinishHandover(p.sim.now, upstream, answer == true)
	})
}

// call sends a request to another router. A paused receiver handles it when it
// resumes; the sender takes answers for answerTimeout.
func (p *process) call(to string, handle func(q *process) any, take func(answer any)) {
	w := p.sim
	i := slices.IndexFunc(w.routers, func(q *process) bool { return q.peer.ID == to })
	q, sent, boot := w.routers[i], w.now, p.boot
	if !q.up || w.blocked(p, q) {
		take(nil)
		return
	}
	toBoot := q.boot
	q.inbox = append(q.inbox, func() {
		if q.boot != toBoot {
			return
		}
		answer := handle(q)
		if w.blocked(p, q) || w.faults && w.r.IntN(8) == 0 || w.now.Sub(sent) > answerTimeout {
			answer = nil
		}
		p.inbox = append(p.inbox, func() {
			if p.boot == boot {
				take(answer)
			}
		})
	})
}

func (w *simulation) blocked(p, q *process) bool { return w.cutLinks[[2]int{p.index, q.index}] }

// tick does one tick of a process: messages, lists, configuration, claims.
func (p *process) tick() {
	w := p.sim
	inbox := p.inbox
	p.inbox = nil
	for _, handle := range inbox {
		handle()
	}
	if (w.ticks+p.index)%20 == 0 && !p.listUnreachable {
		p.members.SetList(w.now, w.laggedHostList())
		p.claims.SetUpstreams(w.now, fleetUpstreams)
	}
	p.updateConfig()
	p.claims.Step(w.now)
	p.members.SetStoreReachable(w.now, p.claims.StoreReachable())
	if (w.ticks+p.index)%5 == 0 {
		p.exchange()
	}
}

func (p *process) updateConfig() {
	w := p.sim
	if p.watchesStore && w.ticks%10 == 0 && !w.storeDown && !p.storeUnreachable {
		p.adoptConfig(w.version, w.now)
	}
	if v, from := p.members.Newest(); v > p.version {
		for _, q := range w.routers {
			if q.peer.Address == from && q.up && !q.paused && !w.blocked(p, q) {
				p.adoptConfig(q.version, time.Time{})
			}
		}
	}
	if !p.ready && p.members.Fresh(w.now) {
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
	request := p.members.NewRequest(sent, p.claims.WantHoldOff(sent))
	for _, t := range p.members.Targets(sent) {
		p.call(t.ID, func(q *process) any { return q.members.HandleRequest(q.sim.now, request) }, func(answer any) {
			if r, ok := answer.(*rpc.ExchangeResponse); ok {
				p.members.HandleResponse(sent, p.sim.now, t.Address, r)
			}
		})
	}
}

// advance runs the fleet for some ticks and checks it after each.
func (w *simulation) advance(ticks int) {
	for range ticks {
		w.now = w.now.Add(tickInterval)
		w.ticks++
		w.store.advance(w.now)
		if w.r.IntN(30) == 0 {
			w.store.applyLate()
		}
		for _, i := range w.r.Perm(len(w.routers)) {
			p := w.routers[i]
			if !p.up {
				continue
			}
			if !p.paused {
				p.tick()
			}
			// A call that was under way goes on while its process is paused.
			w.store.nextFault = w.drawFault(p)
			p.claims.performPending()
		}
		w.checkInvariants()
	}
}

func (w *simulation) drawFault(p *process) storeFault {
	switch {
	case w.storeDown || p.storeUnreachable:
		return faultDown
	case w.faults && w.r.IntN(4) == 0:
		return storeFault(1 + w.r.IntN(3))
	}
	return faultNone
}

func (w *simulation) reportViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("at %v: ", w.now.Sub(time.Unix(1000, 0)))+fmt.Sprintf(format, args...))
}

// hasFullLimit reports whether p admits to the upstream beyond the reserve.
func (p *process) hasFullLimit(upstream string, limit bool) bool {
	o, ok := p.owned[upstream]
	return p.up && ok && limit && (o.fullAtOnce || p.sim.now.Sub(o.gained) >= grantLifetime)
}

// checkInvariants notes what must not be.
func (w *simulation) checkInvariants() {
	holders := map[string][]string{}
	for _, p := range w.routers {
		if !p.up {
			continue
		}
		limit, fresh := w.permissions(p)
		if limit && !w.now.Before(p.claims.LeaseUntil()) {
			w.coverage["limit under promises"]++
		}
		if fresh && p.version < w.version {
			w.coverage["fresh before a change arrives"]++
		}
		for upstream := range p.owned {
			if p.hasFullLimit(upstream, limit) {
				holders[upstream] = append(holders[upstream], p.peer.ID)
			}
		}
		key := fmt.Sprintf("%s/%d", p.peer.ID, p.boot)
		if p.version < w.lastVersions[key] {
			w.reportViolation("version of %s went back from %d to %d", key, w.lastVersions[key], p.version)
		}
		w.lastVersions[key] = p.version
		for _, c := range w.confirmed {
			if fresh && p.version < c.version && w.now.Sub(c.at) > member.FreshnessLimit {
				w.reportViolation("%s is fresh with version %d, %d was confirmed at %v", key, p.version, c.version, c.at.Sub(time.Unix(1000, 0)))
			}
		}
	}
	for upstream, ids := range holders {
		if len(ids) > 1 {
			w.reportViolation("%s has the full limit at %s", upstream, strings.Join(ids, " and "))
		}
	}
}

// changeConfig is an operator's change, pushed to some of the routers.
func (w *simulation) changeConfig(skip int) {
	if w.storeDown {
		return
	}
	w.version++
	listed, confirmed := w.laggedHostList(), 0
	for _, p := range w.routers {
		inList := slices.ContainsFunc(listed, func(l member.Peer) bool { return l.ID == p.peer.ID })
		if p.up && !p.paused && inList && w.r.IntN(4) >= skip {
			p.adoptConfig(w.version, time.Time{})
			confirmed++
		}
	}
	if confirmed > len(listed)/2 {
		w.coverage["confirmed"]++
		w.confirmed = append(w.confirmed, confirmedChange{w.version, w.now})
	}
}

// events are what may happen to the fleet, each to router i or in kind k.
var events = []struct {
	name string
	do   func(w *simulation, p *process, k int)
}{
	{"nothing", func(*simulation, *process, int) {}},
	{"store down", func(w *simulation, _ *process, _ int) { w.storeDown = !w.storeDown }},
	{"store cut", func(_ *simulation, p *process, _ int) { p.storeUnreachable = !p.storeUnreachable }},
	{"host list cut", func(_ *simulation, p *process, _ int) { p.listUnreachable = !p.listUnreachable }},
	{"faults", func(w *simulation, _ *process, _ int) { w.faults = !w.faults }},
	{"pause", func(_ *simulation, p *process, _ int) { p.paused = p.up && !p.paused }},
	{"kill or start", func(_ *simulation, p *process, _ int) {
		if p.up = !p.up; p.up {
			p.start()
		}
	}},
	{"restart", func(_ *simulation, p *process, _ int) { p.start() }},
	{"leave", func(_ *simulation, p *process, _ int) {
		p.leaving = true
		p.members.SetState(rpc.RouterState_ROUTER_STATE_LEAVING)
		p.claims.Drain()
	}},
	{"partition", func(w *simulation, _ *process, k int) {
		for i := range w.routers {
			for j := range w.routers {
				w.cutLinks[[2]int{i, j}] = k>>i&1 != k>>j&1
			}
		}
	}},
	{"one link", func(w *simulation, p *process, k int) {
		l := [2]int{p.index, k % len(w.routers)}
		w.cutLinks[l] = !w.cutLinks[l]
	}},
	{"heal", func(w *simulation, _ *process, _ int) { w.cutLinks = map[[2]int]bool{} }},
	{"recover", func(w *simulation, _ *process, _ int) {
		w.cutLinks, w.storeDown, w.faults = map[[2]int]bool{}, false, false
		for _, p := range w.routers {
			p.storeUnreachable, p.listUnreachable, p.paused = false, false, false
			if !p.up || p.leaving {
				p.start()
			}
		}
	}},
	{"host list", func(w *simulation, _ *process, k int) {
		var routers []*process
		for i, p := range w.routers {
			if k>>i&1 == 1 {
				routers = append(routers, p)
			}
		}
		w.setHostList(routers)
	}},
	{"whole host list", func(w *simulation, _ *process, _ int) { w.setHostList(w.routers) }},
	{"change", func(w *simulation, _ *process, k int) { w.changeConfig(k % 3) }},
}

// runEvents runs a fleet through a series of events, until the first fault.
func (w *simulation) runEvents(steps int, draw func(n int, label string) int) {
	w.advance(200)
	for range steps {
		e := events[draw(len(events), "event")]
		e.do(w, w.routers[draw(len(w.routers), "router")], draw(32, "kind"))
		w.advance(1 + draw(60, "ticks"))
		if len(w.violations) > 0 {
			return
		}
	}
}

// TestFleetInvariants guards against two routers at the full limit, a second claim taken
// for the first, fencing tokens and versions that go back, and work under a configuration that was replaced.
func TestFleetInvariants(t *testing.T) {
	reached := map[string]int{"first claim": 0, "handover": 0, "renewed": 0, "limit under promises": 0, "fresh before a change arrives": 0, "confirmed": 0}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		w.runEvents(25, func(n int, label string) int { return rapid.IntRange(0, n-1).Draw(t, label) })
		if len(w.violations) > 0 {
			t.Fatal(strings.Join(w.violations, "\n"))
		}
		for what, n := range w.coverage {
			reached[what] += n
		}
	})
	for what, n := range reached {
		if n == 0 {
			t.Errorf("no run came to %s", what)
		}
	}
}

// TestInvariantsCatchNaiveRouter guards against checks that can't fail: a router that trusts its
// lease until told otherwise and keeps the last configuration breaks them.
func TestInvariantsCatchNaiveRouter(t *testing.T) {
	missing := []string{"has the full limit", "is fresh with version"}
	for seed := uint64(0); seed < 100 && len(missing) > 0; seed++ {
		r := rand.New(rand.NewPCG(seed, 2))
		w := newWorld(seed)
		w.permissions = func(p *process) (full, fresh bool) { return true, p.version > 0 }
		w.runEvents(60, func(n int, _ string) int { return r.IntN(n) })
		faults := strings.Join(w.violations, "\n")
		missing = slices.DeleteFunc(missing, func(kind string) bool { return strings.Contains(faults, kind) })
	}
	if len(missing) > 0 {
		t.Errorf("no run of the naive router shows %q", missing)
	}
}
