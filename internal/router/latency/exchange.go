package latency

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

const (
	// notableSlowness is the slowness from which peers are told of an upstream (natural
	// logarithm, 1.65 times the usual time), and notableTime how long they are told after
	// that, so that they learn of its recovery. Estimates of equal upstreams from a few
	// requests differ by up to a factor of 1.5.
	notableSlowness = 0.5
	notableTime     = 3 * time.Second
	// maxSharedAge is the age up to which an estimate is passed on.
	maxSharedAge = 2 * time.Second
	// minNewer is how much newer the estimate of a peer must be to replace this
	// router's, and to be passed on.
	minNewer = 20 * time.Millisecond
	// maxSwitches limits the number of changes that a peer may state.
	maxSwitches = 20
	// maxUpstreams limits the upstreams that peers may add until the next Retain.
	maxUpstreams = 1 << 14
)

// Shared is an estimate that routers exchange. The newest one replaces the others, so
// that the observations of all routers form one series.
type Shared struct {
	Upstream uint64
	// Slowness is the natural logarithm of the time that work takes, relative to the
	// usual time.
	Slowness float64
	// Age is the time since the last observation in it.
	Age time.Duration
	// Slow is whether the last observation was a slow one, and Switches the recent
	// number of changes between slow and usual.
	Slow     bool
	Switches float64
}

// TakeShared returns up to limit estimates that are newer than those returned before,
// the slowest first. Upstreams that are and were as usual are left out, so that
// nothing is sent while there is no unevenness.
func (e *Estimator) TakeShared(now clock.Instant, limit int) []Shared {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []Shared
	for key, u := range e.upstreams {
		value, observedAt, ok := u.current(now)
		if !ok || now.Sub(observedAt) > maxSharedAge || observedAt.Sub(u.sentAt) < minNewer {
			continue
		}
		if value >= notableSlowness {
			u.notableAt = now
		}
		if u.notableAt != 0 && now.Sub(u.notableAt) < notableTime {
			list = append(list, Shared{Upstream: key, Slowness: value, Age: now.Sub(observedAt), Slow: u.slow, Switches: u.switchRate(now)})
		}
	}
	slices.SortFunc(list, func(a, b Shared) int { return cmp.Compare(b.Slowness, a.Slowness) })
	list = list[:min(len(list), limit)]
	for _, s := range list {
		e.upstreams[s.Upstream].sentAt = now.Add(-s.Age)
	}
	return list
}

// MergePeer takes over the estimates of a peer that are newer than those of this
// router.
func (e *Estimator) MergePeer(now clock.Instant, shared []Shared) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range shared {
		if s.Age < 0 || math.IsNaN(s.Slowness) || math.IsNaN(s.Switches) || e.upstreams[s.Upstream] == nil && len(e.upstreams) >= maxUpstreams {
			continue
		}
		u := e.getOrCreate(s.Upstream)
		observedAt := now.Add(-s.Age)
		if u.observedAt != 0 && observedAt.Sub(u.observedAt) < minNewer {
			continue
		}
		u.slowness, u.observedAt = min(max(s.Slowness, minSlowness), maxSlowness), observedAt
		if u.slowness >= notableSlowness {
			u.notableAt = now
		}
		u.switches, u.switchesAt = max(u.switchRate(now), min(s.Switches, maxSwitches)), now
		if s.Slow != u.slow {
			u.slow, u.switchedAt = s.Slow, now
		}
	}
}
