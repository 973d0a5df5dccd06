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
	// minDatagramInterval allows.
	SendInterval = 200 * time.Millisecond
	// minDatagramInterval bounds a router's datagrams to 100 a second in a large fleet.
	minDatagramInterval = 10 * time.Millisecond
	// peersPerRound is how many datagrams minDatagramInterval allows in one SendInterval.
	peersPerRound = int(SendInterval / minDatagramInterval)
	// loadTTL is the age after which a peer's counts are ignored: five
	// intervals in a small fleet.
	loadTTL = time.Second
	// minUnreachableTimeout is the time without datagrams after which a peer is taken to be
	// out of reach, and unreachableIntervals the same in intervals, whichever is
	// longer.
	minUnreachableTimeout = 1500 * time.Millisecond
	unreachableIntervals  = 4
	// heardTTL is the silence after which a peer that is not listed no
	// longer counts as live in the division of fleet-wide sums. It is longer than
	// a pause, since a router that is counted out too soon makes the others send
	// too much.
	heardTTL = 6 * time.Second
	// listedTTL is how long a listed peer counts as live after the listing.
	// Routers list each other more often than that.
	listedTTL = 10 * time.Second
	// maxPendingUses bounds the uses that wait for a datagram, four datagrams' worth.
	maxPendingUses = 128
	// maxPendingOutcomes bounds the outcomes that wait for a datagram.
	maxPendingOutcomes = 256
	// maxPeers bounds the peers that introduce themselves, four times the size
	// that the fleet is designed for.
	maxPeers = 4096
	// liveCacheTTL is how long a list of live routers is used before it is built
	// anew; requests ask for it several times each.
	liveCacheTTL = 100 * time.Millisecond
	// loadExpiryInterval is how often counts are checked against loadTTL.
	loadExpiryInterval = 50 * time.Millisecond
)

// sendIntervalTo returns how often a router of a fleet sends its counts to each peer.
func sendIntervalTo(routers int) time.Duration {
	return max(SendInterval, time.Duration(routers)*minDatagramInterval)
}

// peer is another router.
type peer struct {
	address string
	// firstSeen is when the peer was first listed or heard.
	firstSeen  clock.Instant
	lastHeard  clock.Instant
	lastListed clock.Instant
	boot       uint64
	sequence   uint64
	// sentAt is the instant in the peer's time at which it sent what was last
	// received of it.
	sentAt uint64
	loads  map[uint64]int
	// counted tells that loads are part of the board's sums.
	counted bool
}

// Gossip is the counts of all routers. It is safe for concurrent use.
type Gossip struct {
	self string
	boot uint64

	mu       sync.Mutex
	sequence uint64
	ownLoads map[uint64]int
	peers    map[string]*peer
	// peerLoads are the counts of the peers that are counted.
	peerLoads      map[uint64]int
	countedPeers   int
	loadsExpiredAt clock.Instant
	// reportedLoads are the loads that upstreams stated, by the hash of their identity.
	reportedLoads map[uint64]*reportedLoad
	// lastPeer is the name of the peer that was sent to last.
	lastPeer        string
	pendingUses     []pendingUse
	pendingOutcomes []pendingOutcome
	confirmations   [topicCount]Confirmation
	// live is the list of live routers as of liveAt.
	live   []string
	liveAt clock.Instant
}

// pendingUse is a use that is told to all peers, round after round.
type pendingUse struct {
	prefix.Use
	roundsLeft int
}

// pendingOutcome is an outcome that is told to all peers, round after round.
type pendingOutcome struct {
	balance.Seen
	roundsLeft int
}

// QueueUse queues the use of a part of a prompt for the next datagram to each peer.
// Uses beyond maxPendingUses are left out; peers then compute what they could have
// copied.
func (b *Gossip) QueueUse(u prefix.Use) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pendingUses) < maxPendingUses {
		b.pendingUses = append(b.pendingUses, pendingUse{u, b.roundsPerCycle()})
	}
}

// QueueOutcomes queues outcomes for the next datagram to each peer. Outcomes beyond
// maxPendingOutcomes are left out.
func (b *Gossip) QueueOutcomes(outcomes []balance.Seen) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range outcomes[:min(len(outcomes), max(0, maxPendingOutcomes-len(b.pendingOutcomes)))] {
		b.pendingOutcomes = append(b.pendingOutcomes, pendingOutcome{s, b.roundsPerCycle()})
	}
}

// roundsPerCycle returns in how many rounds each peer is sent to once.
func (b *Gossip) roundsPerCycle() int { return max(1, (len(b.peers)+peersPerRound-1)/peersPerRound) }

// NewGossip returns a board; boot must grow with each start of this router.
func NewGossip(self string, boot uint64) *Gossip {
	return &Gossip{self: self, boot: boot, ownLoads: map[uint64]int{}, peerLoads: map[uint64]int{}, reportedLoads: map[uint64]*reportedLoad{}, peers: map[string]*peer{}}
}

// StartRequest counts a request that is sent to an upstream.
func (b *Gossip) StartRequest(upstream string) { b.addOwnLoad(upstream, 1) }

// EndRequest counts the end of a request at an upstream.
func (b *Gossip) EndRequest(upstream string) { b.addOwnLoad(upstream, -1) }

func (b *Gossip) addOwnLoad(upstream string, n int) {
	key := xxhash.Sum64String(upstream)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ownLoads[key] += n
	if b.ownLoads[key] == 0 {
		delete(b.ownLoads, key)
	}
}

