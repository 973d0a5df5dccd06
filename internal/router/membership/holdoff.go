package membership

import (
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

const (
	// HoldOffTTL is the lifetime of a hold-off promise.
	HoldOffTTL = 3 * time.Second
	// clockMargin extends promises given, and the time without promises after a
	// claim, to allow for clock drift between routers.
	clockMargin = 200 * time.Millisecond
)

// SuspendHoldOff must be called when this router gains an upstream without a
// handover. The router then gives no hold-off promise for one promise lifetime,
// so that any router that may still hold the upstream under promises sees a gap.
func (m *Members) SuspendHoldOff(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.holdOffSuspendedUntil = now.Add(HoldOffTTL + clockMargin)
}

// giveHoldOff returns the duration in milliseconds of the hold-off promise given
// to p, 0 for none. Promises are given only while this router can't reach the
// store, and stay active when the store is reachable again.
func (m *Members) giveHoldOff(now time.Time, p *peerState, r *rpc.ExchangeRequest) uint32 {
	if p == nil || !r.WantHoldOff || m.storeReachable || now.Before(m.holdOffSuspendedUntil) ||
		r.FailureDomain != m.self.FailureDomain {
		return 0
	}
	p.promisedUntil = now.Add(HoldOffTTL + clockMargin)
	return uint32(HoldOffTTL / time.Millisecond)
}

// HoldOffPromisedTo reports whether this router's promise not to claim the
// upstreams of the given router is active.
func (m *Members) HoldOffPromisedTo(now time.Time, router string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[router]
	return p != nil && now.Before(p.promisedUntil)
}

// HeldOff reports whether every router that could claim this router's upstreams
// has promised not to.
func (m *Members) HeldOff(now time.Time) bool { return now.Before(m.HoldOffUntil(now)) }

// HoldOffUntil returns the time until which HeldOff remains true, or zero if it
// is false now. It requires a recent host list that contains this router: only
// then do this router and every router that could claim know each other.
func (m *Members) HoldOffUntil(now time.Time) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listedSince.IsZero() || !m.listTrusted(now) {
		return time.Time{}
	}
	until := m.hostLists[len(m.hostLists)-1].refreshedAt.Add(ListMaxAge)
	for _, p := range m.peers {
		if p.FailureDomain != m.self.FailureDomain || !m.mayClaim(now, p) {
			continue
		}
		if !now.Before(p.promiseUntil) {
			return time.Time{}
		}
		if p.promiseUntil.Before(until) {
			until = p.promiseUntil
		}
	}
	return until
}
