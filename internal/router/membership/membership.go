package membership

import (
	"math"
	"sync"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

const (
	// ExchangeInterval is the time between two rounds of exchanges.
	ExchangeInterval = 500 * time.Millisecond
	// FreshnessLimit is the default for the longest time that the configuration is
	// used without evidence that it is the newest.
	FreshnessLimit = 4 * time.Second
	// ListMaxAge is the maximum age of a host list that is trusted to name all
	// other routers.
	ListMaxAge = 10 * time.Second
	// ListConvergence is the time after which every router with a trusted host list
	// knows of a change: ListMaxAge plus 5 s in which the platform may return
	// different lists.
	ListConvergence = ListMaxAge + 5*time.Second
	// unlistedRetention is how long a router that left the host list is assumed
	// to claim: ListConvergence, during which it may claim, plus the time for which
	// its last promise is active here, plus a margin of 2 s.
	unlistedRetention = ListConvergence + HoldOffTTL + 2*time.Second
	// neverConfirmed is the age sent for a configuration that the store has never
	// confirmed.
	neverConfirmed = math.MaxUint32
)

// Self identifies the local router.
type Self struct {
	ID, BootID, Address, FailureDomain, Region string
}

// Peer describes a router in the host list.
type Peer struct {
	ID, Address, FailureDomain, Region string
	// Draining is set if the router's state in the host list is "leaving".
	Draining bool
}

// peerState is the state of another router.
type peerState struct {
	Peer
	listed     bool
	unlistedAt time.Time // when it last left the host list
	bootID     string
	state      rpc.RouterState
	// bootSince is when the peer was first heard from under bootID, lastHeard
	// when it was last heard from.
	bootSince, lastHeard time.Time
	// lastAnswered is when the newest request that the peer answered was sent.
	lastAnswered  time.Time
	configVersion uint64
	// promiseUntil is the end of the peer's hold-off promise to this router,
	// promisedUntil the end of this router's promise to the peer.
	promiseUntil, promisedUntil time.Time
	// identity is what the peer stated about itself under identityBootID.
	identity       Peer
	identityBootID string
	// knowsIdentity is set once the peer has answered a request under its
	// current boot ID, and so knows this router's identity.
	knowsIdentity bool
	// digestsSentAt is when a response to the peer last carried digests in an outage.
	digestsSentAt time.Time
}

// Members is one router's view of the fleet. All methods are safe for concurrent
// use. Only PoolLoad, Fresh and HoldOffUntil are meant to be called outside the
// control goroutine.
type Members struct {
	mu    sync.Mutex
	self  Self
	state rpc.RouterState
	peers map[string]*peerState

	hostLists   []hostList // newest last
	listedSince time.Time  // zero if this router isn't in the list

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
	sumsSentAt time.Time // when a response last carried sums in an outage
}

// New returns a view without peers, in the starting state.
func New(self Self) *Members {
	return &Members{
		self:           self,
		state:          rpc.RouterState_ROUTER_STATE_STARTING,
		peers:          map[string]*peerState{},
		freshnessLimit: FreshnessLimit,
		loads:          newLoads(self),
	}
}

// SetState sets the state of this router that exchanges announce.
func (m *Members) SetState(state rpc.RouterState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = state
}

// SetStoreReachable sets whether this router can reach the key-value service.
func (m *Members) SetStoreReachable(_ time.Time, reachable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.storeReachable = reachable
}

// Live returns the ready peers that were heard from recently, and this router if
// it is ready. Recently means within 2 s, or within one and a half rounds of the
// rotation of targets if that is longer.
func (m *Members) Live(now time.Time) []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.livePeers(now, 0)
}

// Stable returns this router if it is ready, and the live peers that were first
// heard from under their current boot ID at least ListConvergence ago. Owners
// hand over only to these, so that a restart does not move ownership back
// immediately.
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

// NewRequest returns the request for all targets of one tick.
func (m *Members) NewRequest(now time.Time, wantHoldOff bool) *rpc.ExchangeRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.activity.wantHoldOff = wantHoldOff
	return &rpc.ExchangeRequest{
		Router:         m.self.ID,
		Boot:           m.self.BootID,
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

// requestDigests returns the digests of a request: the router's own in a small
// fleet, none in a large one. There the responses suffice for a total, and
// omitting the digests halves the bytes.
func (m *Members) requestDigests(now time.Time) []*rpc.Digest {
	if m.largeFleet() {
		return nil
	}
	return m.loads.appendOwn(now, nil)
}

// responseDigests returns the digests of a response to p.
func (m *Members) responseDigests(now time.Time, p *peerState) []*rpc.Digest {
	if p == nil || m.largeFleet() && !m.storeReachable && !m.outageDigestsDue(now, p) {
		return nil
	}
	return m.loads.responseDigests(now, p.FailureDomain, p.Region, m.largeFleet())
}

// outageDigestsDue reports whether a response to p should carry digests while
// the store is unreachable. It limits their rate, since exchanges are frequent.
func (m *Members) outageDigestsDue(now time.Time, p *peerState) bool {
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

// HandleRequest records the request of another router and returns the response,
// nil if the request omits the sender's identity and it is not known here. The
// sender must then receive an error, so that it sends its identity.
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
		Boot:           m.self.BootID,
		State:          m.state,
		ConfigVersion:  m.configVersion,
		ConfigAgeMs:    m.configAge(now),
		StoreReachable: m.storeReachable,
		Digests:        m.responseDigests(now, p),
		HoldOffMs:      m.giveHoldOff(now, p, r),
	}
}

// recordSender returns the peer that sent r, nil if it is this router. A router
// that is not in the host list is known from its own requests until it has not
// been heard from for unlistedRetention.
func (m *Members) recordSender(now time.Time, r *rpc.ExchangeRequest) *peerState {
	if r.Router == m.self.ID || r.Router == "" {
		return nil
	}
	p := m.peers[r.Router]
	if p == nil {
		p = &peerState{unlistedAt: now}
		m.peers[r.Router] = p
	}
	p.recordIdentity(r)
	if !p.listed {
		previous := p.Peer
		p.Peer = p.identity
		if previous != p.Peer {
			m.rings = nil
		}
	}
	return p
}

// HandleResponse records the response to a request sent to address at sent.
func (m *Members) HandleResponse(sent, now time.Time, address string, r *rpc.ExchangeResponse) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[r.Router]
	if p == nil {
		return
	}
	m.recordContact(sent, now, p, r.Boot, r.State)
	p.knowsIdentity = p.bootID == r.Boot
	m.recordVersion(r.ConfigVersion, address)
	if sent.After(p.lastAnswered) {
		p.lastAnswered, p.configVersion = sent, r.ConfigVersion
	}
	m.recordConfirmation(sent, r)
	m.loads.add(sent, r.Digests, origin{router: r.Router, region: p.Region, failureDomain: p.FailureDomain})
	if until := sent.Add(time.Duration(r.HoldOffMs) * time.Millisecond); r.HoldOffMs > 0 && until.After(p.promiseUntil) {
		p.promiseUntil = until
	}
}

// recordContact records that p was heard from at the time seen. A new boot
// ID invalidates what was reported under the old one.
func (m *Members) recordContact(seen, now time.Time, p *peerState, bootID string, state rpc.RouterState) {
	if p.bootID != bootID {
		p.bootID, p.bootSince, p.lastHeard = bootID, now, time.Time{}
		p.lastAnswered, p.promiseUntil, p.knowsIdentity = time.Time{}, time.Time{}, false
	}
	if !seen.Before(p.lastHeard) {
		p.lastHeard, p.state = seen, state
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
