package latency

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

const (
	// smoothing is the time constant of the estimate. Shorter ones follow slowness that
	// changes ten times a second with a delay, which is worse than not to follow it.
	smoothing = 300 * time.Millisecond
	// minWeight and maxWeight limit the weight of one observation, however soon or
	// late it follows the one before. Response times of one route vary by a factor of
	// two.
	minWeight, maxWeight = 0.05, 0.7
	// pendingWeight is the weight of a request that has taken longer than expected and
	// has no response yet.
	pendingWeight = 0.15
	// lateWeight is that weight from lateSlowness on (natural logarithm, 3.3 times the
	// usual time), which work of varying length does not reach.
	lateWeight, lateSlowness = 0.4, 1.2
	// maxPending is the number of requests in progress at one upstream that are
	// considered, the oldest ones.
	maxPending = 8
	// holdTime is how long an estimate is used as it is. After that its difference
	// from the fastest upstream fades with fadeTime, so that an upstream which nobody
	// has tried for a while gets requests again.
	holdTime = 600 * time.Millisecond
	fadeTime = time.Second
	// maxAge is the age above which an estimate no longer counts as the fastest.
	maxAge = 3 * time.Second
	// minSlowness and maxSlowness limit a single observation (natural logarithms):
	// an eighth and 64 times the usual time.
	minSlowness, maxSlowness = -2.1, 4.2
	// slowAbove and usualBelow are the observations that count as slow and as usual: twice
	// the usual time, and 1.4 times. Between them nothing changes.
	slowAbove, usualBelow = 0.7, 0.35
	// switchMemory is the time constant in which changes between slow and usual are
	// forgotten.
	switchMemory = 5 * time.Second
	// switchPause is the time after a change in which no other is counted: requests that
	// began before a change and after it end side by side.
	switchPause = 250 * time.Millisecond
	// steadySwitches is the number of recent changes up to which slowness counts in
	// full: an upstream that was slow once in the last seconds and is slow again. One
	// that changes twice a second soon is above it.
	steadySwitches = 2.0
	// rejectedSlowness is the observation for an upstream that rejects a request
	// because its queue is full.
	rejectedSlowness = 1.4
)

// upstreamState is the estimate for one upstream.
type upstreamState struct {
	// slowness is the natural logarithm of the time that work takes, relative to
	// the usual time.
	slowness   float64
	observedAt clock.Instant
	// sentAt is the observedAt of the estimate that was last sent to peers, and
	// notableAt when it was last one that peers need.
	sentAt, notableAt clock.Instant
	// slow is whether the last observation that told was a slow one. switches counts its
	// changes, as a sum that decays with switchMemory, as of switchesAt. switchedAt is
	// when the last change was counted.
	slow       bool
	switches   float64
	switchesAt clock.Instant
	switchedAt clock.Instant
	// pending are the requests of this router in progress, the oldest first.
	pending []*Request
}

// Estimator estimates the slowness of upstreams, which are given by ID hash. It is
// safe for concurrent use.
type Estimator struct {
	mu        sync.Mutex
	routes    map[string]*baseline
	upstreams map[uint64]*upstreamState
}

// NewEstimator returns an estimator without observations.
func NewEstimator() *Estimator {
	return &Estimator{routes: map[string]*baseline{}, upstreams: map[uint64]*upstreamState{}}
}

// Request is one request in progress at an upstream.
type Request struct {
	upstream uint64
	route    *baseline
	began    clock.Instant
	// wait is the factor by which requests that were in progress before it delay the
	// request.
	wait float64
}

// Queueing returns the factor by which a request takes longer because it waits until
// the requests beyond the slots of its upstream are processed. load does not include
// the request.
func Queueing(load, slots int) float64 {
	slots = max(1, slots)
	return 1 + float64(max(0, load+1-slots))/float64(slots)
}

// Start records that a request of a route is sent to an upstream that has the given
// load and slots. The caller must call Finish, Reject or Abandon once.
func (e *Estimator) Start(now clock.Instant, upstream uint64, route string, load, slots int) *Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.routes[route]
	if b == nil {
		if len(e.routes) >= maxRoutes {
			clear(e.routes)
		}
		b = &baseline{}
		e.routes[route] = b
	}
	r := &Request{upstream: upstream, route: b, began: now, wait: Queueing(load, slots)}
	u := e.getOrCreate(upstream)
	u.pending = append(u.pending, r)
	return r
}

// Finish records that the response to a request arrived.
func (e *Estimator) Finish(now clock.Instant, r *Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	u := e.remove(r)
	if s, ok := r.slowness(now); ok {
		u.observe(now, s)
	}
	r.route.learn(math.Log(r.elapsed(now)))
}

// Reject records that the upstream rejected a request because it is full.
func (e *Estimator) Reject(now clock.Instant, r *Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	u := e.remove(r)
	u.observe(now, max(u.slowness, rejectedSlowness))
}

// Abandon records that a request ended without a response. The time until then shows
// at least how long it would have taken.
func (e *Estimator) Abandon(now clock.Instant, r *Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	u := e.remove(r)
	if s, ok := r.slowness(now); ok && s > u.slowness {
		u.observe(now, s)
	}
}

