package claim

import (
	"errors"
	"maps"
	"slices"
	"time"
)

var errLeaseEnded = errors.New("result older than the lease")

const (
	// probeInterval is the time between reads of one owned claim, which also tell
	// whether the store can be reached. An outage is then noticed in at most 3 s
	// and promises can be gathered in the 6 s that a lease has left.
	probeInterval = 2 * time.Second
	// minListInterval is the least time between lists of all claims, and fleetListRate what
	// the fleet makes of them a second.
	minListInterval = 2 * time.Second
	fleetListRate   = 5
	// fleetClaimRate is the number of claims a second of the fleet, about half of
	// what the store takes in writes; claimBurst is what one router may make at
	// once.
	fleetClaimRate = 300
	claimBurst     = 4
	// recheckDelay is when a claim that could not be found after a lost answer
	// is looked for again; the request may still have been on its way.
	recheckDelay = LeaseTTL
)

// tokenBucket is a token bucket for claims.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

func (b *tokenBucket) refill(now time.Time, rate float64) bool {
	if b.refilledAt.IsZero() {
		b.tokens = claimBurst
	} else {
		b.tokens = min(claimBurst, b.tokens+now.Sub(b.refilledAt).Seconds()*rate)
	}
	b.refilledAt = now
	return b.tokens >= 1
}

func (b *tokenBucket) spend() { b.tokens-- }

// nextCall returns the call that is most urgent.
func (c *Claims) nextCall(now time.Time) (call, bool) {
	if q, ok := c.nextLeaseCall(now); ok || c.leaseID == 0 {
		return q, ok
	}
	if now.Before(c.leaseUntil) {
		if q, ok := c.nextUpstreamCall(now); ok {
			return q, true
		}
	}
	return c.nextReadCall(now)
}

// nextLeaseCall returns a grant or a renewal if one is due. A leaving router that
// has handed over everything revokes its lease.
func (c *Claims) nextLeaseCall(now time.Time) (call, bool) {
	switch {
	case c.revoked:
		return call{}, false
	case c.leaseID == 0:
		return call{op: opGrant}, true
	case c.Drained():
		return call{op: opRevoke, lease: c.leaseID}, true
	case !now.Before(c.nextRenewal):
		return call{op: opKeepAlive, lease: c.leaseID}, true
	}
	return call{}, false
}

// callPriority is the order in which rows are served.
var callPriority = []struct {
	phase phase
	op    operation
}{
	{swapUnknown, opGet},
	{swapping, opSwap},
	{createUnknown, opGet},
	{releasing, opDelete},
}

// nextUpstreamCall returns the next write, or read of a write's outcome, for a row.
func (c *Claims) nextUpstreamCall(now time.Time) (call, bool) {
	for _, u := range callPriority {
		for _, id := range c.activeIDs {
			s := c.upstreams[id]
			if s.phase == u.phase && !now.Before(s.notBefore) {
				return call{op: u.op, upstream: id, revision: s.fencing, lease: c.leaseID}, true
			}
		}
	}
	for _, id := range c.activeIDs {
		s := c.upstreams[id]
		if s.phase == idle && !s.recheckAt.IsZero() && !now.Before(s.recheckAt) {
			s.recheckAt = time.Time{}
			return call{op: opGet, upstream: id}, true
		}
	}
	if q, ok := c.nextRecreateCall(now); ok {
		return q, true
	}
	return c.nextClaimCall(now)
}

// claimAllowed reports whether the fleet's rate of claims leaves room for one.
func (c *Claims) claimAllowed(now time.Time) bool {
	return c.claimBudget.refill(now, fleetClaimRate/float64(max(c.peers.Size(), 1)))
}

// nextRecreateCall returns a create for a claim that went with an expired lease.
func (c *Claims) nextRecreateCall(now time.Time) (call, bool) {
	for _, id := range c.activeIDs {
		s := c.upstreams[id]
		if s.phase == recreating && !now.Before(s.notBefore) && c.claimAllowed(now) {
			c.claimBudget.spend()
			return call{op: opCreate, upstream: id, lease: c.leaseID}, true
		}
	}
	return call{}, false
}

