package member

import (
	"slices"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/place"
)

const (
	// fullMeshPeers is the largest number of peers that are all sent to each tick.
	fullMeshPeers = 9
	// Above fullMeshPeers peers a tick reaches ownDomainSlots routers of the same failure
	// domain, otherDomainSlots of the other domains of the region and otherRegionSlots
	// of other regions. The largest share goes where claims are decided.
	ownDomainSlots   = 6
	otherDomainSlots = 1
	otherRegionSlots = 1
	// Without the store a tick reaches more: the own domain within
	// ownDomainOutageTicks, since promises last 3 s, and a tenth of the region, so that
	// a majority of a region of 2 or 3 domains answers within 4 s.
	ownDomainOutageTicks = 5
	regionOutageShare    = 10
	// liveWindow is how long a peer counts as live after its last message.
	liveWindow = 2 * time.Second
)

// ring is a set of peers visited in turn.
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
	peers            int
	ownDomain        ring
	otherDomains     []*ring // one for each other failure domain of the region
	otherDomainPeers int     // peers in region
	otherRegions     ring
	nextDomain       int
	windows          [3]time.Duration
	group            map[string]int
}

// The groups of peers, in the order of rings.windows.
const (
	groupOwnDomain = iota
	groupOtherDomains
	groupOtherRegions
)

// rebuildRings rebuilds the rings after a change of the peers.
func (m *Members) rebuildRings() {
	if m.rings != nil {
		return
	}
	r := &rings{peers: len(m.peers), group: map[string]int{}}
	domains := map[string]*ring{}
	ids := make([]string, 0, len(m.peers))
	for id := range m.peers {
		ids = append(ids, id)
	}
	// Each router has its own order, so that a peer isn't visited by all at once.
	for _, id := range place.Order(place.Key(m.self.ID), ids) {
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

// slots returns how many peers of each group a tick reaches; slots that a group
// can't fill go to the next one.
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
		r.windows[g] = liveWindow
		if r.peers > fullMeshPeers && slots > 0 {
			r.windows[g] = max(liveWindow, time.Duration(ceilDiv(sizes[g], slots))*ExchangeInterval*3/2)
		}
	}
}

// window returns how long p counts as live after its last message.
func (r *rings) window(p *peer) time.Duration { return r.windows[r.group[p.ID]] }

// nextOtherDomainIDs returns the next n ids of the other domains, one domain after the
// other.
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

// Targets returns the peers to send to in this tick: all of up to 9, otherwise
// 8 that rotate so that each is reached in turn, more while the store is
// unreachable. Of up to 9, those with recent exchanges are left out while
// nothing changes.
func (m *Members) Targets(now time.Time) []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rebuildRings()
	r := m.rings
	ownDomain, otherDomains, otherRegions := r.peers, r.peers, r.peers
	if r.peers > fullMeshPeers {
		ownDomain, otherDomains, otherRegions = r.slots(!m.storeReachable)
	}
	ids := r.ownDomain.nextIDs(ownDomain)
	if r.peers > fullMeshPeers {
		ids = append(ids, r.nextOtherDomainIDs(otherDomains)...)
	} else {
		for _, d := range r.otherDomains {
			ids = append(ids, d.nextIDs(otherDomains)...)
		}
	}
	ids = append(ids, r.otherRegions.nextIDs(otherRegions)...)
	targets := make([]Peer, 0, len(ids))
	idle := r.peers <= fullMeshPeers && m.idle(now)
	for _, id := range ids {
		if p := m.peers[id]; p.Address != "" && (!idle || p.exchangeDue(now)) {
			targets = append(targets, p.Peer)
		}
	}
	return targets
}

// largeFleet reports whether loads are passed on as sums of failure domains.
func (m *Members) largeFleet() bool {
	m.rebuildRings()
	return m.rings.peers > fullMeshPeers
}

// RotatesTargets reports whether there are too many peers to send to all in every
// round.
func (m *Members) RotatesTargets() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.largeFleet()
}

// Size returns the number of known routers, this one included.
func (m *Members) Size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.peers) + 1
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }
