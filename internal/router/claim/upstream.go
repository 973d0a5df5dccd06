package claim

import (
	"slices"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/membership"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rendezvous"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

const (
	// candidatesInterval is the time between computations of the candidates.
	candidatesInterval = time.Second
	// unlistedGrace is how long an upstream remains owned after it left the host
	// list, which may omit it temporarily.
	unlistedGrace = 15 * time.Second
	// handoverTimeout is how long the owner waits for the peer's response to a
	// handover.
	handoverTimeout = 5 * time.Second
	// swapTimeout is the time that a peer has to swap the key after it accepted a
	// handover.
	swapTimeout = 3 * time.Second
	// maxHandovers limits the number of concurrent handovers.
	maxHandovers = 4
	// heldRetryDelay is the delay before another attempt to claim a key that a
	// live router holds, vacantRetryDelay the delay if its holder is not live.
	heldRetryDelay   = 5 * time.Second
	vacantRetryDelay = time.Second
)

// phase is the phase of an upstream's ownership.
type phase int

const (
	// idle: not owned.
	idle phase = iota
	// createUnknown: the outcome of a create is unknown; the key is read back.
	createUnknown
	// owned: claimed under the current lease.
	owned
	// recreating: claimed under a lease that has expired, and covered by hold-off
	// promises since; the key is to be created again.
	recreating
	// handingOver: admission has ended and the state is being sent.
	handingOver
	// releasing: the key is to be deleted unless a peer has swapped it.
	releasing
	// swapping: the state has been received and the key is to be swapped.
	swapping
	// swapUnknown: the outcome of a swap is unknown; the key is read back.
	swapUnknown
)

// upstreamState is the ownership state of one upstream.
type upstreamState struct {
	Upstream
	phase      phase
	listed     bool
	unlistedAt time.Time // when it left the host list
	candidate  bool      // this router is the candidate
	fencing    int64     // revision of the own claim or of the claim to swap
	handover   *rpc.HandoverRequest
	notBefore  time.Time // earliest time of the next call
	recheckAt  time.Time // when to read the key again after a lost create
	phaseSince time.Time // start of the phase
}

func (s *upstreamState) isOwned() bool { return s.phase == owned || s.phase == recreating }

// setPhase changes the phase. No call for the upstream starts before notBefore.
func (s *upstreamState) setPhase(p phase, now, notBefore time.Time) {
	s.phase, s.phaseSince, s.notBefore = p, now, notBefore
	if p != swapping && p != swapUnknown {
		s.handover = nil
	}
}

// SetUpstreams replaces the upstreams of the host list.
func (c *Claims) SetUpstreams(now time.Time, upstreams []Upstream) {
	listed := make(map[string]bool, len(upstreams))
	for _, u := range upstreams {
		listed[u.ID] = true
		s := c.upstreams[u.ID]
		if s == nil {
			s = &upstreamState{}
			c.upstreams[u.ID] = s
		}
		s.Upstream, s.listed = u, true
	}
	for id, s := range c.upstreams {
		if s.listed && !listed[id] {
			s.listed, s.unlistedAt = false, now
		}
		if !s.listed && s.phase == idle {
			delete(c.upstreams, id)
		}
	}
	c.activeIDs = slices.DeleteFunc(c.activeIDs, func(id string) bool { return c.upstreams[id] == nil })
	c.candidatesAt = time.Time{}
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.failureDomains {
		if c.upstreams[id] == nil {
			delete(c.failureDomains, id)
			delete(c.lastOwners, id)
		}
	}
	for id, s := range c.upstreams {
		c.failureDomains[id] = s.FailureDomain
	}
}

// updateCandidates computes which upstreams this router is the candidate for
// and updates activeIDs. It reports whether the computation was due.
func (c *Claims) updateCandidates(now time.Time) bool {
	if !c.candidatesAt.IsZero() && now.Sub(c.candidatesAt) < candidatesInterval {
		return false
	}
	c.candidatesAt = now
	live := groupRouters(c.peers.Live(now))
	mayHaveRouters := map[string]bool{c.self.FailureDomain: true}
	c.markerSweep.responsible = rendezvous.First(rendezvous.Key(MarkerPrefix), live.byRegion[c.self.Region]) == c.self.ID
	c.activeIDs = c.activeIDs[:0]
	for id, s := range c.upstreams {
		if _, known := mayHaveRouters[s.FailureDomain]; !known {
			mayHaveRouters[s.FailureDomain] = len(live.byDomain[s.FailureDomain]) > 0 || c.peers.MayHaveRouters(now, s.FailureDomain)
		}
		s.candidate = !c.draining && s.listed && c.self.Region == s.Region &&
			(s.FailureDomain == c.self.FailureDomain || !mayHaveRouters[s.FailureDomain]) &&
			c.candidateFor(now, s, live) == c.self.ID
		if s.candidate || s.phase != idle || !s.recheckAt.IsZero() {
			c.activeIDs = append(c.activeIDs, id)
		}
	}
	slices.Sort(c.activeIDs)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.liveByDomain = live.byDomain
	return true
}

// addActive adds an upstream that is no longer idle to activeIDs.
func (c *Claims) addActive(id string) {
	if at, found := slices.BinarySearch(c.activeIDs, id); !found {
		c.activeIDs = slices.Insert(c.activeIDs, at, id)
	}
}

// routerGroups indexes live routers by failure domain, region and id.
type routerGroups struct {
	byDomain map[string][]string // failure domain to ids
	byRegion map[string][]string // region to ids
	byID     map[string]membership.Peer
}

func groupRouters(live []membership.Peer) routerGroups {
	r := routerGroups{byDomain: map[string][]string{}, byRegion: map[string][]string{}, byID: map[string]membership.Peer{}}
	for _, p := range live {
		r.byDomain[p.FailureDomain] = append(r.byDomain[p.FailureDomain], p.ID)
		r.byRegion[p.Region] = append(r.byRegion[p.Region], p.ID)
		r.byID[p.ID] = p
	}
	return r
}

// candidateFor returns the id of the candidate for s, or "" if there is none.
// Routers of other failure domains are candidates only if MayHaveRouters is false
// for the upstream's own domain.
func (c *Claims) candidateFor(now time.Time, s *upstreamState, live routerGroups) string {
	ids := live.byDomain[s.FailureDomain]
	if len(ids) == 0 && !c.peers.MayHaveRouters(now, s.FailureDomain) {
		ids = live.byRegion[s.Region]
	}
	return rendezvous.First(rendezvous.Key(s.ID), ids)
}

// OwnerOf returns the id of the router to ask for an upstream: the last owner
// seen in the store if it is live, otherwise the candidate, or "" if there is
// none.
func (c *Claims) OwnerOf(upstream string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	live := c.liveByDomain[c.failureDomains[upstream]]
	owner := c.lastOwners[upstream]
	if owner == c.self.ID || owner != "" && (len(live) == 0 || slices.Contains(live, owner)) {
		return owner
	}
	return rendezvous.First(rendezvous.Key(upstream), live)
}

// setLastOwner records the holder that the store shows. What peers report about
// an owner is not used: hold-off promises apply to the last holder, which a
// response from an earlier owner would overwrite.
func (c *Claims) setLastOwner(upstream, router string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastOwners[upstream] = router
}

func (c *Claims) lastOwner(upstream string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastOwners[upstream]
}

func (c *Claims) anyInPhase(p phase) bool {
	return slices.ContainsFunc(c.activeIDs, func(id string) bool { return c.upstreams[id].phase == p })
}

// loseAll ends the ownership of all upstreams in a phase.
func (c *Claims) loseAll(now time.Time, p phase) {
	for _, id := range c.activeIDs {
		if s := c.upstreams[id]; s.phase == p {
			c.loseOwnership(now, s)
		}
	}
}

func (c *Claims) loseOwnership(now time.Time, s *upstreamState) {
	s.setPhase(idle, now, now)
	c.ownershipHandler.Lost(now, s.ID)
}

// releaseOtherDomains releases the upstreams of other failure domains. Hold-off
// promises from the local domain do not bind the routers that may claim them.
func (c *Claims) releaseOtherDomains(now time.Time) {
	for _, id := range c.activeIDs {
		if s := c.upstreams[id]; s.isOwned() && s.FailureDomain != c.self.FailureDomain {
			c.releaseClaim(now, s)
		}
	}
}

// gainOwnership starts ownership after a create, a swap or a read that found
// the router's own claim. If this router knows an earlier owner, the claim is
// not the first, even if the store found no marker: the store has lost its keys.
func (c *Claims) gainOwnership(now time.Time, s *upstreamState, fencing int64, first bool) {
	first = first && c.lastOwner(s.ID) == ""
	c.addActive(s.ID)
	c.setLastOwner(s.ID, c.self.ID)
	handover, heldOff := s.handover, s.phase == recreating
	s.fencing = fencing
	if s.FailureDomain != c.self.FailureDomain && c.holdOffOutlastsLease() {
		s.setPhase(releasing, now, now)
		return
	}
	s.setPhase(owned, now, now)
	if heldOff {
		c.ownershipHandler.FencingChanged(now, s.ID, uint64(fencing))
		return
	}
	if handover == nil {
		c.peers.SuspendHoldOff(now)
	}
	if handover == nil && !first {
		c.limitToReserve(now)
	}
	c.ownershipHandler.Gained(now, s.ID, uint64(fencing), handover, first)
}

// limitToReserve limits a router that claims soon after it appeared in the host
// list to the reserve. An owner that relies on hold-off promises may not know
// this router yet, and so has not requested its promise.
func (c *Claims) limitToReserve(now time.Time) {
	since, ok := c.peers.ListedSince(now)
	if !ok {
		since = now
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if until := since.Add(membership.ListConvergence); until.After(c.reserveOnlyUntil) {
		c.reserveOnlyUntil = until
	}
}
