package chat

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/caller/httpapi"
	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/engine"
)

// requestError rejects a request before anything was sent to an engine.
type requestError struct {
	status  int
	code    string
	param   string
	message string
}

func (e *requestError) Error() string { return e.message }

func invalidValue(param, format string, args ...any) *requestError {
	return &requestError{status: http.StatusBadRequest, code: "invalid_value", param: param, message: fmt.Sprintf(format, args...)}
}

// errorTypes maps HTTP statuses to the error types of the published API.
var errorTypes = map[int]string{
	http.StatusUnauthorized:       "authentication_error",
	http.StatusTooManyRequests:    "rate_limit_error",
	http.StatusBadGateway:         "api_error",
	http.StatusServiceUnavailable: "overloaded_error",
	http.StatusGatewayTimeout:     "timeout_error",
}

// errorResponse is the response to the caller of a failed request.
type errorResponse struct {
	status     int
	verdict    verdict.Verdict
	retryAfter time.Duration
	code       string
	param      string
	message    string
}

// newErrorResponse builds the response for an error, given the verdict over all
// attempts.
func newErrorResponse(err error, v verdict.Verdict) errorResponse {
	var requestErr *requestError
	if errors.As(err, &requestErr) {
		return errorResponse{
			status: requestErr.status, verdict: v, code: requestErr.code,
			param: requestErr.param, message: requestErr.message,
		}
	}
	resp := errorResponse{status: responseStatus(err, v), verdict: v, code: errorCodes[v], message: callerMessage(err, v)}
	if allowedStatuses[verdict.NotRun][resp.status] {
		resp.retryAfter = time.Second
		var verdictErr *verdict.Error
		if errors.As(err, &verdictErr) {
			resp.retryAfter = max(resp.retryAfter, verdictErr.RetryAfter())
		}
	}
	return resp
}

var errorCodes = map[verdict.Verdict]string{
	verdict.NotRun:  "not_executed",
	verdict.Ran:     "incomplete",
	verdict.Unknown: "outcome_unknown",
}

var errorMessages = map[verdict.Verdict]string{
	verdict.NotRun:  "no engine could take the request; it was not executed",
	verdict.Ran:     "the engine did not complete the answer",
	verdict.Unknown: "the engine failed; the request may have been executed",
}

// callerMessage returns the error message for the caller. The texts of
// connection errors appear only in the log, since they contain addresses.
func callerMessage(err error, v verdict.Verdict) string {
	var admissionErr *admissionError
	var statusErr *engine.StatusError
	switch {
	case v == verdict.NotRun && errors.As(err, &admissionErr):
		return admissionErr.Error()
	case engine.IsRequestError(err) && errors.As(err, &statusErr):
		return statusErr.Message()
	}
	return errorMessages[v]
}

// allowedStatuses are the statuses that agree with each verdict. 429 and 503
// tell the caller that a retry is safe, so they are used only with NotRun.
var allowedStatuses = map[verdict.Verdict]map[int]bool{
	verdict.NotRun:  {http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true},
	verdict.Ran:     {http.StatusBadGateway: true, http.StatusGatewayTimeout: true},
	verdict.Unknown: {http.StatusBadGateway: true, http.StatusGatewayTimeout: true},
}

var defaultStatuses = map[verdict.Verdict]int{
	verdict.NotRun:  http.StatusServiceUnavailable,
	verdict.Ran:     http.StatusBadGateway,
	verdict.Unknown: http.StatusBadGateway,
}

// responseStatus returns the status requested by the error if it agrees with the
// verdict, and otherwise the default of the verdict.
func responseStatus(err error, v verdict.Verdict) int {
	var verdictErr *verdict.Error
	if !errors.As(err, &verdictErr) {
		return defaultStatuses[v]
	}
	status := verdictErr.Status()
	// Admission may also refuse permanently, such as with 403 for a disabled
	// workspace.
	permanent := v == verdict.NotRun && status >= http.StatusBadRequest && status < http.StatusInternalServerError
	if allowedStatuses[v][status] || permanent || engine.IsRequestError(err) {
		return status
	}
	return defaultStatuses[v]
}

// errorBody is the JSON error body of the published API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code"`
	Param   *string `json:"param"` // null if the error concerns no particular member
}

func (r errorResponse) body() []byte {
	errorType, ok := errorTypes[r.status]
	if !ok {
		errorType = "invalid_request_error"
	}
	detail := errorDetail{Message: r.message, Type: errorType, Code: r.code}
	if r.param != "" {
		detail.Param = &r.param
	}
	// Marshaling strings cannot fail.
	text, _ := json.Marshal(errorBody{detail})
	return text
}

// write sends the error as a complete response.
func (r errorResponse) write(w http.ResponseWriter) error {
	httpapi.SetFailureHeaders(w.Header(), r.verdict, r.retryAfter)
	w.WriteHeader(r.status)
	_, err := w.Write(r.body())
	return err
}
