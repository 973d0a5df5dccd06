package membership

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

// SetConfig sets the configuration version in effect and when the store last
// confirmed it as the newest, zero if it never did. A confirmation counts from
// the time its request was sent. A version below the current one is ignored.
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

// NewestConfig returns the highest configuration version that a peer has
// reported and the address of that peer, or 0 and "" if there was no report.
func (m *Members) NewestConfig() (version uint64, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.newestVersion, m.newestAddress
}

// Fresh reports whether the configuration may be used for new work: within the
// freshness limit, either the store confirmed it or a majority of the region's
// listed routers had nothing newer.
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
	// A change is confirmed by a majority of the host list that the operator's
	// tool saw, which may be a few seconds older or newer than the current one.
	// A majority of every list held in that time shares at least one router
	// with that majority.
	for _, l := range m.hostLists {
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

// agrees reports whether the router had no newer version within the freshness
// limit. A starting router, this one included, does not count: it has lost the
// versions that it confirmed before its restart.
func (m *Members) agrees(now time.Time, id string) bool {
	if id == m.self.ID {
		return m.state != rpc.RouterState_ROUTER_STATE_STARTING
	}
	p := m.peers[id]
	return p != nil && m.withinFreshness(now, p.lastAnswered) && p.configVersion <= m.configVersion &&
		p.state != rpc.RouterState_ROUTER_STATE_STARTING
}

func (m *Members) withinFreshness(now, at time.Time) bool {
	return !at.IsZero() && now.Sub(at) < m.freshnessLimit
}

// recordVersion records a configuration version reported by a peer.
func (m *Members) recordVersion(version uint64, address string) {
	if version > m.newestVersion {
		m.newestVersion, m.newestAddress = version, address
	}
}

// recordConfirmation adopts a peer's confirmation of the same version if it is
// newer than the known one.
func (m *Members) recordConfirmation(sent time.Time, r *rpc.ExchangeResponse) {
	if r.ConfigVersion != m.configVersion || r.ConfigAgeMs == neverConfirmed {
		return
	}
	if at := sent.Add(-time.Duration(r.ConfigAgeMs) * time.Millisecond); at.After(m.confirmedAt) {
		m.confirmedAt = at
	}
}

// configAge returns the time in milliseconds since the configuration was last
// confirmed, or neverConfirmed.
func (m *Members) configAge(now time.Time) uint32 {
	if m.confirmedAt.IsZero() {
		return neverConfirmed
	}
	return milliseconds(now.Sub(m.confirmedAt))
}

// milliseconds rounds up, so that conversion never makes an age smaller.
func milliseconds(d time.Duration) uint32 {
	ms := (max(d, 0) + time.Millisecond - 1) / time.Millisecond
	return uint32(min(ms, math.MaxUint32-1))
}
