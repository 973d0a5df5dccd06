package member

import (
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

const (
	// HoldOffLifetime is the length of a hold-off promise.
	HoldOffLifetime = 3 * time.Second
	// clockMargin covers clocks that run at different rates.
	clockMargin = 200 * time.Millisecond
)

// SuspendHoldOff notes that this router gained an ownership without a handover. It
// then gives no promise for one promise lifetime, so that every router that may
// still hold the upstream under promises sees a gap in them.
func (m *Members) SuspendHoldOff(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.holdOffSuspendedUntil = now.Add(HoldOffLifetime + clockMargin)
}

// giveHoldOff returns the promise to p in milliseconds. A promise is given only while
// the store is unreachable from here and lasts even if the store comes back.
func (m *Members) giveHoldOff(now time.Time, p *peer, r *rpc.ExchangeRequest) uint32 {
	if p == nil || !r.WantHoldOff || m.storeReachable || now.Before(m.holdOffSuspendedUntil) ||
		r.FailureDomain != m.self.FailureDomain {
		return 0
	}
	p.promisedUntil = now.Add(HoldOffLifetime + clockMargin)
	return uint32(HoldOffLifetime / time.Millisecond)
}

// PromisedTo reports whether a promise of this router not to claim the upstreams
// of the given router is in force.
func (m *Members) PromisedTo(now time.Time, router string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[router]
	return p != nil && now.Before(p.promisedUntil)
}

// HeldOff reports whether every router that could claim this router's
// upstreams has promised not to.
func (m *Members) HeldOff(now time.Time) bool { return now.Before(m.HoldOffUntil(now)) }

// HoldOffUntil returns the time until which HeldOff holds, zero if it doesn't
// hold now. It needs a list that is recent and contains this router, since
// only then does each router that could claim know this one and is known here.
func (m *Members) HoldOffUntil(now time.Time) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listedSince.IsZero() || !m.listTrusted(now) {
		return time.Time{}
	}
	until := m.lists[len(m.lists)-1].refreshedAt.Add(ListMaxAge)
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
