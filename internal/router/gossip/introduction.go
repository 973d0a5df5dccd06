package gossip

import "github.com/hemlockcroft/hemlockcroft/internal/host/clock"

// maxDomain limits the length of a failure domain in an introduction.
const maxDomain = 128

// introductionsPerRound limits the introductions to new peers in one round of a large
// fleet, where a router exchanges other datagrams with a peer only after seconds: 4 KB/s
// until all are sent.
const introductionsPerRound = 32

// flagIntroduce marks an introduction whose sender does not know the failure domain
// of the receiver.
const flagIntroduce byte = 1

// IsIntroduction reports whether a datagram is an introduction: flags, name length, name
// and failure domain of its sender. Earlier versions count it as malformed and ignore it.
func IsIntroduction(d []byte) bool { return len(d) > 0 && d[0] == introductionFormat }

// SetFailureDomain sets the failure domain that introductions state.
func (g *State) SetFailureDomain(domain string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.domain = domain[:min(len(domain), maxDomain)]
}

// Introduction returns the introduction of this router. With wanted set, it asks the
// receiver for its own.
func (g *State) Introduction(wanted bool) []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.introduction(wanted)
}

func (g *State) introduction(wanted bool) []byte {
	flags := byte(0)
	if wanted {
		flags = flagIntroduce
	}
	d := append([]byte{introductionFormat, flags, byte(len(g.self))}, g.self...)
	return append(d, g.domain...)
}

// ApplyIntroduction records the failure domain of a known peer, and reports whether
// the peer asks for an introduction. IsIntroduction must be true for d.
func (g *State) ApplyIntroduction(d []byte) (wanted bool, err error) {
	if len(d) < headerBytes || len(d) <= headerBytes+int(d[2]) || len(d) > headerBytes+int(d[2])+maxDomain {
		return false, errMalformed
	}
	name, domain := string(d[headerBytes:headerBytes+int(d[2])]), string(d[headerBytes+int(d[2]):])
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.peers[name]; p != nil {
		p.domain = domain
	}
	return d[1]&flagIntroduce != 0, nil
}

// Introductions returns introductions for new peers, and for those of the peers at the
// given addresses that were heard from and whose failure domain is unknown, since they or
// this router missed one.
func (g *State) Introductions(now clock.Instant, to []Datagram) []Datagram {
	g.mu.Lock()
	defer g.mu.Unlock()
	unknown := map[string]bool{}
	for _, p := range g.peers {
		if p.domain == "" && p.heardWithin(now, heardTTL) {
			unknown[p.address] = true
		}
	}
	var datagrams []Datagram
	for _, p := range g.peers {
		if len(datagrams) == introductionsPerRound {
			break
		}
		if !p.introduced && g.isLarge() {
			p.introduced = true
			datagrams = append(datagrams, Datagram{p.address, g.introduction(false)})
		}
	}
	for _, d := range to {
		if unknown[d.address] {
			datagrams = append(datagrams, Datagram{d.address, g.introduction(true)})
		}
	}
	return datagrams
}

// IsNear reports whether the router at an address is known to be in the failure
// domain of this one.
func (g *State) IsNear(address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.byAddress[address]
	return p != nil && g.isNear(p)
}

// isNear reports whether a peer is known to be in the failure domain of this router.
func (g *State) isNear(p *peer) bool { return g.domain != "" && p.domain == g.domain }
