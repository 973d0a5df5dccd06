package membership

import (
	"maps"
	"slices"
	"time"
)

// hostList holds the region's routers in a version of the host list.
type hostList struct {
	ids []string // sorted
	// refreshedAt is when the list was last received, replacedAt when a different
	// list followed, zero for the current list.
	refreshedAt, replacedAt time.Time
}

// SetHostList sets the routers of the host list. It must be called for every list
// that the platform delivers, even an unchanged one, since a list that is not
// refreshed is no longer trusted after ListMaxAge.
func (m *Members) SetHostList(now time.Time, routers []Peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordHostList(now, routers)
	m.updateListedSince(now, routers)
	m.updatePeers(now, routers)
}

// ListedSince returns the time since which this router has been in the host list.
// It returns false if the router is not listed or the list is too old.
func (m *Members) ListedSince(now time.Time) (time.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listedSince, m.listTrusted(now) && !m.listedSince.IsZero()
}

// MayHaveRouters reports whether the failure domain has a router in the host list
// or had one within unlistedRetention. Routers of other domains claim its
// upstreams only if it does not: a domain that is cut off may still admit under
// hold-off promises of its own routers.
func (m *Members) MayHaveRouters(now time.Time, failureDomain string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if failureDomain == m.self.FailureDomain {
		return true
	}
	for _, p := range m.peers {
		if p.FailureDomain == failureDomain && m.mayClaim(now, p) {
			return true
		}
	}
	return false
}

// mayClaim reports whether p may exist and claim upstreams.
func (m *Members) mayClaim(now time.Time, p *peerState) bool {
	return p.listed || now.Sub(p.unlistedAt) <= unlistedRetention || now.Sub(p.lastHeard) <= unlistedRetention
}

func (m *Members) listTrusted(now time.Time) bool {
	return len(m.hostLists) > 0 && now.Sub(m.hostLists[len(m.hostLists)-1].refreshedAt) <= ListMaxAge
}

func (m *Members) recordHostList(now time.Time, routers []Peer) {
	var ids []string
	for _, r := range routers {
		if r.Region == m.self.Region {
			ids = append(ids, r.ID)
		}
	}
	if len(ids) == 0 {
		// No majority can have been counted over an empty list, such as the first
		// one of a new fleet.
		return
	}
	slices.Sort(ids)
	m.hostLists = slices.DeleteFunc(m.hostLists, func(l hostList) bool {
		return !l.replacedAt.IsZero() && now.Sub(l.replacedAt) > unlistedRetention
	})
	if n := len(m.hostLists); n > 0 {
		if slices.Equal(m.hostLists[n-1].ids, ids) {
			m.hostLists[n-1].refreshedAt = now
			return
		}
		m.hostLists[n-1].replacedAt = now
	}
	m.hostLists = append(m.hostLists, hostList{ids: ids, refreshedAt: now})
}

func (m *Members) updateListedSince(now time.Time, routers []Peer) {
	present := slices.ContainsFunc(routers, func(r Peer) bool { return r.ID == m.self.ID })
	switch {
	case !present:
		m.listedSince = time.Time{}
	case m.listedSince.IsZero():
		m.listedSince = now
	}
}

func (m *Members) updatePeers(now time.Time, routers []Peer) {
	present := make(map[string]bool, len(routers))
	for _, r := range routers {
		present[r.ID] = true
		if r.ID == m.self.ID {
			continue
		}
		p := m.peers[r.ID]
		if p == nil {
			p = &peerState{}
			m.peers[r.ID] = p
		}
		if !p.listed || p.Peer != r {
			m.rings = nil
		}
		p.Peer, p.listed = r, true
	}
	for _, p := range m.peers {
		if p.listed && !present[p.ID] {
			p.listed, p.unlistedAt = false, now
			m.rings = nil
		}
	}
	known := len(m.peers)
	maps.DeleteFunc(m.peers, func(_ string, p *peerState) bool {
		return !m.mayClaim(now, p) && now.After(p.promisedUntil)
	})
	if len(m.peers) != known {
		m.rings = nil
	}
}
