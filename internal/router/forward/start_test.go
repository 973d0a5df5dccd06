package forward

import (
	"context"
	"testing"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

// TestStartupWait guards against requests that wait although the router has been
// up for long, or that wait until no time is left to go elsewhere.
func TestStartupWait(t *testing.T) {
	for _, c := range []struct{ age, patience, want time.Duration }{
		{0, 0, maxStartupWait},
		{0, 4 * time.Second, maxStartupWait},
		{0, 600 * time.Millisecond, 200 * time.Millisecond},
		{900 * time.Millisecond, 4 * time.Second, 100 * time.Millisecond},
		{startupWindow, 4 * time.Second, 0},
		{time.Hour, 4 * time.Second, 0},
	} {
		if got := startupWait(c.age, c.patience); got != c.want {
			t.Errorf("%v after the start, with %v left: %v, want %v", c.age, c.patience, got, c.want)
		}
	}
}

// TestStartupWaitAfterFleetRestart plays 300 requests a second on a fleet whose routers need
// 380 ms to learn the configuration after all were killed. Callers come back
// once, 50 ms after a refusal. It guards against refusals of requests that a
// router can serve soon; refusing all that arrive before, the naive version,
// loses those whose second router has just started as well.
func TestStartupWaitAfterFleetRestart(t *testing.T) {
	const requests, gap, configReadAfter = 300, 1000 / 300.0, 380 * time.Millisecond
	countRefused := func(wait func(age, patience time.Duration) time.Duration) (n int) {
		for i := range requests {
			at := time.Duration(float64(i) * gap * float64(time.Millisecond))
			for range 2 {
				if at += wait(at, 3*time.Second); at >= configReadAfter {
					at = configReadAfter
					break
				}
				at += shortRetryAfter
			}
			if at < configReadAfter {
				n++
			}
		}
		return n
	}
	if n := countRefused(startupWait); n > 0 {
		t.Errorf("%d requests are refused", n)
	}
	if n := countRefused(func(time.Duration, time.Duration) time.Duration { return 0 }); n < requests/5 {
		t.Errorf("the naive version refuses only %d, so the load shows nothing", n)
	}
}

// TestStartupGateReleases guards against requests that go on waiting once the router knows
// what it needs, or after their caller has left.
func TestStartupGateReleases(t *testing.T) {
	now := clock.Now()
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	s := NewStartupGate(now)
	begin := time.Now()
	s.wait(canceled, now, time.Minute)
	s.Open()
	s.Open()
	s.wait(context.Background(), now, time.Minute)
	if d := time.Since(begin); d > maxStartupWait/2 {
		t.Errorf("two requests waited for %v", d)
	}
}
