package forward

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/quarantine"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/http1"
)

// errQuarantined means that parts of the prompt are quarantined.
var errQuarantined = errors.New("parts of the prompt are quarantined")

// quarantineError is an errQuarantined that names the parts.
type quarantineError struct {
	parts      string
	crashes    int
	retryAfter time.Duration
}

func (e *quarantineError) Error() string {
	return fmt.Sprintf("upstreams crash on this part of the prompt: %s (%d crashes)", e.parts, e.crashes)
}

// Is reports whether target is errQuarantined.
func (e *quarantineError) Is(target error) bool { return target == errQuarantined }

// QuarantineRefusals returns the number of requests refused so far because of
// quarantined parts.
func (g *Gateway) QuarantineRefusals() int64 { return g.quarantineRefusals.Load() }

// parts returns the parts of the prompt that other requests share. They are not kept, since
// a long prompt has thousands.
func (j *job) parts() []quarantine.Part {
	if j.info.Parts == nil {
		return nil
	}
	return quarantine.NewParts(j.serviceName, slices.Collect(j.info.Parts))
}

// checkQuarantine refuses a request with quarantined parts and returns false. No
// other router could serve it either.
func (j *job) checkQuarantine() bool {
	now := clock.Now()
	if j.info.Parts == nil || j.Quarantine.Empty(now) {
		return true
	}
	e, found := j.Quarantine.Check(now, j.parts(), j.MayProbe)
	if !found {
		return true
	}
	err := j.quarantineError(now, e)
	j.refuse(err.Error(), err.retryAfter)
	return false
}

// quarantined returns an error if parts of the prompt were quarantined since the
// request was admitted.
func (j *job) quarantined(now clock.Instant) error {
	if j.info.Parts == nil || j.Quarantine.Empty(now) {
		return nil
	}
	if e, found := j.Quarantine.Forbids(now, j.parts()); found {
		return j.quarantineError(now, e)
	}
	return nil
}

// quarantineError counts and logs a request that is kept from the upstreams.
func (j *job) quarantineError(now clock.Instant, e quarantine.Entry) *quarantineError {
	j.quarantineRefusals.Add(1)
	var names []string
	for _, p := range e.Parts() {
		names = append(names, p.Name())
	}
	j.log().WithFields(e.Fields(now)).Info("request has quarantined parts")
	return &quarantineError{parts: strings.Join(names, "+"), crashes: e.Crashes(), retryAfter: e.RetryAfter(now)}
}

// recordSound records that the response to the current attempt began at a time and
// is complete. The end of a body that is not delimited may hide a crash.
func (j *job) recordSound(res *http1.Response, began clock.Instant) {
	if j.info.Parts == nil || began == 0 || !res.Delimited() {
		return
	}
	j.Quarantine.RecordSuccess(clock.Now(), began, j.parts())
}
