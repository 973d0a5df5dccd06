package authority

import (
	"sync/atomic"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/route"
)

// Authority is safe for concurrent use; Adopt and Confirm must be called from
// one goroutine.
type Authority struct {
	limit     time.Duration
	table     atomic.Pointer[route.Table]
	confirmed atomic.Int64
}

// New returns an authority without a configuration. limit is how old a
// confirmation may be while API keys are honoured.
func New(limit time.Duration) *Authority { return &Authority{limit: limit} }

// Adopt puts a configuration into force and reports whether it is newer than
// the present one. An older one is ignored, so that a delayed read cannot take
// the router back.
func (a *Authority) Adopt(t *route.Table) bool {
	if old := a.table.Load(); old != nil && t.Version() <= old.Version() {
		return false
	}
	a.table.Store(t)
	return true
}

// Confirm notes that a call to the store, sent at the given instant, showed the
// present configuration to be the newest. The age counts from the sending,
// since the answer may have been under way for any time.
func (a *Authority) Confirm(sent clock.Instant) {
	if int64(sent) > a.confirmed.Load() {
		a.confirmed.Store(int64(sent))
	}
}

// Table returns the configuration in force, nil if none is known.
func (a *Authority) Table() *route.Table { return a.table.Load() }

// Age returns the time since the last confirmation.
func (a *Authority) Age(now clock.Instant) time.Duration {
	return now.Sub(clock.Instant(a.confirmed.Load()))
}

// Fresh reports whether API keys may be honoured.
func (a *Authority) Fresh(now clock.Instant) bool {
	return a.confirmed.Load() != 0 && a.Age(now) < a.limit
}

// Serving reports whether requests may be served at all: a configuration is
// known, and fresh if it names API keys.
func (a *Authority) Serving(now clock.Instant) bool {
	t := a.Table()
	return t != nil && (!t.HasKeys() || a.Fresh(now))
}
