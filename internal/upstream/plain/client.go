package plain

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/httpresponse"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/transport"
)

const (
	// defaultHeaderTimeout is the longest time from sending the request to the
	// header of the response; services send nothing while they work.
	defaultHeaderTimeout = 60 * time.Second
	// defaultReadTimeout is the longest time between two bytes of a body.
	defaultReadTimeout = 10 * time.Second
)

var (
	// ErrTimeout means that the service sent nothing within the header timeout or
	// the read timeout.
	ErrTimeout = errors.New("no data from the service within the timeout")
	// ErrConnectionLost means that the connection was refused or reset, which suggests
	// that the service restarted.
	ErrConnectionLost = errors.New("connection to the service was lost")
	// ErrNotRun means that the service reported that it did not run the call.
	ErrNotRun = errors.New("service stated that it did not execute the request")
)

// Client calls plain services. It is safe for concurrent use.
type Client struct {
	pools         *transport.Pools
	headerTimeout time.Duration
	readTimeout   time.Duration
}

// Option changes a default of a Client.
type Option func(c *Client)

// WithHeaderTimeout sets the longest time from sending a request to the header
// of its response.
func WithHeaderTimeout(d time.Duration) Option { return func(c *Client) { c.headerTimeout = d } }

// WithReadTimeout sets the longest time between two bytes of a body.
func WithReadTimeout(d time.Duration) Option { return func(c *Client) { c.readTimeout = d } }

// New returns a client that gets its connections from pools.
func New(pools *transport.Pools, options ...Option) *Client {
	c := &Client{pools: pools, headerTimeout: defaultHeaderTimeout, readTimeout: defaultReadTimeout}
	for _, o := range options {
		o(c)
	}
	return c
}

// Call is one attempt of a call.
type Call struct {
	// Address is the "host:port" of the service.
	Address string
	// Method and Path (escaped, with the query) are those of the request line.
	Method, Path string
	// Header is the caller's header; its hop-by-hop fields are not sent.
	Header http.Header
	Body   []byte
	// RequestID is sent as Request-Id.
	RequestID string
	// TrustNotRun accepts the service's own report that it did not run the call.
	TrustNotRun bool
}

// Response is the response of a service. Its body must be closed.
type Response struct {
	status  int
	header  http.Header
	length  int64
	verdict verdict.Verdict
	body    *body
}

// Status returns the HTTP status.
func (r *Response) Status() int { return r.status }

// Header returns the header without hop-by-hop fields.
func (r *Response) Header() http.Header { return r.header }

// Length returns the size of the body in bytes, -1 if it is not known.
func (r *Response) Length() int64 { return r.length }

// Verdict returns whether the call ran, as far as the status shows.
func (r *Response) Verdict() verdict.Verdict { return r.verdict }

// Body returns the body; a read fails with ErrTimeout after the read timeout.
func (r *Response) Body() io.ReadCloser { return r.body }

// Do sends the call at most once. Errors carry a verdict: NotRun if no connection
// was made or the service reported it and is trusted, otherwise Unknown.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	connected := false
	tracedCtx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	req, err := newRequest(tracedCtx, call)
	if err != nil {
		cancel(err)
		return nil, verdict.New(verdict.NotRun, err).WithStatus(http.StatusBadRequest)
	}
	timer := time.AfterFunc(c.headerTimeout, func() { cancel(ErrTimeout) })
	// Services do not repeat the id of a call in their responses. On a connection
	// that is used again, a late second response to the call before would be taken
	// for the response to this one, and net/http would send a call again if the
	// connection turned out to be closed.
	resp, err := c.pools.SingleUseTransport().RoundTrip(req)
	timer.Stop()
	if err != nil {
		err = attemptError(ctx, connected, err)
		cancel(err)
		return nil, err
	}
	b := &body{inner: resp.Body, ctx: ctx, cancel: cancel, timer: timer, readTimeout: c.readTimeout}
	if call.TrustNotRun && httpresponse.ReportsNotRun(resp) {
		_ = b.Close()
		return nil, verdict.New(verdict.NotRun, ErrNotRun).WithStatus(resp.StatusCode).WithRetryAfter(httpresponse.RetryAfter(resp.Header))
	}
	header := EndToEnd(resp.Header)
	header.Del(verdict.Header)
	return &Response{status: resp.StatusCode, header: header, length: resp.ContentLength, verdict: statusVerdict(resp.StatusCode), body: b}, nil
}

// newRequest builds the request without GetBody, so that net/http cannot resend
// the body.
func newRequest(ctx context.Context, call Call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.Path, http.NoBody)
	if err != nil {
		return nil, err
	}
	if len(call.Body) > 0 {
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(call.Body)), int64(len(call.Body))
	}
	req.GetBody = nil
	req.Header = EndToEnd(call.Header)
	req.Header.Set("Request-Id", call.RequestID)
	// The whole body is available, so waiting for 100 Continue is of no use.
	req.Header.Del("Expect")
	if req.Header.Get("User-Agent") == "" {
		// An empty value keeps net/http from sending its own.
		req.Header.Set("User-Agent", "")
	}
	return req, nil
}

// attemptError adds the verdict to the error of an attempt. Without a connection
// no byte was sent; with one it is unknown what the service received.
func attemptError(ctx context.Context, connected bool, err error) error {
	status := http.StatusBadGateway
	switch {
	case errors.Is(context.Cause(ctx), ErrTimeout):
		err, status = ErrTimeout, http.StatusGatewayTimeout
	case ctx.Err() != nil:
		status = http.StatusGatewayTimeout
	default:
		err = fmt.Errorf("%w: %w", ErrConnectionLost, err)
	}
	if !connected {
		return verdict.New(verdict.NotRun, err).WithStatus(http.StatusServiceUnavailable)
	}
	return verdict.New(verdict.Unknown, err).WithStatus(status)
}

// statusVerdict returns the verdict on a response by its status. A server error and a
// status that promises that the call did not run do not show whether it ran.
func statusVerdict(status int) verdict.Verdict {
	if status >= http.StatusInternalServerError || httpresponse.PromisesNotRun(status) {
		return verdict.Unknown
	}
	return verdict.Ran
}

// body is a response body with a timeout for each read.
type body struct {
	inner       io.ReadCloser
	ctx         context.Context
	cancel      context.CancelCauseFunc
	timer       *time.Timer
	readTimeout time.Duration
}

// Read fails with ErrTimeout if no byte arrives within the read timeout.
func (b *body) Read(p []byte) (int, error) {
	b.timer.Reset(b.readTimeout)
	n, err := b.inner.Read(p)
	b.timer.Stop()
	if err != nil && err != io.EOF && b.ctx.Err() != nil {
		err = context.Cause(b.ctx)
	}
	return n, err
}

// Close closes the body and cancels the request.
func (b *body) Close() error {
	b.timer.Stop()
	err := b.inner.Close()
	b.cancel(context.Canceled)
	return err
}
