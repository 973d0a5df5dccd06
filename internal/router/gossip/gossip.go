package gossip

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
	// SendInterval is the time between two rounds of datagrams. A round reaches
	// at most peersPerRound peers.
	SendInterval = 200 * time.Millisecond
	// minDatagramInterval limits a router to 100 datagrams a second in a large
	// fleet.
	minDatagramInterval = 10 * time.Millisecond
	// peersPerRound is the maximum number of datagrams in one round.
	peersPerRound = int(SendInterval / minDatagramInterval)
	// minLoadTTL is the age at which a peer's loads are ignored in a small fleet: five
	// send intervals.
	minLoadTTL = time.Second
	// A peer is unreachable after minUnreachableTimeout or unreachableIntervals
	// send intervals without datagrams, whichever is longer.
	minUnreachableTimeout = 1500 * time.Millisecond
	unreachableIntervals  = 4
	// heardTTL is how long an unlisted peer counts as live after its last
	// datagram when fleet-wide limits are divided among routers. It exceeds the
	// length of a pause of a router, since removing a live router too early makes
	// the others send too much.
	heardTTL = 6 * time.Second
	// listedTTL is how long a peer counts as live after it was listed. Routers
	// list their peers more often than that.
	listedTTL = 10 * time.Second
	// maxPendingLocations limits the queued locations to those that fit in four
	// datagrams.
	maxPendingLocations = 128
	// maxPendingOutcomes limits the queued outcomes.
	maxPendingOutcomes = 256
	// maxPeers limits the known peers to four times the size that the fleet is
	// designed for.
	maxPeers = 4096
	// liveCacheTTL is how long the list of live routers is cached; each request
	// reads it several times.
	liveCacheTTL = 100 * time.Millisecond
	// loadExpiryInterval is the time between two checks of peers' loads against
	// loadTTL.
	loadExpiryInterval = 50 * time.Millisecond
)

// sendIntervalTo returns the time between two datagrams to the same peer in a
// fleet of the given size.
func sendIntervalTo(routers int) time.Duration {
	return max(SendInterval, time.Duration(routers)*minDatagramInterval)
}

// peer is the state of another router.
type peer struct {
	address string
	// domain is the peer's failure domain, empty until its introduction arrives.
	domain string
	// firstSeen is when the peer was first listed or sent its first datagram.
	firstSeen  clock.Instant
	lastHeard  clock.Instant
	lastListed clock.Instant
	bootID     uint64
	sequence   uint64
	// sentAt is the send time of the last datagram from the peer, on the peer's
	// clock. It is sent back as the echo.
	sentAt uint64
	loads  map[uint64]int
	// loadsAt is when loads arrived.
	loadsAt clock.Instant
	// counted reports whether loads are included in State.peerLoads.
	counted bool
	// unanswered is the number of queries since the last datagram from the peer, at
	// most maxUnanswered.
	unanswered int
	// outcomesSent and locationsSent are the numbers of the last news of each kind that
	// the peer was sent.
	outcomesSent, locationsSent uint64
	// replyFlags are the flags of a reply to the last datagram: one without loads asks
	// for confirmations only, and is sent to watchers by many routers.
	replyFlags byte
	// introduced is set once a router of a large fleet has sent its introduction.
	introduced bool
}

// State is this router's view of its peers and of the loads of all upstreams,
// and the information queued for its peers. It is safe for concurrent use.
type State struct {
	self   string
	bootID uint64
	// domain is the failure domain of this router, empty if unknown.
	domain string

	mu       sync.Mutex
	sequence uint64
	ownLoads map[uint64]int
	peers    map[string]*peer
	// peerLoads are the summed loads of the peers with counted set, by ID hash.
	peerLoads      map[uint64]int
	countedPeers   int
	loadsExpiredAt clock.Instant
	// reportedLoads are the loads that upstreams reported in responses, by ID hash.
	reportedLoads map[uint64]*reportedLoad
	// lastPeer is the name of the peer that the last datagram was sent to.
	lastPeer         string
	pendingLocations []pendingLocation
	pendingOutcomes  []pendingOutcome
	// lastNear and lastFar are the names of the peers of the same and of other failure
	// domains that were queried last in a large fleet.
	lastNear, lastFar string
	// outcomeNews and locationNews are what is sent once to each peer of a large fleet.
	outcomeNews, locationNews newsQueue
	confirmations             [topicCount]Confirmation
	// sections are the optional sections by kind.
	sections map[byte][]byte
	// live caches the names of the live routers as of liveAt.
	live   []string
	liveAt clock.Instant
	// byAddress holds the peers by address.
	byAddress map[string]*peer
}

