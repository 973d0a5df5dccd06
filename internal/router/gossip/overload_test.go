package gossip

import (
	"testing"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

// TestOverloadNotice guards against a router that ignores an overload that a peer
// reports, that uses the reported load for too long, or that floods its peers.
func TestOverloadNotice(t *testing.T) {
	a, b := newPair()
	now := clock.Instant(time.Hour)
	if a.OverloadNotice(now, engineKeys[0]) != nil {
		t.Error("notice for an upstream that reported no load")
	}
	a.SetReportedLoad(now, engineKeys[0], 19)
	content := a.OverloadNotice(now, engineKeys[0])
	if !IsOverloadNotice(content) || IsUpdates(content) {
		t.Fatalf("datagram % x", content)
	}
	if a.OverloadNotice(now.Add(overloadNoticeInterval-1), engineKeys[0]) != nil {
		t.Error("second notice within the minimum interval")
	}
	b.ApplyOverloadNotice(now, content)
	if b.OverloadNotice(now.Add(overloadNoticeInterval-1), engineKeys[0]) != nil {
		t.Error("a router repeats a notice that it has just received")
	}
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{0, 19}, {reportedLoadTTL - 1, 19}, {reportedLoadTTL, 0}} {
		if loads, own := b.Loads(now.Add(c.after), engineKeys); loads[0] != c.want || own[0] != 0 {
			t.Errorf("load %d, own %d after %v, want %d and 0", loads[0], own[0], c.after, c.want)
		}
	}
	for range 30 {
		b.StartRequest("engine")
	}
	if loads, _ := b.Loads(now, engineKeys); loads[0] != 30 {
		t.Errorf("load %d, want the larger of counted and reported load, 30", loads[0])
	}
	if _, err := b.Receive(now, "10.0.0.9:1", content); err == nil {
		t.Error("an overload notice was accepted as a digest datagram")
	}
}
