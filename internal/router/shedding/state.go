package shedding

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

// Change is the start or the end of a shortage.
type Change struct {
	Service string
	// Short reports whether the shortage starts.
	Short bool
	// Duration, Admitted and Refused describe a shortage that has ended.
	Duration          time.Duration
	Admitted, Refused int64
	// Completed and Rejected are the rates at the change.
	Completed, Rejected float64
	// Peers is the number of peers whose rates are included, Oldest the age of the
	// oldest of them.
	Peers  int
	Oldest time.Duration
}

// ServiceState describes a service in the metrics.
type ServiceState struct {
	Capacity  float64 `json:"capacity"`
	Demand    float64 `json:"demand"`
	Rejected  float64 `json:"rejected"`
	LatencyMS int64   `json:"latency_ms"`
	Peers     int     `json:"peers"`
	Admitted  int64   `json:"admitted"`
	Refused   int64   `json:"refused"`
}

// updateShortage queues a change if a shortage has started or ended.
func (c *Controller) updateShortage(now clock.Instant, s *service) {
	short := s.short(now)
	if short == (s.since != 0) {
		return
	}
	v := c.currentView(now, s)
	change := Change{Service: s.name, Short: short, Completed: v.completed, Rejected: v.rejected + v.broken, Peers: v.peers, Oldest: v.oldest}
	if short {
		s.since = now
		c.shortages++
	} else {
		change.Duration, change.Admitted, change.Refused = now.Sub(s.since), s.admitted, s.refused
		s.since, s.admitted, s.refused = 0, 0, 0
	}
	c.changes = append(c.changes, change)
}

// Expire removes state that is out of date and returns the shortages that have started
// or ended since the last call.
func (c *Controller) Expire(now clock.Instant) []Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.peers, func(_ string, p *peer) bool { return now.Sub(p.at) > reportTTL })
	for key, s := range c.services {
		c.updateShortage(now, s)
		maps.DeleteFunc(s.classes, func(_ class, state *classState) bool { return now.Sub(state.seenAt) > classTTL })
		maps.DeleteFunc(s.upstreams, func(_ id, u *upstreamState) bool {
			return now.Sub(max(u.completed.at, u.rejected.at)) > classTTL
		})
		maps.DeleteFunc(s.brokenAt, func(_ id, at clock.Instant) bool { return now.Sub(at) > brokenTTL })
		if s.since == 0 {
			clear(s.presence)
		}
		if s.since == 0 && now.Sub(s.usedAt) > classTTL {
			delete(c.services, key)
		}
	}
	changes := c.changes
	c.changes = nil
	slices.SortStableFunc(changes, func(a, b Change) int { return cmp.Compare(a.Service, b.Service) })
	return changes
}

// Metrics holds the counters and the state of the services whose capacity is short.
type Metrics struct {
	// Refused counts the refused requests by reason, Admitted those that were admitted
	// during shortages, and Shortages the shortages that have started.
	Refused   map[string]int64        `json:"refused"`
	Admitted  int64                   `json:"admitted"`
	Shortages int64                   `json:"shortages"`
	Services  map[string]ServiceState `json:"services"`
}

// Metrics returns the counters and the state of each service whose capacity is short.
func (c *Controller) Metrics(now clock.Instant) Metrics {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := Metrics{Refused: maps.Clone(c.refused), Admitted: c.admitted, Shortages: c.shortages, Services: map[string]ServiceState{}}
	for _, s := range c.services {
		if !s.short(now) {
			continue
		}
		v := c.currentView(now, s)
		m.Services[s.name] = ServiceState{
			Capacity: v.admitted, Demand: v.totalDemand(), Rejected: v.rejected + v.broken,
			LatencyMS: v.latency.Milliseconds(), Peers: v.peers, Admitted: s.admitted, Refused: s.refused,
		}
	}
	return m
}
