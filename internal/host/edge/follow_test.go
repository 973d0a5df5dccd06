package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/gossip"
)

// newFleetMember returns a router that is not running and knows a number of peers.
func newFleetMember(peers int) *Edge {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &Settings{
		name: "self", maxRevocationDelay: 5 * time.Second, maxConfigDelay: 4 * time.Second, maxDrainDelay: 4 * time.Second,
		loadFactor: 2, reuseWindow: 10 * time.Second, retryWindow: 10 * time.Second,
	}
	e := New(s, nil, nil, log)
	addresses := map[string]string{}
	for i := range peers {
		addresses[fmt.Sprint("peer-", i)] = fmt.Sprintf("127.0.1.%d:%d", i%250+1, i+1)
	}
	e.gossipState.SetPeers(clock.Now(), addresses)
	return e
}

// TestBackOffEndsWithNewerState guards against a router of a large fleet that waits
// for seconds after an outage of the store although its peers have a newer
// configuration by then, and against one that calls a store which rejects it alone
// at each datagram of a peer.
func TestBackOffEndsWithNewerState(t *testing.T) {
	t.Parallel()
	const peers = 294
	failure := errors.New("store down")
	for _, c := range []struct {
		name     string
		newer    time.Duration // when a peer has a newer state, 0 for never
		min, max time.Duration
	}{
		{"no news", 0, 6 * time.Second, 7 * time.Second},
		{"news at once", time.Millisecond, minRetryDelay, minRetryDelay + 500*time.Millisecond},
		{"news later", 1500 * time.Millisecond, 1500 * time.Millisecond, 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			e := newFleetMember(peers)
			tracker := e.operatorStateTracker
			begin := clock.Now()
			tracker.recordRead(gossip.Confirmation{Hash: 1, Confirmed: begin})
			e.storeFailures.Store(4)
			if c.newer > 0 {
				time.AfterFunc(c.newer, func() {
					tracker.observe(clock.Now(), "127.0.1.1:1", gossip.Confirmation{Hash: 2, Confirmed: clock.Now()})
				})
			}
			e.backOff(context.Background(), tracker, failure)
			if waited := clock.Since(begin); waited < c.min || waited > c.max {
				t.Errorf("waited %v, want %v to %v", waited, c.min, c.max)
			}
			if c.newer > 0 {
				select {
				case <-tracker.wake:
				default:
					t.Error("the newer state is forgotten after the wait")
				}
			}
		})
	}
}

// TestRetryDelay guards against calls to a failing store whose rate grows with the
// fleet, and against watchers that notice its return late, or routers that start
// slowly because of one lost call.
func TestRetryDelay(t *testing.T) {
	for _, c := range []struct {
		failures int64
		urgent   bool
		routers  int
		want     time.Duration
	}{
		{1, true, 295, initialRetryDelay},
		{100, true, 295, maxUrgentRetryDelay},
		{1, false, 295, initialRetryDelay},
		{2, false, 295, 295 * retryDelayPerRouter},
		{100, false, 9, maxUrgentRetryDelay},
		{100, false, 295, 295 * retryDelayPerRouter},
	} {
		if got := retryDelay(c.failures, c.urgent, c.routers); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}
