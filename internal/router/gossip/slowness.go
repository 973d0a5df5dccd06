package gossip

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/latency"
)

const (
	// slownessBytes is the encoded size of one estimate: the hash of the upstream's
	// ID, the slowness in slownessStep, the age in slownessAgeStep, and the number of
	// changes in switchesStep with slowFlag.
	slownessBytes   = 11
	slownessStep    = 0.05
	slownessAgeStep = 20 * time.Millisecond
	switchesStep    = 0.125
	slowFlag        = 0x80
	// MaxSlowness is the number of estimates in one datagram. It limits what a router
	// receives while many upstreams are uneven.
	MaxSlowness = 8
)

// IsSlowness reports whether a datagram holds estimates of the slowness of upstreams.
func IsSlowness(d []byte) bool {
	return len(d) > 1 && d[0] == slownessFormat && (len(d)-1)%slownessBytes == 0 && len(d) <= 1+MaxSlowness*slownessBytes
}

// EncodeSlowness encodes up to MaxSlowness estimates.
func EncodeSlowness(list []latency.Shared) []byte {
	d := []byte{slownessFormat}
	for _, s := range list[:min(len(list), MaxSlowness)] {
		d = binary.BigEndian.AppendUint64(d, s.Upstream)
		d = append(d, byte(int8(min(max(math.Round(s.Slowness/slownessStep), math.MinInt8), math.MaxInt8))))
		d = append(d, byte(min(max(s.Age/slownessAgeStep, 0), math.MaxUint8)))
		switches := byte(min(max(s.Switches/switchesStep, 0), slowFlag-1))
		if s.Slow {
			switches |= slowFlag
		}
		d = append(d, switches)
	}
	return d
}

// DecodeSlowness decodes the estimates in a datagram of a peer. IsSlowness must be true
// for d.
func DecodeSlowness(d []byte) []latency.Shared {
	var list []latency.Shared
	for d = d[1:]; len(d) >= slownessBytes; d = d[slownessBytes:] {
		list = append(list, latency.Shared{
			Upstream: binary.BigEndian.Uint64(d), Slowness: slownessStep * float64(int8(d[8])), Age: time.Duration(d[9]) * slownessAgeStep,
			Slow: d[10]&slowFlag != 0, Switches: switchesStep * float64(d[10]&^slowFlag),
		})
	}
	return list
}
