package edge

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/crash"
	"github.com/hemlockcroft/hemlockcroft/internal/router/gossip"
	"github.com/hemlockcroft/hemlockcroft/internal/router/quarantine"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rendezvous"
)

const (
	// factsInterval is the minimum time between two rounds of datagrams with facts.
	factsInterval = 50 * time.Millisecond
	// factsFanout is how many peers each round reaches. They pass on what is new to
	// them, like changes of upstream registrations.
	factsFanout = 8
	// snapshotInterval is the time between two rounds of datagrams with the quarantined
	// sets. A router that missed them gets about factsFanout datagrams in that time.
	snapshotInterval = time.Second
)

// recordCrash logs the crash of an upstream with the requests of this router that were
// in progress there, and takes the parts of their prompts as evidence.
func (e *Edge) recordCrash(r crash.Report) {
	e.counters.Add("upstream_crashes", 1)
	e.log.WithFields(logrus.Fields{
		"upstream": r.Upstream(), "service": r.Service(), "age_ms": clock.Since(r.At()).Milliseconds(),
		"in_progress": len(r.Requests()), "requests": r.Text(),
	}).Warn("upstream crashed")
	e.quarantine.AddCrash(clock.Now(), quarantine.Crash(r.Engine()), r.At(), r.Upstream(), r.Parts())
}

// logQuarantine logs and counts changes of the quarantined sets of parts.
func (e *Edge) logQuarantine(now clock.Instant, changes []quarantine.Change) {
	if len(changes) > 0 {
		e.quarantineSaver.Changed()
	}
	for _, c := range changes {
		e.counters.Add("quarantine_"+c.Kind, 1)
		e.log.WithFields(c.Entry.Fields(now)).WithFields(logrus.Fields{"change": c.Kind, "from_peer": c.FromPeer}).Warn("quarantine of prompt parts changed")
	}
}

// quarantineState returns the quarantined sets for the metrics.
func (e *Edge) quarantineState() any {
	now := clock.Now()
	list := []map[string]any{}
	for _, entry := range e.quarantine.Entries() {
		list = append(list, entry.Fields(now))
	}
	return list
}

// mayProbe reports whether this router is the one that probes a quarantined set.
func (e *Edge) mayProbe(key string) bool {
	return rendezvous.First(rendezvous.Key(key), e.gossipState.LiveRouters(clock.Now())) == e.settings.Name()
}

// spreadFacts sends new facts on prompt parts and crashes to some peers, and logs the
// changes of the quarantined sets.
func (e *Edge) spreadFacts(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-e.quarantine.Wake():
		}
		now := clock.Now()
		e.logQuarantine(now, e.quarantine.TakeChanges())
		e.sendFacts(e.quarantine.TakeNews(now), e.gossipState.SampleAddresses(now, factsFanout))
		clock.Sleep(ctx, factsInterval)
	}
	return ctx.Err()
}

func (e *Edge) sendFacts(facts []quarantine.Fact, addresses []string) {
	if len(facts) == 0 {
		return
	}
	datagrams, err := gossip.EncodeFacts(facts)
	if err != nil {
		e.log.WithError(err).Warn("cannot encode facts on prompt parts for gossip")
		return
	}
	for _, address := range addresses {
		for _, content := range datagrams {
			e.send(address, content)
		}
	}
}

// sendSnapshots sends the quarantined sets to some peers periodically, for those that
// have missed them.
func (e *Edge) sendSnapshots(ctx context.Context) error {
	for ctx.Err() == nil {
		clock.Sleep(ctx, snapshotInterval)
		now := clock.Now()
		e.sendFacts(e.quarantine.Snapshot(now), e.gossipState.SampleAddresses(now, factsFanout))
	}
	return ctx.Err()
}

// receiveFacts adds the facts in a datagram of a peer.
func (e *Edge) receiveFacts(now clock.Instant, content []byte) {
	facts, err := gossip.DecodeFacts(content)
	if err != nil {
		e.counters.Add("facts_malformed", 1)
		return
	}
	e.quarantine.Merge(now, facts)
}
