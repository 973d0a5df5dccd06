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
	// resumeTries bounds the successive tries that bring no new chunk.
	resumeTries = 3
	// resumeTotal bounds all tries of one stream.
	resumeTotal = 8
	// defaultResumeDelay is doubled with each successive try.
	defaultResumeDelay = 100 * time.Millisecond
	// drainLimit is the wait for the end of the body after [DONE]; a body read
	// to its end lets the connection be used again.
	drainLimit = 5 * time.Millisecond
)

var (
	// ErrSilent means that no byte arrived within the read limit.
	ErrSilent = errors.New("connection to the engine is silent")
	// ErrEnded means that a stream ended before [DONE].
	ErrEnded = errors.New("stream ended before [DONE]")
	// ErrReported means that the engine ended the stream with an error event.
	ErrReported = errors.New("engine reported an error in the stream")
	// ErrNotStream means that the response is not an event stream.
	ErrNotStream = errors.New("response of the engine is not an event stream")
)

// Call is one attempt of a completion. Its body must ask for a stream.
type Call struct {
	// Address is the "host:port" of the engine.
	Address string
	// RequestID is unique for the request and the same for all its attempts.
	RequestID string
	// Attempt is the number that the ids of the chunks must carry.
	Attempt uint32
	// Priority is the value of Request-Priority, empty for none.
	Priority string
	// Chat is the placement key of the chat.
	Chat uint64
	// Body is the JSON of the request. It is not changed.
	Body []byte
	// Resume allows a broken stream to be resumed at the engine.
	Resume bool
	// Idle, if set, is called before the stream waits for more bytes: whoever
	// receives the chunks may collect them until then. An error ends the stream.
	Idle func() error
}

// Chunk is one chunk of a completion.
type Chunk struct {
	seq  uint64
	data []byte
}

// NewChunk returns a chunk, for tests of those that receive them.
func NewChunk(seq uint64, data []byte) Chunk { return Chunk{seq: seq, data: data} }

// Seq returns the place in the stream, from 1 without gaps.
func (c Chunk) Seq() uint64 { return c.seq }

// Data returns the JSON of the chunk. It is valid only while it is delivered.
func (c Chunk) Data() []byte { return c.data }

// stream is one call in progress.
type stream struct {
	client    *Client
	ctx       context.Context
	call      Call
	deliver   func(Chunk) error
	filter    *filter
	result    Result
	response  *http.Response
	hangUp    context.CancelCauseFunc
	guard     *time.Timer
	connected bool
	began     time.Time
	refused   error // error of the receiver of the chunks
}

// Stream sends the call and delivers its chunks in sequence, each once. It
// returns nil only if [DONE] came in sequence; the error carries a verdict.
// When the stream fails or ctx ends, the request is cancelled at the engine.
func (c *Client) Stream(ctx context.Context, call Call, deliver func(Chunk) error) (Result, error) {
	s := &stream{client: c, ctx: ctx, call: call, deliver: deliver, began: time.Now()}
	s.filter = newFilter(call.Attempt, s.pass)
	err := s.run()
	if s.hangUp != nil {
		s.hangUp(context.Canceled)
	}
	s.result.dropped = s.filter.dropped
	if err == nil {
		return s.result, nil
	}
	if s.connected && !answered(err) {
		c.cancelLater(call)
	}
	return s.result, s.judge(err)
}

// answered reports whether the engine itself ended the request.
func answered(err error) bool {
	var status *StatusError
	return errors.As(err, &status) && (status.verdict == verdict.NotRun || status.status < http.StatusInternalServerError)
}

// run connects, reads and, as long as that helps, resumes.
func (s *stream) run() error {
	tries, last := 0, uint64(0)
	for {
		err := s.connect()
		if err == nil {
			err = s.read()
		}
		if err == nil {
			return nil
		}
		if s.filter.last() > last {
			last, tries = s.filter.last(), 0
		}
		if !s.mayResume(err) || tries >= resumeTries || s.result.resumes >= resumeTotal {
			return err
		}
		if !clock.Sleep(s.ctx, s.client.resumeDelay<<tries) {
			return err
		}
		tries++
		s.result.resumes++
		s.filter.resume()
	}
}

// mayResume reports whether the engine may still hold the rest of the stream.
// A stream without any chunk is not resumed: another attempt loses nothing.
func (s *stream) mayResume(err error) bool {
	if !s.call.Resume || s.refused != nil || s.ctx.Err() != nil || s.filter.last() == 0 {
		return false
	}
	if errors.Is(err, ErrReported) || errors.Is(err, ErrRestarted) || errors.Is(err, ErrTooLong) || errors.Is(err, ErrNotStream) {
		return false
	}
	var status *StatusError
	return !errors.As(err, &status) || status.status >= http.StatusInternalServerError
}

// connect sends the request and returns when the response has begun.
func (s *stream) connect() error {
	if s.hangUp != nil {
		s.hangUp(context.Canceled)
	}
	ctx, hangUp := context.WithCancelCause(s.ctx)
	s.hangUp = hangUp
	req, err := s.request(ctx)
	if err != nil {
		return err
	}
	s.guard = time.AfterFunc(s.client.readLimit, func() { hangUp(ErrSilent) })
	resp, err := s.client.pools.Kept(time.Now(), s.call.Address).RoundTrip(req)
	s.guard.Stop()
	if err != nil {
		return s.broken(ctx, err)
	}
	s.response = resp
	return s.check(resp)
}

