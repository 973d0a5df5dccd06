package claim

import (
	"errors"
	"maps"
	"slices"
	"time"
)

var errLeaseEnded = errors.New("lease ended before the result arrived")

const (
	// probeInterval is the time between reads of one owned claim, which also test
	// whether the store is reachable. An outage is then detected within 3 s, which
	// leaves time to collect hold-off promises in the remaining 6 s of the lease.
	probeInterval = 2 * time.Second
	// minListInterval is the minimum time between two lists of all claims by one
	// router, fleetListRate the lists per second of the whole fleet.
	minListInterval = 2 * time.Second
	fleetListRate   = 5
	// fleetClaimRate is the number of claims per second of the whole fleet, about
	// half of the writes that the store can take. claimBurst is the burst of one
	// router.
	fleetClaimRate = 300
	claimBurst     = 4
	// recheckDelay is the delay before a second read of a claim that was not found
	// after a lost response: the create may still have been in transit.
	recheckDelay = LeaseTTL
)

// tokenBucket limits the rate of claims.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// refill adds the tokens since the last call and reports whether at least one is
// available.
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

// nextCall returns the most urgent call.
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

// nextLeaseCall returns the grant, the renewal or, once a draining router has
// handed over all upstreams, the revocation of the lease, if one is due.
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

// callPriority lists the phases that need a call, most urgent first.
var callPriority = []struct {
	phase phase
	op    operation
}{
	{swapUnknown, opGet},
	{swapping, opSwap},
	{createUnknown, opGet},
	{releasing, opDelete},
}

// nextUpstreamCall returns the next write for an upstream, or the next read of a
// claim whose state is not certain.
func (c *Claims) nextUpstreamCall(now time.Time) (call, bool) {
	for _, p := range callPriority {
		for _, id := range c.activeIDs {
			s := c.upstreams[id]
			if s.phase == p.phase && !now.Before(s.notBefore) {
				return call{op: p.op, upstream: id, revision: s.fencing, lease: c.leaseID}, true
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

// claimAllowed reports whether this router's share of fleetClaimRate permits
// another claim.
func (c *Claims) claimAllowed(now time.Time) bool {
	return c.claimBudget.refill(now, fleetClaimRate/float64(max(c.peers.Size(), 1)))
}

// nextRecreateCall returns a create for a claim that expired with its lease.
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

// nextClaimCall returns a create for an upstream that this router is the
// candidate for.
func (c *Claims) nextClaimCall(now time.Time) (call, bool) {
	if _, listed := c.peers.ListedSince(now); !listed || c.draining || c.anyInPhase(recreating) || !c.claimAllowed(now) {
		return call{}, false
	}
	for _, id := range c.activeIDs {
		s := c.upstreams[id]
		if s.phase != idle || !s.candidate || now.Before(s.notBefore) || c.peers.HoldOffPromisedTo(now, c.lastOwner(id)) {
			continue
		}
		c.claimBudget.spend()
		return call{op: opCreate, upstream: id, lease: c.leaseID}, true
	}
	return call{}, false
}

// nextReadCall returns a list of all claims, a read of one owned claim in
// rotation or a call of the marker sweep, whichever is due.
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

// handleResult applies the result of a call.
func (c *Claims) handleResult(now time.Time, r result) {
	c.storeReachable = r.err == nil
	if !c.storeReachable {
		c.backoffUntil = now.Add(errorBackoff)
	} else if r.op >= opList && !now.Before(c.leaseUntil) {
		// The lease may have expired after the call, which invalidates the result.
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
		// A marker that was not deleted is found again by a later sweep.
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

// handleLeaseExpired handles a lease that the store no longer has. Owned claims
// that hold-off promises covered without a gap are recreated under a new lease;
// all others are lost.
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
			// A claim that was being handed over, deleted or read back expired with
			// the lease. A swap is still possible: that claim is under the lease of
			// the router that hands it over.
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

// observe applies what a read shows about a claim.
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

// isOwnClaim reports whether a claim was made under this router's boot ID and
// current lease.
func (c *Claims) isOwnClaim(kv KeyValue) bool {
	h, err := ParseHolder(kv.Value)
	return err == nil && h.Router == c.self.ID && h.BootID == c.self.BootID && kv.Lease == c.leaseID
}

// recordHolder records the holder of a claim, which may be this router under
// an earlier boot ID.
func (c *Claims) recordHolder(s *upstreamState, kv KeyValue) {
	if h, err := ParseHolder(kv.Value); err == nil {
		c.setLastOwner(s.ID, h.Router)
	}
}

// handleUpstreamResult applies the result of a call for one upstream.
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
		// A handover arrived in the meantime. Its swap will show the state of
		// the key.
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

// retryDelay returns the delay before another attempt to claim a held key.
func (c *Claims) retryDelay(s *upstreamState) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range c.liveByDomain[s.FailureDomain] {
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
