package gossip

import (
	"encoding/binary"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/balance"
	"github.com/hemlockcroft/hemlockcroft/internal/router/prefix"
)

// MaxDatagram is the maximum size of a datagram in bytes; it fits in one packet.
const MaxDatagram = 1400

// digestFormat is the first byte of a digest datagram and changes with its
// layout: format, flags, name length, name, boot ID, sequence number, echo,
// send time, confirmations, number of loads, loads, number of outcomes, outcomes,
// locations.
const digestFormat = 6

const (
	// flagQuery marks a datagram whose sender wants an immediate reply.
	flagQuery byte = 1
	// headerBytes is the size of the fields before the name.
	headerBytes = 3
	// fixedBytes is the size of the fields between the name and the loads.
	fixedBytes = 2*8 + 2*instantBytes + int(topicCount)*confirmationBytes + 2
	// loadBytes is the encoded size of one load: the hash of the upstream's ID
	// and the number of requests in progress.
	loadBytes = 10
	// outcomeBytes is the encoded size of the outcomes at one upstream.
	outcomeBytes = 11
	// locationBytes is the encoded size of one location: prefix hash and engine.
	locationBytes = 16
	// maxDatagramDelay is the maximum network delay of a datagram that still
	// arrives.
	maxDatagramDelay = 2 * time.Second
	// maxLocationsPerDatagram keeps datagrams small in a large fleet, where most
	// locations are of no interest to a peer.
	maxLocationsPerDatagram = 32
)

// errMalformed is returned for a datagram that does not have the expected layout.
var errMalformed = errors.New("malformed digest")

// Datagram is a datagram addressed to one peer.
type Datagram struct {
	address string
	content []byte
}

// Address returns the peer's IP:PORT.
func (d Datagram) Address() string { return d.address }

// Content returns the bytes to send.
func (d Datagram) Content() []byte { return d.content }

// NextRound returns one datagram for each peer of the next round. Apart from
// sequence number and echo they are equal.
func (g *State) NextRound(now clock.Instant) []Datagram {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.exchangesLess() {
		return g.nextLargeRound(now)
	}
	shared, flags := g.sharedContent(now, g.appendLoadsAndPending)
	datagrams := make([]Datagram, 0, peersPerRound)
	for _, p := range g.nextPeers() {
		datagrams = append(datagrams, g.datagram(p, flags, shared))
	}
	return datagrams
}

