package forward

import (
	"errors"
	"net/http"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	"github.com/hemlockcroft/hemlockcroft/internal/router/directory"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rollout"
)

// recordOutcome records how an attempt that began at a time ended, for the comparison of
// two versions of the service. began is 0 if the attempt took over a stream.
func (j *job) recordOutcome(u *directory.Upstream, began clock.Instant, err error) {
	if errors.Is(err, errCallerLeft) || j.request.Context().Err() != nil || err != nil && verdict.FromError(err) == verdict.NotRun {
		return
	}
	now := clock.Now()
	o := rollout.Outcome{Failed: err != nil || j.status >= http.StatusInternalServerError}
	if !o.Failed && began != 0 {
		switch {
		case j.attemptBegan == 0:
			o.Response = now.Sub(began)
		case j.attemptEvents > 1:
			o.Response = now.Sub(j.attemptBegan) / time.Duration(j.attemptEvents-1)
			fallthrough
		default:
			o.FirstEvent = j.attemptBegan.Sub(began)
		}
	}
	j.Rollouts.RecordOutcome(j.serviceName, j.route.Name(), u, o)
}
