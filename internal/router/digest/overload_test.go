package digest

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
		t.Error("an upstream that stated nothing is crowded")
	}
	a.SetReportedLoad(now, engineKeys[0], 19)
	content := a.OverloadNotice(now, engineKeys[0])
	if !IsOverloadNotice(content) || IsUpdates(content) {
		t.Fatalf("datagram % x", content)
	}
	if a.OverloadNotice(now.Add(overloadNoticeInterval-1), engineKeys[0]) != nil {
		t.Error("peers are told again at once")
	}
	b.ApplyOverloadNotice(now, content)
	if b.OverloadNotice(now.Add(overloadNoticeInterval-1), engineKeys[0]) != nil {
		t.Error("a router tells what it has just heard")
	}
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{0, 19}, {reportedLoadTTL - 1, 19}, {reportedLoadTTL, 0}} {
		if loads, own := b.Loads(now.Add(c.after), engineKeys); loads[0] != c.want || own[0] != 0 {
			t.Errorf("load %d, own %d after %v, want %d and none", loads[0], own[0], c.after, c.want)
		}
	}
	for range 30 {
		b.StartRequest("engine")
	}
	if loads, _ := b.Loads(now, engineKeys); loads[0] != 30 {
		t.Errorf("load %d, want the larger one of what is counted and stated", loads[0])
	}
	if _, err := b.Receive(now, "10.0.0.9:1", content); err == nil {
		t.Error("a datagram about a crowded upstream is taken for counts")
	}
}
