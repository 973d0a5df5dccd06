package digest

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

const (
	// crowdFormat is the first byte of a datagram that tells of a crowded upstream.
	crowdFormat = 0x82
	// crowdBytes is the size of such a datagram: format, upstream, load.
	crowdBytes = 11
	// statedLifetime is how long a load that an upstream stated counts. Loads of
	// engines rise and fall within half a second.
	statedLifetime = 300 * time.Millisecond
	// crowdPause is the least time between two datagrams about an upstream.
	crowdPause = 150 * time.Millisecond
	// maxStated bounds the stated loads that are kept.
	maxStated = 4096
)

// stated is a load that an upstream stated itself.
type stated struct {
	load int
	at   clock.Instant
	// told is when this router or a peer last told of it.
	told clock.Instant
}

// State notes the load that an upstream, given by the hash of its identity,
// stated in an answer. Counts of peers are too old in a large fleet to show a
// load that rises within their interval.
func (b *Board) State(now clock.Instant, upstream uint64, load int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(now, upstream, load)
}

func (b *Board) state(now clock.Instant, upstream uint64, load int) *stated {
	s := b.stated[upstream]
	if s == nil {
		if len(b.stated) >= maxStated {
			clear(b.stated)
		}
		s = &stated{}
		b.stated[upstream] = s
	}
	s.load, s.at = load, now
	return s
}

// Crowd returns the datagram that tells peers of the load that an upstream
// stated, nil if they were told a moment ago.
func (b *Board) Crowd(now clock.Instant, upstream uint64) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stated[upstream]
	if s == nil || s.told != 0 && now.Sub(s.told) < crowdPause {
		return nil
	}
	s.told = now
	d := binary.BigEndian.AppendUint64([]byte{crowdFormat}, upstream)
	return binary.BigEndian.AppendUint16(d, uint16(min(s.load, math.MaxUint16)))
}

// IsCrowd reports whether a datagram tells of a crowded upstream.
func IsCrowd(d []byte) bool { return len(d) == crowdBytes && d[0] == crowdFormat }

// HearCrowd applies such a datagram.
func (b *Board) HearCrowd(now clock.Instant, d []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(now, binary.BigEndian.Uint64(d[1:]), int(binary.BigEndian.Uint16(d[9:]))).told = now
}

// present returns the load of an upstream, which is at least what it stated a
// moment ago.
func (b *Board) present(now clock.Instant, upstream uint64, counted int) int {
	if s := b.stated[upstream]; s != nil && now.Sub(s.at) < statedLifetime {
		return max(counted, s.load)
	}
	return counted
}