// Report records how long work takes at an upstream, as it states itself, as a
// multiple of the usual time.
func (e *Estimator) Report(now clock.Instant, upstream uint64, slowdown float64) {
	if slowdown <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.getOrCreate(upstream).observe(now, math.Log(slowdown))
}

// Estimate is how slow an upstream is.
type Estimate struct {
	// Slowdown is how long work takes there as a multiple of what it takes at the
	// fastest of the upstreams that are compared, 1 if it is unknown.
	Slowdown float64
	// Age is the time since the last observation of any router that this one knows
	// of, negative if there is none.
	Age time.Duration
}

// Estimates compares upstreams with each other.
func (e *Estimator) Estimates(now clock.Instant, upstreams []uint64) []Estimate {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]Estimate, len(upstreams))
	values, steady := make([]float64, len(upstreams)), make([]float64, len(upstreams))
	fastest := math.Inf(1)
	for i, key := range upstreams {
		list[i] = Estimate{Slowdown: 1, Age: -1}
		u := e.upstreams[key]
		if u == nil {
			continue
		}
		value, observedAt, ok := u.current(now)
		if !ok {
			continue
		}
		values[i], list[i].Age = value, now.Sub(observedAt)
		steady[i] = u.steadiness(now)
		if list[i].Age < maxAge {
			fastest = min(fastest, value)
		}
	}
	for i := range list {
		if list[i].Age >= 0 && values[i] > fastest {
			list[i].Slowdown = math.Exp((values[i] - fastest) * steady[i] * confidence(list[i].Age))
		}
	}
	return list
}

// Retain drops all upstreams whose IDs are not in ids and that have no requests in
// progress.
func (e *Estimator) Retain(ids []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	kept := map[uint64]*upstreamState{}
	for _, id := range ids {
		key := xxhash.Sum64String(id)
		if u := e.upstreams[key]; u != nil {
			kept[key] = u
		}
	}
	for key, u := range e.upstreams {
		if len(u.pending) > 0 {
			kept[key] = u
		}
	}
	e.upstreams = kept
}

func (e *Estimator) getOrCreate(key uint64) *upstreamState {
	u := e.upstreams[key]
	if u == nil {
		u = &upstreamState{}
		e.upstreams[key] = u
	}
	return u
}

// remove removes a request in progress and returns the state of its upstream.
func (e *Estimator) remove(r *Request) *upstreamState {
	u := e.getOrCreate(r.upstream)
	for i, p := range u.pending {
		if p == r {
			u.pending = append(u.pending[:i], u.pending[i+1:]...)
			break
		}
	}
	return u
}

// observe adds an observation. The longer ago the last one was, the less the estimate
// counts against it.
func (u *upstreamState) observe(now clock.Instant, slowness float64) {
	slowness = min(max(slowness, minSlowness), maxSlowness)
	weight := 1.0
	if u.observedAt != 0 {
		weight = min(maxWeight, max(minWeight, 1-math.Exp(-float64(now.Sub(u.observedAt))/float64(smoothing))))
	}
	u.slowness += weight * (slowness - u.slowness)
	u.observedAt = now
	u.noteSwitch(now, slowness)
}

// noteSwitch counts a change between slow and usual.
func (u *upstreamState) noteSwitch(now clock.Instant, slowness float64) {
	slow := slowness > slowAbove || u.slow && slowness > usualBelow
	if slow == u.slow || u.switchedAt != 0 && now.Sub(u.switchedAt) < switchPause {
		return
	}
	u.switches = u.switchRate(now) + 1
	u.slow, u.switchesAt, u.switchedAt = slow, now, now
}

func (u *upstreamState) switchRate(now clock.Instant) float64 {
	return u.switches * math.Exp(-float64(now.Sub(u.switchesAt))/float64(switchMemory))
}

// steadiness returns the share of the slowness that counts, given how often it has
// changed recently. What changes faster than it can be observed and acted on is no
// reason to prefer another upstream.
func (u *upstreamState) steadiness(now clock.Instant) float64 {
	return math.Pow(min(1, steadySwitches/max(u.switchRate(now), 1e-9)), 2)
}

// current returns the estimate including the requests that have no response yet.
func (u *upstreamState) current(now clock.Instant) (value float64, observedAt clock.Instant, ok bool) {
	value, observedAt, ok = u.slowness, u.observedAt, u.observedAt != 0
	for _, r := range u.pending[:min(len(u.pending), maxPending)] {
		if s, known := r.slowness(now); known && s > value {
			weight := pendingWeight
			if s >= lateSlowness {
				weight = lateWeight
			}
			value += weight * (min(s, maxSlowness) - value)
			observedAt, ok = now, true
		}
	}
	return value, observedAt, ok
}

// confidence returns the share of a difference that still counts after a time without
// observations.
func confidence(age time.Duration) float64 {
	return math.Exp(-float64(max(0, age-holdTime)) / float64(fadeTime))
}

// elapsed returns the time of a request in seconds, without the expected waiting.
func (r *Request) elapsed(now clock.Instant) float64 {
	return max(1e-6, now.Sub(r.began).Seconds()) / r.wait
}

// slowness returns the observation that the time of a request until now yields.
func (r *Request) slowness(now clock.Instant) (float64, bool) {
	usual, ok := r.route.usual()
	return math.Log(r.elapsed(now)) - usual, ok
}
