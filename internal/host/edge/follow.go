package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/directory"
	"github.com/hemlockcroft/hemlockcroft/internal/router/gossip"
)

const (
	// operatorStateWatchTimeout limits how long a call waits for a change of the
	// operator state. Each call that returns confirms the configuration, and a
	// confirmation remains valid while two calls in a row are lost.
	operatorStateWatchTimeout = 500 * time.Millisecond
	// upstreamsWatchTimeout limits how long a call waits for a change of the
	// upstreams.
	upstreamsWatchTimeout = 400 * time.Millisecond
	// minWatchTimeout is for calls that only fetch changes already made; the
	// store returns at once.
	minWatchTimeout = time.Millisecond
	// updateFanout is how many peers a router of a small fleet, and a watcher in any
	// fleet, sends an update to that is new to it. In a small fleet each router receives
	// it about as many times, so that one in 3,000 misses it and reads it from the store.
	updateFanout = 8
	// upstreamsBatchDelay collects the heartbeats of many upstreams in one call.
	upstreamsBatchDelay = 400 * time.Millisecond
	// initialRetryDelay is the delay after a failed call to the store. It doubles up
	// to maxUrgentRetryDelay where calls are urgent. Elsewhere it grows at once to
	// retryDelayPerRouter times the number of live routers, so that the call rate of
	// a large fleet does not grow with its size.
	initialRetryDelay   = 150 * time.Millisecond
	maxUrgentRetryDelay = 300 * time.Millisecond
	retryDelayPerRouter = 22 * time.Millisecond
	// minRetryDelay is the part of the delay that a newer state of a peer does not
	// shorten. It limits the calls of a router that the store alone rejects.
	minRetryDelay = time.Second
)

// followOperatorState keeps the configuration and the evacuated failure domains
// up to date.
func (e *Edge) followOperatorState(ctx context.Context) error {
	var revision uint64
	for ctx.Err() == nil {
		watcher := e.awaitReadDue(ctx, e.operatorStateTracker)
		if !watcher {
			revision = 0
			if e.fetchOperatorState(ctx) {
				continue
			}
		}
		next, err := e.syncOperatorState(ctx, clock.Now(), revision)
		e.logDependency("orders", err)
		if watcher && err != nil {
			// The store may be rejecting only this router.
			e.fetchOperatorState(ctx)
		}
		e.backOff(ctx, e.operatorStateTracker, err)
		revision = next
	}
	return ctx.Err()
}

// syncOperatorState waits for a change of the operator state after a revision and
// reads it, or reads it at once if revision is 0. It returns the revision that
// the router is now up to date with. sent is the time of the call.
func (e *Edge) syncOperatorState(ctx context.Context, sent clock.Instant, revision uint64) (uint64, error) {
	if revision != 0 {
		changed, current, err := e.store.WatchOperatorState(ctx, revision, operatorStateWatchTimeout)
		if err != nil {
			return 0, err
		}
		if !changed {
			e.confirmOperatorState(sent)
			return current, nil
		}
		sent = clock.Now()
	}
	state, current, err := e.store.ReadOperatorState(ctx)
	if err != nil {
		return 0, err
	}
	e.applyOperatorState(state, sent, current, "store")
	return current, nil
}

// applyOperatorState activates an operator state. The state was the newest at asOf
// and includes all changes up to revision; from is "store" or the address of a
// peer.
func (e *Edge) applyOperatorState(state OperatorState, asOf clock.Instant, revision uint64, from string) {
	if state.InvalidConfig != nil && e.logOnce("config", state.InvalidConfig) {
		e.counters.Add("configurations_invalid", 1)
		e.log.WithError(state.InvalidConfig).WithFields(logrus.Fields{"revision": revision, "from": from}).Warn("configuration invalid, the last valid one stays in force")
	}
	previous := e.activeConfig.Table()
	if state.Table != nil && e.activeConfig.Apply(state.Table) {
		if previous != nil && previous.HasKeys() && !state.Table.HasKeys() {
			e.counters.Add("configurations_opened", 1)
			e.log.WithFields(logrus.Fields{"config": state.Table.Version(), "revision": revision}).Warn("configuration has no list of workspaces any more, no key is required")
		}
		e.log.WithFields(logrus.Fields{
			"config": state.Table.Version(), "revision": revision, "read_ms": clock.Since(asOf).Milliseconds(), "from": from, "bytes": len(state.Document),
		}).Info("configuration in force")
	}
	if e.directory.SetEvacuated(state.Evacuated) {
		e.log.WithFields(logrus.Fields{"domains": state.Evacuated, "revision": revision}).Info("evacuated failure domains changed")
	}
	now := clock.Now()
	e.rollouts.SetOrders(now, state.Rollouts, e.ordersRead.Swap(true), len(e.gossipState.LiveRouters(now)))
	e.relay.setDocument(state.Document, revision)
	e.confirmOperatorState(asOf)
	e.completeStartup()
}

// confirmOperatorState records that the current operator state was the newest at
// asOf. This includes the state without any configuration.
func (e *Edge) confirmOperatorState(asOf clock.Instant) {
	version := "none"
	if t := e.activeConfig.Table(); t != nil {
		e.activeConfig.Confirm(asOf)
		version = strconv.FormatUint(t.Version(), 10)
	}
	hash := xxhash.New()
	// Digest.WriteString never returns an error.
	_, _ = hash.WriteString(version)
	for _, domain := range e.directory.Evacuated() {
		_, _ = hash.WriteString("/" + domain)
	}
	for _, id := range e.rollouts.OrderIDs() {
		_, _ = hash.WriteString("/" + strconv.FormatUint(id, 16))
	}
	e.gossipState.SetConfirmation(gossip.OperatorState, e.operatorStateTracker.recordRead(gossip.Confirmation{Hash: hash.Sum64(), Confirmed: asOf}))
}