// Loads returns the requests in progress at each upstream, given by the hash of
// its identity: from all routers, and this router's own part of them. In a large
// fleet the counts of some peers are too old; those of the others stand for them.
// A load is at least what the upstream stated a moment ago.
func (b *Gossip) Loads(now clock.Instant, upstreams []uint64) (loads, own []int) {
	loads, own = make([]int, len(upstreams)), make([]int, len(upstreams))
	b.mu.Lock()
	defer b.mu.Unlock()
	factor := b.extrapolationFactor(now)
	for i, key := range upstreams {
		own[i] = b.ownLoads[key]
		loads[i] = b.effectiveLoad(now, key, own[i]+int(math.Round(factor*float64(b.peerLoads[key]))))
	}
	return loads, own
}

// extrapolationFactor takes counts that are too old out of the sums and returns how many
// peers one counted peer stands for.
func (b *Gossip) extrapolationFactor(now clock.Instant) float64 {
	if now.Sub(b.loadsExpiredAt) >= loadExpiryInterval {
		b.loadsExpiredAt = now
		for _, p := range b.peers {
			if p.counted && !p.heardWithin(now, loadTTL) {
				b.removePeerLoads(p)
			}
		}
	}
	if b.countedPeers == 0 || b.roundsPerCycle() == 1 {
		return 1
	}
	reachable := 0
	for _, p := range b.peers {
		if p.heardWithin(now, b.unreachableTimeout()) {
			reachable++
		}
	}
	return max(1, float64(reachable)/float64(b.countedPeers))
}

// unreachableTimeout returns the time without datagrams after which a peer is taken to be
// out of reach.
func (b *Gossip) unreachableTimeout() time.Duration {
	return max(minUnreachableTimeout, unreachableIntervals*sendIntervalTo(len(b.peers)+1))
}

// setPeerLoads replaces a peer's counts in the sums.
func (b *Gossip) setPeerLoads(p *peer, loads map[uint64]int) {
	b.removePeerLoads(p)
	p.loads, p.counted = loads, true
	b.countedPeers++
	for key, n := range loads {
		b.peerLoads[key] += n
	}
}

func (b *Gossip) removePeerLoads(p *peer) {
	if !p.counted {
		return
	}
	p.counted = false
	b.countedPeers--
	for key, n := range p.loads {
		b.peerLoads[key] -= n
		if b.peerLoads[key] == 0 {
			delete(b.peerLoads, key)
		}
	}
}

// SetPeers replaces the list of the other routers, by name and address. The
// list may be old, so a peer that is missing stays while it is heard from.
func (b *Gossip) SetPeers(now clock.Instant, addresses map[string]string) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.liveAt = 0
	for name, address := range addresses {
		if name == b.self {
			continue
		}
		p := b.peers[name]
		if p == nil || p.address != address && !p.heardWithin(now, heardTTL) {
			b.removePeer(name)
			b.peers[name] = &peer{address: address, firstSeen: now, lastListed: now}
			changed = true
			continue
		}
		p.lastListed = now
	}
	for name, p := range b.peers {
		if _, ok := addresses[name]; !ok && !p.heardWithin(now, heardTTL) {
			b.removePeer(name)
			changed = true
		}
	}
	return changed
}

func (b *Gossip) removePeer(name string) {
	if p := b.peers[name]; p != nil {
		b.removePeerLoads(p)
		delete(b.peers, name)
	}
}

// heardWithin reports whether the peer was heard from within a time.
func (p *peer) heardWithin(now clock.Instant, limit time.Duration) bool {
	return p.lastHeard != 0 && now.Sub(p.lastHeard) < limit
}

// LiveRouters returns the names of the live routers, this one included, sorted. A
// peer is live while it is listed or heard from. The list must not be changed.
func (b *Gossip) LiveRouters(now clock.Instant) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.liveAt == 0 || now.Sub(b.liveAt) >= liveCacheTTL {
		b.liveAt = now
		b.live = b.selectRouters(func(p *peer) bool {
			return p.heardWithin(now, heardTTL) || p.lastListed != 0 && now.Sub(p.lastListed) < listedTTL
		})
	}
	return b.live
}

// ReachableRouters returns the names of the routers that exchange datagrams with this
// one, this one included, sorted. A new peer has some time to be heard from.
func (b *Gossip) ReachableRouters(now clock.Instant) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.unreachableTimeout()
	return b.selectRouters(func(p *peer) bool { return now.Sub(max(p.lastHeard, p.firstSeen)) < limit })
}

func (b *Gossip) selectRouters(include func(*peer) bool) []string {
	names := []string{b.self}
	for name, p := range b.peers {
		if include(p) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// SampleAddresses returns the addresses of up to most peers that are in reach, drawn at
// random.
func (b *Gossip) SampleAddresses(now clock.Instant, limit int) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var addresses []string
	for _, p := range b.samplePeers(now, limit) {
		addresses = append(addresses, p.address)
	}
	return addresses
}

func (b *Gossip) samplePeers(now clock.Instant, limit int) []*peer {
	var reachable []*peer
	for _, p := range b.peers {
		if p.heardWithin(now, b.unreachableTimeout()) {
			reachable = append(reachable, p)
		}
	}
	rand.Shuffle(len(reachable), func(i, j int) { reachable[i], reachable[j] = reachable[j], reachable[i] })
	return reachable[:min(limit, len(reachable))]
}
