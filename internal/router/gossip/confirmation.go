package gossip

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

// Topic is a part of the store's state whose freshness routers confirm to each
// other.
type Topic int

// Topics in the order in which a digest datagram carries their confirmations.
const (
	// OperatorState is the configuration and the evacuated failure domains.
	OperatorState Topic = iota
	// Upstreams is the set of registered upstreams.
	Upstreams
	topicCount
)

// Confirmation states that the store's state of a topic had this hash at or after
// Confirmed.
type Confirmation struct {
	Hash uint64
	// Revision is the store revision up to which the state includes all changes.
	Revision uint64
	// Confirmed is zero if the state is unknown.
	Confirmed clock.Instant
}

const (
	// confirmationBytes is the encoded size: hash, revision, and age in
	// milliseconds.
	confirmationBytes = 20
	// instantBytes is the encoded size of a clock.Instant.
	instantBytes = 8
)

// SetConfirmation sets the confirmation that this router sends for a topic.
func (g *State) SetConfirmation(topic Topic, c Confirmation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.confirmations[topic] = c
}

// appendConfirmations appends the confirmations with their current age.
func (g *State) appendConfirmations(d []byte, now clock.Instant) []byte {
	for _, c := range g.confirmations {
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

// decodeConfirmations decodes the confirmations of a peer. The network delay of a
// datagram is unknown, so ages are counted from echo, the instant at which this
// router sent the last datagram that the peer had received; the peer computed the
// ages after that instant.
func decodeConfirmations(d []byte, now, echo clock.Instant) (confirmations [topicCount]Confirmation) {
	if echo == 0 || echo > now {
		return confirmations
	}
	for t := range confirmations {
		encoded := d[t*confirmationBytes:]
		age := binary.BigEndian.Uint32(encoded[16:])
		if age == math.MaxUint32 {
			continue
		}
		confirmations[t] = Confirmation{
			Hash:      binary.BigEndian.Uint64(encoded),
			Revision:  binary.BigEndian.Uint64(encoded[8:]),
			Confirmed: echo.Add(-time.Duration(age) * time.Millisecond),
		}
	}
	return confirmations
}
