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

// format is the first byte of a datagram, which changes with the layout:
// format, flags, length of the name, name, boot, number, echo, sent, marks, number of
// counts, counts, number of outcomes, outcomes, uses.
const format = 6

const (
	// asks is the flag of a datagram whose sender wants one at once.
	asks byte = 1
	// headBytes is the size of what stands before the name.
	headBytes = 3
	// fixedBytes is the size of what stands between the name and the counts.
	fixedBytes = 2*8 + 2*stampBytes + int(topics)*markBytes + 2
	// loadBytes is the size of one count: the hash of the upstream and the count.
	loadBytes = 10
	// seenBytes is the size of the outcomes at one upstream.
	seenBytes = 11
	// useBytes is the size of one use of a part of a prompt.
	useBytes = 16
	// lateness is the longest delay of a datagram that still arrives.
	lateness = 2 * time.Second
	// maxUses bounds the uses in one datagram, so that they stay small in a large
	// fleet, where most are of no interest to a peer.
	maxUses = 32
)

// errMalformed means that a datagram is not one of this version.
var errMalformed = errors.New("malformed digest")

// Letter is a datagram for one peer.
type Letter struct {
	address string
	content []byte
}

// Address returns the peer's IP:PORT.
func (l Letter) Address() string { return l.address }

// Content returns the bytes of the datagram, valid until the next letter of
// the same round is read.
func (l Letter) Content() []byte { return l.content }

// Letters returns a datagram for each peer whose turn it is. They differ in the
// echo alone.
func (b *Board) Letters(now clock.Instant) []Letter {
	b.mu.Lock()
	defer b.mu.Unlock()
	tail := b.appendRows(b.tail(now), MaxDatagram-b.headSize())
	letters := make([]Letter, 0, batch)
	for _, p := range b.turn() {
		letters = append(letters, b.letter(p, 0, tail))
	}
	return letters
}

// Ask returns datagrams that ask peers for their marks: those named, and some
// others, drawn at random.
func (b *Board) Ask(now clock.Instant, names []string, others int) []Letter {
	if len(names) == 0 && others == 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	asked := b.sample(now, others)
	for _, name := range names {
		if p := b.peers[name]; p != nil && !slices.Contains(asked, p) {
			asked = append(asked, p)
		}
	}
	tail := b.appendLoads(b.tail(now), MaxDatagram-b.headSize())
	letters := make([]Letter, len(asked))
	for i, p := range asked {
		letters[i] = b.letter(p, asks, tail)
	}
	return letters
}

// Answer returns the datagram for a peer that asked.
func (b *Board) Answer(now clock.Instant, name string) (Letter, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.peers[name]
	if p == nil {
		return Letter{}, false
	}
	return b.letter(p, 0, b.appendLoads(b.tail(now), MaxDatagram-b.headSize())), true
}

// headSize returns the size of a datagram up to the echo.
func (b *Board) headSize() int { return headBytes + len(b.self) + 2*8 + stampBytes }

// tail begins what is the same for all peers: the instant and the marks.
func (b *Board) tail(now clock.Instant) []byte {
	return b.appendMarks(binary.BigEndian.AppendUint64(nil, uint64(now)), now)
}

// letter returns a datagram for a peer.
func (b *Board) letter(p *peer, flags byte, tail []byte) Letter {
	d := make([]byte, 0, b.headSize()+len(tail))
	d = append(d, format, flags, byte(len(b.self)))
	d = append(d, b.self...)
	b.number++
	d = binary.BigEndian.AppendUint64(d, b.boot)
	d = binary.BigEndian.AppendUint64(d, b.number)
	d = binary.BigEndian.AppendUint64(d, p.stamp)
	return Letter{p.address, append(d, tail...)}
}

// turn returns the peers that are sent to in this round, in the order of their
// names after those of the last round.
func (b *Board) turn() []*peer {
	names := slices.Sorted(maps.Keys(b.peers))
	first, _ := slices.BinarySearch(names, b.last+"\x00")
	peers := make([]*peer, min(batch, len(names)))
	for i := range peers {
		name := names[(first+i)%len(names)]
		peers[i], b.last = b.peers[name], name
	}
	return peers
}

// appendLoads appends the counts, and no outcomes or uses, up to a size.
func (b *Board) appendLoads(d []byte, limit int) []byte {
	return binary.BigEndian.AppendUint16(b.appendCounts(d, limit), 0)
}

// appendCounts appends the counts, up to a size.
func (b *Board) appendCounts(d []byte, limit int) []byte {
	rows := min(len(b.own), (limit-len(d)-4)/loadBytes)
	d = binary.BigEndian.AppendUint16(d, uint16(rows))
	for key, n := range b.own {
		if rows == 0 {
			break
		}
		rows--
		d = binary.BigEndian.AppendUint64(d, key)
		d = binary.BigEndian.AppendUint16(d, uint16(min(max(n, 0), 1<<16-1)))
	}
	return d
}

