package forward

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/caller/httpapi"
	"github.com/hemlockcroft/hemlockcroft/internal/caller/intake"
	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/request/admission"
	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	"github.com/hemlockcroft/hemlockcroft/internal/router/route"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/http1"
)

const (
	// defaultTimeout applies if neither the caller nor the route sets a
	// timeout.
	defaultTimeout = 30 * time.Second
	// shortRetryAfter is the Retry-After time if another router can probably
	// serve the request.
	shortRetryAfter = 50 * time.Millisecond
	// longRetryAfter is the Retry-After time if the service must recover first.
	longRetryAfter = 250 * time.Millisecond
	// minRemaining is the time before the deadline below which no attempt is
	// sent.
	minRemaining = 5 * time.Millisecond

	statusClientClosed = httpapi.StatusClientClosedRequest
)

var (
	errNoUpstream       = errors.New("no upstream may receive the request")
	errDeadlineExceeded = errors.New("the time of the request is over")
	errCallerLeft       = errors.New("the caller left")
	errUpstreamStalled  = errors.New("the upstream sends nothing")
)

// job is the state of one caller's request while it is served.
type job struct {
	*Gateway
	writer    http.ResponseWriter
	request   *http.Request
	info      RequestInfo
	arrivedAt clock.Instant
	startTime time.Time

	config      *route.Table
	route       *route.Route
	workspace   *route.Workspace
	service     *route.Service
	serviceName string
	body        http1.Body
	// account is that of the caller's connection, nil without one.
	account *intake.Connection

	ctx      context.Context
	cancel   context.CancelFunc
	deadline clock.Instant

	// attemptsSent counts the attempts that reached an upstream.
	attemptsSent int
	// admittedAttempt is the number of the attempt that was admitted last, from 1.
	admittedAttempt int
	tried           map[string]bool
	// mayHaveRun is set once an upstream may have run the request.
	mayHaveRun bool
	// fallback is a complete 5xx response of an upstream, which is relayed if
	// all further attempts fail as well.
	fallback *bufferedResponse
	// relayed is set once a part of an upstream's response, of any status, was sent
	// to the caller.
	relayed bool
	// responseStarted is set once a part of the response was sent to the
	// caller.
	responseStarted bool
	// loadBound is the highest load that the last pick allowed, 0 if no bound
	// applied.
	loadBound int
	// stall cancels the current attempt if the upstream makes no progress.
	stall *stallGuard
	// timing measures the current attempt.
	timing *attemptTiming
	// reading follows the prompt of the current attempt, and uncached is how many of its
	// tokens the picked engine has to read.
	reading  *promptReading
	uncached int
	// next is the attempt that takes over the stream from the current one.
	next      *successor
	lastEvent string
	// contentType is that of the stream that the caller receives.
	contentType string
	// attemptBegan is when the first event of the current attempt arrived, 0 before.
	attemptBegan clock.Instant
	// attemptEvents is the number of events of the current attempt.
	attemptEvents int

	upstream        string
	status          int
	firstEventDelay time.Duration
	lastErr         error
}

// run sends the request until it is answered or must not be retried.
func (j *job) run() {
	j.RetryBudget.CountRequest(j.arrivedAt, j.serviceName)
	for {
		err := j.sendOnce()
		for errors.Is(err, errHandedOver) {
			err = j.takeOver(j.next)
		}
		if err == nil {
			return
		}
		j.lastErr = err
		if verdict.FromError(err) != verdict.NotRun {
			j.mayHaveRun = true
		}
		if !j.shouldRetry(err) {
			j.finishWithoutResponse(err)
			return
		}
	}
}

// shouldRetry reports whether the request may be sent again after err.
func (j *job) shouldRetry(err error) bool {
	reason := ""
	switch {
	case j.request.Context().Err() != nil:
		reason = "caller left"
	case errors.Is(err, errNoUpstream) || errors.Is(err, errDeadlineExceeded) || errors.Is(err, errCallerLeft) || errors.Is(err, errQuarantined) || errors.Is(err, errNotAdmitted):
		reason = "final"
	case j.remaining() < minRemaining:
		reason = "no time"
	case j.mayHaveRun && !j.route.Retryable():
		reason = "may have run"
	case j.responseStarted && j.lastEvent == "":
		reason = "no event to resume after"
	case j.attemptsSent >= j.route.MaxAttempts() || len(j.tried) > j.route.MaxAttempts()+maxUnreached:
		reason = "attempts used"
	case j.attemptsSent > 0 && !j.stall.replaced() && !j.allowRetry():
		reason = "retry budget used"
	}
	j.log().WithFields(logrus.Fields{
		"error": err, "upstream": j.upstream, "verdict": verdict.FromError(err), "again": reason == "", "why": reason, "tried": len(j.tried),
	}).Info("attempt failed")
	return reason == ""
}

