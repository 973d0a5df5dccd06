package shedding

import (
	"maps"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

// Preview is what Admit would decide on a request.
type Preview struct {
	Decision
	// Probability is the share of requests like this one that are admitted. If it is
	// below 1, the Decision is that of a refused one.
	Probability float64
}

// Preview returns what Admit would decide on a request now, and changes nothing.
func (c *Controller) Preview(now clock.Instant, r Request) Preview {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Admit runs on a copy, so that both cannot differ.
	scratch := newController(func() float64 { return 0 })
	scratch.routers, scratch.peers = c.routers, c.peers
	for key, s := range c.services {
		scratch.services[key] = s
	}
	if s := c.services[hashOf(r.Service)]; s != nil {
		scratch.services[hashOf(r.Service)] = s.copy()
	}
	if s := scratch.service(now, r.Service); s != nil {
		// Without a carried remainder the request is refused unless all are admitted.
		_, state := scratch.class(now, s, r.class())
		state.credit = -1
	}
	p := Preview{Decision: scratch.Admit(now, r), Probability: 1}
	switch p.Reason {
	case ReasonTime:
		p.Probability = 0
	case ReasonShare:
		p.Probability = min(1, admittedWeight(r, p.Decision)*p.Share)
	}
	return p
}

// admittedWeight returns the part of its share that a request counts with.
func admittedWeight(r Request, d Decision) float64 {
	if r.Objective > 0 && r.Elapsed+d.Latency > r.Objective {
		return lateWeight
	}
	return 1
}

// copy returns a copy that Admit can change without an effect on s.
func (s *service) copy() *service {
	copied := *s
	copied.classes = make(map[class]*classState, len(s.classes))
	for key, state := range s.classes {
		own := *state
		copied.classes[key] = &own
	}
	copied.presence, copied.brokenAt = maps.Clone(s.presence), maps.Clone(s.brokenAt)
	return &copied
}
