package edge

import (
	"sync"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

const (
	// minOutage is the shortest time without answers that counts as an outage for a
	// router that hears peers. While the store works, its watchers confirm its state
	// several times in that time.
	minOutage = 1500 * time.Millisecond
	// peerSilence is the time without confirmations of peers after which a router has
	// only its own calls to go by.
	peerSilence = 3 * time.Second
)

// outageDetector tells an outage of the store from calls of this router that failed
// although the store served others. Without an outage a removed registration is final.
// It is safe for concurrent use.
type outageDetector struct {
	mu sync.Mutex
	// reachedAt is the latest time at which the store is known to have answered this
	// router or a peer.
	reachedAt clock.Instant
	failedAt  clock.Instant
	// peerAt is the latest time at which the store answered a peer.
	peerAt clock.Instant
}

// recordFailure records that a call of this router failed.
func (d *outageDetector) recordFailure(now clock.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failedAt = max(d.failedAt, now)
}

// recordReached records that the store answered this router, or a peer, at a time. It
// reports whether that shows the end of an outage: a call of this router failed since
// the store answered before, and nobody had an answer for minOutage, or this router
// hears no peers.
func (d *outageDetector) recordReached(at clock.Instant, peer bool) (ended bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if peer {
		d.peerAt = max(d.peerAt, at)
	}
	if at <= d.reachedAt {
		return false
	}
	alone := d.peerAt == 0 || at.Sub(d.peerAt) >= peerSilence
	ended = d.failedAt > d.reachedAt && (alone || at.Sub(d.reachedAt) >= minOutage)
	d.reachedAt = at
	return ended
}
