package gossip

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

const (
	// overloadBytes is the size of an overload notice: format, ID hash, load.
	overloadBytes = 11
	// reportedLoadTTL is how long a reported load is used. Loads of engines rise
	// and fall within half a second.
	reportedLoadTTL = 300 * time.Millisecond
	// overloadNoticeInterval is the minimum time between two notices about one
	// upstream.
	overloadNoticeInterval = 150 * time.Millisecond
	// maxReportedLoads limits the stored reported loads.
	maxReportedLoads = 4096
)

// reportedLoad is a load that an upstream reported itself.
type reportedLoad struct {
	load       int
	reportedAt clock.Instant
	// announcedAt is when this router or a peer last sent a notice.
	announcedAt clock.Instant
}

// SetReportedLoad records the load that an upstream, given by ID hash, reported
// in a response. In a large fleet the loads from peers arrive too rarely to show a
// load that rises between two datagrams.
func (g *State) SetReportedLoad(now clock.Instant, upstream uint64, load int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setReportedLoad(now, upstream, load)
}

func (g *State) setReportedLoad(now clock.Instant, upstream uint64, load int) *reportedLoad {
	s := g.reportedLoads[upstream]
	if s == nil {
		if len(g.reportedLoads) >= maxReportedLoads {
			clear(g.reportedLoads)
		}
		s = &reportedLoad{}
		g.reportedLoads[upstream] = s
	}
	s.load, s.reportedAt = load, now
	return s
}

// OverloadNotice returns a notice with the last load that an upstream reported,
// or nil if there is none or peers were notified within overloadNoticeInterval.
func (g *State) OverloadNotice(now clock.Instant, upstream uint64) []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.reportedLoads[upstream]
	if s == nil || s.announcedAt != 0 && now.Sub(s.announcedAt) < overloadNoticeInterval {
		return nil
	}
	s.announcedAt = now
	d := binary.BigEndian.AppendUint64([]byte{overloadFormat}, upstream)
	return binary.BigEndian.AppendUint16(d, uint16(min(s.load, math.MaxUint16)))
}

// IsOverloadNotice reports whether a datagram is an overload notice.
func IsOverloadNotice(d []byte) bool { return len(d) == overloadBytes && d[0] == overloadFormat }

// ApplyOverloadNotice records the load in a notice from a peer. IsOverloadNotice
// must be true for d.
func (g *State) ApplyOverloadNotice(now clock.Instant, d []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setReportedLoad(now, binary.BigEndian.Uint64(d[1:]), int(binary.BigEndian.Uint16(d[9:]))).announcedAt = now
}

// effectiveLoad returns the load of an upstream: the counted load, or a higher
// one that the upstream reported within reportedLoadTTL.
func (g *State) effectiveLoad(now clock.Instant, upstream uint64, counted int) int {
	if s := g.reportedLoads[upstream]; s != nil && now.Sub(s.reportedAt) < reportedLoadTTL {
		return max(counted, s.load)
	}
	return counted
}
