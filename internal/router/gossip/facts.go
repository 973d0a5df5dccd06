package gossip

import "github.com/hemlockcroft/hemlockcroft/internal/router/quarantine"

// IsFacts reports whether a datagram holds facts on prompt parts and crashes.
func IsFacts(d []byte) bool { return len(d) > 0 && d[0] == factsFormat }

// EncodeFacts encodes facts on prompt parts and crashes, several to a datagram.
func EncodeFacts(facts []quarantine.Fact) ([][]byte, error) {
	return quarantine.Encode(facts, []byte{factsFormat}, MaxDatagram)
}

// DecodeFacts decodes the facts in a datagram of a peer. IsFacts must be true for d.
func DecodeFacts(d []byte) ([]quarantine.Fact, error) { return quarantine.Decode(d[1:]) }
