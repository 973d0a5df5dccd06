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
	// maxChatHeader bounds the header Hemlock-Chat, in bytes.
	maxChatHeader = 256
	// maxInitialBuffer bounds the memory that a Content-Length alone reserves.
	maxInitialBuffer = 64 << 10
)

var (
	errFirstChunkTimeout = errors.New("no engine began the answer in time")
	errStreamTimeout     = errors.New("the answer took longer than a stream may last")
)

// completionWriter is what receives an answer: a relay or an aggregate.
type completionWriter interface {
	writeChunk(c engine.Chunk) error
	flush() error
	reset()
	started() bool
	finish() error
	writeError(resp errorResponse) error
}

// exchange is one request in progress.
type exchange struct {
	handler       *Handler
	w             http.ResponseWriter
	r             *http.Request
	control       *http.ResponseController
	summary       admission.Event
	request       *chatRequest
	writer        completionWriter
	chatKey       uint64
	tried         []string
	reservedBytes int64           // bytes of the body that count against the budget
	verdict       verdict.Verdict // over the attempts so far
	timer         *time.Timer     // of the start, then of the stream
	cancel        context.CancelCauseFunc
	lastResult    engine.Result // of the last attempt
}

func newExchange(h *Handler, w http.ResponseWriter, r *http.Request) *exchange {
	x := &exchange{handler: h, w: w, r: r, control: http.NewResponseController(w), verdict: verdict.NotRun}
	x.summary.Start = time.Now()
	x.summary.RequestID = entry.RequestID(r.Header.Get("Request-Id"))
	w.Header().Set("Request-Id", x.summary.RequestID)
	return x
}

// setWriteDeadline sets the write limit for what is written next.
func (x *exchange) setWriteDeadline() {
	// Without support for deadlines the write is not bounded.
	_ = x.control.SetWriteDeadline(time.Now().Add(x.handler.writeTimeout))
}

// serveCompletion serves POST /v1/chat/completions.
func (x *exchange) serveCompletion() error {
	if err := x.readRequest(); err != nil {
		return err
	}
	if err := x.resolveRouting(); err != nil {
		return err
	}
	x.writer = x.newCompletionWriter()
	ctx, cancel := context.WithCancelCause(x.r.Context())
	defer cancel(nil)
	x.cancel = cancel
	defer func() { x.timer.Stop() }()
	if err := x.runAttempts(ctx); err != nil {
		return err
	}
	x.verdict = verdict.Ran
	x.setWriteDeadline()
	return x.writer.finish()
}

// setTimeout replaces the limit on the time of the request.
func (x *exchange) setTimeout(d time.Duration, cause error) {
	if x.timer != nil {
		x.timer.Stop()
	}
	x.timer = time.AfterFunc(d, func() { x.cancel(cause) })
}

func (x *exchange) newCompletionWriter() completionWriter {
	object := "chat.completion"
	if x.request.stream {
		object = "chat.completion.chunk"
	}
	rw := newChunkRewriter("chatcmpl-"+x.summary.RequestID, object, x.request.model, x.summary.Start)
	rw.hideUsageChunk = !x.request.includeUsage
	if x.request.stream {
		return &streamWriter{w: x.w, control: x.control, rewriter: rw, writeTimeout: x.handler.writeTimeout}
	}
	return newAggregator(x.w, rw)
}

// readRequest reads and parses the body.
func (x *exchange) readRequest() error {
	if err := checkContentType(x.r.Header); err != nil {
		return err
	}
	limit := x.handler.maxBody(x.summary.Workspace)
	if limit <= 0 {
		limit = defaultMaxBody
	}
	tooLarge := &requestError{
		status: http.StatusRequestEntityTooLarge, code: "body_too_large",
		message: fmt.Sprintf("the body exceeds %d bytes", limit),
	}
	if x.r.ContentLength > limit {
		return tooLarge
	}
	_ = x.control.SetReadDeadline(time.Now().Add(x.handler.bodyReadTimeout))
	buffer := bytes.NewBuffer(make([]byte, 0, min(max(x.r.ContentLength, 0)+bytes.MinRead, maxInitialBuffer)))
	_, err := buffer.ReadFrom(http.MaxBytesReader(x.w, x.r.Body, limit))
	var exceeded *http.MaxBytesError
	switch {
	case errors.As(err, &exceeded):
		return tooLarge
	case err != nil:
		return &requestError{status: http.StatusBadRequest, code: "body_incomplete", message: "the body did not arrive completely in time"}
	}
	// After a failure the deadline stays, since the server reads on before it
	// sends the response. After a success it would end the request.
	_ = x.control.SetReadDeadline(time.Time{})
	x.request, err = parseRequest(buffer.Bytes())
	if err == nil {
		err = x.reserveBody(int64(len(x.request.engineBody)))
	}
	return err
}

