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
	j.Start.await(j.request.Context(), j.arrived, j.call.Patience)
	j.table = j.Authority.Table()
	if j.table == nil {
		j.sendAway("no configuration")
		return false
	}
	if limit := j.table.Limits().HeaderBytes; limit > 0 && entry.HeaderSize(j.request.Header) > limit {
		j.reject(http.StatusRequestHeaderFieldsTooLarge, "header too large")
		return false
	}
	path, _, _ := strings.Cut(j.request.RequestURI, "?")
	j.route = j.table.Match(j.request.Host, path)
	if j.route == nil {
		j.reject(http.StatusNotFound, "no route")
		return false
	}
	if !j.authorize() {
		return false
	}
	if !j.readBody() {
		return false
	}
	j.limitTime()
	if left, ending := j.TimeLeft(); ending && j.remaining() > left {
		// It might be cut off; another router can serve it.
		j.sendAway("this router is stopping")
		return false
	}
	j.pickService()
	return true
}

// authorize finds the workspace of the request's key.
func (j *job) authorize() bool {
	if !j.table.NeedsKey(j.route) {
		return true
	}
	if !j.Authority.Fresh(j.arrived) {
		j.sendAway("configuration not confirmed")
		return false
	}
	j.workspace = j.table.Workspace(j.call.Key)
	if j.workspace == nil {
		j.reject(http.StatusUnauthorized, "unknown key")
		return false
	}
	return true
}

// readBody reads the whole body, which may have to be sent more than once.
func (j *job) readBody() bool {
	limit := int64(j.table.Limits().BodyBytes)
	body := j.request.Body
	if limit > 0 {
		body = http.MaxBytesReader(j.writer, body, limit)
	}
	var err error
	j.body, err = io.ReadAll(body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		j.reject(http.StatusRequestEntityTooLarge, "body too large")
	case err != nil:
		j.status = statusGone
		j.note("body", verdict.Errorf(verdict.NotRun, "read body: %w", err))
		panic(http.ErrAbortHandler)
	}
	return err == nil
}

// limitTime bounds the request by the caller's patience and the route's timeout.
func (j *job) limitTime() {
	limit := j.route.Timeout()
	if j.call.Patience > 0 && (limit == 0 || j.call.Patience < limit) {
		limit = j.call.Patience
	}
	if limit == 0 {
		limit = defaultPatience
	}
	j.deadline = j.arrived.Add(limit)
	j.ctx, j.cancel = context.WithTimeout(j.request.Context(), limit)
}

// pickService picks one of the route's services; requests that share a prompt
// go to the same one.
func (j *job) pickService() {
	key := j.call.affinity()
	if key == "" || !j.route.Affine() {
		key = j.call.ID
	}
	name := j.route.Service(key)
	j.service = j.table.Service(name)
	j.serviceName = name
}
