package authority

import (
	"sync/atomic"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/route"
)

// ActiveConfig is safe for concurrent use; Adopt and Confirm must be called from
// one goroutine.
type ActiveConfig struct {
	maxAge      time.Duration
	table       atomic.Pointer[route.Table]
	confirmedAt atomic.Int64
}

// New returns an authority without a configuration. limit is how old a
// confirmation may be while API keys are honoured.
func New(maxAge time.Duration) *ActiveConfig { return &ActiveConfig{maxAge: maxAge} }

// Apply puts a configuration into force and reports whether it is newer than
// the present one. An older one is ignored, so that a delayed read cannot take
// the router back.
func (a *ActiveConfig) Apply(t *route.Table) bool {
	if old := a.table.Load(); old != nil && t.Version() <= old.Version() {
		return false
	}
	a.table.Store(t)
	return true
}

// Confirm notes that a call to the store, sent at the given instant, showed the
// present configuration to be the newest. The age counts from the sending,
// since the answer may have been under way for any time.
func (a *ActiveConfig) Confirm(sent clock.Instant) {
	if int64(sent) > a.confirmedAt.Load() {
		a.confirmedAt.Store(int64(sent))
	}
}

// Table returns the configuration in force, nil if none is known.
func (a *ActiveConfig) Table() *route.Table { return a.table.Load() }

// Age returns the time since the last confirmation.
func (a *ActiveConfig) Age(now clock.Instant) time.Duration {
	return now.Sub(clock.Instant(a.confirmedAt.Load()))
}

// Fresh reports whether API keys may be honoured.
func (a *ActiveConfig) Fresh(now clock.Instant) bool {
	return a.confirmedAt.Load() != 0 && a.Age(now) < a.maxAge
}

// CanServe reports whether requests may be served at all: a configuration is
// known, and fresh if it names API keys.
func (a *ActiveConfig) CanServe(now clock.Instant) bool {
	t := a.Table()
	return t != nil && (!t.HasKeys() || a.Fresh(now))
}
