package plain

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net/http"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/caller/httpapi"
	"github.com/hemlockcroft/hemlockcroft/internal/request/idempotency"
	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/httpresponse"
	upstream "github.com/hemlockcroft/hemlockcroft/internal/upstream/plain"
)

// copyBufferSize is the size in bytes of the buffer for copying a body.
const copyBufferSize = 16 << 10

// recordedHeaders are the headers that are recorded with a response: those that
// describe its body.
var recordedHeaders = []string{"Content-Type", "Content-Encoding", "Content-Language", "Location", "Etag"}

// forwardResponse sends a response to the caller. For a call with an idempotency
// record, it records the response first: once the caller has seen a response, a
// retry must return the same one.
func (x *exchange) forwardResponse(ctx context.Context, response *upstream.Response) error {
	if x.record == nil || response.Verdict() != verdict.Ran {
		return x.streamResponse(response, nil)
	}
	bodyStart, err := io.ReadAll(io.LimitReader(response.Body(), idempotency.MaxBodySize+1))
	if err != nil {
		return verdict.New(verdict.Unknown, err).WithStatus(http.StatusBadGateway)
	}
	record := idempotency.Response{Status: response.Status(), Header: http.Header{}, Body: bodyStart}
	for _, name := range recordedHeaders {
		if values := response.Header().Values(name); len(values) > 0 {
			record.Header[name] = values
		}
	}
	x.record.RecordResponse(ctx, x.handler.now(), record)
	return x.streamResponse(response, bodyStart)
}

// streamResponse sends the header, bodyStart, which was already read from the
// response, and the rest of the body.
func (x *exchange) streamResponse(response *upstream.Response, bodyStart []byte) error {
	status := response.Status()
	if response.Verdict() == verdict.Unknown && httpresponse.PromisesNotRun(status) {
		// The status would tell the caller that the call did not run, which is not
		// known.
		status = http.StatusBadGateway
	}
	maps.Copy(x.w.Header(), response.Header())
	x.writeHeader(status, response.Verdict())
	if err := x.writeBody(bodyStart, false); err != nil {
		return err
	}
	return x.copyBody(response)
}

// writeHeader sends the header of the service's or the recorded response.
func (x *exchange) writeHeader(status int, v verdict.Verdict) {
	x.headerSent = true
	x.summary.Status, x.summary.Verdict = status, v
	h := x.w.Header()
	h.Set("Request-Id", x.summary.RequestID)
	h.Set(verdict.Header, v.String())
	x.setWriteDeadline()
	x.w.WriteHeader(status)
}

// copyBody copies the body to the caller. A body of unknown length is flushed
// after each read, since the service may send it over a long time.
func (x *exchange) copyBody(response *upstream.Response) error {
	flush := response.Length() < 0
	buffer := make([]byte, copyBufferSize)
	for {
		n, err := response.Body().Read(buffer)
		if err := x.writeBody(buffer[:n], flush); err != nil {
			return err
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return verdict.New(response.Verdict(), err)
		}
	}
}

func (x *exchange) writeBody(data []byte, flush bool) error {
	if len(data) == 0 {
		return nil
	}
	x.setWriteDeadline()
	_, err := x.w.Write(data)
	if err == nil && flush {
		err = x.control.Flush()
	}
	if err != nil {
		return verdict.New(x.summary.Verdict, err)
	}
	return nil
}

// replay sends a recorded response to the caller.
func (x *exchange) replay(recorded *idempotency.Response) error {
	if recorded.TooLarge {
		return verdict.Errorf(verdict.Ran, "the call was executed with status %d; its response was too large to be recorded", recorded.Status).
			WithStatus(http.StatusConflict)
	}
	maps.Copy(x.w.Header(), recorded.Header)
	x.writeHeader(recorded.Status, verdict.Ran)
	return x.writeBody(recorded.Body, false)
}

// requestError rejects a request before anything was sent to a service.
type requestError struct {
	status  int
	message string
}

func (e *requestError) Error() string { return e.message }

// errorResponse is an error response created by the router itself.
type errorResponse struct {
	status     int
	verdict    verdict.Verdict
	retryAfter time.Duration
	message    string
}

var errorMessages = map[verdict.Verdict]string{
	verdict.NotRun:  "no host of the service could take the request; it was not executed",
	verdict.Ran:     "the service executed the request but its response is not available",
	verdict.Unknown: "the request may have been executed",
}

// callerVisibleErrors are the errors whose text is sent to the caller. Other
// texts appear only in the log, since they may contain addresses.
var callerVisibleErrors = []error{idempotency.ErrOutcomeUnknown, idempotency.ErrKeyReused, idempotency.ErrSendTooLate, upstream.ErrNotRun, errBodyBudget}

var defaultStatuses = map[verdict.Verdict]int{
	verdict.NotRun:  http.StatusServiceUnavailable,
	verdict.Ran:     http.StatusBadGateway,
	verdict.Unknown: http.StatusBadGateway,
}

// newErrorResponse builds the response for an error.
func newErrorResponse(err error) errorResponse {
	var requestErr *requestError
	if errors.As(err, &requestErr) {
		return errorResponse{status: requestErr.status, verdict: verdict.NotRun, message: requestErr.message}
	}
	resp := errorResponse{verdict: verdict.FromError(err)}
	resp.status, resp.message = defaultStatuses[resp.verdict], callerMessage(err, resp.verdict)
	var verdictErr *verdict.Error
	if errors.As(err, &verdictErr) && verdictErr.Status() != 0 {
		resp.status, resp.retryAfter = verdictErr.Status(), verdictErr.RetryAfter()
	}
	if resp.verdict != verdict.NotRun && httpresponse.PromisesNotRun(resp.status) {
		resp.status = defaultStatuses[resp.verdict]
	}
	if resp.verdict == verdict.NotRun && httpresponse.IsRefusalStatus(resp.status) {
		resp.retryAfter = max(resp.retryAfter, time.Second)
	}
	return resp
}

func callerMessage(err error, v verdict.Verdict) string {
	for _, e := range callerVisibleErrors {
		if errors.Is(err, e) {
			return e.Error()
		}
	}
	var admissionErr *admissionError
	var verdictErr *verdict.Error
	switch {
	case errors.As(err, &admissionErr):
		return admissionErr.Error()
	case errors.As(err, &verdictErr) && verdictErr.Status() == http.StatusConflict:
		return verdictErr.Error()
	}
	return errorMessages[v]
}

// write sends the error as a complete response.
func (r errorResponse) write(w http.ResponseWriter) error {
	httpapi.SetFailureHeaders(w.Header(), r.verdict, r.retryAfter)
	w.WriteHeader(r.status)
	// Marshaling strings cannot fail.
	body, _ := json.Marshal(errorBody{errorDetail{Message: r.message, Code: errorCodes[r.verdict]}})
	_, err := w.Write(body)
	return err
}

// errorBody is the JSON body of an errorResponse.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Code    string `json:"code"`
}

var errorCodes = map[verdict.Verdict]string{
	verdict.NotRun:  "not_executed",
	verdict.Ran:     "executed",
	verdict.Unknown: "outcome_unknown",
}
