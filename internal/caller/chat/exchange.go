package chat

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"mime"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/caller/entry"
	"github.com/hemlockcroft/hemlockcroft/internal/request/admission"
	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	"github.com/hemlockcroft/hemlockcroft/internal/router/place"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/engine"
)

const (
	// maxChatName bounds the header Hemlock-Chat, in bytes.
	maxChatName = 256
	// firstRead bounds the memory that a Content-Length alone reserves.
	firstRead = 64 << 10
)

var (
	errStartLimit  = errors.New("no engine began the answer in time")
	errStreamLimit = errors.New("the answer took longer than a stream may last")
)

// output is what receives an answer: a relay or an aggregate.
type output interface {
	chunk(c engine.Chunk) error
	flush() error
	reset()
	started() bool
	finish() error
	fail(f failure) error
}

// exchange is one request in progress.
type exchange struct {
	handler *Handler
	w       http.ResponseWriter
	r       *http.Request
	control *http.ResponseController
	event   admission.RequestSummary
	request *request
	output  output
	chat    uint64
	exclude []string
	held    int64           // bytes of the body that count against the budget
	worst   verdict.Verdict // over the attempts so far
	limit   *time.Timer     // of the start, then of the stream
	stop    context.CancelCauseFunc
	served  engine.Result // of the last attempt
}

func newExchange(h *Handler, w http.ResponseWriter, r *http.Request) *exchange {
	x := &exchange{handler: h, w: w, r: r, control: http.NewResponseController(w), worst: verdict.NotRun}
	x.event.Start = time.Now()
	x.event.RequestID = entry.NewRequestID(r.Header.Get("Request-Id"))
	w.Header().Set("Request-Id", x.event.RequestID)
	return x
}

// deadline sets the write limit for what is written next.
func (x *exchange) deadline() {
	// Without support for deadlines the write is not bounded.
	_ = x.control.SetWriteDeadline(time.Now().Add(x.handler.writeLimit))
}

// complete serves POST /v1/chat/completions.
func (x *exchange) complete() error {
	if err := x.read(); err != nil {
		return err
	}
	if err := x.identify(); err != nil {
		return err
	}
	x.output = x.newOutput()
	ctx, stop := context.WithCancelCause(x.r.Context())
	defer stop(nil)
	x.stop = stop
	defer func() { x.limit.Stop() }()
	if err := x.attempts(ctx); err != nil {
		return err
	}
	x.worst = verdict.Ran
	x.deadline()
	return x.output.finish()
}

// limitTo replaces the limit on the time of the request.
func (x *exchange) limitTo(d time.Duration, cause error) {
	if x.limit != nil {
		x.limit.Stop()
	}
	x.limit = time.AfterFunc(d, func() { x.stop(cause) })
}

func (x *exchange) newOutput() output {
	object := "chat.completion"
	if x.request.stream {
		object = "chat.completion.chunk"
	}
	rw := newRewriter("chatcmpl-"+x.event.RequestID, object, x.request.model, x.event.Start)
	rw.hideUsage = !x.request.includeUsage
	if x.request.stream {
		return &relay{w: x.w, control: x.control, rewriter: rw, writeLimit: x.handler.writeLimit}
	}
	return newAggregate(x.w, rw)
}

// read reads and parses the body.
func (x *exchange) read() error {
	if err := checkType(x.r.Header); err != nil {
		return err
	}
	limit := x.handler.maxBody(x.event.Workspace)
	if limit <= 0 {
		limit = defaultMaxBody
	}
	tooLarge := &fault{
		status: http.StatusRequestEntityTooLarge, code: "body_too_large",
		message: fmt.Sprintf("the body exceeds %d bytes", limit),
	}
	if x.r.ContentLength > limit {
		return tooLarge
	}
	_ = x.control.SetReadDeadline(time.Now().Add(x.handler.bodyTime))
	buffer := bytes.NewBuffer(make([]byte, 0, min(max(x.r.ContentLength, 0)+bytes.MinRead, firstRead)))
	_, err := buffer.ReadFrom(http.MaxBytesReader(x.w, x.r.Body, limit))
	var exceeded *http.MaxBytesError
	switch {
	case errors.As(err, &exceeded):
		return tooLarge
	case err != nil:
		return &fault{status: http.StatusBadRequest, code: "body_incomplete", message: "the body did not arrive completely in time"}
	}
	// After a failure the deadline stays, since the server reads on before it
	// sends the response. After a success it would end the request.
	_ = x.control.SetReadDeadline(time.Time{})
	x.request, err = parse(buffer.Bytes())
	if err == nil {
		err = x.reserve(int64(len(x.request.body)))
	}
	return err
}

