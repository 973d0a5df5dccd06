package forward

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/route"
)

// TestStallTimeout guards against abandoning a request that must not be
// retried, cutting the last attempt short, and waiting for an unresponsive
// upstream until no time is left for another.
func TestStallTimeout(t *testing.T) {
	const ms = time.Millisecond
	safe := route.New(route.Spec{Kind: route.Idempotent, Objective: 100 * ms, MaxAttempts: 2})
	once := route.New(route.Spec{Kind: route.AtMostOnce, Objective: 100 * ms, MaxAttempts: 2})
	stream := route.New(route.Spec{Kind: route.Stream, Resumable: true, Objective: 500 * ms, EventGap: 300 * ms, MaxAttempts: 2})
	for _, c := range []struct {
		name      string
		route     *route.Route
		remaining time.Duration
		sent      int
		started   bool
		want      time.Duration
	}{
		{"first try", safe, 600 * ms, 1, false, 200 * ms},
		{"first try with much time", safe, 1500 * ms, 1, false, 500 * ms},
		{"last try", safe, 400 * ms, 2, false, 400 * ms},
		{"little time", safe, 100 * ms, 1, false, 100 * ms},
		{"may run once", once, 600 * ms, 1, false, 600 * ms},
		{"first event", stream, 3900 * ms, 1, false, 1300 * ms},
		{"next event", stream, 3000 * ms, 1, true, 1200 * ms},
		{"next event of the last try", stream, 3000 * ms, 2, true, 3000 * ms},
	} {
		if got := stallTimeout(c.route, c.remaining, c.sent, c.started); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestRejectionRetryAfter guards against callers that retry while the queues of
// the upstreams are still full. 5 upstreams with 6 slots and queues of 24
// receive 530 requests per second of 60 ms, while they can serve 500, and
// callers retry once. Retrying after 50 ms, which is shortRetryAfter, loses more
// requests.
func TestRejectionRetryAfter(t *testing.T) {
	const upstreams, slots, queue, workMS, perSecond, seconds = 5, 6, 24, 60, 530, 120
	countLost := func(wait time.Duration) (n int) {
		random := rand.New(rand.NewPCG(1, 2))
		var inUse [upstreams]int
		var free [upstreams][slots]int
		ends, retries := map[int][]int{}, map[int]int{}
		for ms := range seconds * 1000 {
			for _, u := range ends[ms] {
				inUse[u]--
			}
			arrivals := retries[ms]
			retrying := arrivals
			delete(ends, ms)
			delete(retries, ms)
			// Traffic varies by a third over 4 s, so that queues fill and
			// drain.
			swing := 1 + math.Sin(2*math.Pi*float64(ms)/4000)/3
			if random.Float64() < perSecond/1000.0*swing {
				arrivals++
			}
			for i := range arrivals {
				u := random.IntN(upstreams)
				if inUse[u] >= slots+queue {
					if i < retrying {
						n++
					} else {
						retries[ms+int(wait.Milliseconds())]++
					}
					continue
				}
				inUse[u]++
				slot := &free[u][0]
				for p := range free[u] {
					if free[u][p] < *slot {
						slot = &free[u][p]
					}
				}
				*slot = max(ms, *slot) + workMS/2 + random.IntN(workMS)
				ends[*slot] = append(ends[*slot], u)
			}
		}
		return n
	}
	backedOff, immediate := countLost(rejectionRetryAfter(false)), countLost(shortRetryAfter)
	if backedOff >= immediate {
		t.Errorf("%d requests are lost, but only %d with the short Retry-After time", backedOff, immediate)
	}
	t.Logf("lost %d requests, with the short Retry-After time %d", backedOff, immediate)
}
