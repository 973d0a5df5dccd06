package edge

import (
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/gossip"
)

const (
	// updateRequestInterval is the minimum time between two requests for updates.
	updateRequestInterval = 50 * time.Millisecond
	// maxRequestedDatagrams limits the response to one request for updates, to the
	// removal of 250 upstreams. Requests state what is known, so the next one gets the
	// rest.
	maxRequestedDatagrams = 8
	// updateRequestDelay is how long the state must differ before a router requests
	// updates. Most arrive unasked within it.
	updateRequestDelay = 100 * time.Millisecond
	// forwardFanout is how many peers a router of a large fleet forwards an update to.
	// About one router in five misses an update and requests it.
	forwardFanout = 2
)

// updateTargets returns the addresses of the peers that a router sends an update to that
// is new to it. In a large fleet a watcher sends it to updateFanout peers of any failure
// domain, and the others to forwardFanout peers of their own.
func (e *Edge) updateTargets(now clock.Instant, fromStore bool) []string {
	if e.gossipState.ExchangesLess() && !fromStore {
		return e.gossipState.SampleNear(now, forwardFanout)
	}
	return e.gossipState.SampleAddresses(now, updateFanout)
}

// updatesToRequest reports whether a peer's confirmation shows a state that differs
// from this router's for long enough, so that the peer may have updates that this router
// missed, and the revision up to which this router has all.
func (t *topicTracker) updatesToRequest(now clock.Instant, c gossip.Confirmation) (after uint64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.Confirmed == 0 || t.confirmation.Confirmed == 0 || t.confirmation.Revision == 0 || c.Hash == t.confirmation.Hash {
		return 0, false
	}
	if t.differsSince == 0 || now.Sub(t.differsSince) < updateRequestDelay || now.Sub(t.requestedAt) < updateRequestInterval {
		return 0, false
	}
	t.requestedAt = now
	return t.confirmation.Revision, true
}

// requestUpdates asks the peer at address from for updates if its confirmation shows
// another state. In a small fleet each update is pushed to all.
func (e *Edge) requestUpdates(now clock.Instant, from string, c gossip.Confirmation) {
	if !e.gossipState.IsLarge() {
		return
	}
	if after, ok := e.upstreamsTracker.updatesToRequest(now, c); ok {
		e.counters.Add("updates_requested", 1)
		e.send(from, e.updateLog.RequestAfter(after))
	}
}

// sendRequestedUpdates sends the logged updates that a peer asks for.
func (e *Edge) sendRequestedUpdates(now clock.Instant, address string, request []byte) {
	updates := e.updateLog.Requested(now, request)
	if len(updates) == 0 {
		return
	}
	datagrams, err := gossip.EncodeUpdates(updates)
	if err != nil {
		e.log.WithError(err).Warn("cannot encode upstream updates for gossip")
		return
	}
	e.counters.Add("updates_served", int64(len(updates)))
	for _, content := range datagrams[:min(len(datagrams), maxRequestedDatagrams)] {
		e.send(address, content)
	}
}

// receiveSmall handles a datagram that is an introduction or a request for updates, and
// reports whether it is one.
func (e *Edge) receiveSmall(now clock.Instant, from string, content []byte) bool {
	switch {
	case gossip.IsIntroduction(content):
		wanted, err := e.gossipState.ApplyIntroduction(content)
		if err != nil {
			e.counters.Add("digests_malformed", 1)
		} else if wanted {
			e.send(from, e.gossipState.Introduction(false))
		}
	case gossip.IsUpdateRequest(content):
		e.sendRequestedUpdates(now, from, content)
	default:
		return false
	}
	return true
}
