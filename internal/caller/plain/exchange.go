package plain

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/caller/entry"
	"github.com/hemlockcroft/hemlockcroft/internal/request/admission"
	"github.com/hemlockcroft/hemlockcroft/internal/request/once"
	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	"github.com/hemlockcroft/hemlockcroft/internal/router/place"
	upstream "github.com/hemlockcroft/hemlockcroft/internal/upstream/plain"
)

// budgetRetry is advised when the budget of bodies is used up. It is the least
// that Retry-After can state, since any call that ends may make room.
const budgetRetry = time.Second

// idempotent are the methods that RFC 9110 defines so.
var idempotent = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodOptions: true,
	http.MethodPut: true, http.MethodDelete: true,
}

// exchange is one request in progress.
type exchange struct {
	handler *Handler
	w       http.ResponseWriter
	r       *http.Request
	control *http.ResponseController
	event   admission.RequestSummary
	path    string // for the service
	key     string
	body    []byte
	held    int64         // bytes that count against the budget of bodies
	record  *once.Attempt // nil unless the call has a key and is not idempotent
	exclude []string
	begun   bool // the header of a response was sent
}

func newExchange(h *Handler, w http.ResponseWriter, r *http.Request) *exchange {
	x := &exchange{handler: h, w: w, r: r, control: http.NewResponseController(w)}
	x.event.Start = time.Now()
	x.event.RequestID = entry.NewRequestID(r.Header.Get("Request-Id"))
	return x
}

// serve sends the call as often as its kind allows.
func (x *exchange) serve() error {
	if err := x.readBody(); err != nil {
		return err
	}
	switch {
	case idempotent[x.r.Method]:
		return x.tries(x.r.Context(), x.handler.attempts)
	case x.key == "":
		return x.tries(x.r.Context(), 1)
	}
	return x.serveOnce()
}

// readBody reads the body under the limits on size and time.
func (x *exchange) readBody() error {
	limit := x.handler.maxBody(x.event.Workspace)
	if limit <= 0 {
		limit = defaultMaxBody
	}
	tooLarge := &fault{status: http.StatusRequestEntityTooLarge, message: fmt.Sprintf("the body exceeds %d bytes", limit)}
	if x.r.ContentLength > limit {
		return tooLarge
	}
	// Without support for deadlines the reading is not bounded in time.
	_ = x.control.SetReadDeadline(time.Now().Add(x.handler.bodyTime))
	if err := x.reserve(max(x.r.ContentLength, 0)); err != nil {
		return err
	}
	var body io.Reader = http.MaxBytesReader(x.w, x.r.Body, limit)
	if x.r.ContentLength < 0 {
		body = &reserving{exchange: x, body: body}
	}
	var err error
	x.body, err = io.ReadAll(body)
	var exceeded *http.MaxBytesError
	switch {
	case errors.Is(err, errBudget):
		return err
	case errors.As(err, &exceeded):
		return tooLarge
	case err != nil:
		return &fault{status: http.StatusBadRequest, message: "the body did not arrive completely in time"}
	}
	// After a failure the deadline stays, since the server reads on before it
	// sends the response. After a success it would end the request.
	_ = x.control.SetReadDeadline(time.Time{})
	return nil
}

// errBudget speaks of this request only: whether an earlier one with the same
// key was executed is not looked up before the body has been read.
var errBudget = errors.New("the router holds too many request bodies; this request was not executed, repeat it with the same Idempotency-Key if it has one")

// reserve counts bytes of the body, which is held until the end of the request,
// against the budget of all requests. A stated length is counted before the
// body is read: of several large bodies that arrive together some then fit,
// where counting what has arrived could refuse them all half read.
func (x *exchange) reserve(n int64) error {
	if n > 0 && x.handler.held.Add(n) > x.handler.budget {
		x.handler.held.Add(-n)
		return verdict.New(verdict.NotRun, errBudget).WithStatus(http.StatusServiceUnavailable).WithRetryAfter(budgetRetry)
	}
	x.held += n
	return nil
}

// reserving reads a body of unknown length and reserves what arrives.
type reserving struct {
	exchange *exchange
	body     io.Reader
}

func (r *reserving) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if full := r.exchange.reserve(int64(n)); full != nil {
		return n, full
	}
	return n, err
}

