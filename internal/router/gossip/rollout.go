package gossip

// MaxRolloutBytes is the maximum size of the digest of a roll-out.
const MaxRolloutBytes = MaxDatagram - 1

// IsRollout reports whether a datagram is about a roll-out.
func IsRollout(d []byte) bool { return len(d) > 0 && d[0] == rolloutFormat }

// EncodeRollout returns a datagram with the digest of a roll-out.
func EncodeRollout(digest []byte) []byte { return append([]byte{rolloutFormat}, digest...) }

// RolloutDigest returns the digest in a datagram. IsRollout must be true for d.
func RolloutDigest(d []byte) []byte { return d[1:] }

// AddressesOf returns the addresses of the named peers, without those that are unknown.
func (g *State) AddressesOf(names []string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []string
	for _, name := range names {
		if p := g.peers[name]; p != nil {
			list = append(list, p.address)
		}
	}
	return list
}