// appendRows appends the counts, the outcomes and the uses that are news, up to
// a size.
func (b *Board) appendRows(d []byte, limit int) []byte {
	d = b.appendCounts(d, limit)
	told := min(len(b.seen), max(0, (limit-len(d)-2)/seenBytes))
	d = binary.BigEndian.AppendUint16(d, uint16(told))
	for i := range b.seen[:told] {
		s := &b.seen[i]
		d = binary.BigEndian.AppendUint64(d, s.Upstream)
		d = append(d, s.OK, s.Failed, s.Unreachable)
		s.rounds--
	}
	b.seen = slices.DeleteFunc(b.seen, func(s seen) bool { return s.rounds <= 0 })
	told = min(len(b.news), maxUses, max(0, (limit-len(d))/useBytes))
	for i := range b.news[:told] {
		u := &b.news[i]
		d = binary.BigEndian.AppendUint64(d, uint64(u.Prefix))
		d = binary.BigEndian.AppendUint64(d, uint64(u.Engine))
		u.rounds--
	}
	b.news = slices.DeleteFunc(b.news, func(n news) bool { return n.rounds <= 0 })
	return d
}

// Heard is what a datagram of a peer tells.
type Heard struct {
	marks [topics]Mark
	uses  []prefix.Location
	seen  []balance.Outcomes
	asker string
}

// Asker returns the name of the peer that wants a datagram at once, empty if it
// does not.
func (h Heard) Asker() string { return h.asker }

// Seen returns the outcomes of requests that the peer saw.
func (h Heard) Seen() []balance.Outcomes { return h.seen }

// Mark returns what the peer knows of a topic, in this router's time.
func (h Heard) Mark(t Topic) Mark { return h.marks[t] }

// Uses returns the uses of parts of prompts that the peer saw.
func (h Heard) Uses() []prefix.Location { return h.uses }

// Receive applies a datagram that came from an address. A router that is not
// listed yet introduces itself by its datagrams. Those that arrive out of order
// are ignored.
func (b *Board) Receive(now clock.Instant, from string, d []byte) (Heard, error) {
	if len(d) < headBytes || d[0] != format || len(d) < headBytes+int(d[2])+fixedBytes {
		return Heard{}, errMalformed
	}
	flags, name := d[1], string(d[headBytes:headBytes+int(d[2])])
	d = d[headBytes+len(name):]
	boot, number := binary.BigEndian.Uint64(d), binary.BigEndian.Uint64(d[8:])
	echo, stamp := clock.Instant(binary.BigEndian.Uint64(d[16:])), binary.BigEndian.Uint64(d[24:])
	h := Heard{marks: readMarks(d[32:], now, echo)}
	if flags&asks != 0 {
		h.asker = name
	}
	rows := int(binary.BigEndian.Uint16(d[fixedBytes-2:]))
	d = d[fixedBytes:]
	if len(d) < rows*loadBytes+2 {
		return Heard{}, errMalformed
	}
	loads := make(map[uint64]int, rows)
	for range rows {
		loads[binary.BigEndian.Uint64(d)] = int(binary.BigEndian.Uint16(d[8:]))
		d = d[loadBytes:]
	}
	rows = int(binary.BigEndian.Uint16(d))
	d = d[2:]
	if len(d) < rows*seenBytes || (len(d)-rows*seenBytes)%useBytes != 0 {
		return Heard{}, errMalformed
	}
	for range rows {
		h.seen = append(h.seen, balance.Outcomes{Upstream: binary.BigEndian.Uint64(d), OK: d[8], Failed: d[9], Unreachable: d[10]})
		d = d[seenBytes:]
	}
	for ; len(d) > 0; d = d[useBytes:] {
		h.uses = append(h.uses, prefix.Location{Prefix: prefix.Hash(binary.BigEndian.Uint64(d)), Engine: prefix.EngineID(binary.BigEndian.Uint64(d[8:]))})
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.peers[name]
	if p == nil && name != b.self && len(b.peers) < maxPeers {
		p = &peer{address: from, known: now}
		b.peers[name] = p
		b.liveAt = 0
	}
	// The time of day, from which boots are counted, may have jumped back before
	// a restart; a datagram of the earlier boot is never late for so long.
	if p == nil || boot < p.boot && p.speaks(now, lateness) || boot == p.boot && number <= p.number {
		return Heard{}, nil
	}
	p.address = from
	p.boot, p.number, p.heard, p.stamp = boot, number, now, stamp
	b.count(p, loads)
	return h, nil
}