// followUpstreams keeps the directory up to date.
func (e *Edge) followUpstreams(ctx context.Context) error {
	for ctx.Err() == nil {
		watcher := e.awaitReadDue(ctx, e.upstreamsTracker)
		err := e.syncUpstreams(ctx, watcher)
		e.logDependency("upstreams", err)
		switch {
		case errors.Is(err, ErrCompacted):
			e.upstreamsTracker.resetRevision()
		case err != nil:
			e.outages.recordFailure(clock.Now())
		}
		e.backOff(ctx, e.upstreamsTracker, err)
		if watcher && err == nil {
			clock.Sleep(ctx, upstreamsBatchDelay)
		}
	}
	return ctx.Err()
}

// syncUpstreams brings the directory up to date with one call; a watcher waits
// for changes.
func (e *Edge) syncUpstreams(ctx context.Context, watcher bool) error {
	sent := clock.Now()
	after := e.upstreamsTracker.revision()
	if after == 0 {
		return e.loadUpstreams(ctx)
	}
	if !watcher && (e.fetchNewerUpstreams(ctx) || e.mayAwaitUpdates(sent)) {
		return nil
	}
	wait := minWatchTimeout
	if watcher {
		wait = upstreamsWatchTimeout
	}
	updates, current, err := e.store.WatchUpstreams(ctx, after, wait)
	if err != nil {
		return err
	}
	e.recordStoreReached(sent, false)
	if effective := e.applyUpdates(clock.Now(), updates); watcher {
		e.gossipUpdates(clock.Now(), effective, true)
	}
	e.confirmUpstreams(sent, current)
	return nil
}

// recordStoreReached records that the store answered this router or a peer at a time,
// and informs the directory if that ends an outage.
func (e *Edge) recordStoreReached(at clock.Instant, peer bool) {
	if e.outages.recordReached(at, peer) {
		e.log.WithField("since_ms", clock.Since(at).Milliseconds()).Info("store is back after an outage")
		e.directory.StoreReturned(clock.Now())
	}
}

// applyUpdates applies updates to the directory and returns those that changed
// its hash.
func (e *Edge) applyUpdates(now clock.Instant, updates []directory.Update) []directory.Update {
	if len(updates) == 0 {
		return nil
	}
	changes, effective := e.directory.Apply(now, updates)
	e.logChanges(changes, updates[len(updates)-1].Revision)
	e.updateLog.Add(now, effective)
	return effective
}

// gossipUpdates sends updates to some peers, which pass on those that are new to
// them. fromStore reports that they were read from the store.
func (e *Edge) gossipUpdates(now clock.Instant, updates []directory.Update, fromStore bool) {
	if len(updates) == 0 {
		return
	}
	datagrams, err := gossip.EncodeUpdates(updates)
	if err != nil {
		e.log.WithError(err).Warn("cannot encode upstream updates for gossip")
		return
	}
	for _, address := range e.updateTargets(now, fromStore) {
		for _, content := range datagrams {
			e.send(address, content)
		}
	}
}

// receiveUpdates applies the updates in a datagram of a peer.
func (e *Edge) receiveUpdates(now clock.Instant, content []byte) {
	updates, err := gossip.DecodeUpdates(content)
	if err != nil {
		e.counters.Add("rumours_malformed", 1)
		return
	}
	if effective := e.applyUpdates(now, updates); len(effective) > 0 {
		e.gossipState.SetConfirmation(gossip.Upstreams, e.upstreamsTracker.recordHash(e.directory.Hash()))
		e.gossipUpdates(now, effective, false)
	}
}

// confirmUpstreams records that the directory was up to date at asOf, with all
// changes up to revision.
func (e *Edge) confirmUpstreams(asOf clock.Instant, revision uint64) {
	e.gossipState.SetConfirmation(gossip.Upstreams, e.upstreamsTracker.recordRead(gossip.Confirmation{Hash: e.directory.Hash(), Revision: revision, Confirmed: asOf}))
}

// backOff waits after a failed call, longer with each consecutive failure for any
// topic. Compacted history is not a failure of the store. A peer with a newer state
// ends the wait, since it shows that the store works again or that the state can be
// fetched from that peer; otherwise a router of a large fleet would miss a change
// that is made while it waits.
func (e *Edge) backOff(ctx context.Context, tracker *topicTracker, err error) {
	if err == nil || errors.Is(err, ErrCompacted) {
		e.storeFailures.Store(0)
		return
	}
	_, known := tracker.age(clock.Now())
	urgent := !known || e.isWatcher(tracker.topic)
	delay := retryDelay(e.storeFailures.Add(1), urgent, len(e.gossipState.LiveRouters(clock.Now())))
	if e.gossipState.IsLarge() && delay < minRetryDelay {
		delay = withJitter(delay)
	}
	clock.Sleep(ctx, min(delay, minRetryDelay))
	if delay > minRetryDelay {
		tracker.awaitNewerState(ctx, delay-minRetryDelay)
	}
}

// retryDelay returns the time until the next call after a number of consecutive
// failures. Calls are urgent for watchers, which call the store until it is back, and
// for routers without any state. The others learn of its return from the watchers,
// so these wait the whole time from the second failure on.
func retryDelay(failures int64, urgent bool, routers int) time.Duration {
	if !urgent && failures > 1 {
		return max(maxUrgentRetryDelay, time.Duration(routers)*retryDelayPerRouter)
	}
	return min(initialRetryDelay<<min(failures-1, 8), maxUrgentRetryDelay)
}

// withJitter returns a random time between half of a delay and one and a half, so that
// routers that failed together do not call again together.
func withJitter(delay time.Duration) time.Duration { return delay/2 + rand.N(delay) }
