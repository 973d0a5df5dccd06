package claim

import (
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/membership"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

// startHandovers starts the handover of owned upstreams that have another
// router as candidate and releases those that left the host list.
func (c *Claims) startHandovers(now time.Time) {
	inProgress := 0
	for _, id := range c.activeIDs {
		s := c.upstreams[id]
		if s.phase == handingOver && now.Sub(s.phaseSince) > handoverTimeout {
			c.FinishHandover(now, id, false)
		}
		if s.phase == handingOver {
			inProgress++
		}
	}
	if !c.storeReachable || !now.Before(c.leaseUntil) {
		return
	}
	stable := groupRouters(c.successors(now))
	for _, id := range c.activeIDs {
		s := c.upstreams[id]
		if s.phase != owned {
			continue
		}
		if !s.listed && now.Sub(s.unlistedAt) > unlistedGrace {
			c.releaseClaim(now, s)
			continue
		}
		to := c.candidateFor(now, s, stable)
		if to == "" && c.draining {
			c.releaseClaim(now, s)
			continue
		}
		if to == c.self.ID || to == "" || inProgress >= maxHandovers {
			continue
		}
		inProgress++
		s.setPhase(handingOver, now, now)
		c.ownershipHandler.StartHandover(now, id, stable.byID[to])
	}
}

// successors returns the routers that may receive a handover: the stable ones.
// If there is no other stable router, a draining router uses any live one.
func (c *Claims) successors(now time.Time) []membership.Peer {
	stable := c.peers.Stable(now)
	if !c.draining {
		return stable
	}
	stable = c.excludeSelf(stable)
	if len(stable) > 0 {
		return stable
	}
	return c.excludeSelf(c.peers.Live(now))
}

func (c *Claims) excludeSelf(peers []membership.Peer) []membership.Peer {
	var others []membership.Peer
	for _, p := range peers {
		if p.ID != c.self.ID {
			others = append(others, p)
		}
	}
	return others
}

// releaseClaim ends admission without a successor and schedules the deletion of
// the key.
func (c *Claims) releaseClaim(now time.Time, s *upstreamState) {
	c.ownershipHandler.Lost(now, s.ID)
	s.setPhase(releasing, now, now)
}

// FinishHandover reports the outcome of a handover that StartHandover began. In
// both cases the key is deleted unless the peer has swapped it. If the peer did
// not accept, the key is deleted at once: the peer may have accepted and only
// its response was lost, and its swap must then fail.
func (c *Claims) FinishHandover(now time.Time, upstream string, accepted bool) {
	s := c.upstreams[upstream]
	if s == nil || s.phase != handingOver {
		return
	}
	notBefore := now
	if accepted {
		notBefore = now.Add(swapTimeout)
	}
	s.setPhase(releasing, now, notBefore)
	c.candidatesAt = time.Time{} // so that the next Step starts another handover
}

// AcceptHandover stores the state that an owner hands over and reports whether
// this router accepts it. The upstream is owned once the key has been swapped.
func (c *Claims) AcceptHandover(now time.Time, r *rpc.HandoverRequest) bool {
	s := c.upstreams[r.Upstream]
	if s == nil || s.phase != idle && s.phase != createUnknown || c.draining || !now.Before(c.leaseUntil) {
		return false
	}
	c.addActive(s.ID)
	s.setPhase(swapping, now, now)
	s.handover, s.fencing = r, int64(r.Fencing)
	return true
}