// serveOnce sends a call with a key, or returns what an earlier one recorded.
// The record comes before admission, so that a refusal with "no" is true for
// the key and not only for this request. The call does not end with its
// caller, because then its outcome would stay unknown.
func (x *exchange) serveOnce() error {
	ctx, stop := context.WithTimeout(context.WithoutCancel(x.r.Context()), x.handler.callLimit)
	defer stop()
	attempt, recorded, err := x.handler.records.Begin(ctx, x.handler.now(), once.Call{
		Service: x.event.Service, Workspace: x.event.Workspace, Key: x.key,
		Method: x.r.Method, Path: x.path, Body: x.body,
	})
	if err != nil {
		return err
	}
	if recorded != nil {
		return x.replay(recorded)
	}
	x.record = attempt
	err = x.tries(ctx, x.handler.attempts)
	if verdict.SafeToRetry(err) {
		attempt.NotRun(ctx, x.handler.now())
	}
	return err
}

// tries sends the call until it may have run, at most limit times.
func (x *exchange) tries(ctx context.Context, limit int) error {
	for {
		err := x.try(ctx)
		var refused *refusal
		if !verdict.SafeToRetry(err) || errors.As(err, &refused) || errors.Is(err, once.ErrSendTooLate) || x.begun || ctx.Err() != nil || x.event.Attempts >= limit {
			return err
		}
	}
}

// refusal is an error of admission: no further attempt can be granted.
type refusal struct{ err error }

func (e *refusal) Error() string { return e.err.Error() }

func (e *refusal) Unwrap() error { return e.err }

// try asks for admission and sends the call to the host that was granted.
func (x *exchange) try(ctx context.Context) error {
	began := time.Now()
	grant, err := x.handler.admission.Acquire(ctx, x.ask())
	x.event.Queue += time.Since(began)
	if err != nil {
		return notRun(&refusal{err: err})
	}
	x.event.Attempts++
	x.event.Upstream = grant.UpstreamID()
	x.exclude = append(x.exclude, grant.UpstreamID())
	var report admission.Report
	defer func() { grant.Release(report) }()
	response, err := x.send(ctx, grant)
	if err != nil {
		report.ConnectionLost = errors.Is(err, upstream.ErrConnectionLost)
		return err
	}
	defer response.Body().Close()
	report.OK = response.Status() < http.StatusInternalServerError
	x.event.FirstToken = time.Since(x.event.Start)
	return x.pass(ctx, response)
}

// notRun gives an error of admission its verdict: admission sends nothing.
func notRun(err error) error {
	v := verdict.New(verdict.NotRun, err)
	var judged *verdict.Error
	if errors.As(err, &judged) {
		v = v.WithStatus(judged.Status()).WithRetryAfter(judged.RetryAfter())
	}
	return v
}

func (x *exchange) ask() admission.Request {
	return admission.Request{
		RequestID: x.event.RequestID,
		Workspace: x.event.Workspace,
		Class:     x.event.Class,
		Service:   x.event.Service,
		Chat:      place.Key(x.event.RequestID),
		Attempt:   uint32(x.event.Attempts) + 1,
		Exclude:   slices.Clone(x.exclude),
	}
}

// send sends the call unless the record has become too old for that.
func (x *exchange) send(ctx context.Context, g admission.Grant) (*upstream.Response, error) {
	header := x.r.Header.Clone()
	// The key belongs to the router and would let the service act as its caller.
	header.Del("Authorization")
	call := upstream.Call{
		Address: g.Address(), Method: x.r.Method, Path: x.path, Header: header,
		Body: x.body, RequestID: x.event.RequestID, TrustNotRun: g.TrustNotRun(),
	}
	if x.record != nil {
		if err := x.record.MaySend(ctx, x.handler.now()); err != nil {
			return nil, err
		}
	}
	return x.handler.services.Do(ctx, call)
}

// end sends what is left to send and reports the event.
func (x *exchange) end(err error) {
	if err != nil {
		x.fail(err)
	}
	x.handler.held.Add(-x.held)
	x.event.Total = time.Since(x.event.Start)
	x.handler.observer.RequestEnded(x.event)
}

func (x *exchange) fail(err error) {
	x.event.Err = err
	f := describe(err)
	x.event.Verdict = f.verdict
	var rejected *fault
	// The context also ends when the body did not arrive in time, which the
	// caller is told.
	if x.r.Context().Err() != nil && !errors.As(err, &rejected) {
		x.event.Status = entry.StatusClientClosedRequest
		return
	}
	if x.begun {
		return
	}
	x.event.Status = f.status
	x.deadline()
	x.w.Header().Set("Request-Id", x.event.RequestID)
	if f.write(x.w) != nil {
		x.event.Status = entry.StatusClientClosedRequest
	}
}

// deadline sets the write limit for what is written next.
func (x *exchange) deadline() {
	_ = x.control.SetWriteDeadline(time.Now().Add(x.handler.writeLimit))
}
