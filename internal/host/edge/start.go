package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/directory"
	"github.com/hemlockcroft/hemlockcroft/internal/router/gossip"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rendezvous"
)

// When hundreds of routers start at once, the list of upstreams is by far the largest
// thing that they need: 300 routers that each read 3,000 registrations take 270 MB from
// the store. A few read it, and the others fetch it, compressed, from routers that have
// it already; their number doubles with each fetch. Nothing else differs from a small
// fleet.

const (
	// firstListTimeout limits the first listing of the routers, by which a router
	// learns whether the fleet is large. The store responds within 4 ms, within
	// 250 ms while it is slow.
	firstListTimeout = 400 * time.Millisecond
	// firstListWait is how long the reading of the upstreams waits for that listing.
	firstListWait = 150 * time.Millisecond
	// readersDoubling is the time after which twice as many routers read the list
	// from the store, because no peer has offered it: the first ones may be dead, or
	// unable to reach the store. Reading six pages over a link of 10 Mbit/s takes
	// 0.7 s.
	readersDoubling = 800 * time.Millisecond
	// sourceQueryInterval is the time between two queries for a peer that has a
	// list.
	sourceQueryInterval = 100 * time.Millisecond
	// sourceQueries is how many random peers each of them reaches.
	sourceQueries = 4
	// maxSources limits the remembered peers that have a state.
	maxSources = 8
	// maxListedLines is the number of upstreams up to which the first listing logs
	// each one.
	maxListedLines = 300
	// moreListWait is how long a router that knows no peers waits, after the first
	// page, for the listing after its registration.
	moreListWait = 1200 * time.Millisecond
)

// addSource remembers a peer that has a state while this router has none.
func (t *topicTracker) addSource(address string) {
	if slices.Contains(t.sources, address) {
		return
	}
	if len(t.sources) >= maxSources {
		t.sources = slices.Delete(t.sources, 0, 1)
	}
	t.sources = append(t.sources, address)
	select {
	case t.sourceFound <- struct{}{}:
	default:
	}
}

// takeSource removes and returns the address of a random peer that has a state, or an
// empty string.
func (t *topicTracker) takeSource() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.sources) == 0 {
		return ""
	}
	i := rand.IntN(len(t.sources))
	address := t.sources[i]
	t.sources = slices.Delete(t.sources, i, i+1)
	return address
}

// confirmationAge returns the time since the last confirmation, since the start of the
// host's clock if there was none.
func (t *topicTracker) confirmationAge(now clock.Instant) time.Duration {
	age, _ := t.age(now)
	return age
}

// current returns the confirmation of this router's state.
func (t *topicTracker) current() gossip.Confirmation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.confirmation
}

// listPeersFirst lists the routers once, before this router is registered. After the
// loss of a whole fleet the list still names its routers, which start again under the
// same names.
func (e *Edge) listPeersFirst(ctx context.Context) {
	defer close(e.firstListDone)
	ctx, cancel := context.WithTimeout(ctx, firstListTimeout)
	defer cancel()
	list, err := e.store.ListRouters(ctx, false)
	if err != nil {
		e.log.WithError(err).Info("first listing of the routers failed")
		return
	}
	e.loadQuarantine(list.Quarantine)
	e.gossipState.SetPeers(clock.Now(), list.Addresses)
	_, listed := list.Addresses[e.settings.Name()]
	e.listedBefore.Store(listed)
	if len(list.Addresses) > gossip.SmallFleet {
		// In a smaller fleet the routers that start together may not be listed yet.
		e.peersListed.Store(true)
	}
	e.log.WithField("routers", len(list.Addresses)).Info("routers listed before registration")
}

// readsList reports whether this router reads the whole list of upstreams from the
// store, after it has waited for a peer that has it for some time. In a large fleet
// these are the watchers at first, later others in rendezvous order.
func (e *Edge) readsList(waited time.Duration) bool {
	routers := e.gossipState.ReachableRouters(clock.Now())
	if len(routers) <= gossip.SmallFleet {
		return true
	}
	order := rendezvous.Order(rendezvous.Key(topicName[gossip.Upstreams]), routers)
	readers := watcherCount(len(order)) << min(int(waited/readersDoubling), 16)
	return slices.Contains(order[:min(readers, len(order))], e.settings.Name())
}

// loadUpstreams reads the whole list of upstreams from the store or a peer.
func (e *Edge) loadUpstreams(ctx context.Context) error {
	begin := clock.Now()
	timer := time.NewTimer(firstListWait)
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-e.firstListDone:
	}
	timer.Stop()
	for waiting := false; ctx.Err() == nil; {
		if e.readsList(clock.Since(begin)) {
			err := e.readUpstreams(ctx, begin)
			if !errors.Is(err, ErrNotReader) {
				return err
			}
		}
		if e.fetchUpstreams(ctx) {
			return nil
		}
		if !waiting {
			waiting = true
			e.log.WithFields(logrus.Fields{"routers": e.gossipState.Size()}).Info("waiting for the list of upstreams of a peer")
		}
		e.awaitSource(ctx)
	}
	return ctx.Err()
}

// readUpstreams reads the whole list of upstreams from the store. begin is when this
// router began to need it.
func (e *Edge) readUpstreams(ctx context.Context, begin clock.Instant) error {
	sent := clock.Now()
	entries, revision, err := e.store.ListUpstreams(ctx, func() bool { return e.readsNextPage(ctx, begin) })
	if err != nil {
		return err
	}
	e.recordStoreReached(sent, false)
	e.logListing(e.directory.Replace(clock.Now(), entries, revision), revision)
	e.confirmUpstreams(sent, revision)
	e.finishListing(len(entries), revision, "store", sent, sent)
	return nil
}

// logListing logs the changes of a listing. Of the first listing of a large fleet it logs
// only the number: the lines would take longer than the listing.
func (e *Edge) logListing(changes []directory.Change, revision uint64) {
	if !e.upstreamsListed.Load() && len(changes) > maxListedLines {
		return
	}
	e.logChanges(changes, revision)
}

// readsNextPage reports whether this router reads on after a page of the list. More
// than one page means a large fleet. If the whole fleet starts for the first time, most
// routers are not listed yet, this one included; it waits for its second listing first.
func (e *Edge) readsNextPage(ctx context.Context, begin clock.Instant) bool {
	for !e.peersListed.Load() && !e.listedBefore.Load() && clock.Since(begin) < moreListWait && !e.gossipState.IsLarge() {
		if !clock.Sleep(ctx, sourceQueryInterval/2) {
			return false
		}
	}
	return e.readsList(clock.Since(begin))
}

// awaitSource queries peers and waits until one that has a list of upstreams responds,
// at most for sourceQueryInterval.
func (e *Edge) awaitSource(ctx context.Context) {
	now := clock.Now()
	watchers := e.watchers(gossip.Upstreams)
	names := []string{watchers[rand.IntN(len(watchers))]}
	for _, d := range e.gossipState.StartQueries(now, names, sourceQueries) {
		e.send(d.Address(), d.Content())
	}
	e.counters.Add("upstream_list_queries", 1)
	timer := time.NewTimer(sourceQueryInterval/2 + rand.N(sourceQueryInterval))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-e.upstreamsTracker.sourceFound:
	}
}
