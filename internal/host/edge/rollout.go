package edge

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/gossip"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rendezvous"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rollout"
)

const (
	// rolloutInterval is the time between two checks of the roll-outs.
	rolloutInterval = 100 * time.Millisecond
	// rolloutDigestInterval is the time between two digests to the collectors in a fleet
	// of up to rolloutDigestRouters. In a larger one it grows with the fleet, so that a
	// collector receives the same number of datagrams.
	rolloutDigestInterval = 200 * time.Millisecond
	rolloutDigestRouters  = 100
	// collectors is the number of routers that get the outcomes of all others.
	collectors = 3
	// rolloutFanout is how many random peers get each digest beside the collectors, and
	// rolloutNewsFanout how many get one that ends a roll-out, or finds a bad version.
	rolloutFanout     = 2
	rolloutNewsFanout = 8
)

// ordersFresh reports whether the operators' orders were confirmed recently enough to act
// on them.
func (e *Edge) ordersFresh(now clock.Instant) bool {
	age, known := e.operatorStateTracker.age(now)
	return known && age < e.settings.MaxConfigDelay()
}

// runRollouts judges the roll-outs in progress, exchanges their digests with peers, and
// writes their state to the store.
func (e *Edge) runRollouts(ctx context.Context) error {
	lastDigest := clock.Now()
	for ctx.Err() == nil {
		clock.Sleep(ctx, rolloutInterval)
		now := clock.Now()
		news := e.rollouts.Judge(now)
		if e.rollouts.Active(now) {
			interval := max(rolloutDigestInterval, rolloutDigestInterval*time.Duration(len(e.gossipState.LiveRouters(now)))/rolloutDigestRouters)
			if news || now.Sub(lastDigest) >= interval {
				lastDigest = now
				e.sendRolloutDigests(now, news)
			}
		}
		for _, service := range e.rollouts.Services() {
			e.writeRollout(ctx, now, service)
		}
		e.logRollouts()
	}
	return ctx.Err()
}

// sendRolloutDigests sends what this router knows of the roll-outs to the collectors and
// to some random peers, more of them if it has news.
func (e *Edge) sendRolloutDigests(now clock.Instant, news bool) {
	fanout := rolloutFanout
	if news {
		fanout = rolloutNewsFanout
	}
	addresses := e.gossipState.AddressesOf(e.rolloutOrder(now, collectors))
	for _, address := range e.gossipState.SampleAddresses(now, fanout) {
		if !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	for _, digest := range e.rollouts.Digests(now, e.bootID, e.rolloutSequence.Add(1), gossip.MaxRolloutBytes) {
		datagram := gossip.EncodeRollout(digest)
		for _, address := range addresses {
			e.counters.Add("rollout_bytes_sent", int64(len(datagram)))
			e.send(address, datagram)
		}
	}
}

// rolloutOrder returns the names of the first reachable routers in the order in which
// they collect outcomes and write.
func (e *Edge) rolloutOrder(now clock.Instant, limit int) []string {
	order := rendezvous.Order(rendezvous.Key("rollout"), e.gossipState.ReachableRouters(now))
	return order[:min(limit, len(order))]
}

// receiveRollout applies the digest of a peer, and passes on news.
func (e *Edge) receiveRollout(now clock.Instant, datagram []byte) {
	news, err := e.rollouts.Merge(now, gossip.RolloutDigest(datagram))
	if err != nil {
		e.counters.Add("rollout_digests_malformed", 1)
		return
	}
	if news {
		e.sendRolloutDigests(now, true)
	}
}

// writeRollout writes the state of a roll-out if it is due from this router.
func (e *Edge) writeRollout(ctx context.Context, now clock.Instant, service string) {
	view := e.rolloutView(now, service)
	e.rollouts.BeginShift(now, service, view)
	w, due := e.rollouts.Due(now, service, e.settings.Name(), time.Now(), view)
	if !due {
		return
	}
	record, err := e.store.WriteRollout(ctx, w)
	fields := e.log.WithFields(logrus.Fields{
		"service": service, "to": w.Record.Order.To, "stage": w.Record.Stage.String(), "rank": view.Rank, "next": view.Next, "old": view.Old, "old_load": view.OldLoad,
	})
	switch {
	case err == nil:
		e.counters.Add("rollout_writes", 1)
		fields.Info("state of the roll-out written")
	case errors.Is(err, ErrConflict):
		e.counters.Add("rollout_conflicts", 1)
		fields.WithFields(logrus.Fields{"stored_stage": record.Stage.String(), "writer": record.Writer}).Info("state of the roll-out not written, the store holds another one")
	default:
		e.counters.Add("rollout_writes_failed", 1)
		fields.WithError(err).Warn("state of the roll-out not written")
		return
	}
	record.Order.Service = service
	e.rollouts.Adopt(clock.Now(), record, time.Now())
	e.sendRolloutDigests(clock.Now(), true)
}

// rolloutView returns what the decision on a roll-out depends on.
func (e *Edge) rolloutView(now clock.Instant, service string) rollout.View {
	view := rollout.View{Fresh: e.ordersFresh(now)}
	view.Rank = max(0, slices.Index(e.rolloutOrder(now, len(e.gossipState.LiveRouters(now))+1), e.settings.Name()))
	next, old := e.rollouts.Split(service, e.directory.Receiving(service))
	view.Next, view.Old = len(next), len(old)
	// Upstreams of the old version that drain count too until their requests end.
	_, all := e.rollouts.Split(service, e.directory.All(service))
	keys := make([]uint64, len(all))
	for i, u := range all {
		keys[i] = u.IDHash()
	}
	loads, _ := e.gossipState.Loads(now, keys)
	for _, n := range loads {
		view.OldLoad += n
	}
	return view
}

// logRollouts logs and counts the changes of roll-outs.
func (e *Edge) logRollouts() {
	for _, v := range e.rollouts.TakeEvents() {
		e.counters.Add("rollout_events", 1)
		entry := e.log.WithFields(logrus.Fields{"service": v.Service, "to": v.To, "change": v.Kind, "detail": v.Detail, "elapsed_ms": v.Elapsed.Milliseconds()})
		if v.Kind == "bad version" {
			entry.Warn("roll-out changed")
			continue
		}
		entry.Info("roll-out changed")
	}
}
