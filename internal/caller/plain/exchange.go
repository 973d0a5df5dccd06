package plain

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/caller/httpapi"
	"github.com/hemlockcroft/hemlockcroft/internal/caller/intake"
	"github.com/hemlockcroft/hemlockcroft/internal/request/admission"
	"github.com/hemlockcroft/hemlockcroft/internal/request/idempotency"
	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rendezvous"
	upstream "github.com/hemlockcroft/hemlockcroft/internal/upstream/plain"
)

// bodyBudgetRetryAfter is the Retry-After when the budget for callers is exhausted. It
// is the minimum that the header can express, since any call that ends may free
// enough of the budget.
const bodyBudgetRetryAfter = time.Second

// idempotentMethods are the idempotent methods of RFC 9110 that are forwarded.
var idempotentMethods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodOptions: true,
	http.MethodPut: true, http.MethodDelete: true,
}

// exchange is the state of one HTTP request and its response.
type exchange struct {
	handler        *Handler
	w              http.ResponseWriter
	r              *http.Request
	control        *http.ResponseController
	summary        admission.RequestSummary
	path           string // path and query of the request to the service
	idempotencyKey string
	body           []byte
	record         *idempotency.Attempt // nil unless the call has an idempotency key and a non-idempotent method
	tried          []string             // upstreams of earlier attempts
	headerSent     bool                 // the header of the service's or the recorded response was sent
}

func newExchange(h *Handler, w http.ResponseWriter, r *http.Request) *exchange {
	x := &exchange{handler: h, w: w, r: r, control: http.NewResponseController(w)}
	x.summary.Start = time.Now()
	x.summary.RequestID = httpapi.NewRequestID(r.Header.Get("Request-Id"))
	return x
}

// serve sends the call. Only idempotent methods and calls with an idempotency key
// are retried.
func (x *exchange) serve() error {
	if err := x.readBody(); err != nil {
		return err
	}
	switch {
	case idempotentMethods[x.r.Method]:
		return x.runAttempts(x.r.Context(), x.handler.maxAttempts)
	case x.idempotencyKey == "":
		return x.runAttempts(x.r.Context(), 1)
	}
	return x.serveWithKey()
}

// readBody reads the body with limits on its size, the budget for callers and the time.
func (x *exchange) readBody() error {
	limit := x.handler.maxBody(x.summary.Workspace)
	if limit <= 0 {
		limit = defaultMaxBody
	}
	tooLarge := &requestError{status: http.StatusRequestEntityTooLarge, message: fmt.Sprintf("the body exceeds %d bytes", limit)}
	if x.r.ContentLength > limit {
		return tooLarge
	}
	// If the connection does not support deadlines, the read has no timeout.
	_ = x.control.SetReadDeadline(time.Now().Add(x.handler.bodyReadTimeout))
	var err error
	x.body, err = intake.FromContext(x.r.Context()).ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit), x.r.ContentLength)
	var exceeded *http.MaxBytesError
	switch {
	case errors.Is(err, intake.ErrFull) || errors.Is(err, intake.ErrYield):
		// The rest of the body is not read.
		x.w.Header().Set("Connection", "close")
		return verdict.New(verdict.NotRun, errBodyBudget).WithStatus(http.StatusServiceUnavailable).WithRetryAfter(bodyBudgetRetryAfter)
	case errors.As(err, &exceeded):
		return tooLarge
	case err != nil:
		return &requestError{status: http.StatusBadRequest, message: "the body did not arrive completely in time"}
	}
	// The deadline is cleared only on success, where it would abort the request
	// later. After a failure the server reads the rest of the body before it
	// sends the response, and that read must stay bounded.
	_ = x.control.SetReadDeadline(time.Time{})
	return nil
}

// errBodyBudget makes a statement about this request only. Whether an earlier one
// with the same key was executed is not looked up before the body has been read.
var errBodyBudget = errors.New("the router holds too many request bodies; this request was not executed, repeat it with the same Idempotency-Key if it has one")

// serveWithKey sends a call with an idempotency key, or returns the recorded
// response of an earlier call. The record is created before admission, so that
// a NotRun refusal is true for the key and not only for this request. The call
// continues after its caller disconnects, since its outcome would otherwise stay
// unknown.
func (x *exchange) serveWithKey() error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.r.Context()), x.handler.callTimeout)
	defer cancel()
	attempt, recorded, err := x.handler.records.Begin(ctx, x.handler.now(), idempotency.Call{
		Service: x.summary.Service, Workspace: x.summary.Workspace, Key: x.idempotencyKey,
		Method: x.r.Method, Path: x.path, Body: x.body,
	})
	if err != nil {
		return err
	}
	if recorded != nil {
		return x.replay(recorded)
	}
	x.record = attempt
	err = x.runAttempts(ctx, x.handler.maxAttempts)
	if verdict.SafeToRetry(err) {
		attempt.RecordNotRun(ctx, x.handler.now())
	}
	return err
}

