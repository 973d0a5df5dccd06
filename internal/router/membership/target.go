package membership

import (
	"slices"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/rendezvous"
)

const (
	// fullMeshPeers is the largest number of peers that are all targets of each
	// tick.
	fullMeshPeers = 9
	// With more peers, a tick reaches ownDomainSlots routers of the same failure
	// domain, otherDomainSlots of the region's other domains and
	// otherRegionSlots of other regions. The largest share goes to the domain in
	// which claims are decided.
	ownDomainSlots   = 6
	otherDomainSlots = 1
	otherRegionSlots = 1
	// While the store is unreachable, a tick reaches more: the own domain within
	// ownDomainOutageTicks, since promises last 3 s, and a tenth of the region, so
	// that a majority of a region of 2 or 3 domains answers within 4 s.
	ownDomainOutageTicks = 5
	regionOutageShare    = 10
	// liveWindow is how long a peer counts as live after it was last heard from.
	liveWindow = 2 * time.Second
)

// ring is a list of peers visited in rotation.
type ring struct {
	ids      []string
	position int
}

// nextIDs returns the next n ids.
func (r *ring) nextIDs(n int) []string {
	var ids []string
	for range min(n, len(r.ids)) {
		ids = append(ids, r.ids[r.position%len(r.ids)])
		r.position++
	}
	return ids
}

// rings holds the peers in the groups that share the slots of a tick.
type rings struct {
	peerCount        int
	ownDomain        ring
	otherDomains     []*ring // one per other failure domain of the region
	otherDomainPeers int     // number of peers in otherDomains
	otherRegions     ring
	nextDomain       int
	liveWindows      [3]time.Duration
	group            map[string]int
}

// The groups of peers, in the order of rings.liveWindows.
const (
	groupOwnDomain = iota
	groupOtherDomains
	groupOtherRegions
)

// rebuildRings rebuilds the rings if the peers have changed.
func (m *Members) rebuildRings() {
	if m.rings != nil {
		return
	}
	r := &rings{peerCount: len(m.peers), group: map[string]int{}}
	domains := map[string]*ring{}
	ids := make([]string, 0, len(m.peers))
	for id := range m.peers {
		ids = append(ids, id)
	}
	// Each router has its own order, so that a peer isn't reached by all at once.
	for _, id := range rendezvous.Order(rendezvous.Key(m.self.ID), ids) {
		p := m.peers[id]
		switch {
		case p.Region != m.self.Region:
			r.otherRegions.ids = append(r.otherRegions.ids, id)
			r.group[id] = groupOtherRegions
		case p.FailureDomain == m.self.FailureDomain:
			r.ownDomain.ids = append(r.ownDomain.ids, id)
			r.group[id] = groupOwnDomain
		default:
			if domains[p.FailureDomain] == nil {
				domains[p.FailureDomain] = &ring{}
				r.otherDomains = append(r.otherDomains, domains[p.FailureDomain])
			}
			d := domains[p.FailureDomain]
			d.ids = append(d.ids, id)
			r.group[id] = groupOtherDomains
			r.otherDomainPeers++
		}
	}
	r.setWindows()
	m.rings = r
	m.loads.keysStale = true
}

// slots returns how many peers of each group a tick reaches. Slots that a group
// can't fill go to another one.
func (r *rings) slots(outage bool) (ownDomain, otherDomains, otherRegions int) {
	ownDomain, otherDomains, otherRegions = ownDomainSlots, otherDomainSlots, otherRegionSlots
	if outage {
		ownDomain = max(ownDomain, ceilDiv(len(r.ownDomain.ids), ownDomainOutageTicks))
		otherDomains, otherRegions = max(otherDomains+otherRegions, ceilDiv(len(r.ownDomain.ids)+r.otherDomainPeers, regionOutageShare)-ownDomain), 0
	}
	otherDomains += max(0, ownDomain-len(r.ownDomain.ids))
	ownDomain = min(ownDomain, len(r.ownDomain.ids))
	if spare := otherRegions - len(r.otherRegions.ids); spare > 0 {
		otherDomains += spare
		otherRegions -= spare
	}
	if spare := otherDomains - r.otherDomainPeers; spare > 0 {
		otherDomains -= spare
		more := min(spare, len(r.ownDomain.ids)-ownDomain)
		ownDomain += more
		otherRegions = min(otherRegions+spare-more, len(r.otherRegions.ids))
	}
	return ownDomain, otherDomains, otherRegions
}

func (r *rings) setWindows() {
	ownDomain, otherDomains, otherRegions := r.slots(false)
	sizes := [3]int{len(r.ownDomain.ids), r.otherDomainPeers, len(r.otherRegions.ids)}
	for g, slots := range [3]int{ownDomain, otherDomains, otherRegions} {
		r.liveWindows[g] = liveWindow
		if r.peerCount > fullMeshPeers && slots > 0 {
			r.liveWindows[g] = max(liveWindow, time.Duration(ceilDiv(sizes[g], slots))*ExchangeInterval*3/2)
		}
	}
}

// window returns how long p counts as live after it was last heard from.
func (r *rings) window(p *peerState) time.Duration { return r.liveWindows[r.group[p.ID]] }

// nextOtherDomainIDs returns the next n ids of the region's other domains,
// alternating between the domains.
func (r *rings) nextOtherDomainIDs(n int) []string {
	var ids []string
	for range min(n, r.otherDomainPeers) {
		d := r.otherDomains[r.nextDomain%len(r.otherDomains)]
		r.nextDomain++
		for _, id := range d.nextIDs(1) {
			if !slices.Contains(ids, id) {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

// Targets returns the peers to send to in this tick. Up to 9 peers are all
// targets, except for those with recent exchanges while idle. From 10 peers on,
// 8 are targets in rotation, and more while the store is unreachable.
func (m *Members) Targets(now time.Time) []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rebuildRings()
	r := m.rings
	ownDomain, otherDomains, otherRegions := r.peerCount, r.peerCount, r.peerCount
	if r.peerCount > fullMeshPeers {
		ownDomain, otherDomains, otherRegions = r.slots(!m.storeReachable)
	}
	ids := r.ownDomain.nextIDs(ownDomain)
	if r.peerCount > fullMeshPeers {
		ids = append(ids, r.nextOtherDomainIDs(otherDomains)...)
	} else {
		for _, d := range r.otherDomains {
			ids = append(ids, d.nextIDs(otherDomains)...)
		}
	}
	ids = append(ids, r.otherRegions.nextIDs(otherRegions)...)
	targets := make([]Peer, 0, len(ids))
	idle := r.peerCount <= fullMeshPeers && m.idle(now)
	for _, id := range ids {
		if p := m.peers[id]; p.Address != "" && (!idle || p.exchangeDue(now)) {
			targets = append(targets, p.Peer)
		}
	}
	return targets
}

// largeFleet reports whether there are more than fullMeshPeers peers, so that
// loads are relayed as domain sums.
func (m *Members) largeFleet() bool {
	m.rebuildRings()
	return m.rings.peerCount > fullMeshPeers
}

// RotatesTargets reports whether there are too many peers to send to all of them
// in every round.
func (m *Members) RotatesTargets() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.largeFleet()
}

// Size returns the number of known routers, including this one.
func (m *Members) Size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.peers) + 1
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }
