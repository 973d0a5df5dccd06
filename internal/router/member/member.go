package member

import (
	"math"
	"sync"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

const (
	// ExchangeInterval is the time between two rounds of exchanges.
	ExchangeInterval = 500 * time.Millisecond
	// FreshnessLimit is the default for the longest time without evidence that
	// the configuration is the newest.
	FreshnessLimit = 4 * time.Second
	// ListMaxAge is the longest time for which a host list serves as evidence of
	// which other routers exist.
	ListMaxAge = 10 * time.Second
	// ListConvergence is the time after which every router whose list is trusted
	// knows of a change: ListMaxAge and 5 s in which the platform's answers differ.
	ListConvergence = ListMaxAge + 5*time.Second
	// unlistedRetention is how long a router dropped from the list still counts as one
	// that may claim: ListConvergence, in which it may claim, and the time for which
	// its last promise still counts here, with 2 s to spare.
	unlistedRetention = ListConvergence + HoldOffLifetime + 2*time.Second
	// neverConfirmed is the age sent for a configuration that the store never
	// confirmed.
	neverConfirmed = math.MaxUint32
)

// Self describes the router that the process is.
type Self struct {
	ID, Boot, Address, FailureDomain, Region string
}

// Peer describes a router of the host list.
type Peer struct {
	ID, Address, FailureDomain, Region string
	// Draining is set for routers that the host list shows as leaving.
	Draining bool
}

// peer is what is known of another router.
type peer struct {
	Peer
	listed     bool
	unlistedAt time.Time // when it was last dropped from the list
	boot       string
	state      rpc.RouterState
	// bootSince is when this boot was first heard from, heard when it last was.
	bootSince, lastHeard time.Time
	// lastAnswered is when the newest answered exchange was sent.
	lastAnswered time.Time
	version      uint64
	// promiseUntil is the end of its promise to this router, promised that of this
	// router's promise to it.
	promiseUntil, promisedUntil time.Time
	// identity is how it described itself under the boot identityBoot.
	identity     Peer
	identityBoot string
	// knowsIdentity is set when the peer's present boot has taken an exchange of this
	// router, so that it knows how this one describes itself.
	knowsIdentity bool
	// digestsSentAt is when an answer to it last carried rows in an outage.
	digestsSentAt time.Time
}

// Members is the view that one router has of the fleet. All methods are safe
// for concurrent use; only Pool, Fresh and HoldOffUntil are meant to be called
// outside of the control goroutine.
type Members struct {
	mu    sync.Mutex
	self  Self
	state rpc.RouterState
	peers map[string]*peer

	lists       []hostList // newest last
	listedSince time.Time  // since when this router is in the list, zero if it isn't

	configVersion         uint64
	confirmedAt           time.Time
	freshnessLimit        time.Duration
	newestVersion         uint64
	newestAddress         string
	storeReachable        bool
	holdOffSuspendedUntil time.Time

	rings      *rings
	activity   activity
	loads      loads
	sumsSentAt time.Time // of the last answer with sums in an outage
}

// New returns a view without peers in state starting.
func New(self Self) *Members {
	return &Members{
		self:           self,
		state:          rpc.RouterState_ROUTER_STATE_STARTING,
		peers:          map[string]*peer{},
		freshnessLimit: FreshnessLimit,
		loads:          newLoads(self),
	}
}

// SetState sets the state that the exchanges announce.
func (m *Members) SetState(state rpc.RouterState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = state
}

// SetStoreReachable sets whether the key-value service can be reached.
func (m *Members) SetStoreReachable(_ time.Time, reachable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.storeReachable = reachable
}

// Live returns the ready peers heard from recently and this router if it is
// ready. Recently is 2 s, or one and a half rounds of the rotation if that is
// longer.
func (m *Members) Live(now time.Time) []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.livePeers(now, 0)
}

// Stable returns the routers of Live that have been heard from for at least
// ListConvergence since they started, and this router. An owner hands over to no
// other, so that a restart does not move ownership back at once.
func (m *Members) Stable(now time.Time) []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.livePeers(now, ListConvergence)
}

func (m *Members) livePeers(now time.Time, minUptime time.Duration) []Peer {
	var list []Peer
	if m.state == rpc.RouterState_ROUTER_STATE_READY {
		list = append(list, Peer{ID: m.self.ID, Address: m.self.Address, FailureDomain: m.self.FailureDomain, Region: m.self.Region})
	}
	m.rebuildRings()
	for _, p := range m.peers {
		if p.state == rpc.RouterState_ROUTER_STATE_READY && !p.Draining &&
			now.Sub(p.lastHeard) <= m.rings.window(p) && now.Sub(p.bootSince) >= minUptime {
			list = append(list, p.Peer)
		}
	}
	return list
}

