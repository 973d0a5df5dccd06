package chat

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"mime"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/caller/httpapi"
	"github.com/hemlockcroft/hemlockcroft/internal/caller/intake"
	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/request/admission"
	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rendezvous"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/engine"
)

const (
	// maxChatHeader is the maximum length of the Hemlock-Chat header in bytes.
	maxChatHeader = 256
	// parseCost is what parsing takes for each byte of a body: the body for the engine,
	// and the hashes of the messages. A body of up to freeParseBytes is covered by what
	// every request reserves.
	parseCost      = 2
	freeParseBytes = 8 << 10
)

var (
	errFirstChunkTimeout = errors.New("no engine sent a first chunk in time")
	errStreamTimeout     = errors.New("stream exceeded its time limit")
)

// completionWriter sends a completion to the caller, as a stream or as one JSON
// object.
type completionWriter interface {
	writeChunk(c engine.Chunk) error
	flush() error
	reset()
	started() bool
	finish() error
	writeError(resp errorResponse) error
}

// exchange is the state of one HTTP request and its response.
type exchange struct {
	handler      *Handler
	w            http.ResponseWriter
	r            *http.Request
	control      *http.ResponseController
	summary      admission.RequestSummary
	request      *chatRequest
	writer       completionWriter
	chatKey      uint64
	tried        []string               // upstreams of earlier attempts
	firstAttempt uint32                 // number of the first attempt at an engine
	account      *intake.Connection     // nil without an account
	budget       *intake.ResponseBudget // that of the current attempt
	verdict      verdict.Verdict        // combined over the attempts so far
	timer        *time.Timer            // first-chunk timeout, then stream timeout
	cancel       context.CancelCauseFunc
	lastResult   engine.Result // of the latest attempt
	firstChunkAt time.Time     // of the latest attempt, zero before
}

func newExchange(h *Handler, w http.ResponseWriter, r *http.Request) *exchange {
	x := &exchange{handler: h, w: w, r: r, control: http.NewResponseController(w), account: intake.FromContext(r.Context()), verdict: verdict.NotRun, firstAttempt: 1 + rand.Uint32N(maxFirstAttempt)}
	x.summary.Start = time.Now()
	x.summary.RequestID = httpapi.NewRequestID(r.Header.Get("Request-Id"))
	w.Header().Set("Request-Id", x.summary.RequestID)
	return x
}

// setWriteDeadline starts the write timeout for the next write.
func (x *exchange) setWriteDeadline() {
	// If the connection does not support deadlines, the write has no timeout.
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

// setTimeout replaces the current timeout of the request. After d, the request
// is cancelled with cause.
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
	return newAggregator(x.w, rw, x.account)
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
	body, err := x.account.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit), x.r.ContentLength)
	var exceeded *http.MaxBytesError
	switch {
	case errors.Is(err, intake.ErrFull) || errors.Is(err, intake.ErrYield):
		return x.refuseBody()
	case errors.As(err, &exceeded):
		return tooLarge
	case err != nil:
		return &requestError{status: http.StatusBadRequest, code: "body_incomplete", message: "the body did not arrive completely in time"}
	}
	// The deadline is cleared only on success, where it would abort the request
	// later. After a failure the server reads the rest of the body before it
	// sends the response, and that read must stay bounded.
	_ = x.control.SetReadDeadline(time.Time{})
	return x.parseBody(body)
}

// errBodyBudget means that the budget for callers is used up.
var errBodyBudget = errors.New("the router holds too much of other requests")

// refuseBody returns the error of a request whose body does not fit in the budget for
// callers. The rest of the body is not read.
func (x *exchange) refuseBody() error {
	x.w.Header().Set("Connection", "close")
	return verdict.New(verdict.NotRun, errBodyBudget).WithStatus(http.StatusServiceUnavailable)
}

