package member

import (
	"math"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

// SetFreshnessLimit replaces the default freshness limit.
func (m *Members) SetFreshnessLimit(limit time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.freshnessLimit = limit
}

// SetConfig sets the version in effect and when the store last confirmed it as
// the newest, zero if it never did. A version below the present one is ignored.
// The time of a confirmation is when the request for it was sent.
func (m *Members) SetConfig(_ time.Time, version uint64, confirmed time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case version < m.configVersion:
	case version > m.configVersion:
		m.configVersion, m.confirmedAt = version, confirmed
	case confirmed.After(m.confirmedAt):
		m.confirmedAt = confirmed
	}
}

// Newest returns the highest version seen at a peer and the address of that
// peer, 0 and "" before any.
func (m *Members) Newest() (version uint64, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.newestVersion, m.newestAddress
}

// Fresh reports whether the configuration may be used for new work: the store
// confirmed it within the freshness limit, or a majority of the routers listed
// for the region had nothing newer.
func (m *Members) Fresh(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.configVersion == 0 {
		return false
	}
	if m.withinFreshness(now, m.confirmedAt) {
		return true
	}
	if !m.listTrusted(now) {
		return false
	}
	// The operator counted the majority that confirmed a change over a list that
	// may be a few seconds older or newer than the present one. A majority of
	// each list held in that time meets that majority in one router at least.
	for _, l := range m.lists {
		if !l.replacedAt.IsZero() && now.Sub(l.replacedAt) > unlistedRetention {
			continue
		}
		if !m.majority(now, l.ids) {
			return false
		}
	}
	return true
}

func (m *Members) majority(now time.Time, ids []string) bool {
	agree := 0
	for _, id := range ids {
		if m.agrees(now, id) {
			agree++
		}
	}
	return agree > len(ids)/2
}

// agrees reports whether the router had nothing newer within the limit. A
// router that is starting has forgotten what it confirmed before its restart
// and does not count, this router included.
func (m *Members) agrees(now time.Time, id string) bool {
	if id == m.self.ID {
		return m.state != rpc.RouterState_ROUTER_STATE_STARTING
	}
	p := m.peers[id]
	return p != nil && m.withinFreshness(now, p.lastAnswered) && p.version <= m.configVersion &&
		p.state != rpc.RouterState_ROUTER_STATE_STARTING
}

func (m *Members) withinFreshness(now, at time.Time) bool {
	return !at.IsZero() && now.Sub(at) < m.freshnessLimit
}

// recordVersion notes a version seen at a peer.
func (m *Members) recordVersion(version uint64, address string) {
	if version > m.newestVersion {
		m.newestVersion, m.newestAddress = version, address
	}
}

// recordConfirmation takes over the age of a peer's confirmation of the same version.
func (m *Members) recordConfirmation(sent time.Time, r *rpc.ExchangeResponse) {
	if r.ConfigVersion != m.configVersion || r.ConfigAgeMs == neverConfirmed {
		return
	}
	if at := sent.Add(-time.Duration(r.ConfigAgeMs) * time.Millisecond); at.After(m.confirmedAt) {
		m.confirmedAt = at
	}
}

// configAge returns the age of the confirmation in milliseconds.
func (m *Members) configAge(now time.Time) uint32 {
	if m.confirmedAt.IsZero() {
		return neverConfirmed
	}
	return milliseconds(now.Sub(m.confirmedAt))
}

// milliseconds rounds up, so that an age never shrinks on the way.
func milliseconds(d time.Duration) uint32 {
	ms := (max(d, 0) + time.Millisecond - 1) / time.Millisecond
	return uint32(min(ms, math.MaxUint32-1))
}
