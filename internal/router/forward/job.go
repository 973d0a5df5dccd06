package forward

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/caller/entry"
	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/request/admission"
	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	"github.com/hemlockcroft/hemlockcroft/internal/router/route"
)

const (
	// defaultTimeout bounds requests whose caller and route set no limit.
	defaultTimeout = 30 * time.Second
	// shortRetryAfter is the advised wait where another router can probably serve.
	shortRetryAfter = 50 * time.Millisecond
	// longRetryAfter is the advised wait where the service must recover first.
	longRetryAfter = 250 * time.Millisecond
	// minRemaining is the time below which a request is not sent any more.
	minRemaining = 5 * time.Millisecond

	statusClientClosed = entry.StatusGone
)

var (
	errNoUpstream       = errors.New("no upstream may receive the request")
	errDeadlineExceeded = errors.New("the time of the request is over")
	errCallerLeft       = errors.New("the caller left")
	errUpstreamStalled  = errors.New("the upstream sends nothing")
)

// job is one request of a caller on its way.
type job struct {
	*Gateway
	writer    http.ResponseWriter
	request   *http.Request
	call      RequestInfo
	arrived   clock.Instant
	startTime time.Time

	config      *route.Table
	route       *route.Route
	workspace   *route.Workspace
	service     *route.Service
	serviceName string
	body        []byte

	ctx      context.Context
	cancel   context.CancelFunc
	deadline clock.Instant

	// attemptsSent counts the upstreams that the request reached.
	attemptsSent int
	tried        map[string]bool
	// mayHaveRun is set once an upstream may have run the request.
	mayHaveRun bool
	// fallback is a complete answer of an upstream's own failure, which is relayed
	// if no other upstream does better.
	fallback *bufferedResponse
	// responseStarted is set once a part of a stream went to the caller.
	responseStarted bool
	// loadBound is the highest load that the last choice allowed, 0 if none applied.
	loadBound int
	// stallTimer cancels the attempt if the upstream sends nothing for too long.
	stallTimer *time.Timer
	lastEvent  string

	upstream         string
	status           int
	timeToFirstEvent time.Duration
	failure          error
}

// run sends the request until it is answered or may not be sent again.
func (j *job) run() {
	j.RetryBudget.CountRequest(j.arrived, j.serviceName)
	for {
		err := j.sendOnce()
		if err == nil {
			return
		}
		j.failure = err
		if verdict.FromError(err) != verdict.NotRun {
			j.mayHaveRun = true
		}
		if !j.shouldRetry(err) {
			j.finishUnanswered(err)
			return
		}
	}
}

// shouldRetry reports whether the request may be sent once more after err.
func (j *job) shouldRetry(err error) bool {
	reason := ""
	switch {
	case j.request.Context().Err() != nil:
		reason = "caller left"
	case errors.Is(err, errNoUpstream) || errors.Is(err, errDeadlineExceeded) || errors.Is(err, errCallerLeft):
		reason = "final"
	case j.remaining() < minRemaining:
		reason = "no time"
	case j.mayHaveRun && !j.route.Retryable():
		reason = "may have run"
	case j.responseStarted && j.lastEvent == "":
		reason = "no event to resume after"
	case j.attemptsSent >= j.route.MaxAttempts() || len(j.tried) > j.route.MaxAttempts()+maxUnreached:
		reason = "attempts used"
	case j.attemptsSent > 0 && !j.RetryBudget.AllowRetry(clock.Now(), j.serviceName, len(j.Board.Routers(clock.Now()))):
		reason = "retry budget used"
	}
	j.log().WithFields(logrus.Fields{
		"error": err, "upstream": j.upstream, "verdict": verdict.FromError(err), "again": reason == "", "why": reason, "tried": len(j.tried),
	}).Info("attempt failed")
	return reason == ""
}

// maxUnreached bounds the upstreams that could not be reached for one request.
const maxUnreached = 3

func (j *job) remaining() time.Duration { return j.deadline.Sub(clock.Now()) }

// finishUnanswered gives the final answer of a request that no upstream answered.
func (j *job) finishUnanswered(err error) {
	switch {
	case j.request.Context().Err() != nil || errors.Is(err, errCallerLeft):
		j.status = statusClientClosed
		panic(http.ErrAbortHandler)
	case j.responseStarted:
		// The caller must see that the stream is not complete.
		panic(http.ErrAbortHandler)
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
	var v *verdict.Error
	if errors.As(err, &v) && v.RetryAfter() > 0 {
		return v.RetryAfter()
	}
	if errors.Is(err, errNoUpstream) {
		return longRetryAfter
	}
	return shortRetryAfter
}

// refuse answers that the request did not run and when to try again.
func (j *job) refuse(reason string, wait time.Duration) {
	j.writer.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	j.respondError(http.StatusServiceUnavailable, reason)
}

// refuseAndClose refuses a request that this router cannot serve and others probably
// can. It closes the connection, since the balancer leaves those that are open
// where they are.
func (j *job) refuseAndClose(reason string) {
	j.writer.Header().Set("Connection", "close")
	j.refuse(reason, shortRetryAfter)
}

// respondError answers the request with a status of the router's own.
func (j *job) respondError(status int, reason string) {
	j.status = status
	if j.failure == nil {
		j.failure = errors.New(reason)
	}
	j.Protocol.SetRequestID(j.writer.Header(), j.call.ID)
	http.Error(j.writer, reason, status)
}

// finish ends the request and logs its outcome.
func (j *job) finish() {
	if j.cancel != nil {
		j.cancel()
	}
	e := admission.RequestSummary{
		RequestID: j.call.ID, Service: j.serviceName, Upstream: j.upstream, Attempts: j.attemptsSent,
		Status: j.status, Err: j.failure, Start: j.startTime, FirstToken: j.timeToFirstEvent,
		Total: clock.Since(j.arrived), Verdict: j.executionVerdict(),
	}
	if j.workspace != nil {
		e.Workspace = j.workspace.Name()
	}
	if j.route != nil {
		e.Class = j.route.Kind().String()
	}
	j.Observer.RequestEnded(e)
	j.logState("end", j.failure)
}

func (j *job) executionVerdict() verdict.Verdict {
	switch {
	case j.status == http.StatusOK:
		return verdict.Ran
	case j.mayHaveRun:
		return verdict.Unknown
	}
	return verdict.NotRun
}

// logState logs the state of the request.
func (j *job) logState(message string, err error) {
	j.log().WithFields(logrus.Fields{
		"status": j.status, "ms": clock.Since(j.arrived).Milliseconds(), "first_ms": j.timeToFirstEvent.Milliseconds(),
		"attempts": j.attemptsSent, "upstream": j.upstream, "executed": j.executionVerdict(), "error": err,
	}).Info(message)
}

// log returns a logger with what identifies the request and the configuration
// that decides it.
func (j *job) log() logrus.FieldLogger {
	f := logrus.Fields{"request": j.call.ID, "config_age_ms": j.ActiveConfig.Age(clock.Now()).Milliseconds()}
	if j.config != nil {
		f["config"] = j.config.Version()
	}
	if j.route != nil {
		f["route"] = j.route.Name()
	}
	return j.Log.WithFields(f)
}
