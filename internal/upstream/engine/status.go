package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/httpresponse"
)

// StatusError is an error response of an engine.
type StatusError struct {
	status     int
	message    string
	verdict    verdict.Verdict
	retryAfter time.Duration
}

// Status returns the HTTP status of the response.
func (e *StatusError) Status() int { return e.status }

// Message returns the error message of the engine, which may be empty.
func (e *StatusError) Message() string { return e.message }

// Error returns the status and the message of the engine.
func (e *StatusError) Error() string {
	return fmt.Sprintf("engine returned status %d: %s", e.status, e.message)
}

// requestErrorStatuses are the statuses of an invalid request, which any other
// engine would reject as well.
var requestErrorStatuses = map[int]bool{
	http.StatusBadRequest:            true,
	http.StatusRequestEntityTooLarge: true,
	http.StatusUnsupportedMediaType:  true,
	http.StatusUnprocessableEntity:   true,
}

// IsRequestError reports whether err is the rejection of an invalid request, which
// any other engine would reject as well.
func IsRequestError(err error) bool {
	var e *StatusError
	return errors.As(err, &e) && requestErrorStatuses[e.status]
}

// readStatusError reads an error response with at most maxErrorBodyBytes of its
// body. A response that breaks off is no rejection, unless its head states that the
// request did not run.
func readStatusError(resp *http.Response) (*StatusError, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	if err != nil && !httpresponse.ReportsNotRun(resp) {
		return nil, fmt.Errorf("read response with status %d: %w", resp.StatusCode, err)
	}
	e := &StatusError{status: resp.StatusCode, message: errorMessage(body), retryAfter: httpresponse.RetryAfter(resp.Header)}
	if httpresponse.ReportsNotRun(resp) {
		e.verdict = verdict.NotRun
	}
	return e, nil
}

// errorMessage returns the message of {"error":{"message":...}}, or else the body
// as text.
func errorMessage(body []byte) string {
	var payload struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &payload) == nil && payload.Error.Message != "" {
		return payload.Error.Message
	}
	return strings.ToValidUTF8(strings.TrimSpace(string(body)), "")
}
