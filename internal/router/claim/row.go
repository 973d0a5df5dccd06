package claim

import (
	"slices"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/member"
	"github.com/hemlockcroft/hemlockcroft/internal/router/place"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

const (
	// candidatesInterval is how often the candidates are computed.
	candidatesInterval = time.Second
	// unlistedGrace is how long an upstream stays owned that is not in the list,
	// which may lack it for a while.
	unlistedGrace = 15 * time.Second
	// handoverTimeout is how long the peer's answer to a handover is awaited.
	handoverTimeout = 5 * time.Second
	// swapTimeout is what a peer that accepted a handover has to swap the key.
	swapTimeout = 3 * time.Second
	// maxHandovers limits the handovers under way.
	maxHandovers = 4
	// heldRetryDelay is the time between attempts to claim a key that is held,
	// vacantRetryDelay if its holder is not live.
	heldRetryDelay   = 5 * time.Second
	vacantRetryDelay = time.Second
)

// phase is the state of a row.
type phase int

const (
	// idle: not owned.
	idle phase = iota
	// createUnknown: a create has an unknown outcome; read back.
	createUnknown
	// owned: claimed under the present lease.
	owned
	// recreating: claimed under a lease that has expired, held under promises.
	recreating
	// handingOver: admission has ended, the state is on its way.
	handingOver
	// releasing: the key is to be deleted unless it has been swapped.
	releasing
	// swapping: the state has arrived, the key is to be swapped.
	swapping
	// swapUnknown: a swap has an unknown outcome; read back.
	swapUnknown
)

// upstreamState is the state of one upstream.
type upstreamState struct {
	Upstream
	phase      phase
	listed     bool
	unlistedAt time.Time // when it left the list
	candidate  bool      // this router is the candidate
	fencing    int64     // of the own claim, or of the claim to swap
	handover   *rpc.HandoverRequest
	notBefore  time.Time // of the next call for it
	recheckAt  time.Time // when to read an unsettled create once more
	phaseSince time.Time // of handing or taking
}

func (s *upstreamState) isOwned() bool { return s.phase == owned || s.phase == recreating }

// setPhase changes the phase; the next call for the row may start at notBefore.
func (s *upstreamState) setPhase(p phase, now, notBefore time.Time) {
	s.phase, s.phaseSince, s.notBefore = p, now, notBefore
	if p != swapping && p != swapUnknown {
		s.handover = nil
	}
}

// SetUpstreams takes in the upstreams of the host list.
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

// updateCandidates computes the candidates of upstreams that this router may claim and
// reports whether it was due.
func (c *Claims) updateCandidates(now time.Time) bool {
	if !c.candidatesAt.IsZero() && now.Sub(c.candidatesAt) < candidatesInterval {
		return false
	}
	c.candidatesAt = now
	live := groupRouters(c.peers.Live(now))
	inhabited := map[string]bool{c.self.FailureDomain: true}
	c.markerSweep.responsible = place.First(place.Key(MarkerPrefix), live.byRegion[c.self.Region]) == c.self.ID
	c.activeIDs = c.activeIDs[:0]
	for id, s := range c.upstreams {
		if _, known := inhabited[s.FailureDomain]; !known {
			inhabited[s.FailureDomain] = len(live.byDomain[s.FailureDomain]) > 0 || c.peers.MayHaveRouters(now, s.FailureDomain)
		}
		s.candidate = !c.draining && s.listed && c.self.Region == s.Region &&
			(s.FailureDomain == c.self.FailureDomain || !inhabited[s.FailureDomain]) &&
			c.candidateFor(now, s, live) == c.self.ID
		if s.candidate || s.phase != idle || !s.recheckAt.IsZero() {
			c.activeIDs = append(c.activeIDs, id)
		}
	}
	slices.Sort(c.activeIDs)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.candidatePool = live.byDomain
	return true
}

// addActive adds a row that is no longer idle to those that are served.
func (c *Claims) addActive(id string) {
	if at, found := slices.BinarySearch(c.activeIDs, id); !found {
		c.activeIDs = slices.Insert(c.activeIDs, at, id)
	}
}

// routerGroups holds live routers by failure domain and by region.
type routerGroups struct {
	byDomain map[string][]string // domain to ids; "" for all
	byRegion map[string][]string // region to ids
	byID     map[string]member.Peer
}

func groupRouters(live []member.Peer) routerGroups {
	r := routerGroups{byDomain: map[string][]string{}, byRegion: map[string][]string{}, byID: map[string]member.Peer{}}
	for _, p := range live {
		r.byDomain[p.FailureDomain] = append(r.byDomain[p.FailureDomain], p.ID)
		r.byRegion[p.Region] = append(r.byRegion[p.Region], p.ID)
		r.byID[p.ID] = p
	}
	return r
}

// candidateFor returns the candidate for w, "" if there is none. Routers of other
// failure domains are candidates only if none is listed for the domain.
func (c *Claims) candidateFor(now time.Time, s *upstreamState, live routerGroups) string {
	ids := live.byDomain[s.FailureDomain]
	if len(ids) == 0 && !c.peers.MayHaveRouters(now, s.FailureDomain) {
		ids = live.byRegion[s.Region]
	}
	return place.First(place.Key(s.ID), ids)
}

// OwnerOf returns the router to ask for an upstream: the last seen owner if it
// is live, else the candidate, "" if there is none.
func (c *Claims) OwnerOf(upstream string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	live := c.candidatePool[c.failureDomains[upstream]]
	owner := c.lastOwners[upstream]
	if owner == c.self.ID || owner != "" && (len(live) == 0 || slices.Contains(live, owner)) {
		return owner
	}
	return place.First(place.Key(upstream), live)
}

// setLastOwner notes the holder that the store shows. What peers say of an owner is not
// taken in: promises not to claim depend on the last holder, and an answer from
// an earlier owner would replace it.
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

// loseAll gives up all rows in a phase.
func (c *Claims) loseAll(now time.Time, p phase) {
	for _, id := range c.activeIDs {
		if s := c.upstreams[id]; s.phase == p {
			c.loseOwnership(now, s)
		}
	}
}

func (c *Claims) loseOwnership(now time.Time, s *upstreamState) {
	s.setPhase(idle, now, now)
	c.admission.Lost(now, s.ID)
}

// releaseOtherDomains gives up upstreams of other failure domains, since the promises
// of the own domain do not bind the routers that may claim those.
func (c *Claims) releaseOtherDomains(now time.Time) {
	for _, id := range c.activeIDs {
		if s := c.upstreams[id]; s.isOwned() && s.FailureDomain != c.self.FailureDomain {
			c.releaseClaim(now, s)
		}
	}
}

// gainOwnership takes up ownership after a create, a swap or the finding of an own claim.
// The store's word that a create was the first does not count if this router
// knows of an earlier owner: the store has then lost its keys.
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
		c.admission.FencingChanged(now, s.ID, uint64(fencing))
		return
	}
	if handover == nil {
		c.peers.SuspendHoldOff(now)
	}
	if handover == nil && !first {
		c.limitToReserve(now)
	}
	c.admission.Gained(now, s.ID, uint64(fencing), handover, first)
}

// limitToReserve limits a router that claims soon after it appeared in the list to the
// reserve: a holder under promises may not know of it yet, and has not asked
// for its promise.
func (c *Claims) limitToReserve(now time.Time) {
	since, ok := c.peers.ListedSince(now)
	if !ok {
		since = now
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if until := since.Add(member.ListConvergence); until.After(c.reserveOnlyUntil) {
		c.reserveOnlyUntil = until
	}
}
