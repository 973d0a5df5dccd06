package rollout

import (
	"time"
)

const (
	// canaryShareOfLimit is the part of the allowed exposure that the canary phase uses.
	canaryShareOfLimit = 0.2
	// firstShareOfCanary is the part of the canary share that the new version gets at
	// first, for firstPart of the time to the shift.
	firstShareOfCanary = 0.5
	firstPart          = 0.15
	// usableLimit is the part of the allowed exposure that is used. The rest covers
	// traffic that grows towards the deadline.
	usableLimit = 0.95
	// minShift and maxShift limit the time before the deadline at which requests move to
	// the new version. Within them it is what the allowed exposure leaves: a version that
	// is bad only under a load that the canary does not have looks sound until then.
	minShift = 300 * time.Millisecond
	maxShift = 15 * time.Second
	// maxCanary limits the canary phase of an order with a distant deadline.
	maxCanary = 30 * time.Minute
	// rampPart is the part of the shift in which the share grows to 1.
	rampPart = 0.2
	// minFullLoad is how long the new version serves all requests before the roll-out
	// is completed, unless the deadline is close.
	minFullLoad = 1300 * time.Millisecond
	// maxCompletionMargin is left for writing the completion before the deadline, and for
	// operators who read it now and then, at most completionPart of the shift.
	maxCompletionMargin = time.Second
	completionPart      = 0.8
	// lateDrain is how long requests in progress at the old version are waited for after
	// the deadline, if the completion comes late.
	lateDrain = 3 * time.Second
)

// schedule gives the share of the new version over time. It answers a version that may
// be bad from the start, later, or under full load only, where a bad version may get
// limit of the requests of the whole duration.
type schedule struct {
	duration time.Duration
	limit    float64
}

// shift returns the length of the shift.
func (s schedule) shift() time.Duration {
	left := (usableLimit - canaryShareOfLimit) * s.limit
	return min(max(time.Duration(left*float64(s.duration)), minShift), maxShift)
}

// shiftAt returns the time after the order at which the shift begins.
func (s schedule) shiftAt() time.Duration { return min(max(0, s.duration-s.shift()), maxCanary) }

// ramp returns the time after the begin of the shift at which the share is 1.
func (s schedule) ramp() time.Duration { return time.Duration(rampPart * float64(s.shift())) }

// canaryShare returns the share of the new version so long after the order.
func (s schedule) canaryShare(elapsed time.Duration) float64 {
	share := canaryShareOfLimit * s.limit
	if elapsed < time.Duration(firstPart*float64(s.shiftAt())) {
		return firstShareOfCanary * share
	}
	return share
}

// shiftShare returns the share of the new version so long after the begin of the shift.
func (s schedule) shiftShare(sinceShift time.Duration) float64 {
	return min(1, max(canaryShareOfLimit*s.limit, float64(sinceShift)/float64(s.ramp())))
}

// mayComplete reports whether the roll-out may be completed, given the times since the
// order and since the begin of the shift, and the requests in progress at the old
// version.
func (s schedule) mayComplete(elapsed, sinceShift time.Duration, oldLoad int) bool {
	switch {
	case sinceShift < s.ramp():
		return false
	case oldLoad == 0 && sinceShift >= s.ramp()+minFullLoad:
		return true
	case elapsed > s.duration:
		return sinceShift >= lateDrain
	}
	return s.mustDecide(elapsed)
}

// mustDecide reports whether the deadline is so close that requests in progress at the
// old version are not waited for.
func (s schedule) mustDecide(elapsed time.Duration) bool {
	return elapsed >= s.duration-min(maxCompletionMargin, time.Duration(completionPart*float64(s.shift())))
}