// nextClaimCall returns a create for an upstream that this router should own.
func (c *Claims) nextClaimCall(now time.Time) (call, bool) {
	if _, listed := c.peers.ListedSince(now); !listed || c.draining || c.anyInPhase(recreating) || !c.claimAllowed(now) {
		return call{}, false
	}
	for _, id := range c.activeIDs {
		s := c.upstreams[id]
		if s.phase != idle || !s.candidate || now.Before(s.notBefore) || c.peers.PromisedTo(now, c.lastOwner(id)) {
			continue
		}
		c.claimBudget.spend()
		return call{op: opCreate, upstream: id, lease: c.leaseID}, true
	}
	return call{}, false
}

// nextReadCall returns a read of one owned claim in turn, or a list of all.
func (c *Claims) nextReadCall(now time.Time) (call, bool) {
	switch {
	case c.revoked:
		return call{}, false
	case !now.Before(c.nextList):
		c.nextList = now.Add(max(minListInterval, time.Duration(c.peers.Size())*time.Second/fleetListRate))
		return call{op: opList}, true
	case !now.Before(c.nextProbe):
		c.nextProbe = now.Add(probeInterval)
		ids := c.Owned()
		if len(ids) == 0 {
			return call{op: opGet}, true
		}
		c.probeIndex++
		return call{op: opGet, upstream: ids[c.probeIndex%len(ids)]}, true
	}
	return c.nextSweepCall(now)
}

// handleResult takes in the result of a call.
func (c *Claims) handleResult(now time.Time, r result) {
	c.storeReachable = r.err == nil
	if !c.storeReachable {
		c.backoffUntil = now.Add(errorBackoff)
	} else if r.op >= opList && !now.Before(c.leaseUntil) {
		// The lease may have ended since, and with it what the result shows.
		r.err = errLeaseEnded
	}
	switch r.op {
	case opGrant, opKeepAlive, opRevoke:
		c.handleLeaseResult(now, r)
	case opList:
		c.handleListResult(now, r)
	case opListMarkers:
		c.handleMarkerList(r)
	case opDeleteMarker:
		// A marker that stays for whatever reason is found by later sweeps.
	default:
		if s := c.upstreams[r.upstream]; s != nil {
			c.handleUpstreamResult(now, s, r)
		}
	}
}

func (c *Claims) handleLeaseResult(now time.Time, r result) {
	switch {
	case r.err != nil:
	case r.op == opRevoke:
		c.leaseID, c.leaseUntil, c.revoked = 0, time.Time{}, true
	case r.op == opGrant:
		c.leaseID = r.lease
		c.leaseUntil = r.sent.Add(LeaseTTL - clockMargin)
		c.nextRenewal = r.sent.Add(renewInterval)
	case r.ttl <= 0:
		c.handleLeaseExpired(now)
	default:
		c.leaseUntil = r.sent.Add(min(r.ttl, LeaseTTL) - clockMargin)
		c.nextRenewal = r.sent.Add(renewInterval)
	}
}

// handleLeaseExpired takes in that the store no longer has the lease. Claims held under
// promises without a gap are made again under a new lease; all others are lost.
func (c *Claims) handleLeaseExpired(now time.Time) {
	heldOff := !now.Before(c.leaseUntil) && !c.fullLimitLapsed(now)
	c.leaseID, c.leaseUntil = 0, time.Time{}
	if !heldOff {
		c.mu.Lock()
		c.fullLimitUntil = time.Time{}
		c.mu.Unlock()
	}
	for _, id := range c.activeIDs {
		s := c.upstreams[id]
		switch {
		case s.phase == owned && heldOff:
			s.setPhase(recreating, now, now)
		case s.isOwned():
			c.loseOwnership(now, s)
		default:
			// The claim that was handed over, deleted or not found went with the
			// lease; one that was to be swapped to this router stays on offer.
			if s.phase != swapping {
				s.setPhase(idle, now, now)
			}
		}
	}
}

func (c *Claims) handleListResult(now time.Time, r result) {
	if r.err != nil {
		return
	}
	found := make(map[string]KeyValue, len(r.list))
	for _, kv := range r.list {
		found[upstreamID(kv.Key)] = kv
	}
	for _, id := range slices.Sorted(maps.Keys(c.upstreams)) {
		kv, ok := found[id]
		c.observe(now, c.upstreams[id], kv, ok)
	}
}

