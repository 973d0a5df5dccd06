package digest

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

const (
	// overloadFormat is the first byte of a datagram that tells of a crowded upstream.
	overloadFormat = 0x82
	// overloadBytes is the size of such a datagram: format, upstream, load.
	overloadBytes = 11
	// reportedLoadTTL is how long a load that an upstream stated counts. Loads of
	// engines rise and fall within half a second.
	reportedLoadTTL = 300 * time.Millisecond
	// overloadNoticeInterval is the least time between two datagrams about an upstream.
	overloadNoticeInterval = 150 * time.Millisecond
	// maxReportedLoads bounds the stated loads that are kept.
	maxReportedLoads = 4096
)

// reportedLoad is a load that an upstream stated itself.
type reportedLoad struct {
	load       int
	reportedAt clock.Instant
	// announcedAt is when this router or a peer last told of it.
	announcedAt clock.Instant
}

// SetReportedLoad notes the load that an upstream, given by the hash of its identity,
// stated in an answer. Counts of peers are too old in a large fleet to show a
// load that rises within their interval.
func (b *Gossip) SetReportedLoad(now clock.Instant, upstream uint64, load int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setReportedLoad(now, upstream, load)
}

func (b *Gossip) setReportedLoad(now clock.Instant, upstream uint64, load int) *reportedLoad {
	s := b.reportedLoads[upstream]
	if s == nil {
		if len(b.reportedLoads) >= maxReportedLoads {
			clear(b.reportedLoads)
		}
		s = &reportedLoad{}
		b.reportedLoads[upstream] = s
	}
	s.load, s.reportedAt = load, now
	return s
}

// OverloadNotice returns the datagram that tells peers of the load that an upstream
// stated, nil if they were told a moment ago.
func (b *Gossip) OverloadNotice(now clock.Instant, upstream uint64) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.reportedLoads[upstream]
	if s == nil || s.announcedAt != 0 && now.Sub(s.announcedAt) < overloadNoticeInterval {
		return nil
	}
	s.announcedAt = now
	d := binary.BigEndian.AppendUint64([]byte{overloadFormat}, upstream)
	return binary.BigEndian.AppendUint16(d, uint16(min(s.load, math.MaxUint16)))
}

// IsOverloadNotice reports whether a datagram tells of a crowded upstream.
func IsOverloadNotice(d []byte) bool { return len(d) == overloadBytes && d[0] == overloadFormat }

// ApplyOverloadNotice applies such a datagram.
func (b *Gossip) ApplyOverloadNotice(now clock.Instant, d []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setReportedLoad(now, binary.BigEndian.Uint64(d[1:]), int(binary.BigEndian.Uint16(d[9:]))).announcedAt = now
}

// effectiveLoad returns the load of an upstream, which is at least what it stated a
// moment ago.
func (b *Gossip) effectiveLoad(now clock.Instant, upstream uint64, counted int) int {
	if s := b.reportedLoads[upstream]; s != nil && now.Sub(s.reportedAt) < reportedLoadTTL {
		return max(counted, s.load)
	}
	return counted
}
