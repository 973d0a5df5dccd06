package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/hemlockcroft/hemlockcroft/internal/caller/entry"
	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
)

// admit checks a request against the configuration and reads its body. It
// answers the request and returns false if it cannot be served.
func (j *job) admit() bool {
	j.StartupGate.wait(j.request.Context(), j.arrived, j.call.Timeout)
	j.config = j.ActiveConfig.Table()
	if j.config == nil {
		j.refuseAndClose("no configuration")
		return false
	}
	if limit := j.config.Limits().HeaderBytes; limit > 0 && entry.HeaderSize(j.request.Header) > limit {
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
	if !j.readBody() {
		return false
	}
	j.setDeadline()
	if timeLeft, stopping := j.TimeUntilStop(); stopping && j.remaining() > timeLeft {
		// It might be cut off; another router can serve it.
		j.refuseAndClose("this router is stopping")
		return false
	}
	j.pickService()
	return true
}

// authorize finds the workspace of the request's key.
func (j *job) authorize() bool {
	if !j.config.NeedsKey(j.route) {
		return true
	}
	if !j.ActiveConfig.Fresh(j.arrived) {
		j.refuseAndClose("configuration not confirmed")
		return false
	}
	j.workspace = j.config.Workspace(j.call.APIKey)
	if j.workspace == nil {
		j.respondError(http.StatusUnauthorized, "unknown key")
		return false
	}
	return true
}

// readBody reads the whole body, which may have to be sent more than once.
func (j *job) readBody() bool {
	limit := int64(j.config.Limits().BodyBytes)
	body := j.request.Body
	if limit > 0 {
		body = http.MaxBytesReader(j.writer, body, limit)
	}
	var err error
	j.body, err = io.ReadAll(body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		j.respondError(http.StatusRequestEntityTooLarge, "body too large")
	case err != nil:
		j.status = statusClientClosed
		j.logState("body", verdict.Errorf(verdict.NotRun, "read body: %w", err))
		panic(http.ErrAbortHandler)
	}
	return err == nil
}

// setDeadline bounds the request by the caller's patience and the route's timeout.
func (j *job) setDeadline() {
	limit := j.route.Timeout()
	if j.call.Timeout > 0 && (limit == 0 || j.call.Timeout < limit) {
		limit = j.call.Timeout
	}
	if limit == 0 {
		limit = defaultTimeout
	}
	j.deadline = j.arrived.Add(limit)
	j.ctx, j.cancel = context.WithTimeout(j.request.Context(), limit)
}

// pickService picks one of the route's services; requests that share a prompt
// go to the same one.
func (j *job) pickService() {
	key := j.call.affinityKey()
	if key == "" || !j.route.Affine() {
		key = j.call.ID
	}
	name := j.route.Service(key)
	j.service = j.config.Service(name)
	j.serviceName = name
}
