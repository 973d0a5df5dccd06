package digest

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/balance"
	"github.com/hemlockcroft/hemlockcroft/internal/router/prefix"
)

const (
	// SendInterval is how often a router sends datagrams, to as many peers as
	// peerInterval allows.
	SendInterval = 200 * time.Millisecond
	// peerInterval bounds a router's datagrams to 100 a second in a large fleet.
	peerInterval = 10 * time.Millisecond
	// batch is how many datagrams peerInterval allows in one SendInterval.
	batch = int(SendInterval / peerInterval)
	// loadLifetime is the age after which a peer's counts are ignored: five
	// intervals in a small fleet.
	loadLifetime = time.Second
	// silence is the time without datagrams after which a peer is taken to be
	// out of reach, and silentIntervals the same in intervals, whichever is
	// longer.
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
	// maxNews bounds the uses that wait for a datagram, four datagrams' worth.
	maxNews = 128
	// maxSeen bounds the outcomes that wait for a datagram.
	maxSeen = 256
	// maxPeers bounds the peers that introduce themselves, four times the size
	// that the fleet is designed for.
	maxPeers = 4096
	// liveRefresh is how long a list of live routers is used before it is built
	// anew; requests ask for it several times each.
	liveRefresh = 100 * time.Millisecond
	// ageRefresh is how often counts are checked against loadLifetime.
	ageRefresh = 50 * time.Millisecond
)

// interval returns how often a router of a fleet sends its counts to each peer.
func interval(routers int) time.Duration {
	return max(SendInterval, time.Duration(routers)*peerInterval)
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
	// counted tells that loads are part of the board's sums.
	counted bool
}

// Board is the counts of all routers. It is safe for concurrent use.
type Board struct {
	self string
	boot uint64

	mu     sync.Mutex
	number uint64
	own    map[uint64]int
	peers  map[string]*peer
	// sums are the counts of the peers that are counted.
	sums    map[uint64]int
	counted int
	checked clock.Instant
	// stated are the loads that upstreams stated, by the hash of their identity.
	stated map[uint64]*stated
	// last is the name of the peer that was sent to last.
	last  string
	news  []news
	seen  []seen
	marks [topics]Mark
	// live is the list of live routers as of liveAt.
	live   []string
	liveAt clock.Instant
}

// news is a use that is told to all peers, round after round.
type news struct {
	prefix.Location
	rounds int
}

// seen is an outcome that is told to all peers, round after round.
type seen struct {
	balance.Outcomes
	rounds int
}

// Tell queues the use of a part of a prompt for the next datagram to each peer.
// Uses beyond maxNews are left out; peers then compute what they could have
// copied.
func (b *Board) Tell(u prefix.Location) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.news) < maxNews {
		b.news = append(b.news, news{u, b.rounds()})
	}
}

// TellSeen queues outcomes for the next datagram to each peer. Outcomes beyond
// maxSeen are left out.
func (b *Board) TellSeen(list []balance.Outcomes) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range list[:min(len(list), max(0, maxSeen-len(b.seen)))] {
		b.seen = append(b.seen, seen{s, b.rounds()})
	}
}

// rounds returns in how many rounds each peer is sent to once.
func (b *Board) rounds() int { return max(1, (len(b.peers)+batch-1)/batch) }

// NewBoard returns a board; boot must grow with each start of this router.
func NewBoard(self string, boot uint64) *Board {
	return &Board{self: self, boot: boot, own: map[uint64]int{}, sums: map[uint64]int{}, stated: map[uint64]*stated{}, peers: map[string]*peer{}}
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

// Loads returns the requests in progress at each upstream, given by the hash of
// its identity: from all routers, and this router's own part of them. In a large
// fleet the counts of some peers are too old; those of the others stand for them.
// A load is at least what the upstream stated a moment ago.
func (b *Board) Loads(now clock.Instant, upstreams []uint64) (loads, own []int) {
	loads, own = make([]int, len(upstreams)), make([]int, len(upstreams))
	b.mu.Lock()
	defer b.mu.Unlock()
	scale := b.scale(now)
	for i, key := range upstreams {
		own[i] = b.own[key]
		loads[i] = b.present(now, key, own[i]+int(math.Round(scale*float64(b.sums[key]))))
	}
	return loads, own
}

// scale takes counts that are too old out of the sums and returns how many
// peers one counted peer stands for.
func (b *Board) scale(now clock.Instant) float64 {
	if now.Sub(b.checked) >= ageRefresh {
		b.checked = now
		for _, p := range b.peers {
			if p.counted && !p.speaks(now, loadLifetime) {
				b.uncount(p)
			}
		}
	}
	if b.counted == 0 || b.rounds() == 1 {
		return 1
	}
	reachable := 0
	for _, p := range b.peers {
		if p.speaks(now, b.silence()) {
			reachable++
		}
	}
	return max(1, float64(reachable)/float64(b.counted))
}

// silence returns the time without datagrams after which a peer is taken to be
// out of reach.
func (b *Board) silence() time.Duration {
	return max(silence, silentIntervals*interval(len(b.peers)+1))
}

// count replaces a peer's counts in the sums.
func (b *Board) count(p *peer, loads map[uint64]int) {
	b.uncount(p)
	p.loads, p.counted = loads, true
	b.counted++
	for key, n := range loads {
		b.sums[key] += n
	}
}

func (b *Board) uncount(p *peer) {
	if !p.counted {
		return
	}
	p.counted = false
	b.counted--
	for key, n := range p.loads {
		b.sums[key] -= n
		if b.sums[key] == 0 {
			delete(b.sums, key)
		}
	}
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
			b.forget(name)
			b.peers[name] = &peer{address: address, known: now, listed: now}
			changed = true
			continue
		}
		p.listed = now
	}
	for name, p := range b.peers {
		if _, ok := addresses[name]; !ok && !p.speaks(now, heardLifetime) {
			b.forget(name)
			changed = true
		}
	}
	return changed
}

func (b *Board) forget(name string) {
	if p := b.peers[name]; p != nil {
		b.uncount(p)
		delete(b.peers, name)
	}
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
	limit := b.silence()
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

// Sample returns the addresses of up to most peers that are in reach, drawn at
// random.
func (b *Board) Sample(now clock.Instant, most int) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var addresses []string
	for _, p := range b.sample(now, most) {
		addresses = append(addresses, p.address)
	}
	return addresses
}

func (b *Board) sample(now clock.Instant, most int) []*peer {
	var reachable []*peer
	for _, p := range b.peers {
		if p.speaks(now, b.silence()) {
			reachable = append(reachable, p)
		}
	}
	rand.Shuffle(len(reachable), func(i, j int) { reachable[i], reachable[j] = reachable[j], reachable[i] })
	return reachable[:min(most, len(reachable))]
}
