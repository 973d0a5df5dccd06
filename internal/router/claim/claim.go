package claim

import (
	"slices"
	"sync"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/membership"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

const (
	// LeaseTTL is the lifetime of a router's lease without renewal.
	LeaseTTL = 9 * time.Second
	// renewInterval is the time between lease renewals.
	renewInterval = 3 * time.Second
	// clockMargin is subtracted from the lease lifetime to allow for clock drift
	// between this router and the store.
	clockMargin = 200 * time.Millisecond
	// requestHoldOffBefore is how long before the end of the lease the router
	// starts to request hold-off promises. While renewals succeed on time, at
	// least 6 s of the lease remain.
	requestHoldOffBefore = 5 * time.Second
	// holdOffTakeover is how long before the end of the lease hold-off promises
	// may start to extend the full limit.
	holdOffTakeover = 2 * time.Second
	// errorBackoff is the pause after a failed call to the store.
	errorBackoff = 500 * time.Millisecond
)

// Self identifies the local router.
type Self struct {
	ID, BootID, Address, FailureDomain, Region string
}

// Upstream is an upstream in the host list.
type Upstream struct {
	ID, FailureDomain, Region string
}

// Peers provides the membership state that claims depend on. It is implemented
// by membership.Members.
type Peers interface {
	Live(now time.Time) []membership.Peer
	Stable(now time.Time) []membership.Peer
	MayHaveRouters(now time.Time, failureDomain string) bool
	ListedSince(now time.Time) (since time.Time, ok bool)
	HoldOffUntil(now time.Time) time.Time
	HoldOffPromisedTo(now time.Time, router string) bool
	SuspendHoldOff(now time.Time)
	Size() int
}

// OwnershipHandler receives changes of ownership. Its methods run on the control
// goroutine and must not block.
type OwnershipHandler interface {
	// Gained starts admission. It is limited to the reserve unless the state was
	// handed over or this is the first claim of the upstream.
	Gained(now time.Time, upstream string, fencing uint64, handover *rpc.HandoverRequest, first bool)
	// FencingChanged replaces the fencing token of an upstream that hold-off
	// promises covered without a gap. Admission continues.
	FencingChanged(now time.Time, upstream string, fencing uint64)
	// Lost ends admission.
	Lost(now time.Time, upstream string)
	// StartHandover ends admission and sends the state to the peer. The
	// implementation reports the outcome with FinishHandover.
	StartHandover(now time.Time, upstream string, to membership.Peer)
}

// Claims is the state machine that claims upstreams for one router. Its methods
// must be called from the control goroutine, except for FullLimitAllowed and
// OwnerOf, which are safe for concurrent use, and Run, which is the worker
// goroutine.
type Claims struct {
	store            Store
	self             Self
	holderValue      []byte
	peers            Peers
	ownershipHandler OwnershipHandler

	calls        chan call
	results      chan result
	wake         chan struct{}
	callInFlight bool

	leaseID        int64
	leaseUntil     time.Time // by the local clock
	nextRenewal    time.Time
	backoffUntil   time.Time // no call starts before
	storeReachable bool
	draining       bool
	revoked        bool

	upstreams    map[string]*upstreamState
	activeIDs    []string // sorted ids of upstreams that are not idle, or are to be claimed or rechecked
	candidatesAt time.Time
	nextProbe    time.Time
	probeIndex   int
	nextList     time.Time
	markerSweep  sweep
	claimBudget  tokenBucket

	mu               sync.Mutex // guards the fields below
	fullLimitUntil   time.Time
	reserveOnlyUntil time.Time
	lastOwners       map[string]string // last owner of each upstream seen in the store
	failureDomains   map[string]string // of each upstream
	liveByDomain     map[string][]string
}

// New returns a state machine that owns nothing.
func New(store Store, self Self, peers Peers, handler OwnershipHandler) *Claims {
	return &Claims{
		store:            store,
		self:             self,
		holderValue:      Holder{Router: self.ID, Address: self.Address, BootID: self.BootID}.encode(),
		peers:            peers,
		ownershipHandler: handler,
		calls:            make(chan call, 1),
		results:          make(chan result, 1),
		wake:             make(chan struct{}, 1),
		upstreams:        map[string]*upstreamState{},
		lastOwners:       map[string]string{},
		failureDomains:   map[string]string{},
		liveByDomain:     map[string][]string{},
	}
}

// Step handles the result of the last call to the store, starts handovers that
// are due and queues the next call. It does not block.
func (c *Claims) Step(now time.Time) {
	c.extendFullLimit(now)
	select {
	case r := <-c.results:
		c.callInFlight = false
		c.handleResult(now, r)
	default:
	}
	if c.updateCandidates(now) {
		c.startHandovers(now)
	}
	c.extendFullLimit(now)
	if c.callInFlight || now.Before(c.backoffUntil) {
		return
	}
	if q, ok := c.nextCall(now); ok {
		q.sent = now
		c.callInFlight = true
		c.calls <- q
	}
}

// FullLimitAllowed reports whether the router may admit beyond the reserve: its
// lease is certainly valid by the local clock, or hold-off promises have covered
// the time since it ended. The result depends only on now, so it is also correct
// right after the process was paused.
func (c *Claims) FullLimitAllowed(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.fullLimitUntil) && !now.Before(c.reserveOnlyUntil)
}

