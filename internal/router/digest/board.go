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
	// leastInterval is how often counts go to peers; at 9 routers it costs about
	// 1 KB/s each.
	leastInterval = 200 * time.Millisecond
	// peerInterval bounds a router's datagrams to 200 a second in a large fleet.
	peerInterval = 5 * time.Millisecond
	// loadLifetime is the age after which a peer's counts are ignored, and
	// loadIntervals the same in intervals of datagrams, whichever is longer.
	loadLifetime  = time.Second
	loadIntervals = 3
	// silence is the time without datagrams after which a peer is taken to be
	// out of reach, and silentIntervals the same in intervals.
	silence         = 1500 * time.Millisecond
	silentIntervals = 4
	// heardLifetime is the silence after which a peer that is not listed no
	// longer counts as live in the division of fleet-wide sums. It is longer than
	// a pause, since a router that is counted out too soon makes the others send
	// too much.
	heardLifetime = 6 * time.Second
	// listedLifetime is how long a listed peer counts as live after the listing.
	// Routers list each other more often than that.
	listedLifetime = 10 * time.Second
	// maxNews bounds the uses that wait for a datagram, two datagrams' worth.
	maxNews = 128
	// maxPeers bounds the peers that introduce themselves, four times the size
	// that the fleet is designed for.
	maxPeers = 4096
	// liveRefresh is how long a list of live routers is used before it is built
	// anew; requests ask for it several times each.
	liveRefresh = 100 * time.Millisecond
)

// Interval returns how often a router of a fleet sends its counts.
func Interval(routers int) time.Duration {
	return max(leastInterval, time.Duration(routers)*peerInterval)
}

// peer is another router.
type peer struct {
	address string
	// known is when the peer was first listed or heard.
	known  clock.Instant
	heard  clock.Instant
	listed clock.Instant
	boot   uint64
	number uint64
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
	// live is the list of live routers as of liveAt.
	live   []string
	liveAt clock.Instant
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
	lifetime := max(loadLifetime, loadIntervals*Interval(len(b.peers)+1))
	for i, u := range upstreams {
		key := xxhash.Sum64String(u)
		own[i] = b.own[key]
		loads[i] = own[i]
		for _, p := range b.peers {
			if p.heard != 0 && now.Sub(p.heard) < lifetime {
				loads[i] += p.loads[key]
			}
		}
	}
	return loads, own
}

// SetPeers replaces the list of the other routers, by name and address. The
// list may be old, so a peer that is missing stays while it is heard from.
func (b *Board) SetPeers(now clock.Instant, addresses map[string]string) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.liveAt = 0
	for name, address := range addresses {
		if name == b.self {
			continue
		}
		p := b.peers[name]
		if p == nil || p.address != address && !p.speaks(now, heardLifetime) {
			b.peers[name] = &peer{address: address, known: now, listed: now}
			changed = true
			continue
		}
		p.listed = now
	}
	for name, p := range b.peers {
		if _, ok := addresses[name]; !ok && !p.speaks(now, heardLifetime) {
			delete(b.peers, name)
			changed = true
		}
	}
	return changed
}

// speaks reports whether the peer was heard from within a time.
func (p *peer) speaks(now clock.Instant, within time.Duration) bool {
	return p.heard != 0 && now.Sub(p.heard) < within
}

// Routers returns the names of the live routers, this one included, sorted. A
// peer is live while it is listed or heard from. The list must not be changed.
func (b *Board) Routers(now clock.Instant) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.liveAt == 0 || now.Sub(b.liveAt) >= liveRefresh {
		b.liveAt = now
		b.live = b.names(func(p *peer) bool {
			return p.speaks(now, heardLifetime) || p.listed != 0 && now.Sub(p.listed) < listedLifetime
		})
	}
	return b.live
}

// Reachable returns the names of the routers that exchange datagrams with this
// one, this one included, sorted. A new peer has some time to be heard from.
func (b *Board) Reachable(now clock.Instant) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := max(silence, silentIntervals*Interval(len(b.peers)+1))
	return b.names(func(p *peer) bool { return now.Sub(max(p.heard, p.known)) < limit })
}

func (b *Board) names(chosen func(*peer) bool) []string {
	names := []string{b.self}
	for name, p := range b.peers {
		if chosen(p) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
