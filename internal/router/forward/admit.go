package forward

import (
	"context"
	"errors"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/caller/httpapi"
	"github.com/hemlockcroft/hemlockcroft/internal/caller/intake"
	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	"github.com/hemlockcroft/hemlockcroft/internal/router/route"
)

// admit checks a request against the configuration and reads its body. If the
// request cannot be served, it sends the response and returns false.
func (j *job) admit() bool {
	if err := j.account.Begin(j.arrivedAt); err != nil {
		j.lastErr = err
		j.refuseAndClose(errNoMemory.Error())
		return false
	}
	j.StartupGate.wait(j.request.Context(), j.arrivedAt, j.info.Timeout)
	j.config = j.ActiveConfig.Table()
	if j.config == nil {
		j.refuseAndClose("no configuration")
		return false
	}
	if headerTooLarge(j.config, j.request.Header) {
		j.respondError(http.StatusRequestHeaderFieldsTooLarge, "header too large")
		return false
	}
	path, _, _ := strings.Cut(j.request.RequestURI, "?")
	j.route = j.config.Match(j.request.Host, path)
	if j.route == nil {
		j.respondError(http.StatusNotFound, "no route")
		return false
	}
	if !j.authorize() {
		return false
	}
	j.setDeadline()
	if !j.readBody() {
		return false
	}
	if j.outlastsShutdown() {
		// Another router can serve the request.
		j.refuseAndClose("this router is stopping")
		return false
	}
	j.pickService()
	return j.checkQuarantine()
}

// outlastsShutdown reports whether a planned shutdown could cut the request off. A stream
// that its caller can resume elsewhere is served as long as new connections are expected,
// since most end long before their deadline.
func (j *job) outlastsShutdown() bool {
	timeLeft, stopping := j.ShutdownTimeLeft()
	return stopping && j.remaining() > timeLeft && (j.ClosingConnections() || !j.route.Resumable())
}

// headerTooLarge reports whether a header exceeds the limit of the configuration.
func headerTooLarge(t *route.Table, h http.Header) bool {
	limit := t.Limits().HeaderBytes
	return limit > 0 && httpapi.HeaderSize(h) > limit
}

// authorize looks up the workspace of the API key. It sends an error response
// and returns false if a required key is not accepted.
func (j *job) authorize() bool {
	if !j.config.NeedsKey(j.route) {
		return true
	}
	if !j.ActiveConfig.Fresh(j.arrivedAt) {
		j.refuseAndClose("configuration not confirmed")
		return false
	}
	j.workspace = j.config.Workspace(j.info.APIKey)
	if j.workspace == nil {
		j.respondError(http.StatusUnauthorized, "unknown key")
		return false
	}
	return true
}

// errNoMemory is the reason that callers get when the budget for callers is used up.
var errNoMemory = errors.New("too much in progress at this router")

// maxBodyBytes limits the body of a request if the configuration does not, to
// protect the host's memory.
const maxBodyBytes = 8 << 20

// readBody reads the whole body, since it may be sent more than once. It
// returns false after an error response.
func (j *job) readBody() bool {
	limit := int64(j.config.Limits().BodyBytes)
	if limit <= 0 {
		limit = maxBodyBytes
	}
	err := j.limitBodyTime(time.Now().Add(j.remaining()))
	if err == nil {
		j.body, err = j.account.ReadSegments(http.MaxBytesReader(j.writer, j.request.Body, limit), j.request.ContentLength)
	}
	if err == nil {
		// After an error the deadline stays, since the server reads on after the
		// response.
		err = j.limitBodyTime(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, intake.ErrFull) || errors.Is(err, intake.ErrYield):
		j.lastErr = err
		j.refuseAndClose(errNoMemory.Error())
	case errors.Is(err, os.ErrDeadlineExceeded):
		j.writer.Header().Set("Connection", "close")
		j.respondError(http.StatusRequestTimeout, "body not received in time")
	case errors.As(err, &tooLarge):
		j.respondError(http.StatusRequestEntityTooLarge, "body too large")
	case err != nil:
		j.status = statusClientClosed
		j.logState("body", verdict.Errorf(verdict.NotRun, "read body: %w", err))
		panic(http.ErrAbortHandler)
	}
	return err == nil
}

// limitBodyTime sets the time until which the body must have arrived, zero for no
// limit, so that a caller that sends it too slowly does not hold its connection
// forever. Without a body the server reads the connection itself.
func (j *job) limitBodyTime(t time.Time) error {
	if j.request.ContentLength == 0 {
		return nil
	}
	return http.NewResponseController(j.writer).SetReadDeadline(t)
}

// setDeadline limits the request to the caller's timeout or the route's,
// whichever is shorter.
func (j *job) setDeadline() {
	limit := j.route.Timeout()
	if j.info.Timeout > 0 && (limit == 0 || j.info.Timeout < limit) {
		limit = j.info.Timeout
	}
	if limit == 0 {
		limit = defaultTimeout
	}
	j.deadline = j.arrivedAt.Add(limit)
	j.ctx, j.cancel = context.WithTimeout(j.request.Context(), limit)
}

// pickService picks one of the route's services. Affine requests with the same
// affinity key get the same one.
func (j *job) pickService() {
	name := j.route.Service(j.info.placementKey(j.route.Affine()))
	j.service = j.config.Service(name)
	j.serviceName = name
}