// runAttempts sends the call until it may have run, at most maxAttempts times.
func (x *exchange) runAttempts(ctx context.Context, maxAttempts int) error {
	for {
		err := x.runAttempt(ctx)
		var admissionErr *admissionError
		if !verdict.SafeToRetry(err) || errors.As(err, &admissionErr) || errors.Is(err, idempotency.ErrSendTooLate) || x.headerSent || ctx.Err() != nil || x.summary.Attempts >= maxAttempts {
			return err
		}
	}
}

// admissionError is an error returned by admission. It is not retried, since no
// further attempt can be admitted.
type admissionError struct{ err error }

func (e *admissionError) Error() string { return e.err.Error() }

func (e *admissionError) Unwrap() error { return e.err }

// runAttempt acquires admission and sends the call to the granted host.
func (x *exchange) runAttempt(ctx context.Context) error {
	if err := x.checkCapacity(ctx); err != nil {
		return err
	}
	start := time.Now()
	grant, err := x.handler.admission.Acquire(ctx, x.admissionRequest())
	x.summary.QueueTime += time.Since(start)
	if err != nil {
		return withNotRunVerdict(&admissionError{err: err})
	}
	x.summary.Attempts++
	x.summary.Upstream = grant.UpstreamID()
	x.tried = append(x.tried, grant.UpstreamID())
	var report admission.Report
	defer func() { grant.Release(report) }()
	sent := time.Now()
	response, err := x.sendCall(ctx, grant)
	x.recordCapacity(grant.UpstreamID(), sent, response, err)
	if err != nil {
		report.ConnectionLost = errors.Is(err, upstream.ErrConnectionLost)
		return err
	}
	defer response.Body().Close()
	report.OK = response.Status() < http.StatusInternalServerError
	x.summary.TimeToFirstToken = time.Since(x.summary.Start)
	return x.forwardResponse(ctx, response)
}

// withNotRunVerdict marks an admission error as NotRun, since nothing was sent to
// a host. The status and Retry-After of the error are kept.
func withNotRunVerdict(err error) error {
	v := verdict.New(verdict.NotRun, err)
	var verdictErr *verdict.Error
	if errors.As(err, &verdictErr) {
		v = v.WithStatus(verdictErr.Status()).WithRetryAfter(verdictErr.RetryAfter())
	}
	return v
}

func (x *exchange) admissionRequest() admission.Request {
	return admission.Request{
		RequestID: x.summary.RequestID,
		Workspace: x.summary.Workspace,
		Class:     x.summary.Class,
		Service:   x.summary.Service,
		Chat:      rendezvous.Key(x.summary.RequestID),
		Attempt:   uint32(x.summary.Attempts) + 1,
		Exclude:   slices.Clone(x.tried),
	}
}

// sendCall sends the call unless its idempotency record is too old.
func (x *exchange) sendCall(ctx context.Context, g admission.Grant) (*upstream.Response, error) {
	header := x.r.Header.Clone()
	// The bearer key is for the router. With it, the service could impersonate
	// the caller.
	header.Del("Authorization")
	call := upstream.Call{
		Address: g.Address(), Method: x.r.Method, Path: x.path, Header: header,
		Body: x.body, RequestID: x.summary.RequestID, TrustNotRun: g.TrustNotRun(),
	}
	if x.record != nil {
		if err := x.record.CheckSendDelay(ctx, x.handler.now()); err != nil {
			return nil, err
		}
	}
	return x.handler.services.Do(ctx, call)
}

// finish sends the error response, if any, and reports the summary.
func (x *exchange) finish(err error) {
	if err != nil {
		x.handleError(err)
	}
	// Whoever learns of the end of this request finds its memory free.
	intake.FromContext(x.r.Context()).ReleaseBody(x.body)
	x.summary.TotalTime = time.Since(x.summary.Start)
	x.handler.observer.RequestEnded(x.summary)
}

func (x *exchange) handleError(err error) {
	x.summary.Err = err
	resp := newErrorResponse(err)
	x.summary.Verdict = resp.verdict
	var requestErr *requestError
	// The context also ends when the body did not arrive in time or was given up; the
	// caller still gets a response.
	if x.r.Context().Err() != nil && !errors.As(err, &requestErr) && !errors.Is(err, errBodyBudget) {
		x.summary.Status = httpapi.StatusClientClosedRequest
		return
	}
	if x.headerSent {
		return
	}
	x.summary.Status = resp.status
	x.setWriteDeadline()
	x.w.Header().Set("Request-Id", x.summary.RequestID)
	if resp.write(x.w) != nil {
		x.summary.Status = httpapi.StatusClientClosedRequest
	}
}

// setWriteDeadline starts the write timeout for the next write.
func (x *exchange) setWriteDeadline() {
	_ = x.control.SetWriteDeadline(time.Now().Add(x.handler.writeTimeout))
}
