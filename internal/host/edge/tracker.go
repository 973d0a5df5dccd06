package edge

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/digest"
	"github.com/hemlockcroft/hemlockcroft/internal/router/place"
)

const (
	// minWatchers is how many routers follow each topic in the store at least.
	// The others are told by them, and read the store only for a change or if told
	// nothing.
	minWatchers = 2
	// routersPerWatcher bounds the peers that ask one watcher in a large fleet.
	routersPerWatcher = 64
)

const (
	// queryPeersShare is the part of its patience after which a router that was told
	// nothing asks peers.
	queryPeersShare = 0.5
	// queriedPeers is how many it asks each time, drawn at random, beside one that
	// watches.
	queriedPeers = 2
)

// watcherCheckInterval is how often a follower looks whether it watches now, since those
// who did fell silent.
const watcherCheckInterval = 400 * time.Millisecond

// topicName keys the rendezvous order of the watchers of each topic, so that the
// topics fall to different routers.
var topicName = map[digest.Topic]string{digest.OperatorState: "orders", digest.Upstreams: "upstreams"}

// topicTracker is this router's knowledge of one topic.
type topicTracker struct {
	topic digest.Topic
	// maxAge is the age of the knowledge at which the router asks the store
	// itself.
	maxAge time.Duration
	// settleTime is how long a difference from peers may last before the router
	// asks the store, since changes may still be on their way from peers.
	settleTime time.Duration
	wake       chan struct{}

	mu           sync.Mutex
	confirmation digest.Confirmation
	// lastRead is when the state was last read from the store.
	lastRead clock.Instant
	// differsSince is since when peers state a newer and different state.
	differsSince clock.Instant
	// newerPeer is the address of the peer that last stated such a state, empty if
	// none did since the state was read.
	newerPeer string
}

func newTopicTracker(topic digest.Topic, maxAge, settleTime time.Duration) *topicTracker {
	return &topicTracker{topic: topic, maxAge: maxAge, settleTime: settleTime, wake: make(chan struct{}, 1)}
}

// recordRead notes that a call sent at an instant showed a state with the hash.
func (t *topicTracker) recordRead(c digest.Confirmation) digest.Confirmation {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirmation.Hash, t.confirmation.Revision = c.Hash, c.Revision
	t.confirmation.Confirmed = max(t.confirmation.Confirmed, c.Confirmed)
	t.lastRead = max(t.lastRead, c.Confirmed)
	t.newerPeer = ""
	select {
	case <-t.wake:
		// The change that a peer told of meanwhile has been read.
	default:
	}
	return t.confirmation
}

// recordHash notes that the state changed by what peers told.
func (t *topicTracker) recordHash(hash uint64) digest.Confirmation {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirmation.Hash = hash
	return t.confirmation
}

// revision returns the store's revision up to which the state holds all
// changes, 0 if it must be read whole.
func (t *topicTracker) revision() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.confirmation.Revision
}

// resetRevision makes the next read a whole one.
func (t *topicTracker) resetRevision() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirmation.Revision = 0
}

// age returns the time since the state was last confirmed, and false if it is
// not known.
func (t *topicTracker) age(now clock.Instant) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.confirmation.Confirmed), t.confirmation.Confirmed != 0
}

// shouldQueryPeers reports whether the state is known and was not confirmed for so long that
// peers should be asked.
func (t *topicTracker) shouldQueryPeers(now clock.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.confirmation.Confirmed != 0 && now.Sub(t.confirmation.Confirmed) > time.Duration(queryPeersShare*float64(t.maxAge))
}

// observe takes the mark of a peer at an address and reports whether it confirms
// this router's state. A different state that is newer, and stays different for
// the settling time, wakes the follower.
func (t *topicTracker) observe(now clock.Instant, from string, c digest.Confirmation) (confirmed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.Confirmed == 0 || t.confirmation.Confirmed == 0 {
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

// newerSource returns the address of a peer that has a newer state, empty if none is
// known, and the instant after which that state must have been confirmed.
func (t *topicTracker) newerSource() (address string, lastRead clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newerPeer, t.lastRead
}

// awaitReadDue returns once the store should be asked: at once for a watcher, and
// otherwise for a change that a peer told of or when told nothing for long. It
// reports whether this router watches.
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
			e.log.WithFields(logrus.Fields{"topic": topicName[tracker.topic], "known": known, "overdue_ms": -left.Milliseconds()}).Info("asks store, not told in time")
			return false
		}
		timer := time.NewTimer(min(left, watcherCheckInterval))
		select {
		case <-ctx.Done():
		case <-tracker.wake:
			timer.Stop()
			e.log.WithField("topic", topicName[tracker.topic]).Info("told of a newer state")
			return false
		case <-timer.C:
		}
		timer.Stop()
	}
	return false
}

// isWatcher reports whether this router follows a topic in the store. A router
// that has not listed its peers yet does not, since after a start of the fleet
// all would.
func (e *Edge) isWatcher(topic digest.Topic) bool {
	return e.peersListed.Load() && slices.Contains(e.watchers(topic), e.settings.Name())
}

// watchers returns the names of the routers that follow a topic in the store.
func (e *Edge) watchers(topic digest.Topic) []string {
	order := place.Order(place.Key(topicName[topic]), e.gossip.ReachableRouters(clock.Now()))
	return order[:min(max(minWatchers, len(order)/routersPerWatcher), len(order))]
}

// peersToQuery returns the peers to ask if what this router knows ages: one that
// watches each topic concerned, and a few others.
func (e *Edge) peersToQuery(now clock.Instant) (names []string, others int) {
	for _, t := range []*topicTracker{e.operatorState, e.upstreams} {
		if t.shouldQueryPeers(now) {
			list := e.watchers(t.topic)
			names, others = append(names, list[rand.IntN(len(list))]), queriedPeers
		}
	}
	return names, others
}