// parseBody parses the body into the one for the engine, which is held until the end of
// the request.
func (x *exchange) parseBody(body []byte) error {
	reserved := int64(0)
	if len(body) > freeParseBytes {
		reserved = parseCost * int64(len(body))
	}
	if reserved > 0 && x.account.Reserve(clock.Now(), intake.Bodies, reserved) != nil {
		return x.refuseBody()
	}
	request, err := parseRequest(body)
	x.account.ReleaseBody(body)
	if err != nil {
		return err
	}
	x.request = request
	if reserved > 0 {
		x.account.Release(intake.Bodies, max(0, reserved-request.size()))
	}
	return nil
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

// resolveRouting validates the model and the headers for routing, and sets the
// model, the class and the placement key.
func (x *exchange) resolveRouting() error {
	x.summary.Model = x.request.model
	if models := x.handler.catalog.Models(); len(models) > 0 && !slices.Contains(models, x.request.model) {
		return &requestError{
			status: http.StatusNotFound, code: "model_not_found", param: "model",
			message: fmt.Sprintf("model %q does not exist", x.request.model),
		}
	}
	x.summary.Class = x.r.Header.Get("Hemlock-Class")
	if !httpapi.ValidClass(x.summary.Class) {
		return invalidValue("Hemlock-Class", "class %q is not known", x.summary.Class)
	}
	name := x.r.Header.Get("Hemlock-Chat")
	if len(name) > maxChatHeader {
		return invalidValue("Hemlock-Chat", "the header Hemlock-Chat exceeds %d bytes", maxChatHeader)
	}
	if name == "" {
		name = "prefix:" + strconv.FormatUint(x.request.prefixHash, 16)
	}
	x.chatKey = rendezvous.ChatKey(x.summary.Workspace, x.request.model, name)
	return nil
}

// runAttempts tries engines until one completes the response. It retries as long
// as nothing has been sent to the caller, because running a completion twice
// does no harm.
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

// recordVerdict combines the verdict of a failed attempt with the earlier ones.
// Admission errors do not count, since nothing was sent to an engine.
func (x *exchange) recordVerdict(err error) {
	var admissionErr *admissionError
	if !errors.As(err, &admissionErr) {
		x.verdict = httpapi.CombineVerdicts(x.verdict, verdict.FromError(err))
	}
}

func (x *exchange) mayRetry(ctx context.Context, err error) bool {
	var admissionErr *admissionError
	var writeErr *callerWriteError
	return !errors.As(err, &admissionErr) && !errors.As(err, &writeErr) && !engine.IsRequestError(err) &&
		!errors.Is(err, errAggregateTooLarge) && !errors.Is(err, engine.ErrNoRoom) && !x.writer.started() && ctx.Err() == nil &&
		x.summary.Attempts < x.handler.maxAttempts && time.Since(x.summary.Start) < x.handler.firstChunkTimeout
}

// admissionError is an error returned by admission. It is not retried, since no
// further attempt can be admitted.
type admissionError struct{ err error }

func (e *admissionError) Error() string { return e.err.Error() }

func (e *admissionError) Unwrap() error { return e.err }

// runAttempt acquires admission and streams from the granted engine.
func (x *exchange) runAttempt(ctx context.Context) error {
	start := time.Now()
	x.setTimeout(max(0, x.handler.firstChunkTimeout-start.Sub(x.summary.Start)), errFirstChunkTimeout)
	if err := x.checkParts(); err != nil {
		return err
	}
	grant, err := x.handler.admission.Acquire(ctx, x.admissionRequest())
	x.summary.QueueTime += time.Since(start)
	if err != nil {
		return &admissionError{err: err}
	}
	x.summary.Attempts++
	x.summary.Upstream = grant.UpstreamID()
	var report admission.Report
	defer func() { grant.Release(report) }()
	x.firstChunkAt = time.Time{}
	x.budget = intake.NewResponseBudget(ctx, x.account)
	defer x.budget.ReleaseAll()
	result, err := x.handler.engines.Stream(ctx, x.engineCall(grant), x.handleChunk)
	x.lastResult = result
	x.recordResult(start)
	x.tried = append(x.tried, grant.UpstreamID())
	report = x.newReport(result, err)
	x.reportParts(ctx, grant.UpstreamID(), grant.Address(), result, err)
	return err
}

func (x *exchange) admissionRequest() admission.Request {
	return admission.Request{
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

// maxFirstAttempt bounds the number of the first attempt of a request. It is
// random since the ids of chunks contain the attempt but not the request: if all
// requests started at 1, a late second response on a connection that is used again
// would be taken for the response to the next request.
const maxFirstAttempt = 1 << 31

func (x *exchange) engineCall(g admission.Grant) engine.Call {
	return engine.Call{
		Address:    g.Address(),
		RequestID:  x.summary.RequestID,
		Attempt:    x.firstAttempt + g.Attempt() - 1,
		Priority:   strconv.Itoa(g.Priority()),
		Chat:       x.chatKey,
		Body:       x.request.engineBody,
		Resumable:  g.Resumable(),
		BeforeRead: x.writer.flush,
		Budget:     x.budget,
	}
}

// handleChunk passes a chunk from the engine to the writer. The first chunk of
// an attempt replaces the first-chunk timeout with the stream timeout.
func (x *exchange) handleChunk(c engine.Chunk) error {
	if c.Seq() == 1 {
		x.firstChunkAt = time.Now()
		x.setTimeout(x.handler.streamTimeout, errStreamTimeout)
	}
	return x.writer.writeChunk(c)
}

func (x *exchange) newReport(r engine.Result, err error) admission.Report {
	return admission.Report{
		OK:               err == nil,
		ConnectionLost:   r.ConnectionLost(),
		TimeToFirstToken: r.TimeToFirstToken(),
		PromptTokens:     r.Usage().Prompt,
		CachedTokens:     r.Usage().Cached,
		OutputTokens:     r.Usage().Output,
		BootID:           r.BootID(),
	}
}

// recordResult copies the metrics of the latest attempt to the summary.
func (x *exchange) recordResult(attemptStart time.Time) {
	r := x.lastResult
	x.summary.TimeToFirstToken = 0
	if r.TimeToFirstToken() > 0 {
		x.summary.TimeToFirstToken = attemptStart.Sub(x.summary.Start) + r.TimeToFirstToken()
	}
	x.summary.BetweenTokens, x.summary.LongestGap = r.InterTokenLatency(), r.LongestGap()
	u := r.Usage()
	x.summary.PromptTokens, x.summary.CachedTokens, x.summary.OutputTokens = u.Prompt, u.Cached, u.Output
}

// finish sends the error response, if any, and reports the summary.
func (x *exchange) finish(err error) {
	x.summary.Verdict, x.summary.Status = verdict.Ran, http.StatusOK
	if err != nil {
		x.handleError(err)
	}
	x.summary.TotalTime = time.Since(x.summary.Start)
	x.handler.observer.RequestEnded(x.summary)
}

func (x *exchange) handleError(err error) {
	x.summary.Err = err
	resp := newErrorResponse(err, x.verdict)
	x.summary.Verdict, x.summary.Status = resp.verdict, resp.status
	var writeErr *callerWriteError
	var requestErr *requestError
	// The context also ends when the body did not arrive in time or was given up; the
	// caller still gets a response.
	if errors.As(err, &writeErr) || x.r.Context().Err() != nil && !errors.As(err, &requestErr) && !errors.Is(err, errBodyBudget) {
		x.summary.Status = httpapi.StatusClientClosedRequest
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
		x.summary.Status = httpapi.StatusClientClosedRequest
	}
}
