package forward

import (
	"context"
	"testing"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

// TestStartWait guards against requests that wait although the router has been
// up for long, or that wait until no time is left to go elsewhere.
func TestStartWait(t *testing.T) {
	for _, c := range []struct{ age, patience, want time.Duration }{
		{0, 0, startLimit},
		{0, 4 * time.Second, startLimit},
		{0, 600 * time.Millisecond, 200 * time.Millisecond},
		{900 * time.Millisecond, 4 * time.Second, 100 * time.Millisecond},
		{startWindow, 4 * time.Second, 0},
		{time.Hour, 4 * time.Second, 0},
	} {
		if got := startWait(c.age, c.patience); got != c.want {
			t.Errorf("%v after the start, with %v left: %v, want %v", c.age, c.patience, got, c.want)
		}
	}
}

// TestStartOfFleet plays 300 requests a second on a fleet whose routers need
// 380 ms to learn the configuration after all were killed. Callers come back
// once, 50 ms after a refusal. It guards against refusals of requests that a
// router can serve soon; refusing all that arrive before, the naive version,
// loses those whose second router has just started as well.
func TestStartOfFleet(t *testing.T) {
	const requests, gap, learned = 300, 1000 / 300.0, 380 * time.Millisecond
	refused := func(wait func(age, patience time.Duration) time.Duration) (n int) {
		for i := range requests {
			at := time.Duration(float64(i) * gap * float64(time.Millisecond))
			for range 2 {
				if at += wait(at, 3*time.Second); at >= learned {
					at = learned
					break
				}
				at += retrySoon
			}
			if at < learned {
				n++
			}
		}
		return n
	}
	if n := refused(startWait); n > 0 {
		t.Errorf("%d requests are refused", n)
	}
	if n := refused(func(time.Duration, time.Duration) time.Duration { return 0 }); n < requests/5 {
		t.Errorf("the naive version refuses only %d, so the load shows nothing", n)
	}
}

// TestStartEnds guards against requests that go on waiting once the router knows
// what it needs, or after their caller has left.
func TestStartEnds(t *testing.T) {
	now := clock.Now()
	left, leave := context.WithCancel(context.Background())
	leave()
	s := NewStart(now)
	begin := time.Now()
	s.await(left, now, time.Minute)
	s.Complete()
	s.Complete()
	s.await(context.Background(), now, time.Minute)
	if d := time.Since(begin); d > startLimit/2 {
		t.Errorf("two requests waited for %v", d)
	}
}
