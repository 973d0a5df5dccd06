package gossip

import (
	"encoding/binary"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

const (
	// SmallFleet is the number of routers up to which each router reads the store at its
	// start, and reads from it what it has missed.
	SmallFleet = 30
	// FullExchange is the number of routers up to which each router exchanges datagrams
	// with all others in turn, and pushes each update to eight peers. That cost grows
	// with the square of the number of routers, so that larger fleets exchange less. At
	// 90 routers, older loads and locations cost callers more than the datagrams.
	FullExchange = 128
)

// Size returns the number of routers that this router knows, including itself.
func (g *State) Size() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.peers) + 1
}

// Address returns the address of a peer, or an empty string if it is unknown.
func (g *State) Address(name string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.peers[name]; p != nil {
		return p.address
	}
	return ""
}

// IsLarge reports whether the fleet has more than SmallFleet routers.
func (g *State) IsLarge() bool { return g.Size() > SmallFleet }

// isLarge is IsLarge with g.mu held.
func (g *State) isLarge() bool { return len(g.peers)+1 > SmallFleet }

// ExchangesLess reports whether the fleet has too many routers for each to exchange
// datagrams with all others.
func (g *State) ExchangesLess() bool { return g.Size() > FullExchange }

// exchangesLess is ExchangesLess with g.mu held.
func (g *State) exchangesLess() bool { return len(g.peers)+1 > FullExchange }

// LoadAge returns the number of peers whose loads are counted, which stand for all, and
// the mean age of these loads.
func (g *State) LoadAge(now clock.Instant) (counted int, age time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.extrapolationFactor(now)
	for _, p := range g.peers {
		if p.counted {
			counted++
			age += now.Sub(p.loadsAt)
		}
	}
	return counted, age / time.Duration(max(1, counted))
}

// StartQueries returns datagrams that ask peers for their confirmations: a number of
// random ones of all known peers, also of those that were never heard from, and the
// named ones. A starting router has heard from none.
func (g *State) StartQueries(now clock.Instant, names []string, others int) []Datagram {
	g.mu.Lock()
	defer g.mu.Unlock()
	var peers []*peer
	for _, name := range names {
		if p := g.peers[name]; p != nil {
			peers = append(peers, p)
		}
	}
	for _, p := range g.peers {
		// The iteration order of maps is random.
		if others == 0 {
			break
		}
		others--
		peers = append(peers, p)
	}
	// A starting router has no loads.
	shared := binary.BigEndian.AppendUint32(g.sharedPart(now), 0)
	datagrams := make([]Datagram, len(peers))
	for i, p := range peers {
		p.unanswered = min(p.unanswered+1, maxUnanswered)
		datagrams[i] = g.datagram(p, flagQuery|flagNoLoads, shared)
	}
	return datagrams
}
