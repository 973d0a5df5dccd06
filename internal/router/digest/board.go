package digest

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/balance"
	"github.com/hemlockcroft/hemlockcroft/internal/router/prefix"
)

const (
	// loadLifetime is the age after which a peer's counts are ignored: four
	// missed datagrams.
	loadLifetime = time.Second
	// peerLifetime is the silence after which a listed peer no longer counts as
	// live in the division of fleet-wide sums. It is longer than a pause, since
	// a router that is counted out too soon makes the others send too much.
	peerLifetime = 6 * time.Second
	// maxNews bounds the uses that wait for a datagram, two datagrams' worth.
	maxNews = 128
)

// peer is another router.
type peer struct {
	address string
	heard   clock.Instant
	listed  clock.Instant
	boot    uint64
	number  uint64
	// stamp is the instant in the peer's time at which it sent what was last
	// received of it.
	stamp uint64
	loads map[uint64]int
}

// Board is the counts of all routers. It is safe for concurrent use.
type Board struct {
	self string
	boot uint64

	mu     sync.Mutex
	number uint64
	own    map[uint64]int
	peers  map[string]*peer
	news   []prefix.Use
	seen   []balance.Seen
	marks  [topics]Mark
}

// Tell queues the use of a part of a prompt for the next datagram. Uses beyond
// maxNews are left out; peers then compute what they could have copied.
func (b *Board) Tell(u prefix.Use) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.news) < maxNews {
		b.news = append(b.news, u)
	}
}

// TellSeen sets the outcomes for the next datagrams.
func (b *Board) TellSeen(seen []balance.Seen) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seen = seen
}

// NewBoard returns a board; boot must grow with each start of this router.
func NewBoard(self string, boot uint64) *Board {
	return &Board{self: self, boot: boot, own: map[uint64]int{}, peers: map[string]*peer{}}
}

// Start counts a request that is sent to an upstream.
func (b *Board) Start(upstream string) { b.add(upstream, 1) }

// End counts the end of a request at an upstream.
func (b *Board) End(upstream string) { b.add(upstream, -1) }

func (b *Board) add(upstream string, n int) {
	key := xxhash.Sum64String(upstream)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.own[key] += n
	if b.own[key] == 0 {
		delete(b.own, key)
	}
}

// Loads returns the requests in progress at each upstream: from all routers
// whose counts are known, and this router's own part of them.
func (b *Board) Loads(now clock.Instant, upstreams []string) (loads, own []int) {
	loads, own = make([]int, len(upstreams)), make([]int, len(upstreams))
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, u := range upstreams {
		key := xxhash.Sum64String(u)
		own[i] = b.own[key]
		loads[i] = own[i]
		for _, p := range b.peers {
			if p.heard != 0 && now.Sub(p.heard) < loadLifetime {
				loads[i] += p.loads[key]
			}
		}
	}
	return loads, own
}

// SetPeers replaces the list of the other routers, by name and address.
func (b *Board) SetPeers(now clock.Instant, addresses map[string]string) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, address := range addresses {
		if name == b.self {
			continue
		}
		p := b.peers[name]
		if p == nil || p.address != address {
			b.peers[name] = &peer{address: address, listed: now}
			changed = true
			continue
		}
		p.listed = now
	}
	for name := range b.peers {
		if _, ok := addresses[name]; !ok {
			delete(b.peers, name)
			changed = true
		}
	}
	return changed
}

// Routers returns the names of the live routers, this one included. A peer is
// live while it is listed or heard from.
func (b *Board) Routers(now clock.Instant) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	names := []string{b.self}
	for name, p := range b.peers {
		if now.Sub(max(p.heard, p.listed)) < peerLifetime {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
