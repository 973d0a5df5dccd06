package gossip

import (
	"encoding/binary"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/balance"
	"github.com/hemlockcroft/hemlockcroft/internal/router/prefix"
)

// In a large fleet each datagram of a round is a query: the peer replies at once, so
// that both have heard from each other and the confirmations of both have the age of a
// round trip, not of a cycle over all peers. That needs fewer datagrams: a router
// queries, in turn, a few peers of its own failure domain and one of another. The
// latter carry no loads. Designed for 30 to 1,000 routers with up to 20 requests a
// second each.
const (
	// nearPerRound is the number of peers of the same failure domain in a round; a
	// router hears from each of 100 every 3.3 s.
	nearPerRound = 3
	// farPerRound is the number of peers of other failure domains in a round. Two
	// domains that do not reach each other hear of changes through a third after two
	// exchanges, which each of a hundred routers has five times a second.
	farPerRound = 1
	// maxUnanswered is the number of unanswered queries after which a peer is
	// unreachable. Of 1,000 peers, one is taken for unreachable when a twentieth of the
	// datagrams are lost.
	maxUnanswered = 3
	// maxLoadTTL limits the age of loads in a large fleet. Loads of the peers heard
	// within it stand for the others.
	maxLoadTTL = 4 * time.Second
	// newsTTL is how long an outcome or a location is included in datagrams of a large
	// fleet, once for each peer.
	newsTTL = 3500 * time.Millisecond
	// maxOutcomesToPeer and maxLocationsToPeer limit the outcomes and the locations in
	// one datagram of a large fleet.
	maxOutcomesToPeer  = 16
	maxLocationsToPeer = 4
)

// flagNoLoads marks a datagram without loads, which does not count in the loads.
const flagNoLoads byte = 4

// news is an outcome or a location that is sent once to each peer of a large fleet.
type news struct {
	number   uint64
	queuedAt clock.Instant
	outcome  balance.Outcomes
	location prefix.Location
}

// newsQueue holds the news of one kind in ascending number.
type newsQueue struct {
	items []news
	last  uint64
}

// add appends an item and drops the oldest beyond a limit.
func (q *newsQueue) add(n news, limit int) {
	q.last++
	n.number = q.last
	q.items = append(q.items, n)
	q.items = slices.Delete(q.items, 0, max(0, len(q.items)-limit))
}

// expire drops the items that were in the queue for newsTTL. The time of an item counts
// from the first call after its addition.
func (q *newsQueue) expire(now clock.Instant) {
	first := 0
	for i := range q.items {
		n := &q.items[i]
		if n.queuedAt == 0 {
			n.queuedAt = now
		}
		if now.Sub(n.queuedAt) > newsTTL {
			first = i + 1
		}
	}
	q.items = slices.Delete(q.items, 0, first)
}

// after returns up to limit items that were added after the one with the given number,
// in the order of their addition, so that the last one's number shows what a peer has.
func (q *newsQueue) after(number uint64, limit int) []news {
	first := 0
	for first < len(q.items) && q.items[first].number <= number {
		first++
	}
	return q.items[first:min(len(q.items), first+max(0, limit))]
}

// nextLargeRound returns the queries of a round in a large fleet.
func (g *State) nextLargeRound(now clock.Instant) []Datagram {
	g.outcomeNews.expire(now)
	g.locationNews.expire(now)
	near, far := g.peersByDistance()
	var datagrams []Datagram
	for _, p := range append(takeInTurn(near, nearPerRound, &g.lastNear), takeInTurn(far, farPerRound, &g.lastFar)...) {
		p := g.peers[p]
		p.unanswered = min(p.unanswered+1, maxUnanswered)
		datagrams = append(datagrams, g.exchange(now, p, flagQuery))
	}
	return datagrams
}

// peersByDistance returns the sorted names of the peers in the failure domain of this
// router and of the others.
func (g *State) peersByDistance() (near, far []string) {
	for _, name := range slices.Sorted(maps.Keys(g.peers)) {
		if g.isFar(g.peers[name]) {
			far = append(far, name)
		} else {
			near = append(near, name)
		}
	}
	return near, far
}

