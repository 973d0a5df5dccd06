package plain

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net/http"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/caller/entry"
	"github.com/hemlockcroft/hemlockcroft/internal/request/once"
	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	upstream "github.com/hemlockcroft/hemlockcroft/internal/upstream/plain"
)

// pieceSize is the size of the buffer through which a body passes.
const pieceSize = 16 << 10

// recordedHeader are the fields that describe a recorded body.
var recordedHeader = []string{"Content-Type", "Content-Encoding", "Content-Language", "Location", "Etag"}

// pass sends a response to the caller. A call with a key is recorded first:
// once the caller has seen a response, a repeat must return the same one.
func (x *exchange) pass(ctx context.Context, response *upstream.Response) error {
	if x.record == nil || response.Verdict() != verdict.Ran {
		return x.stream(response, nil)
	}
	start, err := io.ReadAll(io.LimitReader(response.Body(), once.MaxBodySize+1))
	if err != nil {
		return verdict.New(verdict.Unknown, err).WithStatus(http.StatusBadGateway)
	}
	record := once.Response{Status: response.Status(), Header: http.Header{}, Body: start}
	for _, name := range recordedHeader {
		if values := response.Header().Values(name); len(values) > 0 {
			record.Header[name] = values
		}
	}
	x.record.Done(ctx, x.handler.now(), record)
	return x.stream(response, start)
}

// stream sends the header, the part of the body that was read and the rest.
func (x *exchange) stream(response *upstream.Response, start []byte) error {
	status := response.Status()
	if response.Verdict() == verdict.Unknown && refusals[status] {
		// The service's refusal would tell the caller that the call did not
		// run, which nothing shows.
		status = http.StatusBadGateway
	}
	maps.Copy(x.w.Header(), response.Header())
	x.begin(status, response.Verdict())
	if err := x.write(start, false); err != nil {
		return err
	}
	return x.copy(response)
}

var refusals = map[int]bool{http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true}

// begin sends the header of a response.
func (x *exchange) begin(status int, v verdict.Verdict) {
	x.begun = true
	x.event.Status, x.event.Verdict = status, v
	h := x.w.Header()
	h.Set("Request-Id", x.event.RequestID)
	h.Set(verdict.Header, v.String())
	x.deadline()
	x.w.WriteHeader(status)
}

// copy passes the body on. Without a known length the pieces are flushed as
// they come, since the service may send them over a long time.
func (x *exchange) copy(response *upstream.Response) error {
	flush := response.Length() < 0
	piece := make([]byte, pieceSize)
	for {
		n, err := response.Body().Read(piece)
		if err := x.write(piece[:n], flush); err != nil {
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

func (x *exchange) write(piece []byte, flush bool) error {
	if len(piece) == 0 {
		return nil
	}
	x.deadline()
	_, err := x.w.Write(piece)
	if err == nil && flush {
		err = x.control.Flush()
	}
	if err != nil {
		return verdict.New(x.event.Verdict, err)
	}
	return nil
}

// replay returns a recorded response.
func (x *exchange) replay(recorded *once.Response) error {
	if recorded.TooLarge {
		return verdict.Errorf(verdict.Ran, "the call was executed with status %d; its response was too large to be recorded", recorded.Status).
			WithStatus(http.StatusConflict)
	}
	maps.Copy(x.w.Header(), recorded.Header)
	x.begin(recorded.Status, verdict.Ran)
	return x.write(recorded.Body, false)
}

// fault is a request that is rejected before any work was done.
type fault struct {
	status  int
	message string
}

func (f *fault) Error() string { return f.message }

// failed is an error response of the entry itself.
type failed struct {
	status     int
	verdict    verdict.Verdict
	retryAfter time.Duration
	message    string
}

var messages = map[verdict.Verdict]string{
	verdict.NotRun:  "no host of the service could take the request; it was not executed",
	verdict.Ran:     "the service executed the request but its response is not available",
	verdict.Unknown: "the request may have been executed",
}

// shown are the errors whose text is for the caller. Other texts stay in the
// log, since they may name addresses.
var shown = []error{once.ErrOutcomeUnknown, once.ErrKeyReused, once.ErrSendTooLate, upstream.ErrNotRun, errBudget}

var defaults = map[verdict.Verdict]int{
	verdict.NotRun:  http.StatusServiceUnavailable,
	verdict.Ran:     http.StatusBadGateway,
	verdict.Unknown: http.StatusBadGateway,
}

// describe turns an error into a response.
func describe(err error) failed {
	var rejected *fault
	if errors.As(err, &rejected) {
		return failed{status: rejected.status, verdict: verdict.NotRun, message: rejected.message}
	}
	f := failed{verdict: verdict.FromError(err)}
	f.status, f.message = defaults[f.verdict], text(err, f.verdict)
	var judged *verdict.Error
	if errors.As(err, &judged) && judged.Status() != 0 {
		f.status, f.retryAfter = judged.Status(), judged.RetryAfter()
	}
	if f.verdict != verdict.NotRun && refusals[f.status] {
		f.status = defaults[f.verdict]
	}
	if f.verdict == verdict.NotRun && refusals[f.status] {
		f.retryAfter = max(f.retryAfter, time.Second)
	}
	return f
}

func text(err error, v verdict.Verdict) string {
	for _, e := range shown {
		if errors.Is(err, e) {
			return e.Error()
		}
	}
	var refused *refusal
	var judged *verdict.Error
	switch {
	case errors.As(err, &refused):
		return refused.Error()
	case errors.As(err, &judged) && judged.Status() == http.StatusConflict:
		return judged.Error()
	}
	return messages[v]
}

// write sends the error as a whole response.
func (f failed) write(w http.ResponseWriter) error {
	entry.SetFailureHeaders(w.Header(), f.verdict, f.retryAfter)
	w.WriteHeader(f.status)
	// Strings always encode.
	text, _ := json.Marshal(errorBody{errorDetail{Message: f.message, Code: codes[f.verdict]}})
	_, err := w.Write(text)
	return err
}

// errorBody is the body of an error that the router states itself.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Code    string `json:"code"`
}

var codes = map[verdict.Verdict]string{
	verdict.NotRun:  "not_executed",
	verdict.Ran:     "executed",
	verdict.Unknown: "outcome_unknown",
}
