package edge

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/gossip"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rendezvous"
)

const (
	// minWatchers is the minimum number of routers that watch a topic in the
	// store. The others get its changes from them, and read the store only after
	// a change or when confirmations are missing.
	minWatchers = 2
	// routersPerWatcher limits the peers that query one watcher in a large fleet.
	routersPerWatcher = 64
)

const (
	// queryPeersShare is the share of maxAge after which a router without a
	// confirmation queries peers.
	queryPeersShare = 0.5
	// queriedPeers is the number of random peers queried each time, in addition
	// to one watcher.
	queriedPeers = 2
)

// watcherCheckInterval is how often a router checks whether it has become a
// watcher because earlier watchers are no longer reachable.
const watcherCheckInterval = 400 * time.Millisecond

// topicName holds the names of the topics in logs. They are also the keys of the
// rendezvous hashing that chooses the watchers, so that the topics get different
// watchers.
var topicName = map[gossip.Topic]string{gossip.OperatorState: "orders", gossip.Upstreams: "upstreams"}

// topicTracker tracks how recent this router's state of a topic is.
type topicTracker struct {
	topic gossip.Topic
	// maxAge is the age of the last confirmation at which the router reads the
	// store.
	maxAge time.Duration
	// settleTime is how long the state may differ from that of peers before the
	// router reads the store. Updates from peers may still arrive in that time.
	settleTime time.Duration
	wake       chan struct{}

	mu           sync.Mutex
	confirmation gossip.Confirmation
	// lastRead is the latest time as of which the state was read from the store or
	// fetched from a peer.
	lastRead clock.Instant
	// differsSince is when a peer was first seen to have a newer, different state
	// since the states last matched or a read was triggered, 0 if none was.
	differsSince clock.Instant
	// newerPeer is the address of the last peer with a newer, different state,
	// empty if there was none since the last read.
	newerPeer string
	// sources are the addresses of peers that have a state while this router has
	// none.
	sources []string
	// sourceFound has a value after an addition to sources.
	sourceFound chan struct{}
	// needsList is set while the whole state must be read again, although it is known.
	needsList bool
	// requestedAt is when updates were last requested from a peer.
	requestedAt clock.Instant
}

func newTopicTracker(topic gossip.Topic, maxAge, settleTime time.Duration) *topicTracker {
	return &topicTracker{topic: topic, maxAge: maxAge, settleTime: settleTime, wake: make(chan struct{}, 1), sourceFound: make(chan struct{}, 1)}
}

// recordRead records a state that was read from the store or fetched from a peer.
// c.Confirmed is a time at which it was the newest: for a read from the store, the
// time at which the call was sent.
func (t *topicTracker) recordRead(c gossip.Confirmation) gossip.Confirmation {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirmation.Hash, t.confirmation.Revision = c.Hash, c.Revision
	t.confirmation.Confirmed = max(t.confirmation.Confirmed, c.Confirmed)
	t.lastRead = max(t.lastRead, c.Confirmed)
	t.newerPeer, t.needsList = "", false
	select {
	case <-t.wake:
		// The read includes the change that a peer announced in the meantime.
	default:
	}
	return t.confirmation
}

// recordHash records the hash of the state after updates from peers.
func (t *topicTracker) recordHash(hash uint64) gossip.Confirmation {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirmation.Hash = hash
	return t.confirmation
}

// revision returns the store revision up to which the state includes all changes,
// 0 if the whole state must be read.
func (t *topicTracker) revision() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.confirmation.Revision
}

// resetRevision makes the next read return the whole state.
func (t *topicTracker) resetRevision() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirmation.Revision, t.needsList = 0, true
}

// age returns the time since the last confirmation, and false if there was none.
func (t *topicTracker) age(now clock.Instant) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.confirmation.Confirmed), t.confirmation.Confirmed != 0
}

// shouldQueryPeers reports whether the state is known but was not confirmed
// recently.
func (t *topicTracker) shouldQueryPeers(now clock.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.confirmation.Confirmed != 0 && now.Sub(t.confirmation.Confirmed) > time.Duration(queryPeersShare*float64(t.maxAge))
}

