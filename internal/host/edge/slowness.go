package edge

import (
	"math"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/gossip"
)

const (
	// slownessFanout is how many peers get this router's new estimates of slow
	// upstreams in each round of digests. They pass on what is new to them, so that 300
	// routers know them after four rounds.
	slownessFanout = 6
	// slowMetric is the slowdown from which an upstream is listed in the metrics.
	slowMetric = 1.5
)

// sendSlowness sends new estimates of unusually slow upstreams to some peers.
func (e *Edge) sendSlowness(now clock.Instant) {
	shared := e.latency.TakeShared(now, gossip.MaxSlowness)
	if len(shared) == 0 {
		return
	}
	content := gossip.EncodeSlowness(shared)
	for _, address := range e.gossipState.SampleAddresses(now, slownessFanout) {
		e.counters.Add("slowness_bytes_sent", int64(len(content)))
		e.send(address, content)
	}
}

// slowUpstreams returns the upstreams that are slower than the fastest of their
// service, with their slowdown, for the metrics.
func (e *Edge) slowUpstreams() any {
	now := clock.Now()
	slow := map[string]float64{}
	for _, service := range e.directory.Services() {
		upstreams := e.directory.Receiving(service)
		keys := make([]uint64, len(upstreams))
		for i, u := range upstreams {
			keys[i] = u.IDHash()
		}
		for i, estimate := range e.latency.Estimates(now, keys) {
			if estimate.Slowdown >= slowMetric {
				slow[upstreams[i].ID()] = math.Round(estimate.Slowdown*10) / 10
			}
		}
	}
	return slow
}
