package digest

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

// MaxDatagram is the largest datagram in bytes; it fits in one packet.
const MaxDatagram = 1400

// digestFormat is the first byte of a datagram, which changes with the layout:
// format, flags, length of the name, name, boot, number, echo, sent, marks, number of
// counts, counts, number of outcomes, outcomes, uses.
const digestFormat = 6

const (
	// flagQuery is the flag of a datagram whose sender wants one at once.
	flagQuery byte = 1
	// headerBytes is the size of what stands before the name.
	headerBytes = 3
	// fixedBytes is the size of what stands between the name and the counts.
	fixedBytes = 2*8 + 2*instantBytes + int(topicCount)*confirmationBytes + 2
	// loadBytes is the size of one count: the hash of the upstream and the count.
	loadBytes = 10
	// outcomeBytes is the size of the outcomes at one upstream.
	outcomeBytes = 11
	// useBytes is the size of one use of a part of a prompt.
	useBytes = 16
	// maxDatagramDelay is the longest delay of a datagram that still arrives.
	maxDatagramDelay = 2 * time.Second
	// maxUsesPerDatagram bounds the uses in one datagram, so that they stay small in a large
	// fleet, where most are of no interest to a peer.
	maxUsesPerDatagram = 32
)

// errMalformed means that a datagram is not one of this version.
var errMalformed = errors.New("malformed digest")

// Datagram is a datagram for one peer.
type Datagram struct {
	address string
	content []byte
}

// Address returns the peer's IP:PORT.
func (d Datagram) Address() string { return d.address }

// Content returns the bytes of the datagram, valid until the next letter of
// the same round is read.
func (d Datagram) Content() []byte { return d.content }

// NextRound returns a datagram for each peer whose turn it is. They differ in the
// echo alone.
func (b *Gossip) NextRound(now clock.Instant) []Datagram {
	b.mu.Lock()
	defer b.mu.Unlock()
	shared := b.appendLoadsAndPending(b.sharedPart(now), MaxDatagram-b.perPeerSize())
	datagrams := make([]Datagram, 0, peersPerRound)
	for _, p := range b.nextPeers() {
		datagrams = append(datagrams, b.datagram(p, 0, shared))
	}
	return datagrams
}

// Queries returns datagrams that ask peers for their marks: those named, and some
// others, drawn at random.
func (b *Gossip) Queries(now clock.Instant, names []string, others int) []Datagram {
	if len(names) == 0 && others == 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	peers := b.samplePeers(now, others)
	for _, name := range names {
		if p := b.peers[name]; p != nil && !slices.Contains(peers, p) {
			peers = append(peers, p)
		}
	}
	shared := b.appendLoadsOnly(b.sharedPart(now), MaxDatagram-b.perPeerSize())
	datagrams := make([]Datagram, len(peers))
	for i, p := range peers {
		datagrams[i] = b.datagram(p, flagQuery, shared)
	}
	return datagrams
}

// Reply returns the datagram for a peer that asked.
func (b *Gossip) Reply(now clock.Instant, name string) (Datagram, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.peers[name]
	if p == nil {
		return Datagram{}, false
	}
	return b.datagram(p, 0, b.appendLoadsOnly(b.sharedPart(now), MaxDatagram-b.perPeerSize())), true
}

// perPeerSize returns the size of a datagram up to the echo.
func (b *Gossip) perPeerSize() int { return headerBytes + len(b.self) + 2*8 + instantBytes }

// sharedPart begins what is the same for all peers: the instant and the marks.
func (b *Gossip) sharedPart(now clock.Instant) []byte {
	return b.appendConfirmations(binary.BigEndian.AppendUint64(nil, uint64(now)), now)
}

// datagram returns a datagram for a peer.
func (b *Gossip) datagram(p *peer, flags byte, shared []byte) Datagram {
	d := make([]byte, 0, b.perPeerSize()+len(shared))
	d = append(d, digestFormat, flags, byte(len(b.self)))
	d = append(d, b.self...)
	b.sequence++
	d = binary.BigEndian.AppendUint64(d, b.boot)
	d = binary.BigEndian.AppendUint64(d, b.sequence)
	d = binary.BigEndian.AppendUint64(d, p.sentAt)
	return Datagram{p.address, append(d, shared...)}
}

// nextPeers returns the peers that are sent to in this round, in the order of their
// names after those of the last round.
func (b *Gossip) nextPeers() []*peer {
	names := slices.Sorted(maps.Keys(b.peers))
	first, _ := slices.BinarySearch(names, b.lastPeer+"\x00")
	peers := make([]*peer, min(peersPerRound, len(names)))
	for i := range peers {
		name := names[(first+i)%len(names)]
		peers[i], b.lastPeer = b.peers[name], name
	}
	return peers
}

// appendLoadsOnly appends the counts, and no outcomes or uses, up to a size.
func (b *Gossip) appendLoadsOnly(d []byte, limit int) []byte {
	return binary.BigEndian.AppendUint16(b.appendLoads(d, limit), 0)
}

