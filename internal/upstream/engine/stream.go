package engine

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
)

const (
	// maxResumesWithoutProgress bounds the consecutive resume attempts that bring no
	// new chunk.
	maxResumesWithoutProgress = 3
	// maxResumes bounds all resume attempts of one stream.
	maxResumes = 8
	// defaultResumeDelay doubles with each attempt that brings no new chunk.
	defaultResumeDelay = 100 * time.Millisecond
	// drainTimeout is the longest wait for the end of the body after [DONE]. The
	// connection is reusable only if the body is read to its end.
	drainTimeout = 5 * time.Millisecond
)

var (
	// ErrTimeout means that no byte arrived within the read timeout.
	ErrTimeout = errors.New("no data from the engine within the read timeout")
	// ErrTruncated means that a stream ended before [DONE].
	ErrTruncated = errors.New("stream ended before [DONE]")
	// ErrErrorEvent means that the engine reported an error in the stream.
	ErrErrorEvent = errors.New("engine reported an error in the stream")
	// ErrNotStream means that the response is not an event stream.
	ErrNotStream = errors.New("response of the engine is not an event stream")
)

// Call is one attempt of a completion. Its body must request a stream.
type Call struct {
	// Address is the "host:port" of the engine.
	Address string
	// RequestID is unique for the request and the same for all its attempts.
	RequestID string
	// Attempt is the number that the ids of the chunks must contain.
	Attempt uint32
	// Priority is the value of Request-Priority, empty for none.
	Priority string
	// Chat is the placement key of the chat.
	Chat uint64
	// Body is the JSON of the request. It is not modified.
	Body []byte
	// Resumable allows a broken stream to be resumed at the engine.
	Resumable bool
	// BeforeRead, if set, is called before each read from the engine, so that the
	// receiver can buffer chunks and flush them here. An error ends the stream.
	BeforeRead func() error
	// Budget, if set, limits the memory for what cannot be delivered yet.
	Budget Budget
}

// Chunk is one chunk of a completion.
type Chunk struct {
	seq  uint64
	data []byte
}

// NewChunk returns a chunk for tests of packages that receive chunks.
func NewChunk(seq uint64, data []byte) Chunk { return Chunk{seq: seq, data: data} }

// Seq returns the sequence number in the stream, from 1 without gaps.
func (c Chunk) Seq() uint64 { return c.seq }

// Data returns the JSON of the chunk, valid only until the receiver returns.
func (c Chunk) Data() []byte { return c.data }

// stream is one call in progress.
type stream struct {
	client     *Client
	ctx        context.Context
	call       Call
	deliver    func(Chunk) error
	sequencer  *sequencer
	result     Result
	response   *http.Response
	cancel     context.CancelCauseFunc
	readTimer  *time.Timer
	connected  bool
	reused     bool // the current connection served another request before
	start      time.Time
	deliverErr error // error of the receiver of the chunks
}

// Stream sends the call and delivers its chunks in sequence, each once. The error
// is nil only if [DONE] was reached in sequence; otherwise it carries a verdict.
// When the stream fails or ctx ends, the request is cancelled at the engine.
func (c *Client) Stream(ctx context.Context, call Call, deliver func(Chunk) error) (Result, error) {
	s := &stream{client: c, ctx: ctx, call: call, deliver: deliver, start: time.Now()}
	s.sequencer = newSequencer(call.Attempt, s.handleChunk)
	s.sequencer.memory.budget = call.Budget
	defer s.sequencer.discardPending()
	err := s.run()
	if s.cancel != nil {
		s.cancel(context.Canceled)
	}
	s.result.dropped = s.sequencer.dropped
	if err == nil {
		return s.result, nil
	}
	if s.connected && !endedByEngine(err) {
		c.cancelAsync(call)
	}
	return s.result, s.withVerdict(err)
}

// endedByEngine reports whether the engine rejected the request or does not run
// it, so that there is nothing to cancel.
func endedByEngine(err error) bool {
	var statusErr *StatusError
	return errors.As(err, &statusErr) && (statusErr.verdict == verdict.NotRun || statusErr.status < http.StatusInternalServerError)
}