// pendingLocation is the location of a cached prefix that is sent in each of the
// next roundsLeft rounds, so that it reaches every peer.
type pendingLocation struct {
	prefix.Location
	roundsLeft int
}

// pendingOutcome is an outcome that is sent in each of the next roundsLeft
// rounds, so that it reaches every peer.
type pendingOutcome struct {
	balance.Outcomes
	roundsLeft int
}

// QueueLocation queues the location of a cached prefix for the next datagram to
// each peer. Locations beyond maxPendingLocations are dropped; engines then
// recompute prefixes that they could have copied.
func (g *State) QueueLocation(l prefix.Location) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.exchangesLess() {
		g.locationNews.add(news{location: l}, maxPendingLocations)
		return
	}
	if len(g.pendingLocations) < maxPendingLocations {
		g.pendingLocations = append(g.pendingLocations, pendingLocation{l, g.roundsPerCycle()})
	}
}

// QueueOutcomes queues outcomes for the next datagram to each peer. Outcomes
// beyond maxPendingOutcomes are dropped.
func (g *State) QueueOutcomes(outcomes []balance.Outcomes) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.exchangesLess() {
		for _, s := range outcomes {
			g.outcomeNews.add(news{outcome: s}, maxPendingOutcomes)
		}
		return
	}
	for _, s := range outcomes[:min(len(outcomes), max(0, maxPendingOutcomes-len(g.pendingOutcomes)))] {
		g.pendingOutcomes = append(g.pendingOutcomes, pendingOutcome{s, g.roundsPerCycle()})
	}
}

// roundsPerCycle returns the number of rounds in which every peer is sent one
// datagram.
func (g *State) roundsPerCycle() int { return max(1, (len(g.peers)+peersPerRound-1)/peersPerRound) }

// New returns the gossip state of the router named self; bootID must increase
// with each start of the router.
func New(self string, bootID uint64) *State {
	return &State{self: self, bootID: bootID, lastNear: self, lastFar: self, ownLoads: map[uint64]int{}, peerLoads: map[uint64]int{}, reportedLoads: map[uint64]*reportedLoad{}, peers: map[string]*peer{}, byAddress: map[string]*peer{}}
}

// StartRequest counts a request that is sent to an upstream.
func (g *State) StartRequest(upstream string) { g.addOwnLoad(upstream, 1) }

// EndRequest counts the end of a request at an upstream.
func (g *State) EndRequest(upstream string) { g.addOwnLoad(upstream, -1) }

func (g *State) addOwnLoad(upstream string, n int) {
	key := xxhash.Sum64String(upstream)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ownLoads[key] += n
	if g.ownLoads[key] == 0 {
		delete(g.ownLoads, key)
	}
}

// Loads returns the requests in progress at each upstream, given by ID hash:
// those of all routers, and those of this router alone. Peers in a large fleet
// whose loads are too old are assumed to have the mean load of the others. A load
// is never lower than what the upstream itself reported within reportedLoadTTL.
func (g *State) Loads(now clock.Instant, upstreams []uint64) (loads, own []int) {
	loads, own = make([]int, len(upstreams)), make([]int, len(upstreams))
	g.mu.Lock()
	defer g.mu.Unlock()
	factor := g.extrapolationFactor(now)
	for i, key := range upstreams {
		own[i] = g.ownLoads[key]
		loads[i] = g.effectiveLoad(now, key, own[i]+int(math.Round(factor*float64(g.peerLoads[key]))))
	}
	return loads, own
}

// extrapolationFactor removes expired loads from the sums and returns the number
// of reachable peers per peer whose loads are counted, at least 1.
func (g *State) extrapolationFactor(now clock.Instant) float64 {
	if now.Sub(g.loadsExpiredAt) >= loadExpiryInterval {
		g.loadsExpiredAt = now
		limit := g.loadTTL()
		for _, p := range g.peers {
			if p.counted && now.Sub(p.loadsAt) >= limit {
				g.removePeerLoads(p)
			}
		}
	}
	if g.countedPeers == 0 || g.roundsPerCycle() == 1 {
		return 1
	}
	reachable := 0
	for _, p := range g.peers {
		if g.isReachable(now, p) {
			reachable++
		}
	}
	return max(1, float64(reachable)/float64(g.countedPeers))
}

