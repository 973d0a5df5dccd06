package edge

import "github.com/hemlockcroft/hemlockcroft/internal/router/gossip"

// trafficCounterNames holds the names of the counters of datagram bytes by direction,
// purpose, and whether the peer is known to be in the same failure domain.
var trafficCounterNames = func() (names map[string][gossip.PurposeCount][2]string) {
	names = map[string][gossip.PurposeCount][2]string{}
	for _, direction := range []string{trafficSent, trafficReceived} {
		var byPurpose [gossip.PurposeCount][2]string
		for p := range byPurpose {
			prefix := "digest_bytes_" + direction + "_" + gossip.Purpose(p).String()
			byPurpose[p] = [2]string{prefix + "_far", prefix + "_near"}
		}
		names[direction] = byPurpose
	}
	return names
}()

// Directions of datagrams in the names of counters.
const (
	trafficSent     = "sent"
	trafficReceived = "received"
)

// countTraffic counts the bytes of a datagram to or from the peer at an address. A
// peer whose failure domain is not known yet counts as far.
func (e *Edge) countTraffic(direction, address string, content []byte) {
	e.counters.Add("digest_bytes_"+direction, int64(len(content)))
	near := 0
	if e.gossipState.IsNear(address) {
		near = 1
	}
	names := trafficCounterNames[direction]
	for purpose, n := range gossip.BytesByPurpose(content) {
		if n > 0 {
			e.counters.Add(names[purpose][near], int64(n))
		}
	}
}
