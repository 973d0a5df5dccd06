package forward

import (
	"sync/atomic"
	"testing"
	"time"
)

// TestStallGuard guards against cutting an attempt that makes progress, that is
// paused, or that no other attempt can replace, and against waiting on although one
// can.
func TestStallGuard(t *testing.T) {
	const limit = 50 * time.Millisecond
	for _, c := range []struct {
		name string
		// denials is how often replace denies a replacement first.
		denials int64
		use     func(g *stallGuard)
		cut     bool
	}{
		{"no progress", 0, func(*stallGuard) { time.Sleep(4 * limit) }, true},
		{"replacement later", 1, func(*stallGuard) { time.Sleep(2*limit + 2*stallRecheckInterval) }, true},
		{"no replacement", 1000, func(*stallGuard) { time.Sleep(2*limit + 2*stallRecheckInterval) }, false},
		{"paused", 0, func(g *stallGuard) {
			g.pause()
			time.Sleep(4 * limit)
		}, false},
		{"progress", 0, func(g *stallGuard) {
			for range 10 {
				time.Sleep(limit / 5)
				g.arm(limit)
			}
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var cancelled, asked atomic.Int64
			g := newStallGuard(func() bool { return asked.Add(1) > c.denials }, func() { cancelled.Add(1) })
			g.arm(limit)
			c.use(g)
			g.pause()
			if cut := cancelled.Load() > 0; cut != c.cut || g.replaced() != c.cut || cancelled.Load() > 1 {
				t.Errorf("cancelled %d times, replaced %t, want %t", cancelled.Load(), g.replaced(), c.cut)
			}
		})
	}
}
