package crash

import (
	"testing"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/prefix"
	"github.com/hemlockcroft/hemlockcroft/internal/router/quarantine"
)

// TestDetector guards against taking a broken connection of an upstream that goes on
// for a crash, and against reporting a crash twice.
func TestDetector(t *testing.T) {
	d := NewDetector()
	now := clock.Instant(time.Hour)
	if !d.RecordBroken(now, 1, "a", "model", Request{"r1", []quarantine.Part{"model/x", "model/y"}}) {
		t.Error("the first broken connection is not reported as the first")
	}
	if d.RecordBroken(now.Add(time.Millisecond), 1, "a", "model", Request{"r2", nil}) {
		t.Error("the second broken connection is reported as the first")
	}
	r, ok := d.Gone(now.Add(time.Second), 1)
	if !ok || r.Upstream() != "a" || r.Service() != "model" || r.Engine() != 1 || r.At() != now || len(r.Requests()) != 2 {
		t.Errorf("report %+v, %t", r, ok)
	}
	if r.Text() != "r1=x+y r2=" || len(r.Parts()) != 2 || len(r.Parts()[0]) != 2 {
		t.Errorf("%q, %v", r.Text(), r.Parts())
	}
	if _, ok := d.Gone(now.Add(time.Second), 1); ok {
		t.Error("one crash is reported twice")
	}
	d.RecordBroken(now, 2, "b", "model", Request{"r3", nil})
	d.Alive(2)
	if _, ok := d.Gone(now, 2); ok {
		t.Error("an upstream that goes on has crashed")
	}
	d.RecordBroken(now, 3, "c", "model", Request{"r4", nil})
	if _, ok := d.Gone(now.Add(brokenTTL+time.Millisecond), 3); ok {
		t.Error("a connection that broke long before counts")
	}
}

// TestDetectorBounds guards against state that grows with the broken connections.
func TestDetectorBounds(t *testing.T) {
	d := NewDetector()
	now := clock.Instant(time.Hour)
	for i := range 10_000 {
		d.RecordBroken(now, prefix.EngineID(i%1000), "a", "model", Request{})
	}
	if len(d.broken) > maxUpstreams || len(d.broken[0].requests) > maxRequests {
		t.Errorf("%d upstreams, %d requests", len(d.broken), len(d.broken[0].requests))
	}
	d.RecordBroken(now.Add(2*brokenTTL), 1, "a", "model", Request{})
	if len(d.broken) != 1 {
		t.Errorf("%d upstreams after the time limit", len(d.broken))
	}
	d.Expire(now.Add(4 * brokenTTL))
	if len(d.broken) != 0 {
		t.Errorf("%d upstreams left", len(d.broken))
	}
}
