package chat

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/caller/entry"
	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/engine"
)

// fault is a request that is rejected before any work was done.
type fault struct {
	status  int
	code    string
	param   string
	message string
}

func (f *fault) Error() string { return f.message }

func invalid(param, format string, args ...any) *fault {
	return &fault{status: http.StatusBadRequest, code: "invalid_value", param: param, message: fmt.Sprintf(format, args...)}
}

// kinds are the error types of the published interface by status.
var kinds = map[int]string{
	http.StatusUnauthorized:       "authentication_error",
	http.StatusTooManyRequests:    "rate_limit_error",
	http.StatusBadGateway:         "api_error",
	http.StatusServiceUnavailable: "overloaded_error",
	http.StatusGatewayTimeout:     "timeout_error",
}

// failure is what a caller is told about a failed request.
type failure struct {
	status     int
	verdict    verdict.Verdict
	retryAfter time.Duration
	code       string
	param      string
	message    string
}

// describe turns the error and the verdict over all attempts into a failure.
func describe(err error, v verdict.Verdict) failure {
	var rejected *fault
	if errors.As(err, &rejected) {
		return failure{
			status: rejected.status, verdict: v, code: rejected.code,
			param: rejected.param, message: rejected.message,
		}
	}
	f := failure{status: status(err, v), verdict: v, code: codes[v], message: message(err, v)}
	if allowed[verdict.NotRun][f.status] {
		f.retryAfter = time.Second
		var judged *verdict.Error
		if errors.As(err, &judged) {
			f.retryAfter = max(f.retryAfter, judged.RetryAfter())
		}
	}
	return f
}

var codes = map[verdict.Verdict]string{
	verdict.NotRun:  "not_executed",
	verdict.Ran:     "incomplete",
	verdict.Unknown: "outcome_unknown",
}

var messages = map[verdict.Verdict]string{
	verdict.NotRun:  "no engine could take the request; it was not executed",
	verdict.Ran:     "the engine did not complete the answer",
	verdict.Unknown: "the engine failed; the request may have been executed",
}

// message returns the text for the caller. The texts of connection errors
// stay in the log, since they name addresses.
func message(err error, v verdict.Verdict) string {
	var refused *refusal
	var status *engine.StatusError
	switch {
	case v == verdict.NotRun && errors.As(err, &refused):
		return refused.Error()
	case engine.IsRequestError(err) && errors.As(err, &status):
		return status.Message()
	}
	return messages[v]
}

// allowed are the statuses for each verdict. A refusal would tell the caller
// that a repeat is harmless, so 429 and 503 go with "no" only.
var allowed = map[verdict.Verdict]map[int]bool{
	verdict.NotRun:  {http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true},
	verdict.Ran:     {http.StatusBadGateway: true, http.StatusGatewayTimeout: true},
	verdict.Unknown: {http.StatusBadGateway: true, http.StatusGatewayTimeout: true},
}

var defaults = map[verdict.Verdict]int{
	verdict.NotRun:  http.StatusServiceUnavailable,
	verdict.Ran:     http.StatusBadGateway,
	verdict.Unknown: http.StatusBadGateway,
}

// status returns the status that the error asks for if it agrees with the
// verdict.
func status(err error, v verdict.Verdict) int {
	var judged *verdict.Error
	if !errors.As(err, &judged) {
		return defaults[v]
	}
	s := judged.Status()
	// A refusal may also be final, such as 403 for a disabled workspace.
	final := v == verdict.NotRun && s >= http.StatusBadRequest && s < http.StatusInternalServerError
	if allowed[v][s] || final || engine.IsRequestError(err) {
		return s
	}
	return defaults[v]
}

// errorBody is the error object of the published interface.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code"`
	Param   *string `json:"param"` // null if no member of the request is at fault
}

func (f failure) body() []byte {
	kind, ok := kinds[f.status]
	if !ok {
		kind = "invalid_request_error"
	}
	detail := errorDetail{Message: f.message, Type: kind, Code: f.code}
	if f.param != "" {
		detail.Param = &f.param
	}
	// Strings always encode.
	text, _ := json.Marshal(errorBody{detail})
	return text
}

// write sends the failure as a whole response.
func (f failure) write(w http.ResponseWriter) error {
	entry.SetFailureHeaders(w.Header(), f.verdict, f.retryAfter)
	w.WriteHeader(f.status)
	_, err := w.Write(f.body())
	return err
}
