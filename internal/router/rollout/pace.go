package rollout

import (
	"math"
	"time"
)

const (
	// slowResponse is the multiple of the typical time of a route above which a response
	// or the time between two events is slow, and slowFirstEvent that above which the
	// first event of a stream is. Prompts that are not cached take a few times as long.
	slowResponse   = 4
	slowFirstEvent = 7
	// minTypical is the number of responses of the old version from which the typical
	// time of a route is known.
	minTypical = 6
	// typicalWeight is the weight of the newest time in the moving average.
	typicalWeight = 0.05
	// minComparable is the time below which no response counts as slow: callers do not
	// notice the difference, and scheduling delays dominate.
	minComparable = 20 * time.Millisecond
)

// typical is the geometric moving average of a time.
type typical struct {
	logMean float64
	n       int
}

func (t *typical) add(d time.Duration) {
	t.n++
	x := math.Log(float64(max(d, time.Microsecond)))
	t.logMean += max(typicalWeight, 1/float64(t.n)) * (x - t.logMean)
}

// compare reports whether a time is slow, and whether enough is known to tell.
func (t *typical) compare(d time.Duration, factor float64) (slow, known bool) {
	if t.n < minTypical || d <= 0 {
		return false, false
	}
	return d > minComparable && float64(d) > factor*math.Exp(t.logMean), true
}

// routePace is what is typical of a route at the old version.
type routePace struct{ first, response typical }

// compare reports whether a response is slow in any respect, and whether enough is known
// to tell.
func (r *routePace) compare(o Outcome) (slow, known bool) {
	slowFirst, knownFirst := r.first.compare(o.FirstEvent, slowFirstEvent)
	slowRest, knownRest := r.response.compare(o.Response, slowResponse)
	return slowFirst || slowRest, knownFirst || knownRest
}

func (r *routePace) add(o Outcome) {
	if o.FirstEvent > 0 {
		r.first.add(o.FirstEvent)
	}
	if o.Response > 0 {
		r.response.add(o.Response)
	}
}

// Outcome is the outcome of one attempt at an upstream.
type Outcome struct {
	// Failed is set if the upstream accepted the request and did not serve it.
	Failed bool
	// FirstEvent is the time to the first event of a stream, 0 if there was none.
	FirstEvent time.Duration
	// Response is the time of a response, or the mean time between two events of a
	// stream, 0 if unknown.
	Response time.Duration
}
