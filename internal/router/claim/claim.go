package claim

import (
	"slices"
	"sync"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/member"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

const (
	// LeaseTTL is the lifetime of a router's lease without renewal.
	LeaseTTL = 9 * time.Second
	// renewInterval is the time between renewals.
	renewInterval = 3 * time.Second
	// clockMargin is taken off the lease for clocks that run at different rates.
	clockMargin = 200 * time.Millisecond
	// requestHoldOffBefore is how long before the end of the lease promises are
	// asked for: with renewals on time at least 6 s are left.
	requestHoldOffBefore = 5 * time.Second
	// holdOffTakeover is how long before the end of the lease promises may take over.
	holdOffTakeover = 2 * time.Second
	// errorBackoff is the pause after a failed call.
	errorBackoff = 500 * time.Millisecond
)

// Self describes the router that the process is.
type Self struct {
	ID, Boot, Address, FailureDomain, Region string
}

// Upstream is an upstream of the host list.
type Upstream struct {
	ID, FailureDomain, Region string
}

// Peers is what is known of the other routers.
type Peers interface {
	Live(now time.Time) []member.Peer
	Stable(now time.Time) []member.Peer
	MayHaveRouters(now time.Time, failureDomain string) bool
	ListedSince(now time.Time) (since time.Time, ok bool)
	HoldOffUntil(now time.Time) time.Time
	PromisedTo(now time.Time, router string) bool
	SuspendHoldOff(now time.Time)
	Size() int
}

// Admission is told of changes of ownership. Its methods run on the control
// goroutine and must not block.
type Admission interface {
	// Gained starts admission, with the reserve only unless there is a handover
	// or nobody owned the upstream before.
	Gained(now time.Time, upstream string, fencing uint64, handover *rpc.HandoverRequest, first bool)
	// FencingChanged changes the fencing token of an upstream that was held under
	// hold-off promises without a gap; admission continues.
	FencingChanged(now time.Time, upstream string, fencing uint64)
	// Lost ends admission.
	Lost(now time.Time, upstream string)
	// StartHandover ends admission, sends the state to the peer and reports the
	// outcome with FinishHandover.
	StartHandover(now time.Time, upstream string, to member.Peer)
}

// Claims holds the ownerships of one router. Its methods belong to the control
// goroutine, except for FullLimit and OwnerOf, which are safe for concurrent
// use, and Run, which is the worker goroutine.
type Claims struct {
	store       Store
	self        Self
	holderValue []byte
	peers       Peers
	admission   Admission

	calls        chan call
	results      chan result
	wake         chan struct{}
	callInFlight bool

	leaseID        int64
	leaseUntil     time.Time // valid by this router's clock
	nextRenewal    time.Time
	backoffUntil   time.Time // no call before, after an error
	storeReachable bool
	draining       bool
	revoked        bool

	upstreams    map[string]*upstreamState
	activeIDs    []string // sorted ids of the rows that are not idle or to be claimed
	candidatesAt time.Time
	nextProbe    time.Time
	probeIndex   int
	nextList     time.Time
	markerSweep  sweep
	claimBudget  tokenBucket

	mu               sync.Mutex // guards the rest
	fullLimitUntil   time.Time
	reserveOnlyUntil time.Time
	lastOwners       map[string]string // last seen router of each upstream
	failureDomains   map[string]string // failure domain of each upstream
	candidatePool    map[string][]string
}

// New returns a state machine that owns nothing.
func New(store Store, self Self, peers Peers, admission Admission) *Claims {
	return &Claims{
		store:          store,
		self:           self,
		holderValue:    Holder{Router: self.ID, Address: self.Address, Boot: self.Boot}.encode(),
		peers:          peers,
		admission:      admission,
		calls:          make(chan call, 1),
		results:        make(chan result, 1),
		wake:           make(chan struct{}, 1),
		upstreams:      map[string]*upstreamState{},
		lastOwners:     map[string]string{},
		failureDomains: map[string]string{},
		candidatePool:  map[string][]string{},
	}
}

// Step takes in the result of the last call, starts the next one and hands over
// what belongs elsewhere. It does not block.
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

// FullLimit reports whether upstreams may be admitted to beyond the reserve:
// the lease is surely valid by this router's clock, or promises have covered
// the time since. It depends on now alone, so it holds after a pause too.
func (c *Claims) FullLimit(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.fullLimitUntil) && !now.Before(c.reserveOnlyUntil)
}

// LeaseUntil returns the time until which the lease is surely valid.
func (c *Claims) LeaseUntil() time.Time { return c.leaseUntil }

// StoreReachable reports whether the last call to the store was answered and no
// claim waits to be made again after an outage. Until then this router claims
// nothing else and may still give promises.
func (c *Claims) StoreReachable() bool { return c.storeReachable && !c.anyInPhase(recreating) }

// WantHoldOff reports whether exchanges should ask for promises, because the
// renewal is overdue.
func (c *Claims) WantHoldOff(now time.Time) bool {
	return c.leaseID != 0 && c.leaseUntil.Sub(now) < requestHoldOffBefore
}

// Drain makes the router hand over all its upstreams and claim no more.
func (c *Claims) Drain() {
	c.draining = true
	c.candidatesAt = time.Time{}
}

// Drained reports whether a leaving router has nothing left to hand over.
func (c *Claims) Drained() bool {
	return c.draining && !slices.ContainsFunc(c.activeIDs, func(id string) bool { return c.upstreams[id].phase != idle })
}

// Owned returns the upstreams that this router owns, sorted.
func (c *Claims) Owned() []string {
	var ids []string
	for _, id := range c.activeIDs {
		if c.upstreams[id].isOwned() {
			ids = append(ids, id)
		}
	}
	return ids
}

// extendFullLimit extends the time of the full limit. Promises extend it only if there
// is no gap; the lease does so once no claim is left under an expired one.
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

// holdOffOutlastsLease reports whether promises last longer than the lease.
func (c *Claims) holdOffOutlastsLease() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fullLimitUntil.After(c.leaseUntil)
}

// fullLimitLapsed reports whether there was a time without the full limit.
func (c *Claims) fullLimitLapsed(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !now.Before(c.fullLimitUntil)
}