// reserveBody counts the body, which is held until the end of the request, against
// the budget of all requests.
func (x *exchange) reserveBody(n int64) error {
	x.reservedBytes = n
	if x.handler.reservedBytes.Add(n) <= x.handler.bodyBudget {
		return nil
	}
	return verdict.Errorf(verdict.NotRun, "the router holds too many requests").WithStatus(http.StatusServiceUnavailable)
}

func checkContentType(h http.Header) error {
	contentType := h.Get("Content-Type")
	if mediaType, _, err := mime.ParseMediaType(contentType); contentType != "" && (err != nil || mediaType != "application/json") || h.Get("Content-Encoding") != "" {
		return &requestError{
			status: http.StatusUnsupportedMediaType, code: "unsupported_media_type",
			message: "the body must be application/json without content encoding",
		}
	}
	return nil
}

// resolveRouting sets model, class and placement key of the request.
func (x *exchange) resolveRouting() error {
	x.summary.Model = x.request.model
	if models := x.handler.catalog.Models(); len(models) > 0 && !slices.Contains(models, x.request.model) {
		return &requestError{
			status: http.StatusNotFound, code: "model_not_found", param: "model",
			message: fmt.Sprintf("model %q does not exist", x.request.model),
		}
	}
	x.summary.Class = x.r.Header.Get("Hemlock-Class")
	if !entry.KnownClass(x.summary.Class) {
		return invalidValue("Hemlock-Class", "class %q is not known", x.summary.Class)
	}
	name := x.r.Header.Get("Hemlock-Chat")
	if len(name) > maxChatHeader {
		return invalidValue("Hemlock-Chat", "the header Hemlock-Chat exceeds %d bytes", maxChatHeader)
	}
	if name == "" {
		name = "prefix:" + strconv.FormatUint(x.request.prefixHash, 16)
	}
	x.chatKey = place.ChatKey(x.summary.Workspace, x.request.model, name)
	return nil
}

// runAttempts tries engines until one completes the answer. An attempt may
// follow as long as the caller got nothing: a completion has no effect that
// running twice would harm.
func (x *exchange) runAttempts(ctx context.Context) error {
	for {
		err := x.runAttempt(ctx)
		if err == nil {
			return nil
		}
		x.recordVerdict(err)
		if !x.mayRetry(ctx, err) {
			return err
		}
		x.writer.reset()
	}
}

// recordVerdict adds the verdict on one attempt. A refusal adds nothing, since
// admission sends nothing to an engine.
func (x *exchange) recordVerdict(err error) {
	var admissionErr *admissionError
	if !errors.As(err, &admissionErr) {
		x.verdict = entry.Worse(x.verdict, verdict.Of(err))
	}
}

func (x *exchange) mayRetry(ctx context.Context, err error) bool {
	var admissionErr *admissionError
	var writeErr *callerWriteError
	return !errors.As(err, &admissionErr) && !errors.As(err, &writeErr) && !engine.Final(err) &&
		!errors.Is(err, errAggregateTooLarge) && !x.writer.started() && ctx.Err() == nil &&
		x.summary.Attempts < x.handler.maxAttempts && time.Since(x.summary.Start) < x.handler.firstChunkTimeout
}

// admissionError is an error of admission: no further attempt can be granted.
type admissionError struct{ err error }

func (e *admissionError) Error() string { return e.err.Error() }

func (e *admissionError) Unwrap() error { return e.err }

