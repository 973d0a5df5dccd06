package forward

import (
	"testing"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/route"
)

// TestPatience guards against giving up what may run once, against a last try
// that is cut short, and against waiting for a mute upstream until no time is
// left for another.
func TestPatience(t *testing.T) {
	const ms = time.Millisecond
	safe := route.New(route.Spec{Kind: route.Idempotent, Objective: 100 * ms, MaxAttempts: 2})
	once := route.New(route.Spec{Kind: route.AtMostOnce, Objective: 100 * ms, MaxAttempts: 2})
	stream := route.New(route.Spec{Kind: route.Stream, Resumable: true, Objective: 500 * ms, EventGap: 300 * ms, MaxAttempts: 2})
	for _, c := range []struct {
		name  string
		route *route.Route
		left  time.Duration
		sent  int
		begun bool
		want  time.Duration
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
		if got := patience(c.route, c.left, c.sent, c.begun); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
