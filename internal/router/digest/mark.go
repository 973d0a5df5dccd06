package digest

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

// Topic is a part of the store's state that routers confirm to each other.
type Topic int

// The topics of a datagram, in its order.
const (
	// Orders are the configuration and the evacuated failure domains.
	Orders Topic = iota
	// Upstreams are the registered upstreams.
	Upstreams
	topics
)

// Mark tells that the store's state had a hash at some time after an instant.
type Mark struct {
	Hash uint64
	// Revision is the store's up to which the state holds all changes.
	Revision uint64
	// Confirmed is zero if the state is not known.
	Confirmed clock.Instant
}

const (
	// markBytes is the size of a mark: hash, revision, and age in milliseconds.
	markBytes = 20
	// stampBytes is the size of an instant.
	stampBytes = 8
)

// SetMark sets what this router tells of a topic.
func (b *Board) SetMark(t Topic, m Mark) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.marks[t] = m
}

// appendMarks appends the marks with their present age.
func (b *Board) appendMarks(d []byte, now clock.Instant) []byte {
	for _, m := range b.marks {
		age := uint32(math.MaxUint32)
		if m.Confirmed != 0 {
			age = uint32(min(now.Sub(m.Confirmed).Milliseconds()+1, math.MaxUint32-1))
		}
		d = binary.BigEndian.AppendUint64(d, m.Hash)
		d = binary.BigEndian.AppendUint64(d, m.Revision)
		d = binary.BigEndian.AppendUint32(d, age)
	}
	return d
}

// readMarks reads the marks of a peer. The delay of a datagram is unknown, so
// ages count from echo, the instant at which this router sent the datagram that
// the peer had last received: the peer stated the ages later than that.
func readMarks(d []byte, now, echo clock.Instant) (marks [topics]Mark) {
	if echo == 0 || echo > now {
		return marks
	}
	for t := range marks {
		row := d[t*markBytes:]
		age := binary.BigEndian.Uint32(row[16:])
		if age == math.MaxUint32 {
			continue
		}
		marks[t] = Mark{
			Hash:      binary.BigEndian.Uint64(row),
			Revision:  binary.BigEndian.Uint64(row[8:]),
			Confirmed: echo.Add(-time.Duration(age) * time.Millisecond),
		}
	}
	return marks
}
