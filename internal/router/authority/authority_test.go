package authority

import (
	"testing"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/route"
)

// TestAuthority guards against a configuration that goes back, against keys
// that are honoured for longer than a confirmation holds, and against counting
// a confirmation from its arrival.
func TestAuthority(t *testing.T) {
	a := New(3 * time.Second)
	now := clock.Instant(time.Hour)
	if a.Serving(now) || a.Fresh(now) {
		t.Error("serves without a configuration")
	}
	keyed := route.NewTable(7, route.Limits{})
	keyed.AddWorkspace(route.NewWorkspace("w", nil, nil), []string{"k"})
	if !a.Adopt(keyed) || a.Adopt(route.NewTable(6, route.Limits{})) || a.Table().Version() != 7 {
		t.Error("a lower version was adopted")
	}
	if a.Serving(now) {
		t.Error("serves keys that were never confirmed")
	}
	sent := now
	now = now.Add(2 * time.Second)
	a.Confirm(sent)
	a.Confirm(sent.Add(-time.Second))
	if !a.Serving(now) || a.Age(now) != 2*time.Second {
		t.Errorf("age %v, want 2 s from the sending of the newest confirmation", a.Age(now))
	}
	if now = now.Add(time.Second); a.Fresh(now) {
		t.Error("keys are honoured beyond the limit")
	}
	a.Adopt(route.NewTable(8, route.Limits{}))
	if !a.Serving(now) {
		t.Error("a configuration without keys needs no confirmation")
	}
}
