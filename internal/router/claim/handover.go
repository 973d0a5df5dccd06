package claim

import (
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/member"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

// startHandovers starts handing over owned upstreams for which another router is the
// candidate, and gives up those that left the list.
func (c *Claims) startHandovers(now time.Time) {
	underWay := 0
	for _, id := range c.activeIDs {
		s := c.upstreams[id]
		if s.phase == handingOver && now.Sub(s.phaseSince) > handoverTimeout {
			c.FinishHandover(now, id, false)
		}
		if s.phase == handingOver {
			underWay++
		}
	}
	if !c.storeReachable || !now.Before(c.leaseUntil) {
		return
	}
	steady := groupRouters(c.successors(now))
	for _, id := range c.activeIDs {
		s := c.upstreams[id]
		if s.phase != owned {
			continue
		}
		if !s.listed && now.Sub(s.unlistedAt) > unlistedGrace {
			c.releaseClaim(now, s)
			continue
		}
		to := c.candidateFor(now, s, steady)
		if to == "" && c.draining {
			c.releaseClaim(now, s)
			continue
		}
		if to == c.self.ID || to == "" || underWay >= maxHandovers {
			continue
		}
		underWay++
		s.setPhase(handingOver, now, now)
		c.admission.StartHandover(now, id, steady.byID[to])
	}
}

// successors returns the routers that ownership may be handed to: steady ones,
// or for a leaving router any live one if no other is steady.
func (c *Claims) successors(now time.Time) []member.Peer {
	steady := c.peers.Stable(now)
	if !c.draining {
		return steady
	}
	steady = c.excludeSelf(steady)
	if len(steady) > 0 {
		return steady
	}
	return c.excludeSelf(c.peers.Live(now))
}

func (c *Claims) excludeSelf(peers []member.Peer) []member.Peer {
	var others []member.Peer
	for _, p := range peers {
		if p.ID != c.self.ID {
			others = append(others, p)
		}
	}
	return others
}

// releaseClaim gives up an upstream and its key without a successor.
func (c *Claims) releaseClaim(now time.Time, s *upstreamState) {
	c.admission.Lost(now, s.ID)
	s.setPhase(releasing, now, now)
}

// FinishHandover reports the outcome of a handover that Admission was asked for.
// Either way the key is deleted unless the peer has swapped it: at once if the
// peer did not accept, so that its swap fails if only its answer was lost.
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
	c.candidatesAt = time.Time{} // goes on with the next one
}

// AcceptHandover takes in the state that an owner hands over to this router and reports
// whether it is wanted. The upstream is owned once the key has been swapped.
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