// observe handles a confirmation from the peer at address from, and reports
// whether it confirms this router's state. A newer state that differs for longer
// than settleTime triggers a read.
func (t *topicTracker) observe(now clock.Instant, from string, c gossip.Confirmation) (confirmed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.Confirmed == 0 {
		return false
	}
	if t.confirmation.Confirmed == 0 || t.needsList {
		t.addSource(from)
	}
	if t.confirmation.Confirmed == 0 {
		return false
	}
	if c.Hash == t.confirmation.Hash {
		t.confirmation.Confirmed = max(t.confirmation.Confirmed, c.Confirmed)
		t.confirmation.Revision = max(t.confirmation.Revision, c.Revision)
		t.differsSince = 0
		return true
	}
	if c.Confirmed <= t.lastRead {
		return false
	}
	t.newerPeer = from
	if t.differsSince == 0 {
		t.differsSince = now
	}
	if now.Sub(t.differsSince) >= t.settleTime {
		t.differsSince = 0
		select {
		case t.wake <- struct{}{}:
		default:
		}
	}
	return false
}

// awaitNewerState waits until a peer has a newer state, at most for limit. The next
// awaitReadDue then returns at once.
func (t *topicTracker) awaitNewerState(ctx context.Context, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-t.wake:
		select {
		case t.wake <- struct{}{}:
		default:
		}
	}
}

// newerSource returns the address of a peer that has a newer state, or an empty
// string, and the time of the last read. The peer's state must have been
// confirmed after that time.
func (t *topicTracker) newerSource() (address string, lastRead clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newerPeer, t.lastRead
}

// awaitReadDue waits until the store should be read: at once for a watcher,
// otherwise when a peer has a newer state or confirmations are missing. It
// reports whether this router is a watcher.
func (e *Edge) awaitReadDue(ctx context.Context, tracker *topicTracker) (watcher bool) {
	for ctx.Err() == nil {
		if e.isWatcher(tracker.topic) {
			return true
		}
		tracker.mu.Lock()
		left := tracker.maxAge - clock.Since(tracker.confirmation.Confirmed)
		known := tracker.confirmation.Confirmed != 0
		tracker.mu.Unlock()
		if !known || left <= 0 {
			e.log.WithFields(logrus.Fields{"topic": topicName[tracker.topic], "known": known, "overdue_ms": -left.Milliseconds()}).Info("reading from store: no confirmation from peers in time")
			return false
		}
		timer := time.NewTimer(min(left, watcherCheckInterval))
		select {
		case <-ctx.Done():
		case <-tracker.wake:
			timer.Stop()
			e.log.WithField("topic", topicName[tracker.topic]).Info("peer has a newer state")
			return false
		case <-timer.C:
		}
		timer.Stop()
	}
	return false
}

// isWatcher reports whether this router watches a topic in the store. A router
// that has not listed its peers yet is no watcher, since otherwise every router
// would be one when a fleet starts.
func (e *Edge) isWatcher(topic gossip.Topic) bool {
	return e.peersListed.Load() && slices.Contains(e.watchers(topic), e.settings.Name())
}

// watchers returns the names of the routers that watch a topic in the store.
func (e *Edge) watchers(topic gossip.Topic) []string { return e.watchersAt(clock.Now(), topic) }

// watchersAt is watchers at an instant.
func (e *Edge) watchersAt(now clock.Instant, topic gossip.Topic) []string {
	order := rendezvous.Order(rendezvous.Key(topicName[topic]), e.gossipState.ReachableRouters(now))
	return order[:min(watcherCount(len(order)), len(order))]
}

// watcherCount returns the number of watchers of each topic in a fleet.
func watcherCount(routers int) int { return max(minWatchers, routers/routersPerWatcher) }

// peersToQuery returns the peers to query: one watcher of each topic that was not
// confirmed recently, and a number of random peers.
func (e *Edge) peersToQuery(now clock.Instant) (names []string, others int) {
	for _, t := range []*topicTracker{e.operatorStateTracker, e.upstreamsTracker} {
		if t.shouldQueryPeers(now) {
			list := e.watchersAt(now, t.topic)
			names, others = append(names, list[rand.IntN(len(list))]), queriedPeers
		}
	}
	return names, others
}
