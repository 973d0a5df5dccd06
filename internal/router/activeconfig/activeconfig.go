package activeconfig

import (
	"sync/atomic"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/route"
)

// Config is the active configuration. It is safe for concurrent use, but
// Apply and Confirm must be called from one goroutine.
type Config struct {
	maxAge      time.Duration
	table       atomic.Pointer[route.Table]
	confirmedAt atomic.Int64
}

// New returns a Config without a configuration. API keys are accepted
// while the last confirmation is younger than maxAge.
func New(maxAge time.Duration) *Config { return &Config{maxAge: maxAge} }

// Apply activates a configuration and reports whether it is newer than the
// current one. An older one is ignored, so that a delayed read cannot revert
// the configuration.
func (a *Config) Apply(t *route.Table) bool {
	if old := a.table.Load(); old != nil && t.Version() <= old.Version() {
		return false
	}
	a.table.Store(t)
	return true
}

// Confirm records that a store call showed the current configuration to be the
// newest. The age counts from when the call was sent, since the response may
// have been delayed for any time.
func (a *Config) Confirm(sent clock.Instant) {
	if int64(sent) > a.confirmedAt.Load() {
		a.confirmedAt.Store(int64(sent))
	}
}

// Table returns the active configuration, nil if there is none yet.
func (a *Config) Table() *route.Table { return a.table.Load() }

// Age returns the time since the last confirmation.
func (a *Config) Age(now clock.Instant) time.Duration {
	return now.Sub(clock.Instant(a.confirmedAt.Load()))
}

// Fresh reports whether the last confirmation is recent enough to accept API
// keys.
func (a *Config) Fresh(now clock.Instant) bool {
	return a.confirmedAt.Load() != 0 && a.Age(now) < a.maxAge
}

// CanServe reports whether requests may be served: there is a configuration,
// and it is fresh if it has API keys.
func (a *Config) CanServe(now clock.Instant) bool {
	t := a.Table()
	return t != nil && (!t.HasKeys() || a.Fresh(now))
}
