package intake

import (
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

// State is what a connection is doing.
type State int32

const (
	// StateNew is a connection that has not sent a byte yet.
	StateNew State = iota
	// StateIdle is a connection between two requests.
	StateIdle
	// StateHead is a connection whose request's head is being received.
	StateHead
	// StateBody is a connection whose request's body is being received.
	StateBody
	// StateServing is a connection whose request was received or is being checked. It is
	// never closed in favour of others.
	StateServing
	// StateDraining is a connection that has its response while the rest of its request
	// is read.
	StateDraining
)

var stateNames = [...]string{"new", "idle", "head", "body", "serving", "draining"}

// String returns the name of the state.
func (s State) String() string { return stateNames[s] }

// Need is what cannot be granted within the limits.
type Need int

const (
	// NeedConnection is a new connection.
	NeedConnection Need = iota
	// NeedHead is more of a head.
	NeedHead
	// NeedRequest is the handling of a request.
	NeedRequest
	// NeedBody is more of a body.
	NeedBody
	needs
)

var needNames = [needs]string{"connection", "head", "request", "body"}

// Candidate is what is known of a connection when one of them must yield.
type Candidate struct {
	State State
	// Progress is when the last byte was received, and Started when the connection
	// entered its state.
	Progress, Started clock.Instant
	// Bytes is what it holds.
	Bytes int64
	// Yielding is set once the connection was told to yield.
	Yielding bool
}

// unfinished reports whether the connection has not sent a whole request yet, or is only
// drained.
func (c Candidate) unfinished() bool {
	return c.State == StateNew || c.State == StateHead || c.State == StateBody || c.State == StateDraining
}

// older reports whether a time is before that of the best candidate so far.
func older(t clock.Instant, best int, bestTime clock.Instant) bool { return best < 0 || t < bestTime }

// Choose returns the index of the connection that yields to a need, or -1 if the need is
// refused: first the one that has gone longest without progress, if that is stallTime or
// more. Without such a one, a body yields to those that began before it, so that they
// reach their end; the handling of other requests goes before large bodies and idle
// connections; and a new connection goes before idle ones, then before unfinished
// requests. self is the index of the connection with the need, -1 for a new one.
func Choose(now clock.Instant, need Need, self int, list []Candidate) int {
	stalled, idle, slowest, newest := -1, -1, -1, -1
	var stalledAt, idleAt, slowestAt, newestAt clock.Instant
	for i, c := range list {
		if i == self || c.Yielding {
			continue
		}
		switch {
		case c.State == StateIdle && older(c.Progress, idle, idleAt):
			idle, idleAt = i, c.Progress
		case c.unfinished() && older(c.Progress, slowest, slowestAt):
			slowest, slowestAt = i, c.Progress
		}
		if c.unfinished() && now.Sub(c.Progress) >= stallTime && older(c.Progress, stalled, stalledAt) {
			stalled, stalledAt = i, c.Progress
		}
		if c.State == StateBody && c.Bytes > smallBodyBytes && (newest < 0 || c.Started > newestAt) {
			newest, newestAt = i, c.Started
		}
	}
	switch {
	case stalled >= 0:
		return stalled
	case need == NeedConnection && idle >= 0:
		return idle
	case need == NeedConnection:
		return slowest
	case need == NeedBody && newest >= 0 && newestAt > list[self].Started:
		return newest
	case need == NeedBody:
		return -1
	case newest >= 0:
		return newest
	}
	return idle
}

// Expired returns why a connection in a state is closed by the limits on time, or "".
// received is the number of bytes since the start of the current period of a body, which
// began at periodStart.
func Expired(now clock.Instant, c Candidate, headTime time.Duration, periodStart clock.Instant, received int64) string {
	if headTime <= 0 {
		headTime = defaultHeadTime
	}
	switch {
	case c.State == StateHead && now.Sub(c.Started) > headTime+headTimeMargin:
		return "head_too_slow"
	case c.State == StateBody && now.Sub(periodStart) >= bodyPeriod && received < minBodyBytes:
		return "body_too_slow"
	case c.State == StateDraining && now.Sub(c.Started) > drainTime:
		return "rest_not_read"
	}
	return ""
}