func (s *stream) request(ctx context.Context) (*http.Request, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { s.connected = true },
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
	if s.filter.last() > 0 {
		req.Header.Set("Last-Event-ID", s.filter.id())
	}
	return req, nil
}

// check accepts an event stream of the engine process that the stream began
// at: another process does not have the rest of it.
func (s *stream) check(resp *http.Response) error {
	boot := resp.Header.Get("Engine-Boot")
	if s.filter.last() > 0 && s.result.boot != "" && boot != "" && boot != s.result.boot {
		s.result.lost = true
		return ErrRestarted
	}
	if boot != "" {
		s.result.boot = boot
	}
	if resp.StatusCode != http.StatusOK {
		s.guard.Reset(s.client.readLimit)
		defer s.guard.Stop()
		return readStatus(resp)
	}
	if !bytes.HasPrefix([]byte(resp.Header.Get("Content-Type")), []byte("text/event-stream")) {
		return fmt.Errorf("%w: content type %q", ErrNotStream, resp.Header.Get("Content-Type"))
	}
	return nil
}

// Read reads from the response under the read limit and the gap limit. It
// makes the stream the reader of its parser.
func (s *stream) Read(b []byte) (int, error) {
	if s.call.Idle != nil {
		if err := s.call.Idle(); err != nil {
			s.refused = err
			return 0, err
		}
	}
	limit, gap := s.filter.patience(s.client.readLimit)
	if limit <= 0 {
		return 0, ErrGap
	}
	began := time.Now()
	s.guard.Reset(limit)
	n, err := s.response.Body.Read(b)
	s.guard.Stop()
	spent := time.Since(began)
	s.filter.wait(spent)
	if err != nil && gap && spent >= limit {
		err = ErrGap
	}
	return n, err
}

// read delivers the chunks of one connection up to [DONE].
func (s *stream) read() error {
	defer s.response.Body.Close()
	parser := NewParser(s, s.client.eventLimit)
	for !s.filter.done {
		event, err := parser.Next()
		if err == io.EOF { // the engine ended the response in good order
			return ErrEnded
		}
		if err != nil {
			return s.broken(s.response.Request.Context(), err)
		}
		if string(event.Name()) == "error" {
			return fmt.Errorf("%w: %s", ErrReported, errorMessage(event.Data()))
		}
		if err := s.filter.add(event.ID(), event.Data()); err != nil {
			return err
		}
	}
	s.drain()
	return nil
}

// drain reads to the end of the body, so that the connection is kept.
func (s *stream) drain() {
	s.guard.Reset(drainLimit)
	_, _ = io.CopyN(io.Discard, s.response.Body, errorBodyLimit)
	s.guard.Stop()
}

// pass takes a chunk from the filter.
func (s *stream) pass(seq uint64, data []byte) error {
	if bytes.HasPrefix(data, []byte(`{"error"`)) {
		return fmt.Errorf("%w: %s", ErrReported, errorMessage(data))
	}
	s.result.observe(s.began, time.Now(), data)
	if err := s.deliver(Chunk{seq: seq, data: data}); err != nil {
		s.refused = err
		return err
	}
	return nil
}

// broken gives the reason why a connection failed. The connections of an
// address that went silent are dropped with it.
func (s *stream) broken(ctx context.Context, err error) error {
	switch {
	case s.ctx.Err() != nil:
		return context.Cause(s.ctx)
	case s.refused != nil:
		return s.refused
	case errors.Is(context.Cause(ctx), ErrSilent) && !errors.Is(err, ErrGap):
		s.client.pools.Drop(s.call.Address)
		return ErrSilent
	case !errors.Is(err, ErrGap) && !errors.Is(err, ErrTooLong):
		s.result.lost = true
	}
	return err
}

// judge adds the verdict and the status for the caller to an error.
func (s *stream) judge(err error) error {
	var status *StatusError
	if errors.As(err, &status) {
		return s.judgeStatus(status, err)
	}
	v := verdict.New(s.evidence(), err).WithStatus(http.StatusBadGateway)
	switch {
	case !s.connected:
		return v.WithStatus(http.StatusServiceUnavailable)
	case errors.Is(err, ErrSilent), errors.Is(err, ErrGap), s.ctx.Err() != nil:
		return v.WithStatus(http.StatusGatewayTimeout)
	}
	return v
}

// evidence is the verdict on a broken stream: without a connection no byte
// was sent, and a chunk shows that the request ran.
func (s *stream) evidence() verdict.Verdict {
	switch {
	case !s.connected:
		return verdict.NotRun
	case s.filter.last() > 0 || len(s.filter.held) > 0:
		return verdict.Ran
	}
	return verdict.Unknown
}

func (s *stream) judgeStatus(status *StatusError, err error) error {
	v := status.verdict
	if s.filter.last() > 0 {
		v = verdict.Ran
	}
	shown := http.StatusBadGateway
	if finalStatuses[status.status] || v == verdict.NotRun {
		shown = status.status
	}
	return verdict.New(v, err).WithStatus(shown).WithRetryAfter(status.retryAfter)
}