// run connects, reads the chunks and resumes the stream if it breaks and the
// limits permit.
func (s *stream) run() error {
	attempts, lastSeq := 0, uint64(0)
	for {
		err := s.connect()
		if err == nil {
			err = s.readChunks()
		}
		if err == nil {
			return nil
		}
		if s.sequencer.lastSeq() > lastSeq {
			lastSeq, attempts = s.sequencer.lastSeq(), 0
		}
		if !s.canResume(err) || attempts >= maxResumesWithoutProgress || s.result.resumes >= maxResumes {
			return err
		}
		if !clock.Sleep(s.ctx, s.client.resumeDelay<<attempts) {
			return err
		}
		attempts++
		s.result.resumes++
		s.sequencer.prepareResume()
	}
}

// canResume reports whether the engine may still have the rest of the stream. A
// stream without any delivered chunk is not resumed, since a new attempt can
// replace it without loss.
func (s *stream) canResume(err error) bool {
	if !s.call.Resumable || s.deliverErr != nil || s.ctx.Err() != nil || s.sequencer.lastSeq() == 0 {
		return false
	}
	if errors.Is(err, ErrErrorEvent) || errors.Is(err, ErrRestarted) || errors.Is(err, ErrTooLong) || errors.Is(err, ErrNotStream) {
		return false
	}
	var statusErr *StatusError
	return !errors.As(err, &statusErr) || statusErr.status >= http.StatusInternalServerError
}

// connect sends the request and returns once the header of the response is read.
func (s *stream) connect() error {
	if s.cancel != nil {
		s.cancel(context.Canceled)
	}
	ctx, cancel := context.WithCancelCause(s.ctx)
	s.cancel = cancel
	req, err := s.newRequest(ctx)
	if err != nil {
		return err
	}
	s.readTimer = time.AfterFunc(s.client.readTimeout, func() { cancel(ErrTimeout) })
	resp, err := s.client.pools.KeepAliveTransport(time.Now(), s.call.Address).RoundTrip(req)
	s.readTimer.Stop()
	if err != nil {
		return s.readError(ctx, err)
	}
	s.response = resp
	return s.checkResponse(resp)
}

func (s *stream) newRequest(ctx context.Context) (*http.Request, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { s.connected, s.reused = true, info.Reused },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.call.Address+"/v1/chat/completions", bytes.NewReader(s.call.Body))
	if err != nil {
		return nil, err
	}
	req.Header = http.Header{
		"Content-Type":    {"application/json"},
		"Accept":          {"text/event-stream"},
		"Request-Id":      {s.call.RequestID},
		"Request-Attempt": {strconv.FormatUint(uint64(s.call.Attempt), 10)},
		"Hemlock-Chat":    {strconv.FormatUint(s.call.Chat, 10)},
	}
	if s.call.Priority != "" {
		req.Header.Set("Request-Priority", s.call.Priority)
	}
	if s.sequencer.lastSeq() > 0 {
		req.Header.Set("Last-Event-ID", s.sequencer.lastEventID())
	}
	return req, nil
}

// checkResponse accepts an event stream from the engine process that started the
// stream. After a restart the engine does not have the rest of it.
func (s *stream) checkResponse(resp *http.Response) error {
	bootID := resp.Header.Get("Engine-Boot")
	if s.sequencer.lastSeq() > 0 && s.result.bootID != "" && bootID != "" && bootID != s.result.bootID {
		s.result.connectionLost = true
		return ErrRestarted
	}
	if bootID != "" {
		s.result.bootID = bootID
	}
	if resp.StatusCode != http.StatusOK {
		s.readTimer.Reset(s.client.readTimeout)
		defer s.readTimer.Stop()
		statusErr, err := readStatusError(resp)
		if err != nil {
			return s.readError(resp.Request.Context(), err)
		}
		if !s.answersCall(resp) {
			statusErr.verdict = verdict.Unknown
		}
		return statusErr
	}
	if !bytes.HasPrefix([]byte(resp.Header.Get("Content-Type")), []byte("text/event-stream")) {
		return fmt.Errorf("%w: content type %q", ErrNotStream, resp.Header.Get("Content-Type"))
	}
	return nil
}

// answersCall reports whether a response is certainly not a repeated one to an earlier
// request on the connection: it repeats the ID of the request, or has none and the
// connection is new.
func (s *stream) answersCall(resp *http.Response) bool {
	id := resp.Header.Get("Request-Id")
	return id == s.call.RequestID || id == "" && !s.reused
}

