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
	// OperatorState are the configuration and the evacuated failure domains.
	OperatorState Topic = iota
	// Upstreams are the registered upstreams.
	Upstreams
	topicCount
)

// Confirmation tells that the store's state had a hash at some time after an instant.
type Confirmation struct {
	Hash uint64
	// Revision is the store's up to which the state holds all changes.
	Revision uint64
	// Confirmed is zero if the state is not known.
	Confirmed clock.Instant
}

const (
	// confirmationBytes is the size of a mark: hash, revision, and age in milliseconds.
	confirmationBytes = 20
	// instantBytes is the size of an instant.
	instantBytes = 8
)

// SetConfirmation sets what this router tells of a topic.
func (b *Gossip) SetConfirmation(topic Topic, c Confirmation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.confirmations[topic] = c
}

// appendConfirmations appends the marks with their present age.
func (b *Gossip) appendConfirmations(d []byte, now clock.Instant) []byte {
	for _, c := range b.confirmations {
		age := uint32(math.MaxUint32)
		if c.Confirmed != 0 {
			age = uint32(min(now.Sub(c.Confirmed).Milliseconds()+1, math.MaxUint32-1))
		}
		d = binary.BigEndian.AppendUint64(d, c.Hash)
		d = binary.BigEndian.AppendUint64(d, c.Revision)
		d = binary.BigEndian.AppendUint32(d, age)
	}
	return d
}

// decodeConfirmations reads the marks of a peer. The delay of a datagram is unknown, so
// ages count from echo, the instant at which this router sent the datagram that
// the peer had last received: the peer stated the ages later than that.
func decodeConfirmations(d []byte, now, echo clock.Instant) (confirmations [topicCount]Confirmation) {
	if echo == 0 || echo > now {
		return confirmations
	}
	for t := range confirmations {
		row := d[t*confirmationBytes:]
		age := binary.BigEndian.Uint32(row[16:])
		if age == math.MaxUint32 {
			continue
		}
		confirmations[t] = Confirmation{
			Hash:      binary.BigEndian.Uint64(row),
			Revision:  binary.BigEndian.Uint64(row[8:]),
			Confirmed: echo.Add(-time.Duration(age) * time.Millisecond),
		}
	}
	return confirmations
}
