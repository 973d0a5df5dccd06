package membership

import "github.com/hemlockcroft/hemlockcroft/internal/router/rpc"

// WithoutIdentity returns r without the sender's address, failure domain and
// region. They never change under one boot ID and made up a third of the
// message.
func WithoutIdentity(r *rpc.ExchangeRequest) *rpc.ExchangeRequest {
	return &rpc.ExchangeRequest{
		Router:         r.Router,
		Boot:           r.Boot,
		State:          r.State,
		ConfigVersion:  r.ConfigVersion,
		ConfigAgeMs:    r.ConfigAgeMs,
		StoreReachable: r.StoreReachable,
		Digests:        r.Digests,
		WantHoldOff:    r.WantHoldOff,
	}
}

// KnowsIdentity reports whether the router has received this router's identity
// under its current boot ID, so that WithoutIdentity suffices for the next
// request.
func (m *Members) KnowsIdentity(router string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[router]
	return p != nil && p.knowsIdentity
}

// ExchangeFailed records that an exchange with the router failed. The router may
// have lost this router's identity, so the next request includes it.
func (m *Members) ExchangeFailed(router string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[router]; p != nil {
		p.knowsIdentity = false
	}
}

// restoreIdentity returns r with the sender's identity filled in if the request
// omits it, nil if it is not known for the sender's boot ID.
func (m *Members) restoreIdentity(r *rpc.ExchangeRequest) *rpc.ExchangeRequest {
	if r.Address != "" || r.Region != "" {
		return r
	}
	p := m.peers[r.Router]
	if p == nil || p.identityBootID != r.Boot || p.identity.Address == "" {
		return nil
	}
	full := WithoutIdentity(r)
	full.Address, full.FailureDomain, full.Region = p.identity.Address, p.identity.FailureDomain, p.identity.Region
	return full
}

// recordIdentity records the identity that the sender of r states.
func (p *peerState) recordIdentity(r *rpc.ExchangeRequest) {
	identity := Peer{ID: r.Router, Address: r.Address, FailureDomain: r.FailureDomain, Region: r.Region}
	if listed := p.Peer; identity.Address == listed.Address && identity.FailureDomain == listed.FailureDomain && identity.Region == listed.Region {
		listed.Draining = false
		identity = listed // shares the strings of the host list
	}
	p.identity, p.identityBootID = identity, r.Boot
}