// unreachableTimeout returns the time without datagrams after which a peer is
// considered unreachable.
func (g *State) unreachableTimeout() time.Duration {
	return max(minUnreachableTimeout, unreachableIntervals*sendIntervalTo(len(g.peers)+1))
}

// setPeerLoads replaces a peer's loads in the sums.
func (g *State) setPeerLoads(now clock.Instant, p *peer, loads map[uint64]int) {
	g.removePeerLoads(p)
	p.loads, p.loadsAt, p.counted = loads, now, true
	g.countedPeers++
	for key, n := range loads {
		g.peerLoads[key] += n
	}
}

func (g *State) removePeerLoads(p *peer) {
	if !p.counted {
		return
	}
	p.counted = false
	g.countedPeers--
	for key, n := range p.loads {
		g.peerLoads[key] -= n
		if g.peerLoads[key] == 0 {
			delete(g.peerLoads, key)
		}
	}
}

// SetPeers replaces the list of routers, given as addresses by name, and reports
// whether the known peers changed. The list may be stale, so a missing peer is
// kept as long as it sends datagrams.
func (g *State) SetPeers(now clock.Instant, addresses map[string]string) (changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.liveAt = 0
	for name, address := range addresses {
		if name == g.self {
			continue
		}
		p := g.peers[name]
		if p == nil || p.address != address && !p.heardWithin(now, heardTTL) {
			g.removePeer(name)
			g.peers[name] = &peer{address: address, firstSeen: now, lastListed: now}
			g.byAddress[address] = g.peers[name]
			changed = true
			continue
		}
		p.lastListed = now
	}
	for name, p := range g.peers {
		if _, ok := addresses[name]; !ok && !p.heardWithin(now, heardTTL) {
			g.removePeer(name)
			changed = true
		}
	}
	return changed
}

func (g *State) removePeer(name string) {
	if p := g.peers[name]; p != nil {
		g.removePeerLoads(p)
		delete(g.peers, name)
		if g.byAddress[p.address] == p {
			delete(g.byAddress, p.address)
		}
	}
}

// heardWithin reports whether a datagram of the peer arrived within the time
// limit.
func (p *peer) heardWithin(now clock.Instant, limit time.Duration) bool {
	return p.lastHeard != 0 && now.Sub(p.lastHeard) < limit
}

// LiveRouters returns the sorted names of the live routers, including this one. A
// peer is live if it was listed or sent a datagram recently. The list must not be
// changed.
func (g *State) LiveRouters(now clock.Instant) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.liveAt == 0 || now.Sub(g.liveAt) >= liveCacheTTL {
		g.liveAt = now
		g.live = g.selectRouters(func(p *peer) bool {
			return p.heardWithin(now, heardTTL) || p.lastListed != 0 && now.Sub(p.lastListed) < listedTTL
		})
	}
	return g.live
}

// ReachableRouters returns the sorted names of the routers that exchange
// datagrams with this one, including this one. A new peer is included until its
// first datagram is overdue.
func (g *State) ReachableRouters(now clock.Instant) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	limit := g.unreachableTimeout()
	large := g.exchangesLess()
	return g.selectRouters(func(p *peer) bool {
		if large && (p.unanswered >= maxUnanswered || g.isReachable(now, p)) {
			return p.unanswered < maxUnanswered
		}
		return now.Sub(max(p.lastHeard, p.firstSeen)) < limit
	})
}

func (g *State) selectRouters(include func(*peer) bool) []string {
	names := []string{g.self}
	for name, p := range g.peers {
		if include(p) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// SampleAddresses returns the addresses of up to limit reachable peers, chosen at
// random.
func (g *State) SampleAddresses(now clock.Instant, limit int) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var addresses []string
	for _, p := range g.samplePeers(now, limit) {
		addresses = append(addresses, p.address)
	}
	return addresses
}

func (g *State) samplePeers(now clock.Instant, limit int) []*peer {
	var reachable []*peer
	for _, p := range g.peers {
		if g.isReachable(now, p) {
			reachable = append(reachable, p)
		}
	}
	rand.Shuffle(len(reachable), func(i, j int) { reachable[i], reachable[j] = reachable[j], reachable[i] })
	return reachable[:min(limit, len(reachable))]
}
