package forward

import (
	"sync"
	"time"
)

// stallRecheckInterval is the time between two checks whether a stalled attempt
// can be replaced.
const stallRecheckInterval = 100 * time.Millisecond

// stallGuard cancels an attempt whose upstream has not begun to respond, provided that
// another attempt can replace it. Without one the caller loses nothing by waiting
// for an upstream that may only be slow. It is safe for concurrent use.
type stallGuard struct {
	// replace reserves the attempt that replaces the stalled one and reports
	// whether there is one. It is not called any more after pause.
	replace func() bool
	cancel  func()

	mu       sync.Mutex
	timer    *time.Timer
	armed    bool
	reserved bool
}

// newStallGuard returns a guard that is not armed.
func newStallGuard(replace func() bool, cancel func()) *stallGuard {
	g := &stallGuard{replace: replace, cancel: cancel}
	g.timer = time.AfterFunc(time.Hour, g.expire)
	g.timer.Stop()
	return g
}

// arm makes the guard check the attempt after a time without progress.
func (g *stallGuard) arm(limit time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.armed = true
	g.timer.Reset(limit)
}

// pause stops the guard until it is armed again.
func (g *stallGuard) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.armed = false
	g.timer.Stop()
}

// replaced reports whether the guard has cancelled the attempt and reserved its
// replacement.
func (g *stallGuard) replaced() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reserved
}

func (g *stallGuard) expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !g.armed || g.reserved:
	case g.replace():
		g.reserved = true
		g.cancel()
	default:
		g.timer.Reset(stallRecheckInterval)
	}
}
