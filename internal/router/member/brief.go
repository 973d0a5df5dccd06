package member

import "github.com/hemlockcroft/hemlockcroft/internal/router/rpc"

// WithoutIdentity returns r without the sender's address, failure domain and region,
// which never change under one boot identity and were a third of the message.
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

// KnowsIdentity reports whether the router took a message of this one and didn't start
// anew since, so that Brief suffices for the next.
func (m *Members) KnowsIdentity(router string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[router]
	return p != nil && p.knowsIdentity
}

// ExchangeFailed notes that an exchange with the router failed. It may have
// forgotten this one, so the next message to it is whole.
func (m *Members) ExchangeFailed(router string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[router]; p != nil {
		p.knowsIdentity = false
	}
}

// restoreIdentity returns r with what a brief message leaves out, nil if that is not
// known of the sender's boot.
func (m *Members) restoreIdentity(r *rpc.ExchangeRequest) *rpc.ExchangeRequest {
	if r.Address != "" || r.Region != "" {
		return r
	}
	p := m.peers[r.Router]
	if p == nil || p.identityBoot != r.Boot || p.identity.Address == "" {
		return nil
	}
	full := WithoutIdentity(r)
	full.Address, full.FailureDomain, full.Region = p.identity.Address, p.identity.FailureDomain, p.identity.Region
	return full
}

// recordIdentity notes how the sender of r describes itself.
func (p *peer) recordIdentity(r *rpc.ExchangeRequest) {
	stated := Peer{ID: r.Router, Address: r.Address, FailureDomain: r.FailureDomain, Region: r.Region}
	if listed := p.Peer; stated.Address == listed.Address && stated.FailureDomain == listed.FailureDomain && stated.Region == listed.Region {
		listed.Draining = false
		stated = listed // shares the strings of the list
	}
	p.identity, p.identityBoot = stated, r.Boot
}
