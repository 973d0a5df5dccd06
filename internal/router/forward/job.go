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
	// defaultPatience bounds requests whose caller and route set no limit.
	defaultPatience = 30 * time.Second
	// retrySoon is the advised wait where another router can probably serve.
	retrySoon = 50 * time.Millisecond
	// retryLater is the advised wait where the service must recover first.
	retryLater = 250 * time.Millisecond
	// leastRemaining is the time below which a request is not sent any more.
	leastRemaining = 5 * time.Millisecond

	statusGone = entry.StatusGone
)

var (
	errNoUpstream = errors.New("no upstream may receive the request")
	errNoTime     = errors.New("the time of the request is over")
	errLeft       = errors.New("the caller left")
	errStalled    = errors.New("the upstream sends nothing")
)

// job is one request of a caller on its way.
type job struct {
	*Gateway
	writer  http.ResponseWriter
	request *http.Request
	call    Call
	arrived clock.Instant
	start   time.Time

	table       *route.Table
	route       *route.Route
	workspace   *route.Workspace
	service     *route.Service
	serviceName string
	body        []byte

	ctx      context.Context
	cancel   context.CancelFunc
	deadline clock.Instant

	// sent counts the upstreams that the request reached.
	sent  int
	tried map[string]bool
	// mayHaveRun is set once an upstream may have run the request.
	mayHaveRun bool
	// held is a complete answer of an upstream's own failure, which is relayed
	// if no other upstream does better.
	held *reply
	// begun is set once a part of a stream went to the caller.
	begun bool
	// bound is the highest load that the last choice allowed, 0 if none applied.
	bound int
	// stall cancels the attempt if the upstream sends nothing for too long.
	stall     *time.Timer
	lastEvent string

	upstream   string
	status     int
	firstEvent time.Duration
	failure    error
}

// run sends the request until it is answered or may not be sent again.
func (j *job) run() {
	j.Retry.Request(j.arrived, j.serviceName)
	for {
		err := j.try()
		if err == nil {
			return
		}
		j.failure = err
		if verdict.Of(err) != verdict.NotRun {
			j.mayHaveRun = true
		}
		if !j.again(err) {
			j.giveUp(err)
			return
		}
	}
}

// again reports whether the request may be sent once more after err.
func (j *job) again(err error) bool {
	why := ""
	switch {
	case j.request.Context().Err() != nil:
		why = "caller left"
	case errors.Is(err, errNoUpstream) || errors.Is(err, errNoTime) || errors.Is(err, errLeft):
		why = "final"
	case j.remaining() < leastRemaining:
		why = "no time"
	case j.mayHaveRun && !j.route.MayRepeat():
		why = "may have run"
	case j.begun && j.lastEvent == "":
		why = "no event to resume after"
	case j.sent >= j.route.MaxAttempts() || len(j.tried) > j.route.MaxAttempts()+maxUnsent:
		why = "attempts used"
	case j.sent > 0 && !j.Retry.Repeat(clock.Now(), j.serviceName, len(j.Board.LiveRouters(clock.Now()))):
		why = "retry budget used"
	}
	j.log().WithFields(logrus.Fields{
		"error": err, "upstream": j.upstream, "verdict": verdict.Of(err), "again": why == "", "why": why, "tried": len(j.tried),
	}).Info("attempt failed")
	return why == ""
}

// maxUnsent bounds the upstreams that could not be reached for one request.
const maxUnsent = 3

func (j *job) remaining() time.Duration { return j.deadline.Sub(clock.Now()) }

// giveUp gives the final answer of a request that no upstream answered.
func (j *job) giveUp(err error) {
	switch {
	case j.request.Context().Err() != nil || errors.Is(err, errLeft):
		j.status = statusGone
		panic(http.ErrAbortHandler)
	case j.begun:
		// The caller must see that the stream is not complete.
		panic(http.ErrAbortHandler)
	case j.held != nil:
		j.relay(j.held)
	case !j.mayHaveRun:
		j.refuse(err.Error(), retryAfter(err))
	case j.remaining() < leastRemaining:
		j.reject(http.StatusGatewayTimeout, "no answer in time")
	default:
		j.reject(http.StatusBadGateway, "upstream failed")
	}
}

func retryAfter(err error) time.Duration {
	var v *verdict.Error
	if errors.As(err, &v) && v.RetryAfter() > 0 {
		return v.RetryAfter()
	}
	if errors.Is(err, errNoUpstream) {
		return retryLater
	}
	return retrySoon
}

// refuse answers that the request did not run and when to try again.
func (j *job) refuse(why string, wait time.Duration) {
	j.writer.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	j.reject(http.StatusServiceUnavailable, why)
}

// sendAway refuses a request that this router cannot serve and others probably
// can. It closes the connection, since the balancer leaves those that are open
// where they are.
func (j *job) sendAway(why string) {
	j.writer.Header().Set("Connection", "close")
	j.refuse(why, retrySoon)
}

// reject answers the request with a status of the router's own.
func (j *job) reject(status int, why string) {
	j.status = status
	if j.failure == nil {
		j.failure = errors.New(why)
	}
	j.Protocol.Echo(j.writer.Header(), j.call.ID)
	http.Error(j.writer, why, status)
}

// close ends the request and logs its outcome.
func (j *job) close() {
	if j.cancel != nil {
		j.cancel()
	}
	e := admission.Event{
		RequestID: j.call.ID, Service: j.serviceName, Upstream: j.upstream, Attempts: j.sent,
		Status: j.status, Err: j.failure, Start: j.start, FirstToken: j.firstEvent,
		Total: clock.Since(j.arrived), Verdict: j.verdict(),
	}
	if j.workspace != nil {
		e.Workspace = j.workspace.Name()
	}
	if j.route != nil {
		e.Class = j.route.Kind().String()
	}
	j.Observer.Ended(e)
	j.note("end", j.failure)
}

func (j *job) verdict() verdict.Verdict {
	switch {
	case j.status == http.StatusOK:
		return verdict.Ran
	case j.mayHaveRun:
		return verdict.Unknown
	}
	return verdict.NotRun
}

// note logs the state of the request.
func (j *job) note(message string, err error) {
	j.log().WithFields(logrus.Fields{
		"status": j.status, "ms": clock.Since(j.arrived).Milliseconds(), "first_ms": j.firstEvent.Milliseconds(),
		"attempts": j.sent, "upstream": j.upstream, "executed": j.verdict(), "error": err,
	}).Info(message)
}

// log returns a logger with what identifies the request and the configuration
// that decides it.
func (j *job) log() logrus.FieldLogger {
	f := logrus.Fields{"request": j.call.ID, "config_age_ms": j.Authority.Age(clock.Now()).Milliseconds()}
	if j.table != nil {
		f["config"] = j.table.Version()
	}
	if j.route != nil {
		f["route"] = j.route.Name()
	}
	return j.Log.WithFields(f)
}