// observe takes in what a read shows of a claim.
func (c *Claims) observe(now time.Time, s *upstreamState, kv KeyValue, exists bool) {
	ownClaim := exists && c.isOwnClaim(kv)
	if exists && !ownClaim {
		c.recordHolder(s, kv)
	}
	switch {
	case s.phase == owned && !(ownClaim && kv.ModRevision == s.fencing):
		c.loseOwnership(now, s)
	case s.phase == idle && ownClaim:
		c.gainOwnership(now, s, kv.ModRevision, false)
	}
}

// isOwnClaim reports whether a claim belongs to this boot and its present lease.
func (c *Claims) isOwnClaim(kv KeyValue) bool {
	h, err := ParseHolder(kv.Value)
	return err == nil && h.Router == c.self.ID && h.Boot == c.self.Boot && kv.Lease == c.leaseID
}

// recordHolder keeps the holder of a claim, which may be an earlier boot of this router.
func (c *Claims) recordHolder(s *upstreamState, kv KeyValue) {
	if h, err := ParseHolder(kv.Value); err == nil {
		c.setLastOwner(s.ID, h.Router)
	}
}

// handleUpstreamResult takes in the result of a call for one row.
func (c *Claims) handleUpstreamResult(now time.Time, s *upstreamState, r result) {
	switch r.op {
	case opCreate:
		c.handleCreateResult(now, s, r)
	case opSwap:
		c.handleSwapResult(now, s, r)
	case opDelete:
		if s.phase == releasing && r.err == nil {
			s.setPhase(idle, now, now.Add(vacantRetryDelay))
		}
	case opGet:
		c.handleGetResult(now, s, r)
	}
}

func (c *Claims) handleCreateResult(now time.Time, s *upstreamState, r result) {
	if s.phase != idle && s.phase != recreating {
		// A handover arrived meanwhile; its swap finds out how the key stands.
		return
	}
	switch {
	case r.err != nil && s.phase == recreating:
		s.notBefore = now.Add(errorBackoff)
	case r.err != nil:
		s.setPhase(createUnknown, now, now)
	case r.done || c.isOwnClaim(r.kv):
		c.gainOwnership(now, s, r.kv.ModRevision, r.firstClaim)
	default:
		c.recordHolder(s, r.kv)
		if s.phase == recreating {
			c.loseOwnership(now, s)
		}
		s.notBefore = now.Add(c.retryDelay(s))
	}
}

// retryDelay returns the time until the next attempt at a claim that is held.
func (c *Claims) retryDelay(s *upstreamState) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range c.candidatePool[s.FailureDomain] {
		if id == c.lastOwners[s.ID] && id != c.self.ID {
			return heldRetryDelay
		}
	}
	return vacantRetryDelay
}

func (c *Claims) handleSwapResult(now time.Time, s *upstreamState, r result) {
	switch {
	case s.phase != swapping:
	case r.err != nil:
		s.phase = swapUnknown
	case r.done || c.isOwnClaim(r.kv):
		c.gainOwnership(now, s, r.kv.ModRevision, false)
	default:
		c.recordHolder(s, r.kv)
		s.setPhase(idle, now, now)
	}
}

func (c *Claims) handleGetResult(now time.Time, s *upstreamState, r result) {
	if r.err != nil {
		return
	}
	switch {
	case s.phase == createUnknown && r.done && c.isOwnClaim(r.kv):
		c.gainOwnership(now, s, r.kv.ModRevision, false)
	case s.phase == createUnknown:
		s.setPhase(idle, now, now)
		s.recheckAt = now.Add(recheckDelay)
		c.observe(now, s, r.kv, r.done)
	case s.phase == swapUnknown && r.done && c.isOwnClaim(r.kv):
		c.gainOwnership(now, s, r.kv.ModRevision, false)
	case s.phase == swapUnknown && r.done && r.kv.ModRevision == s.fencing:
		s.phase = swapping
	case s.phase == swapUnknown:
		s.setPhase(idle, now, now)
		c.observe(now, s, r.kv, r.done)
	default:
		c.observe(now, s, r.kv, r.done)
	}
}