// runAttempt asks for admission and streams from the engine that was granted.
func (x *exchange) runAttempt(ctx context.Context) error {
	start := time.Now()
	x.setTimeout(max(0, x.handler.firstChunkTimeout-start.Sub(x.summary.Start)), errFirstChunkTimeout)
	grant, err := x.handler.admission.Acquire(ctx, x.admissionRequest())
	x.summary.Queue += time.Since(start)
	if err != nil {
		return &admissionError{err: err}
	}
	x.summary.Attempts++
	x.summary.Upstream = grant.UpstreamID()
	var report admission.Report
	defer func() { grant.Release(report) }()
	result, err := x.handler.engines.Stream(ctx, x.engineCall(grant), x.handleChunk)
	x.lastResult = result
	x.recordResult(start)
	x.tried = append(x.tried, grant.UpstreamID())
	report = x.newReport(result, err)
	return err
}

func (x *exchange) admissionRequest() admission.Ask {
	return admission.Ask{
		RequestID: x.summary.RequestID,
		Workspace: x.summary.Workspace,
		Class:     x.summary.Class,
		Model:     x.request.model,
		Chat:      x.chatKey,
		Tokens:    x.request.estimateTokens(),
		Attempt:   uint32(x.summary.Attempts) + 1,
		Exclude:   slices.Clone(x.tried),
	}
}

func (x *exchange) engineCall(g admission.Grant) engine.Call {
	return engine.Call{
		Address:   g.Address(),
		RequestID: x.summary.RequestID,
		Attempt:   g.Attempt(),
		Priority:  strconv.Itoa(g.Priority()),
		Chat:      x.chatKey,
		Body:      x.request.engineBody,
		Resume:    g.Resume(),
		Idle:      x.writer.flush,
	}
}

// handleChunk takes a chunk from the engine. With the first one of an attempt the
// limit of the start ends and that of the stream begins.
func (x *exchange) handleChunk(c engine.Chunk) error {
	if c.Seq() == 1 {
		x.setTimeout(x.handler.streamTimeout, errStreamTimeout)
	}
	return x.writer.writeChunk(c)
}

func (x *exchange) newReport(r engine.Result, err error) admission.Report {
	return admission.Report{
		OK:             err == nil,
		ConnectionLost: r.ConnectionLost(),
		FirstToken:     r.FirstToken(),
		PromptTokens:   r.Usage().Prompt,
		CachedTokens:   r.Usage().Cached,
		OutputTokens:   r.Usage().Output,
		Boot:           r.Boot(),
	}
}

// recordResult copies the figures of an attempt to the event.
func (x *exchange) recordResult(attemptStart time.Time) {
	r := x.lastResult
	x.summary.FirstToken = 0
	if r.FirstToken() > 0 {
		x.summary.FirstToken = attemptStart.Sub(x.summary.Start) + r.FirstToken()
	}
	x.summary.BetweenTokens, x.summary.LongestGap = r.BetweenTokens(), r.LongestGap()
	u := r.Usage()
	x.summary.PromptTokens, x.summary.CachedTokens, x.summary.OutputTokens = u.Prompt, u.Cached, u.Output
}

// finish sends what is left to send and reports the event.
func (x *exchange) finish(err error) {
	x.summary.Verdict, x.summary.Status = verdict.Ran, http.StatusOK
	if err != nil {
		x.handleError(err)
	}
	x.handler.reservedBytes.Add(-x.reservedBytes)
	x.summary.Total = time.Since(x.summary.Start)
	x.handler.observer.Ended(x.summary)
}

func (x *exchange) handleError(err error) {
	x.summary.Err = err
	resp := newErrorResponse(err, x.verdict)
	x.summary.Verdict, x.summary.Status = resp.verdict, resp.status
	var writeErr *callerWriteError
	var requestErr *requestError
	// The context also ends when the body did not arrive in time, which the
	// caller is told.
	if errors.As(err, &writeErr) || x.r.Context().Err() != nil && !errors.As(err, &requestErr) {
		x.summary.Status = entry.StatusGone
		return
	}
	x.setWriteDeadline()
	writer := x.writer
	if writer == nil {
		writer = &streamWriter{w: x.w, control: x.control, writeTimeout: x.handler.writeTimeout}
	}
	if writer.started() {
		x.summary.Status = http.StatusOK
	}
	if err := writer.writeError(resp); err != nil {
		x.summary.Status = entry.StatusGone
	}
}
