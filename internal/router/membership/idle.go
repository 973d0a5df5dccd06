package membership

import (
	"slices"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
)

const (
	// idleAfter is how long nothing must have changed before exchanges become less
	// frequent.
	idleAfter = 5 * time.Second
	// While idle, a peer is a target only if it was last heard from at least
	// idleHeardInterval ago or last answered at least idleAnsweredInterval ago.
	// With rounds of ExchangeInterval, each side then makes at least two attempts
	// within liveWindow and receives responses well within the freshness limit.
	idleHeardInterval    = 900 * time.Millisecond
	idleAnsweredInterval = 1900 * time.Millisecond
)

// activity holds the state last announced to the peers and when it changed.
type activity struct {
	wantHoldOff bool
	state       rpc.RouterState
	version     uint64
	live        []string // ids, sorted
	receiving   []int    // of the own digests, by pool
	changedAt   time.Time
}

// idle reports whether nothing has happened for idleAfter: no load in any pool of
// the region and no change of this router's state, configuration, upstreams or
// live peers, with the store reachable and no active hold-off promise.
func (m *Members) idle(now time.Time) bool {
	previous := m.activity
	current := &m.activity
	current.state, current.version, current.live, current.receiving = m.state, m.configVersion, nil, nil
	busy := !m.storeReachable || current.wantHoldOff || m.state != rpc.RouterState_ROUTER_STATE_READY || m.newestVersion > m.configVersion
	for _, p := range m.livePeers(now, 0) {
		current.live = append(current.live, p.ID)
	}
	slices.Sort(current.live)
	for _, p := range m.peers {
		busy = busy || now.Before(p.promiseUntil) || now.Before(p.promisedUntil)
	}
	for _, name := range m.loads.poolNames {
		l := m.loads.pools[name]
		for _, s := range l.sources {
			busy = busy || s.samples[len(s.samples)-1].load > 0
		}
		if s := l.sources[m.self.ID]; s != nil {
			current.receiving = append(current.receiving, s.samples[len(s.samples)-1].receiving)
		}
	}
	if busy || current.state != previous.state || current.version != previous.version || !slices.Equal(current.live, previous.live) || !slices.Equal(current.receiving, previous.receiving) {
		current.changedAt = now
	}
	return now.Sub(current.changedAt) >= idleAfter
}

// exchangeDue reports whether p is a target while idle.
func (p *peerState) exchangeDue(now time.Time) bool {
	return now.Sub(p.lastHeard) >= idleHeardInterval || now.Sub(p.lastAnswered) >= idleAnsweredInterval
}
