package activeconfig

import (
	"testing"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/route"
)

// TestActiveConfig guards against reverting to an older configuration,
// accepting API keys after the confirmation has expired, and measuring the age
// of a confirmation from its arrival instead of its sending.
func TestActiveConfig(t *testing.T) {
	a := New(3 * time.Second)
	now := clock.Instant(time.Hour)
	if a.CanServe(now) || a.Fresh(now) {
		t.Error("requests are served without a configuration")
	}
	keyed := route.NewTable(7, route.Limits{})
	keyed.AddWorkspace(route.NewWorkspace("w", nil, nil), []string{"k"})
	if !a.Apply(keyed) || a.Apply(route.NewTable(6, route.Limits{})) || a.Table().Version() != 7 {
		t.Error("a lower version was adopted")
	}
	if a.CanServe(now) {
		t.Error("API keys are accepted without a confirmation")
	}
	sent := now
	now = now.Add(2 * time.Second)
	a.Confirm(sent)
	a.Confirm(sent.Add(-time.Second))
	if !a.CanServe(now) || a.Age(now) != 2*time.Second {
		t.Errorf("age %v, want 2 s from the sending of the newest confirmation", a.Age(now))
	}
	if now = now.Add(time.Second); a.Fresh(now) {
		t.Error("API keys are accepted beyond the maximum age")
	}
	a.Apply(route.NewTable(8, route.Limits{}))
	if !a.CanServe(now) {
		t.Error("a configuration without API keys is not served without a confirmation")
	}
}