// reserve counts the body, which is held until the end of the request, against
// the budget of all requests.
func (x *exchange) reserve(n int64) error {
	x.held = n
	if x.handler.held.Add(n) <= x.handler.budget {
		return nil
	}
	return verdict.Errorf(verdict.NotRun, "the router holds too many requests").WithStatus(http.StatusServiceUnavailable)
}

func checkType(h http.Header) error {
	t := h.Get("Content-Type")
	if kind, _, err := mime.ParseMediaType(t); t != "" && (err != nil || kind != "application/json") || h.Get("Content-Encoding") != "" {
		return &fault{
			status: http.StatusUnsupportedMediaType, code: "unsupported_media_type",
			message: "the body must be application/json without content encoding",
		}
	}
	return nil
}

// identify sets model, class and placement key of the request.
func (x *exchange) identify() error {
	x.event.Model = x.request.model
	if models := x.handler.catalog.Models(); len(models) > 0 && !slices.Contains(models, x.request.model) {
		return &fault{
			status: http.StatusNotFound, code: "model_not_found", param: "model",
			message: fmt.Sprintf("model %q does not exist", x.request.model),
		}
	}
	x.event.Class = x.r.Header.Get("Hemlock-Class")
	if !entry.ValidClass(x.event.Class) {
		return invalid("Hemlock-Class", "class %q is not known", x.event.Class)
	}
	name := x.r.Header.Get("Hemlock-Chat")
	if len(name) > maxChatName {
		return invalid("Hemlock-Chat", "the header Hemlock-Chat exceeds %d bytes", maxChatName)
	}
	if name == "" {
		name = "prefix:" + strconv.FormatUint(x.request.prefix, 16)
	}
	x.chat = place.ChatKey(x.event.Workspace, x.request.model, name)
	return nil
}

// attempts tries engines until one completes the answer. An attempt may
// follow as long as the caller got nothing: a completion has no effect that
// running twice would harm.
func (x *exchange) attempts(ctx context.Context) error {
	for {
		err := x.attempt(ctx)
		if err == nil {
			return nil
		}
		x.judge(err)
		if !x.mayRepeat(ctx, err) {
			return err
		}
		x.output.reset()
	}
}

// judge adds the verdict on one attempt. A refusal adds nothing, since
// admission sends nothing to an engine.
func (x *exchange) judge(err error) {
	var refused *refusal
	if !errors.As(err, &refused) {
		x.worst = entry.CombineVerdicts(x.worst, verdict.FromError(err))
	}
}

func (x *exchange) mayRepeat(ctx context.Context, err error) bool {
	var refused *refusal
	var gone *callerError
	return !errors.As(err, &refused) && !errors.As(err, &gone) && !engine.IsRequestError(err) &&
		!errors.Is(err, errAnswerTooLong) && !x.output.started() && ctx.Err() == nil &&
		x.event.Attempts < x.handler.attempts && time.Since(x.event.Start) < x.handler.startLimit
}

// refusal is an error of admission: no further attempt can be granted.
type refusal struct{ err error }

func (e *refusal) Error() string { return e.err.Error() }

func (e *refusal) Unwrap() error { return e.err }

