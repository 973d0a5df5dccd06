package plain

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	"github.com/hemlockcroft/hemlockcroft/internal/router/shedding"
	upstream "github.com/hemlockcroft/hemlockcroft/internal/upstream/plain"
)

// errNotAdmitted means that the service rejects calls because it is full, and that this
// one is not among those that are sent.
var errNotAdmitted = errors.New("the capacity of the service is short; this call was not executed")

// noDeadline is the remaining time of a call without a deadline.
const noDeadline = 24 * time.Hour

// loadShedder decides which calls are sent while a service is short of capacity.
type loadShedder struct {
	controller *shedding.Controller
	// priority returns the priority of calls of a workspace in a class, 0 for the most
	// urgent. An empty class is the workspace's default.
	priority func(workspace, class string) int
	// refused is called for each refused call.
	refused func(requestID string, r shedding.Request, d shedding.Decision)
}

// WithShedding lets a controller decide which calls are sent while a service is short of
// capacity, before they queue for admission. priority returns the priority of calls of a
// workspace in a class, and refused is called for each refused call.
func WithShedding(c *shedding.Controller, priority func(workspace, class string) int, refused func(requestID string, r shedding.Request, d shedding.Decision)) Option {
	return func(h *Handler) { h.shedder = &loadShedder{c, priority, refused} }
}

// checkCapacity returns an error if the next attempt must not be sent because the
// capacity of the service is short.
func (x *exchange) checkCapacity(ctx context.Context) error {
	s := x.handler.shedder
	if s == nil {
		return nil
	}
	r := shedding.Request{
		Service: x.summary.Service, Workspace: x.summary.Workspace, Priority: s.priority(x.summary.Workspace, x.summary.Class),
		Elapsed: time.Since(x.summary.Start), Remaining: noDeadline,
	}
	if deadline, ok := ctx.Deadline(); ok {
		r.Remaining = time.Until(deadline)
	}
	d := s.controller.Admit(clock.Now(), r)
	if d.Admitted() {
		return nil
	}
	s.refused(x.summary.RequestID, r, d)
	err := verdict.New(verdict.NotRun, errNotAdmitted).WithStatus(http.StatusServiceUnavailable).WithRetryAfter(d.RetryAfter)
	return withNotRunVerdict(&admissionError{err: err})
}

// recordCapacity reports the result of an attempt that began at a time. A response that is
// an error of the service shows nothing about its capacity.
func (x *exchange) recordCapacity(upstreamID string, began time.Time, response *upstream.Response, err error) {
	s := x.handler.shedder
	switch {
	case s == nil:
	case errors.Is(err, upstream.ErrNotRun):
		s.controller.Rejected(clock.Now(), x.summary.Service, upstreamID)
	case err == nil && response.Status() < http.StatusInternalServerError:
		s.controller.Completed(clock.Now(), x.summary.Service, upstreamID, time.Since(began), 0)
	}
}