// appendLoads appends the counts, up to a size.
func (b *Gossip) appendLoads(d []byte, limit int) []byte {
	rows := min(len(b.ownLoads), (limit-len(d)-4)/loadBytes)
	d = binary.BigEndian.AppendUint16(d, uint16(rows))
	for key, n := range b.ownLoads {
		if rows == 0 {
			break
		}
		rows--
		d = binary.BigEndian.AppendUint64(d, key)
		d = binary.BigEndian.AppendUint16(d, uint16(min(max(n, 0), 1<<16-1)))
	}
	return d
}

// appendLoadsAndPending appends the counts, the outcomes and the uses that are news, up to
// a size.
func (b *Gossip) appendLoadsAndPending(d []byte, limit int) []byte {
	d = b.appendLoads(d, limit)
	n := min(len(b.pendingOutcomes), max(0, (limit-len(d)-2)/outcomeBytes))
	d = binary.BigEndian.AppendUint16(d, uint16(n))
	for i := range b.pendingOutcomes[:n] {
		s := &b.pendingOutcomes[i]
		d = binary.BigEndian.AppendUint64(d, s.Upstream)
		d = append(d, s.OK, s.Failed, s.Unreachable)
		s.roundsLeft--
	}
	b.pendingOutcomes = slices.DeleteFunc(b.pendingOutcomes, func(s pendingOutcome) bool { return s.roundsLeft <= 0 })
	n = min(len(b.pendingUses), maxUsesPerDatagram, max(0, (limit-len(d))/useBytes))
	for i := range b.pendingUses[:n] {
		u := &b.pendingUses[i]
		d = binary.BigEndian.AppendUint64(d, uint64(u.Part))
		d = binary.BigEndian.AppendUint64(d, uint64(u.Engine))
		u.roundsLeft--
	}
	b.pendingUses = slices.DeleteFunc(b.pendingUses, func(n pendingUse) bool { return n.roundsLeft <= 0 })
	return d
}

// Message is what a datagram of a peer tells.
type Message struct {
	confirmations [topicCount]Confirmation
	uses          []prefix.Use
	outcomes      []balance.Seen
	replyTo       string
}

// ReplyTo returns the name of the peer that wants a datagram at once, empty if it
// does not.
func (m Message) ReplyTo() string { return m.replyTo }

// Outcomes returns the outcomes of requests that the peer saw.
func (m Message) Outcomes() []balance.Seen { return m.outcomes }

// Confirmation returns what the peer knows of a topic, in this router's time.
func (m Message) Confirmation(topic Topic) Confirmation { return m.confirmations[topic] }

// Uses returns the uses of parts of prompts that the peer saw.
func (m Message) Uses() []prefix.Use { return m.uses }

// Receive applies a datagram that came from an address. A router that is not
// listed yet introduces itself by its datagrams. Those that arrive out of order
// are ignored.
func (b *Gossip) Receive(now clock.Instant, from string, d []byte) (Message, error) {
	if len(d) < headerBytes || d[0] != digestFormat || len(d) < headerBytes+int(d[2])+fixedBytes {
		return Message{}, errMalformed
	}
	flags, name := d[1], string(d[headerBytes:headerBytes+int(d[2])])
	d = d[headerBytes+len(name):]
	boot, sequence := binary.BigEndian.Uint64(d), binary.BigEndian.Uint64(d[8:])
	echo, sentAt := clock.Instant(binary.BigEndian.Uint64(d[16:])), binary.BigEndian.Uint64(d[24:])
	m := Message{confirmations: decodeConfirmations(d[32:], now, echo)}
	if flags&flagQuery != 0 {
		m.replyTo = name
	}
	rows := int(binary.BigEndian.Uint16(d[fixedBytes-2:]))
	d = d[fixedBytes:]
	if len(d) < rows*loadBytes+2 {
		return Message{}, errMalformed
	}
	loads := make(map[uint64]int, rows)
	for range rows {
		loads[binary.BigEndian.Uint64(d)] = int(binary.BigEndian.Uint16(d[8:]))
		d = d[loadBytes:]
	}
	rows = int(binary.BigEndian.Uint16(d))
	d = d[2:]
	if len(d) < rows*outcomeBytes || (len(d)-rows*outcomeBytes)%useBytes != 0 {
		return Message{}, errMalformed
	}
	for range rows {
		m.outcomes = append(m.outcomes, balance.Seen{Upstream: binary.BigEndian.Uint64(d), OK: d[8], Failed: d[9], Unreachable: d[10]})
		d = d[outcomeBytes:]
	}
	for ; len(d) > 0; d = d[useBytes:] {
		m.uses = append(m.uses, prefix.Use{Part: prefix.Part(binary.BigEndian.Uint64(d)), Engine: prefix.Engine(binary.BigEndian.Uint64(d[8:]))})
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.peers[name]
	if p == nil && name != b.self && len(b.peers) < maxPeers {
		p = &peer{address: from, firstSeen: now}
		b.peers[name] = p
		b.liveAt = 0
	}
	// The time of day, from which boots are counted, may have jumped back before
	// a restart; a datagram of the earlier boot is never late for so long.
	if p == nil || boot < p.boot && p.heardWithin(now, maxDatagramDelay) || boot == p.boot && sequence <= p.sequence {
		return Message{}, nil
	}
	p.address = from
	p.boot, p.sequence, p.lastHeard, p.sentAt = boot, sequence, now, sentAt
	b.setPeerLoads(p, loads)
	return m, nil
}
