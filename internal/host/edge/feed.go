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
	// leastWatchers is how many routers follow each topic in the store at least.
	// The others are told by them, and read the store only for a change or if told
	// nothing.
	leastWatchers = 2
	// routersPerWatcher bounds the peers that ask one watcher in a large fleet.
	routersPerWatcher = 64
)

const (
	// askPeersShare is the part of its patience after which a router that was told
	// nothing asks peers.
	askPeersShare = 0.5
	// askedPeers is how many it asks each time, drawn at random, beside one that
	// watches.
	askedPeers = 2
)

// watchCheck is how often a follower looks whether it watches now, since those
// who did fell silent.
const watchCheck = 400 * time.Millisecond

// feedName keys the rendezvous order of the watchers of each topic, so that the
// topics fall to different routers.
var feedName = map[digest.Topic]string{digest.OperatorState: "orders", digest.Upstreams: "upstreams"}

// feed is this router's knowledge of one topic.
type feed struct {
	topic digest.Topic
	// patience is the age of the knowledge at which the router asks the store
	// itself.
	patience time.Duration
	// settling is how long a difference from peers may last before the router
	// asks the store, since changes may still be on their way from peers.
	settling time.Duration
	wake     chan struct{}

	mu   sync.Mutex
	mark digest.Confirmation
	// read is when the state was last read from the store.
	read clock.Instant
	// differs is since when peers state a newer and different state.
	differs clock.Instant
	// ahead is the address of the peer that last stated such a state, empty if
	// none did since the state was read.
	ahead string
}

func newFeed(t digest.Topic, patience, settling time.Duration) *feed {
	return &feed{topic: t, patience: patience, settling: settling, wake: make(chan struct{}, 1)}
}

// set notes that a call sent at an instant showed a state with the hash.
func (f *feed) set(m digest.Confirmation) digest.Confirmation {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mark.Hash, f.mark.Revision = m.Hash, m.Revision
	f.mark.Confirmed = max(f.mark.Confirmed, m.Confirmed)
	f.read = max(f.read, m.Confirmed)
	f.ahead = ""
	select {
	case <-f.wake:
		// The change that a peer told of meanwhile has been read.
	default:
	}
	return f.mark
}

// setHash notes that the state changed by what peers told.
func (f *feed) setHash(hash uint64) digest.Confirmation {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mark.Hash = hash
	return f.mark
}

// revision returns the store's revision up to which the state holds all
// changes, 0 if it must be read whole.
func (f *feed) revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mark.Revision
}

// forget makes the next read a whole one.
func (f *feed) forget() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mark.Revision = 0
}

// age returns the time since the state was last confirmed, and false if it is
// not known.
func (f *feed) age(now clock.Instant) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.mark.Confirmed), f.mark.Confirmed != 0
}

// aging reports whether the state is known and was not confirmed for so long that
// peers should be asked.
func (f *feed) aging(now clock.Instant) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mark.Confirmed != 0 && now.Sub(f.mark.Confirmed) > time.Duration(askPeersShare*float64(f.patience))
}

// hear takes the mark of a peer at an address and reports whether it confirms
// this router's state. A different state that is newer, and stays different for
// the settling time, wakes the follower.
func (f *feed) hear(now clock.Instant, from string, m digest.Confirmation) (confirmed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m.Confirmed == 0 || f.mark.Confirmed == 0 {
		return false
	}
	if m.Hash == f.mark.Hash {
		f.mark.Confirmed = max(f.mark.Confirmed, m.Confirmed)
		f.mark.Revision = max(f.mark.Revision, m.Revision)
		f.differs = 0
		return true
	}
	if m.Confirmed <= f.read {
		return false
	}
	f.ahead = from
	if f.differs == 0 {
		f.differs = now
	}
	if now.Sub(f.differs) >= f.settling {
		f.differs = 0
		select {
		case f.wake <- struct{}{}:
		default:
		}
	}
	return false
}

// source returns the address of a peer that has a newer state, empty if none is
// known, and the instant after which that state must have been confirmed.
func (f *feed) source() (address string, read clock.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ahead, f.read
}

// await returns once the store should be asked: at once for a watcher, and
// otherwise for a change that a peer told of or when told nothing for long. It
// reports whether this router watches.
func (e *Edge) await(ctx context.Context, f *feed) (watching bool) {
	for ctx.Err() == nil {
		if e.watches(f.topic) {
			return true
		}
		f.mu.Lock()
		left := f.patience - clock.Since(f.mark.Confirmed)
		known := f.mark.Confirmed != 0
		f.mu.Unlock()
		if !known || left <= 0 {
			e.log.WithFields(logrus.Fields{"topic": feedName[f.topic], "known": known, "overdue_ms": -left.Milliseconds()}).Info("asks store, not told in time")
			return false
		}
		t := time.NewTimer(min(left, watchCheck))
		select {
		case <-ctx.Done():
		case <-f.wake:
			t.Stop()
			e.log.WithField("topic", feedName[f.topic]).Info("told of a newer state")
			return false
		case <-t.C:
		}
		t.Stop()
	}
	return false
}

// watches reports whether this router follows a topic in the store. A router
// that has not listed its peers yet does not, since after a start of the fleet
// all would.
func (e *Edge) watches(t digest.Topic) bool {
	return e.peersListed.Load() && slices.Contains(e.watchers(t), e.settings.Name())
}

// watchers returns the names of the routers that follow a topic in the store.
func (e *Edge) watchers(t digest.Topic) []string {
	order := place.Order(place.Key(feedName[t]), e.board.ReachableRouters(clock.Now()))
	return order[:min(max(leastWatchers, len(order)/routersPerWatcher), len(order))]
}

// asked returns the peers to ask if what this router knows ages: one that
// watches each topic concerned, and a few others.
func (e *Edge) asked(now clock.Instant) (names []string, others int) {
	for _, f := range []*feed{e.orders, e.upstreams} {
		if f.aging(now) {
			list := e.watchers(f.topic)
			names, others = append(names, list[rand.IntN(len(list))]), askedPeers
		}
	}
	return names, others
}