// attempt asks for admission and streams from the engine that was granted.
func (x *exchange) attempt(ctx context.Context) error {
	began := time.Now()
	x.limitTo(max(0, x.handler.startLimit-began.Sub(x.event.Start)), errStartLimit)
	grant, err := x.handler.admission.Acquire(ctx, x.ask())
	x.event.Queue += time.Since(began)
	if err != nil {
		return &refusal{err: err}
	}
	x.event.Attempts++
	x.event.Upstream = grant.UpstreamID()
	var report admission.Report
	defer func() { grant.Release(report) }()
	result, err := x.handler.engines.Stream(ctx, x.call(grant), x.deliver)
	x.served = result
	x.observe(began)
	x.exclude = append(x.exclude, grant.UpstreamID())
	report = x.report(result, err)
	return err
}

func (x *exchange) ask() admission.Request {
	return admission.Request{
		RequestID: x.event.RequestID,
		Workspace: x.event.Workspace,
		Class:     x.event.Class,
		Model:     x.request.model,
		Chat:      x.chat,
		Tokens:    x.request.tokens(),
		Attempt:   uint32(x.event.Attempts) + 1,
		Exclude:   slices.Clone(x.exclude),
	}
}

func (x *exchange) call(g admission.Grant) engine.Call {
	return engine.Call{
		Address:    g.Address(),
		RequestID:  x.event.RequestID,
		Attempt:    g.Attempt(),
		Priority:   strconv.Itoa(g.Priority()),
		Chat:       x.chat,
		Body:       x.request.body,
		Resume:     g.Resume(),
		BeforeRead: x.output.flush,
	}
}

// deliver takes a chunk from the engine. With the first one of an attempt the
// limit of the start ends and that of the stream begins.
func (x *exchange) deliver(c engine.Chunk) error {
	if c.Seq() == 1 {
		x.limitTo(x.handler.streamLimit, errStreamLimit)
	}
	return x.output.chunk(c)
}

func (x *exchange) report(r engine.Result, err error) admission.Report {
	return admission.Report{
		OK:             err == nil,
		ConnectionLost: r.ConnectionLost(),
		FirstToken:     r.TimeToFirstToken(),
		PromptTokens:   r.Usage().Prompt,
		CachedTokens:   r.Usage().Cached,
		OutputTokens:   r.Usage().Output,
		Boot:           r.BootID(),
	}
}

// observe copies the figures of an attempt to the event.
func (x *exchange) observe(began time.Time) {
	r := x.served
	x.event.FirstToken = 0
	if r.TimeToFirstToken() > 0 {
		x.event.FirstToken = began.Sub(x.event.Start) + r.TimeToFirstToken()
	}
	x.event.BetweenTokens, x.event.LongestGap = r.InterTokenLatency(), r.LongestGap()
	u := r.Usage()
	x.event.PromptTokens, x.event.CachedTokens, x.event.OutputTokens = u.Prompt, u.Cached, u.Output
}

// end sends what is left to send and reports the event.
func (x *exchange) end(err error) {
	x.event.Verdict, x.event.Status = verdict.Ran, http.StatusOK
	if err != nil {
		x.fail(err)
	}
	x.handler.held.Add(-x.held)
	x.event.Total = time.Since(x.event.Start)
	x.handler.observer.RequestEnded(x.event)
}

func (x *exchange) fail(err error) {
	x.event.Err = err
	f := describe(err, x.worst)
	x.event.Verdict, x.event.Status = f.verdict, f.status
	var gone *callerError
	var rejected *fault
	// The context also ends when the body did not arrive in time, which the
	// caller is told.
	if errors.As(err, &gone) || x.r.Context().Err() != nil && !errors.As(err, &rejected) {
		x.event.Status = entry.StatusClientClosedRequest
		return
	}
	x.deadline()
	out := x.output
	if out == nil {
		out = &relay{w: x.w, control: x.control, writeLimit: x.handler.writeLimit}
	}
	if out.started() {
		x.event.Status = http.StatusOK
	}
	if err := out.fail(f); err != nil {
		x.event.Status = entry.StatusClientClosedRequest
	}
}
