package edge

import (
	"math"

	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/gossip"
	"github.com/hemlockcroft/hemlockcroft/internal/router/shedding"
)

// setSheddingSection puts the rates of services whose capacity is short into the next
// datagrams.
func (e *Edge) setSheddingSection(now clock.Instant) {
	if e.shedding == nil {
		return
	}
	e.shedding.SetRouters(len(e.gossipState.LiveRouters(now)))
	e.gossipState.SetSection(shedding.SectionKind, e.shedding.Section(now))
}

// mergeShedding applies the rates in a datagram of a peer.
func (e *Edge) mergeShedding(now clock.Instant, m gossip.Message) {
	if e.shedding == nil || m.Sender() == "" {
		return
	}
	if err := e.shedding.MergePeer(now, m.Sender(), m.Section(shedding.SectionKind)); err != nil {
		e.counters.Add("shedding_malformed", 1)
	}
}

// expireShedding removes old rates and logs shortages that have started or ended.
func (e *Edge) expireShedding(now clock.Instant) {
	if e.shedding == nil {
		return
	}
	for _, c := range e.shedding.Expire(now) {
		f := logrus.Fields{
			"service": c.Service, "completed": math.Round(c.Completed), "rejected": math.Round(c.Rejected), "peers": c.Peers, "oldest_ms": c.Oldest.Milliseconds(),
		}
		if c.Short {
			e.log.WithFields(f).Warn("capacity of a service is short")
			continue
		}
		f["duration_ms"], f["admitted"], f["refused"] = c.Duration.Milliseconds(), c.Admitted, c.Refused
		e.log.WithFields(f).Info("capacity of a service suffices again")
	}
}