// LeaseUntil returns the time until which the lease is certainly valid by the
// local clock.
func (c *Claims) LeaseUntil() time.Time { return c.leaseUntil }

// StoreReachable reports whether the last call to the store succeeded and no
// claim has yet to be recreated after an outage. Until then the router makes no
// new claims and may still give hold-off promises.
func (c *Claims) StoreReachable() bool { return c.storeReachable && !c.anyInPhase(recreating) }

// WantsHoldOff reports whether exchanges should request hold-off promises
// because the lease renewal is overdue.
func (c *Claims) WantsHoldOff(now time.Time) bool {
	return c.leaseID != 0 && c.leaseUntil.Sub(now) < requestHoldOffBefore
}

// Drain makes the router hand over all its upstreams and stop claiming.
func (c *Claims) Drain() {
	c.draining = true
	c.candidatesAt = time.Time{}
}

// Drained reports whether a draining router has handed over or released all its
// upstreams.
func (c *Claims) Drained() bool {
	return c.draining && !slices.ContainsFunc(c.activeIDs, func(id string) bool { return c.upstreams[id].phase != idle })
}

// Owned returns the sorted ids of the upstreams that this router owns.
func (c *Claims) Owned() []string {
	var ids []string
	for _, id := range c.activeIDs {
		if c.upstreams[id].isOwned() {
			ids = append(ids, id)
		}
	}
	return ids
}

// extendFullLimit extends the time until which the full limit applies. Hold-off
// promises extend it only without a gap. The lease extends it only when no
// claim made under an expired lease remains to be recreated.
func (c *Claims) extendFullLimit(now time.Time) {
	if c.fullLimitLapsed(now) {
		c.loseAll(now, recreating)
	}
	ending := c.leaseID != 0 && c.leaseUntil.Sub(now) < holdOffTakeover
	if ending {
		c.releaseOtherDomains(now)
	}
	until := c.leaseUntil
	if c.anyInPhase(recreating) {
		until = time.Time{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.fullLimitUntil) && (ending || c.leaseID == 0) {
		if h := c.peers.HoldOffUntil(now); h.After(c.fullLimitUntil) {
			c.fullLimitUntil = h
		}
	}
	if until.After(c.fullLimitUntil) {
		c.fullLimitUntil = until
	}
}

// holdOffOutlastsLease reports whether hold-off promises extend the full limit
// beyond the end of the lease.
func (c *Claims) holdOffOutlastsLease() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fullLimitUntil.After(c.leaseUntil)
}

// fullLimitLapsed reports whether the full limit has ended.
func (c *Claims) fullLimitLapsed(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !now.Before(c.fullLimitUntil)
}