// Read reads from the response within the read timeout and the gap timeout. It
// makes the stream the reader of its parser.
func (s *stream) Read(b []byte) (int, error) {
	if s.call.BeforeRead != nil {
		if err := s.call.BeforeRead(); err != nil {
			s.deliverErr = err
			return 0, err
		}
	}
	timeout, gapPending := s.sequencer.nextReadTimeout(s.client.readTimeout)
	if timeout <= 0 {
		return 0, ErrGap
	}
	start := time.Now()
	s.readTimer.Reset(timeout)
	n, err := s.response.Body.Read(b)
	s.readTimer.Stop()
	elapsed := time.Since(start)
	s.sequencer.addReadTime(elapsed)
	if err != nil && gapPending && elapsed >= timeout {
		err = ErrGap
	}
	return n, err
}

// readChunks delivers the chunks of one connection up to [DONE].
func (s *stream) readChunks() error {
	defer s.response.Body.Close()
	parser := NewParser(s, s.client.maxEventBytes)
	parser.memory.budget = s.call.Budget
	defer parser.release()
	for !s.sequencer.done {
		event, err := parser.Next()
		if err == io.EOF { // the engine ended the response properly, but before [DONE]
			return ErrTruncated
		}
		if err != nil {
			return s.readError(s.response.Request.Context(), err)
		}
		if string(event.Name()) == "error" {
			return fmt.Errorf("%w: %s", ErrErrorEvent, errorMessage(event.Data()))
		}
		if err := s.sequencer.add(event.ID(), event.Data()); err != nil {
			return err
		}
	}
	s.drainBody()
	return nil
}

// drainBody reads to the end of the body, so that the connection is reusable.
func (s *stream) drainBody() {
	s.readTimer.Reset(drainTimeout)
	_, _ = io.CopyN(io.Discard, s.response.Body, maxErrorBodyBytes)
	s.readTimer.Stop()
}

// handleChunk delivers a chunk that the sequencer has put in order.
func (s *stream) handleChunk(seq uint64, data []byte) error {
	if bytes.HasPrefix(data, []byte(`{"error"`)) {
		return fmt.Errorf("%w: %s", ErrErrorEvent, errorMessage(data))
	}
	s.result.observe(s.start, time.Now(), data)
	if err := s.deliver(Chunk{seq: seq, data: data}); err != nil {
		s.deliverErr = err
		return err
	}
	return nil
}

// readError returns the cause of a failed connection. After a read timeout it
// removes the pool of the address, since its other connections may be broken too.
func (s *stream) readError(ctx context.Context, err error) error {
	switch {
	case s.ctx.Err() != nil:
		return context.Cause(s.ctx)
	case s.deliverErr != nil:
		return s.deliverErr
	case errors.Is(context.Cause(ctx), ErrTimeout) && !errors.Is(err, ErrGap):
		s.client.pools.Remove(s.call.Address)
		return ErrTimeout
	case !errors.Is(err, ErrGap) && !errors.Is(err, ErrTooLong) && !errors.Is(err, ErrNoRoom):
		s.result.connectionLost = true
	}
	return err
}

// withVerdict adds the verdict and the HTTP status for the caller to an error.
func (s *stream) withVerdict(err error) error {
	var statusErr *StatusError
	if errors.As(err, &statusErr) {
		return s.withStatusVerdict(statusErr, err)
	}
	verdictErr := verdict.New(s.streamVerdict(), err).WithStatus(http.StatusBadGateway)
	switch {
	case !s.connected:
		return verdictErr.WithStatus(http.StatusServiceUnavailable)
	case errors.Is(err, ErrTimeout), errors.Is(err, ErrGap), s.ctx.Err() != nil:
		return verdictErr.WithStatus(http.StatusGatewayTimeout)
	}
	return verdictErr
}

// streamVerdict returns the verdict on a broken stream: without a connection no
// byte was sent, and a received chunk shows that the request ran.
func (s *stream) streamVerdict() verdict.Verdict {
	switch {
	case !s.connected:
		return verdict.NotRun
	case s.sequencer.lastSeq() > 0 || len(s.sequencer.pending) > 0:
		return verdict.Ran
	}
	return verdict.Unknown
}

// withStatusVerdict adds the verdict and the HTTP status for the caller to an
// error response of the engine.
func (s *stream) withStatusVerdict(statusErr *StatusError, err error) error {
	v := statusErr.verdict
	if s.sequencer.lastSeq() > 0 {
		v = verdict.Ran
	}
	callerStatus := http.StatusBadGateway
	if requestErrorStatuses[statusErr.status] || v == verdict.NotRun {
		callerStatus = statusErr.status
	}
	return verdict.New(v, err).WithStatus(callerStatus).WithRetryAfter(statusErr.retryAfter)
}