// Queries returns datagrams that ask peers for their confirmations: the named
// peers, and a number of other reachable peers chosen at random.
func (g *State) Queries(now clock.Instant, names []string, others int) []Datagram {
	if len(names) == 0 && others == 0 {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	peers, flags := g.samplePeers(now, others), flagQuery
	for _, name := range names {
		if p := g.peers[name]; p != nil && !slices.Contains(peers, p) {
			peers = append(peers, p)
		}
	}
	shared, more := g.sharedContent(now, g.appendLoadsOnly)
	flags |= more
	if g.exchangesLess() {
		// The loads would be sent to watchers by all routers, mostly of other domains.
		flags = flagQuery | flagNoLoads
		shared = binary.BigEndian.AppendUint32(g.sharedPart(now), 0)
	}
	datagrams := make([]Datagram, len(peers))
	for i, p := range peers {
		p.unanswered = min(p.unanswered+1, maxUnanswered)
		datagrams[i] = g.datagram(p, flags, shared)
	}
	return datagrams
}

// Reply returns the reply to a peer's query; the second result is false if the
// peer is unknown.
func (g *State) Reply(now clock.Instant, name string) (Datagram, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peers[name]
	if p == nil {
		return Datagram{}, false
	}
	if g.exchangesLess() {
		return g.exchange(now, p, p.replyFlags), true
	}
	shared, flags := g.sharedContent(now, g.appendLoadsOnly)
	return g.datagram(p, flags, shared), true
}

// perPeerSize returns the size of the fields up to and including the echo, which
// may differ from peer to peer.
func (g *State) perPeerSize() int { return headerBytes + len(g.self) + 2*8 + instantBytes }

// sharedPart returns the start of the part that is the same for all peers: the
// send time and the confirmations.
func (g *State) sharedPart(now clock.Instant) []byte {
	return g.appendConfirmations(binary.BigEndian.AppendUint64(nil, uint64(now)), now)
}

// datagram returns a datagram for a peer with the given shared part.
func (g *State) datagram(p *peer, flags byte, shared []byte) Datagram {
	d := make([]byte, 0, g.perPeerSize()+len(shared))
	d = append(d, digestFormat, flags, byte(len(g.self)))
	d = append(d, g.self...)
	g.sequence++
	d = binary.BigEndian.AppendUint64(d, g.bootID)
	d = binary.BigEndian.AppendUint64(d, g.sequence)
	d = binary.BigEndian.AppendUint64(d, p.sentAt)
	return Datagram{p.address, append(d, shared...)}
}

// nextPeers returns the peers of the next round, in name order after those of the
// previous round.
func (g *State) nextPeers() []*peer {
	names := slices.Sorted(maps.Keys(g.peers))
	first, _ := slices.BinarySearch(names, g.lastPeer+"\x00")
	peers := make([]*peer, min(peersPerRound, len(names)))
	for i := range peers {
		name := names[(first+i)%len(names)]
		peers[i], g.lastPeer = g.peers[name], name
	}
	return peers
}

// appendLoadsOnly appends the loads without outcomes or locations, up to
// limit bytes.
func (g *State) appendLoadsOnly(d []byte, limit int) []byte {
	return binary.BigEndian.AppendUint16(g.appendLoads(d, limit), 0)
}

// appendLoads appends the loads, up to limit bytes.
func (g *State) appendLoads(d []byte, limit int) []byte {
	remaining := min(len(g.ownLoads), (limit-len(d)-4)/loadBytes)
	d = binary.BigEndian.AppendUint16(d, uint16(remaining))
	for key, n := range g.ownLoads {
		if remaining == 0 {
			break
		}
		remaining--
		d = binary.BigEndian.AppendUint64(d, key)
		d = binary.BigEndian.AppendUint16(d, uint16(min(max(n, 0), 1<<16-1)))
	}
	return d
}

// appendLoadsAndPending appends the loads and the pending outcomes and locations,
// up to limit bytes.
func (g *State) appendLoadsAndPending(d []byte, limit int) []byte {
	d = g.appendLoads(d, limit)
	n := min(len(g.pendingOutcomes), max(0, (limit-len(d)-2)/outcomeBytes))
	d = binary.BigEndian.AppendUint16(d, uint16(n))
	for i := range g.pendingOutcomes[:n] {
		s := &g.pendingOutcomes[i]
		d = binary.BigEndian.AppendUint64(d, s.Upstream)
		d = append(d, s.OK, s.Failed, s.Unreachable)
		s.roundsLeft--
	}
	g.pendingOutcomes = slices.DeleteFunc(g.pendingOutcomes, func(s pendingOutcome) bool { return s.roundsLeft <= 0 })
	n = min(len(g.pendingLocations), maxLocationsPerDatagram, max(0, (limit-len(d))/locationBytes))
	for i := range g.pendingLocations[:n] {
		u := &g.pendingLocations[i]
		d = binary.BigEndian.AppendUint64(d, uint64(u.Prefix))
		d = binary.BigEndian.AppendUint64(d, uint64(u.Engine))
		u.roundsLeft--
	}
	g.pendingLocations = slices.DeleteFunc(g.pendingLocations, func(n pendingLocation) bool { return n.roundsLeft <= 0 })
	return d
}

// Message is the decoded content of a digest datagram.
type Message struct {
	confirmations [topicCount]Confirmation
	locations     []prefix.Location
	outcomes      []balance.Outcomes
	replyTo       string
	introduced    bool
	sections      map[byte][]byte
	sender        string
}

// ReplyTo returns the name of the peer that wants an immediate reply, or an empty
// string.
func (m Message) ReplyTo() string { return m.replyTo }

// Introduced reports whether this is the first datagram of the peer since it started.
func (m Message) Introduced() bool { return m.introduced }

// Outcomes returns the outcomes of requests that the peer observed.
func (m Message) Outcomes() []balance.Outcomes { return m.outcomes }

// Confirmation returns the peer's confirmation of a topic, with its instant
// converted to this router's clock.
func (m Message) Confirmation(topic Topic) Confirmation { return m.confirmations[topic] }

// Locations returns the locations of cached prefixes that the peer observed.
func (m Message) Locations() []prefix.Location { return m.locations }

// Receive decodes a digest datagram and applies its loads. An unknown sender is
// added as a peer with the address from. Datagrams that arrive out of order are
// ignored. If d cannot be decoded, Receive returns errMalformed.
func (g *State) Receive(now clock.Instant, from string, d []byte) (Message, error) {
	if len(d) < headerBytes || d[0] != digestFormat || len(d) < headerBytes+int(d[2])+fixedBytes {
		return Message{}, errMalformed
	}
	flags, name := d[1], string(d[headerBytes:headerBytes+int(d[2])])
	d, sections, err := splitSections(d[headerBytes+len(name):], flags)
	if err != nil || len(d) < fixedBytes {
		return Message{}, errMalformed
	}
	boot, sequence := binary.BigEndian.Uint64(d), binary.BigEndian.Uint64(d[8:])
	echo, sentAt := clock.Instant(binary.BigEndian.Uint64(d[16:])), binary.BigEndian.Uint64(d[24:])
	m := Message{confirmations: decodeConfirmations(d[32:], now, echo), sections: sections, sender: name}
	if flags&flagQuery != 0 {
		m.replyTo = name
	}
	n := int(binary.BigEndian.Uint16(d[fixedBytes-2:]))
	d = d[fixedBytes:]
	if len(d) < n*loadBytes+2 {
		return Message{}, errMalformed
	}
	loads := make(map[uint64]int, n)
	for range n {
		loads[binary.BigEndian.Uint64(d)] = int(binary.BigEndian.Uint16(d[8:]))
		d = d[loadBytes:]
	}
	n = int(binary.BigEndian.Uint16(d))
	d = d[2:]
	if len(d) < n*outcomeBytes || (len(d)-n*outcomeBytes)%locationBytes != 0 {
		return Message{}, errMalformed
	}
	for range n {
		m.outcomes = append(m.outcomes, balance.Outcomes{Upstream: binary.BigEndian.Uint64(d), OK: d[8], Failed: d[9], Unreachable: d[10]})
		d = d[outcomeBytes:]
	}
	for ; len(d) > 0; d = d[locationBytes:] {
		m.locations = append(m.locations, prefix.Location{Prefix: prefix.Hash(binary.BigEndian.Uint64(d)), Engine: prefix.EngineID(binary.BigEndian.Uint64(d[8:]))})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peers[name]
	if p == nil && name != g.self && len(g.peers) < maxPeers {
		p = &peer{address: from, firstSeen: now}
		g.peers[name] = p
		g.liveAt = 0
	}
	// Boot IDs come from the wall clock, which may have been set back before a
	// restart. A datagram with the previous boot ID is never delayed by more than
	// maxDatagramDelay, so after that a smaller boot ID is a restart.
	if p == nil || boot < p.bootID && p.heardWithin(now, maxDatagramDelay) || boot == p.bootID && sequence <= p.sequence {
		return Message{}, nil
	}
	m.introduced = p.bootID != boot
	if p.address != from {
		delete(g.byAddress, p.address)
		p.address = from
	}
	g.byAddress[from] = p
	p.bootID, p.sequence, p.lastHeard, p.sentAt = boot, sequence, now, sentAt
	p.unanswered, p.replyFlags = 0, flags&flagNoLoads
	if flags&flagNoLoads == 0 {
		g.setPeerLoads(now, p, loads)
	}
	return m, nil
}