// allowRetry reports whether the retry budget allows another attempt, and counts
// the attempt if so.
func (j *job) allowRetry() bool {
	now := clock.Now()
	return j.RetryBudget.AllowRetry(now, j.serviceName, len(j.Gossip.LiveRouters(now)))
}

// reserveRetry reports whether an upstream that was not tried yet can replace the
// current one, and counts the attempt against the retry budget if so.
func (j *job) reserveRetry() bool {
	now := clock.Now()
	for _, u := range j.Directory.Receiving(j.serviceName) {
		if !j.tried[u.ID()] && j.Health.PauseLeft(now, u.ID()) == 0 {
			return j.allowRetry()
		}
	}
	return false
}

// maxUnreached bounds the attempts of a request that did not reach an upstream.
const maxUnreached = 3

func (j *job) remaining() time.Duration { return j.deadline.Sub(clock.Now()) }

// finishWithoutResponse ends a request after its last attempt failed.
func (j *job) finishWithoutResponse(err error) {
	switch {
	case j.request.Context().Err() != nil || errors.Is(err, errCallerLeft):
		j.status = statusClientClosed
		panic(http.ErrAbortHandler)
	case j.responseStarted:
		httpapi.AbortResponse(j.writer, j.request)
	case j.fallback != nil:
		j.writeResponse(j.fallback)
	case !j.mayHaveRun:
		j.refuse(err.Error(), retryAfter(err))
	case j.remaining() < minRemaining:
		j.respondError(http.StatusGatewayTimeout, "no answer in time")
	default:
		j.respondError(http.StatusBadGateway, "upstream failed")
	}
}

func retryAfter(err error) time.Duration {
	var quarantined *quarantineError
	if errors.As(err, &quarantined) {
		return quarantined.retryAfter
	}
	var v *verdict.Error
	if errors.As(err, &v) && v.RetryAfter() > 0 {
		return v.RetryAfter()
	}
	if errors.Is(err, errNoUpstream) {
		return longRetryAfter
	}
	return shortRetryAfter
}

// refuse responds that the request did not run and when to retry.
func (j *job) refuse(reason string, wait time.Duration) {
	j.writer.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	j.respondError(http.StatusServiceUnavailable, reason)
}

// refuseAndClose refuses a request that other routers can probably serve. It
// closes the connection, since the load balancer does not move open connections
// to another router.
func (j *job) refuseAndClose(reason string) {
	j.writer.Header().Set("Connection", "close")
	j.refuse(reason, shortRetryAfter)
}

// respondError sends an error response generated by the router.
func (j *job) respondError(status int, reason string) {
	j.status = status
	if j.lastErr == nil {
		j.lastErr = errors.New(reason)
	}
	j.Protocol.SetRequestID(j.writer.Header(), j.info.ID)
	http.Error(j.writer, reason, status)
}

// finish releases the job's resources and reports the outcome.
func (j *job) finish() {
	if j.cancel != nil {
		j.cancel()
	}
	summary := admission.RequestSummary{
		RequestID: j.info.ID, Service: j.serviceName, Upstream: j.upstream, Attempts: j.attemptsSent,
		Status: j.status, Err: j.lastErr, Start: j.startTime, TimeToFirstToken: j.firstEventDelay,
		TotalTime: clock.Since(j.arrivedAt), Verdict: j.executionVerdict(),
	}
	if j.workspace != nil {
		summary.Workspace = j.workspace.Name()
	}
	if j.route != nil {
		summary.Class = j.route.Kind().String()
	}
	j.Observer.RequestEnded(summary)
	j.logState("end", j.lastErr)
}

func (j *job) executionVerdict() verdict.Verdict {
	switch {
	case j.relayed:
		return verdict.Ran
	case j.mayHaveRun:
		return verdict.Unknown
	}
	return verdict.NotRun
}

// logState logs the progress or outcome of the request.
func (j *job) logState(message string, err error) {
	j.log().WithFields(logrus.Fields{
		"status": j.status, "ms": clock.Since(j.arrivedAt).Milliseconds(), "first_ms": j.firstEventDelay.Milliseconds(),
		"attempts": j.attemptsSent, "upstream": j.upstream, "executed": j.executionVerdict(), "error": err,
	}).Info(message)
}

// log returns a logger with the fields that identify the request and the
// configuration that applies to it.
func (j *job) log() logrus.FieldLogger {
	f := logrus.Fields{"request": j.info.ID, "config_age_ms": j.ActiveConfig.Age(clock.Now()).Milliseconds()}
	if j.config != nil {
		f["config"] = j.config.Version()
	}
	if j.route != nil {
		f["route"] = j.route.Name()
	}
	return j.Log.WithFields(f)
}
