package forward

import (
	"errors"
	"math"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	"github.com/hemlockcroft/hemlockcroft/internal/router/directory"
	"github.com/hemlockcroft/hemlockcroft/internal/router/shedding"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/http1"
)

// errNotAdmitted means that the capacity of the service is short and the request is not
// among those that are sent.
var errNotAdmitted = errors.New("the capacity of the service is short")

// shedsLoad reports whether requests to the service pass the shedding controller. Engines
// queue by themselves and reject for other reasons than load.
func (j *job) shedsLoad() bool {
	return j.Shedding != nil && j.service != nil && !j.service.IsEngine()
}

// checkCapacity returns an error if the next attempt must not be sent because capacity
// is short. An attempt that was admitted and did not reach an upstream stays admitted.
func (j *job) checkCapacity(now clock.Instant) error {
	if !j.shedsLoad() || j.admittedAttempt == j.attemptsSent+1 {
		return nil
	}
	r := j.capacityRequest(now)
	d := j.Shedding.Admit(now, r)
	if d.Admitted() {
		j.admittedAttempt = j.attemptsSent + 1
		return nil
	}
	j.log().WithFields(logrus.Fields{
		"service": j.serviceName, "workspace": r.Workspace, "priority": r.Priority, "attempt": j.attemptsSent + 1, "why": d.Reason,
		"share": roundRate(d.Share), "capacity": roundRate(d.Capacity), "demand": roundRate(d.Demand), "rejected": roundRate(d.Rejected), "latency_ms": d.Latency.Milliseconds(),
		"left_ms": r.Remaining.Milliseconds(), "peers": d.Peers, "oldest_ms": d.Oldest.Milliseconds(), "retry_after_ms": d.RetryAfter.Milliseconds(),
	}).Info("request not admitted")
	return verdict.New(verdict.NotRun, errNotAdmitted).WithRetryAfter(d.RetryAfter)
}

// capacityRequest describes the next attempt to the shedding controller.
func (j *job) capacityRequest(now clock.Instant) shedding.Request {
	r := shedding.Request{
		Service: j.serviceName, Priority: j.workspace.Priority(j.route), Objective: j.route.Objective(),
		Elapsed: now.Sub(j.arrivedAt), Remaining: j.deadline.Sub(now),
	}
	if j.workspace != nil {
		r.Workspace = j.workspace.Name()
	}
	if j.info.Timeout > 0 {
		r.CallerRemaining = j.info.Timeout - r.Elapsed
	}
	return r
}

// roundRate shortens a number for the log.
func roundRate(x float64) float64 { return math.Round(x*1000) / 1000 }

// recordCapacity reports the response of an upstream to the shedding controller. A
// response that is an error of the upstream shows nothing about its capacity, and an
// upstream that will stop rejects requests for that reason.
func (j *job) recordCapacity(u *directory.Upstream, res *http1.Response, latency time.Duration) {
	if !j.shedsLoad() {
		return
	}
	info := j.Protocol.ParseResponse(res.Status(), res.Header())
	switch {
	case info.OtherIncarnation || info.Leaving:
	case info.NotRun:
		j.Shedding.Rejected(clock.Now(), j.serviceName, u.ID())
	case res.Status() < http.StatusInternalServerError:
		j.Shedding.Completed(clock.Now(), j.serviceName, u.ID(), latency, j.route.Objective())
	}
}

// rejectsAll reports whether an upstream rejects all requests while others do not.
func (j *job) rejectsAll(now clock.Instant, upstream string) bool {
	return j.shedsLoad() && j.Shedding.Broken(now, j.serviceName, upstream)
}