// NewRequest returns the message for all targets of one tick.
func (m *Members) NewRequest(now time.Time, wantHoldOff bool) *rpc.ExchangeRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.activity.wantHoldOff = wantHoldOff
	return &rpc.ExchangeRequest{
		Router:         m.self.ID,
		Boot:           m.self.Boot,
		Address:        m.self.Address,
		FailureDomain:  m.self.FailureDomain,
		Region:         m.self.Region,
		State:          m.state,
		ConfigVersion:  m.configVersion,
		ConfigAgeMs:    m.configAge(now),
		StoreReachable: m.storeReachable,
		Digests:        m.requestDigests(now),
		WantHoldOff:    wantHoldOff,
	}
}

// requestDigests returns the rows of a request: with few routers its own, with
// many none, since the answers suffice for a total and halve the bytes.
func (m *Members) requestDigests(now time.Time) []*rpc.Digest {
	if m.largeFleet() {
		return nil
	}
	return m.loads.appendOwn(now, nil)
}

// responseDigests returns the rows of an answer to p.
func (m *Members) responseDigests(now time.Time, p *peer) []*rpc.Digest {
	if p == nil || m.largeFleet() && !m.storeReachable && !m.outageDigestsDue(now, p) {
		return nil
	}
	return m.loads.responseDigests(now, p.FailureDomain, p.Region, m.largeFleet())
}

// outageDigestsDue spreads the rows over the many exchanges of an outage.
func (m *Members) outageDigestsDue(now time.Time, p *peer) bool {
	m.rebuildRings()
	last, every := &p.digestsSentAt, time.Duration(len(m.rings.ownDomain.ids))*outageDigestInterval
	if p.FailureDomain != m.self.FailureDomain {
		last, every = &m.sumsSentAt, outageSumInterval
	}
	if now.Sub(*last) < every {
		return false
	}
	*last = now
	return true
}

// HandleRequest takes in the exchange of another router and returns the answer, nil
// if the message is brief and this router doesn't know the rest. The sender
// must get an error then, so that it sends the whole message.
func (m *Members) HandleRequest(now time.Time, r *rpc.ExchangeRequest) *rpc.ExchangeResponse {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r = m.restoreIdentity(r); r == nil {
		return nil
	}
	p := m.recordSender(now, r)
	if p != nil {
		m.recordContact(now, now, p, r.Boot, r.State)
		m.recordVersion(r.ConfigVersion, p.Address)
		m.loads.add(now, r.Digests, origin{router: r.Router, region: r.Region, failureDomain: r.FailureDomain, isRequest: true})
	}
	return &rpc.ExchangeResponse{
		Router:         m.self.ID,
		Boot:           m.self.Boot,
		State:          m.state,
		ConfigVersion:  m.configVersion,
		ConfigAgeMs:    m.configAge(now),
		StoreReachable: m.storeReachable,
		Digests:        m.responseDigests(now, p),
		HoldOffMs:      m.giveHoldOff(now, p, r),
	}
}

// recordSender returns the peer that sent r, nil if it is this router. A router that
// is not in the list is known from its own message until it falls silent.
func (m *Members) recordSender(now time.Time, r *rpc.ExchangeRequest) *peer {
	if r.Router == m.self.ID || r.Router == "" {
		return nil
	}
	p := m.peers[r.Router]
	if p == nil {
		p = &peer{unlistedAt: now}
		m.peers[r.Router] = p
	}
	p.recordIdentity(r)
	if !p.listed {
		was := p.Peer
		p.Peer = p.identity
		if was != p.Peer {
			m.rings = nil
		}
	}
	return p
}

// HandleResponse takes in the answer to an exchange that was sent to address at sent.
func (m *Members) HandleResponse(sent, now time.Time, address string, r *rpc.ExchangeResponse) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[r.Router]
	if p == nil {
		return
	}
	m.recordContact(sent, now, p, r.Boot, r.State)
	p.knowsIdentity = p.boot == r.Boot
	m.recordVersion(r.ConfigVersion, address)
	if sent.After(p.lastAnswered) {
		p.lastAnswered, p.version = sent, r.ConfigVersion
	}
	m.recordConfirmation(sent, r)
	m.loads.add(sent, r.Digests, origin{router: r.Router, region: p.Region, failureDomain: p.FailureDomain})
	if until := sent.Add(time.Duration(r.HoldOffMs) * time.Millisecond); r.HoldOffMs > 0 && until.After(p.promiseUntil) {
		p.promiseUntil = until
	}
}

// recordContact notes a sign of life of p at the time at. A new boot voids what the old
// one said.
func (m *Members) recordContact(at, now time.Time, p *peer, boot string, state rpc.RouterState) {
	if p.boot != boot {
		p.boot, p.bootSince, p.lastHeard = boot, now, time.Time{}
		p.lastAnswered, p.promiseUntil, p.knowsIdentity = time.Time{}, time.Time{}, false
	}
	if !at.Before(p.lastHeard) {
		p.lastHeard, p.state = at, state
	}
}

func (m *Members) routerDomain(router string) (string, bool) {
	if router == m.self.ID {
		return m.self.FailureDomain, true
	}
	p := m.peers[router]
	if p == nil || p.Region != m.self.Region {
		return "", false
	}
	return p.FailureDomain, true
}