// isFar reports whether a peer is in another failure domain. One whose failure domain is
// unknown counts as near unless it leaves queries unanswered.
func (g *State) isFar(p *peer) bool {
	if p.domain == "" {
		return p.unanswered >= maxUnanswered
	}
	return p.domain != g.domain
}

// takeInTurn returns up to count names after last, and sets last to the last one.
func takeInTurn(names []string, count int, last *string) []string {
	first, _ := slices.BinarySearch(names, *last+"\x00")
	taken := make([]string, min(count, len(names)))
	for i := range taken {
		taken[i] = names[(first+i)%len(names)]
		*last = taken[i]
	}
	return taken
}

// exchange returns a datagram to a peer of a large fleet, with the news that the peer
// has not been sent. One to another failure domain has no loads and no locations, and
// neither has one with flagNoLoads.
func (g *State) exchange(now clock.Instant, p *peer, flags byte) Datagram {
	end, sectionFlag := g.encodeSections()
	flags |= sectionFlag
	limit := MaxDatagram - g.perPeerSize() - len(end)
	shared := g.sharedPart(now)
	far := g.isFar(p) || flags&flagNoLoads != 0
	if far {
		flags |= flagNoLoads
		shared = binary.BigEndian.AppendUint16(shared, 0)
	} else {
		shared = g.appendLoads(shared, limit)
	}
	outcomes := g.outcomeNews.after(p.outcomesSent, min(maxOutcomesToPeer, (limit-len(shared)-2)/outcomeBytes))
	shared = binary.BigEndian.AppendUint16(shared, uint16(len(outcomes)))
	for _, n := range outcomes {
		shared = binary.BigEndian.AppendUint64(shared, n.outcome.Upstream)
		shared = append(shared, n.outcome.OK, n.outcome.Failed, n.outcome.Unreachable)
		p.outcomesSent = n.number
	}
	if far {
		return g.datagram(p, flags, append(shared, end...))
	}
	for _, n := range g.locationNews.after(p.locationsSent, min(maxLocationsToPeer, (limit-len(shared))/locationBytes)) {
		shared = binary.BigEndian.AppendUint64(shared, uint64(n.location.Prefix))
		shared = binary.BigEndian.AppendUint64(shared, uint64(n.location.Engine))
		p.locationsSent = n.number
	}
	return g.datagram(p, flags, append(shared, end...))
}

// loadTTL returns the age at which a peer's loads are ignored: in a large fleet the time
// in which a router hears from each peer of its failure domain, at most maxLoadTTL.
func (g *State) loadTTL() time.Duration {
	if !g.exchangesLess() {
		return minLoadTTL
	}
	near := 0
	for _, p := range g.peers {
		if !g.isFar(p) {
			near++
		}
	}
	// Each pair exchanges datagrams twice in a cycle, once as a query of either side.
	cycle := time.Duration(near) * SendInterval / (2 * nearPerRound)
	return min(max(minLoadTTL, cycle*5/4), maxLoadTTL)
}

// isReachable reports whether a peer of a fleet exchanges datagrams with this router. In
// a large fleet it does so rarely with most peers; those listed count unless they left
// queries unanswered.
func (g *State) isReachable(now clock.Instant, p *peer) bool {
	if !g.exchangesLess() {
		return p.heardWithin(now, g.unreachableTimeout())
	}
	return p.unanswered < maxUnanswered && (p.heardWithin(now, g.unreachableTimeout()) || p.lastListed != 0 && now.Sub(p.lastListed) < listedTTL)
}

// SampleNear returns the addresses of up to limit reachable peers, chosen at random
// among those that are not known to be in another failure domain.
func (g *State) SampleNear(now clock.Instant, limit int) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var addresses []string
	for _, p := range g.peers {
		if !g.isFar(p) && g.isReachable(now, p) {
			addresses = append(addresses, p.address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(limit, len(addresses))]
}
