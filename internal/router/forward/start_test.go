package forward

import (
	"context"
	"testing"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

// TestStartupWait guards against requests that wait although the router started
// long ago, and against waiting until no time is left to try another router.
func TestStartupWait(t *testing.T) {
	for _, c := range []struct{ age, timeout, want time.Duration }{
		{0, 0, maxStartupWait},
		{0, 4 * time.Second, maxStartupWait},
		{0, 600 * time.Millisecond, 200 * time.Millisecond},
		{900 * time.Millisecond, 4 * time.Second, 100 * time.Millisecond},
		{startupWindow, 4 * time.Second, 0},
		{time.Hour, 4 * time.Second, 0},
	} {
		if got := startupWait(c.age, c.timeout); got != c.want {
			t.Errorf("%v after the start, with %v left: %v, want %v", c.age, c.timeout, got, c.want)
		}
	}
}

// TestStartupWaitAfterFleetRestart guards against refusing requests that a
// router can serve soon. After all routers were killed, they need 380 ms to
// read the configuration, receive 300 requests per second, and callers retry
// once 50 ms after a refusal. Refusing all early requests loses those whose
// second router has just started as well.
func TestStartupWaitAfterFleetRestart(t *testing.T) {
	const requests, gap, configReadAfter = 300, 1000 / 300.0, 380 * time.Millisecond
	countRefused := func(wait func(age, timeout time.Duration) time.Duration) (n int) {
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
		t.Errorf("without waiting only %d requests are refused, so the load is too low for this test", n)
	}
}

// TestStartupGateReleases guards against requests that keep waiting after the
// gate is open or after their caller has disconnected.
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
