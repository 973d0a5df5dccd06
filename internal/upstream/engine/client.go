package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/transport"
)

const (
	// defaultReadTimeout is four heartbeat intervals of an engine (2 s each) and 1 s
	// for their delay. A connection without data must be closed within 10 s; a
	// timeout of 10 s closed it up to 46 ms late, since timers fire late.
	defaultReadTimeout = 9 * time.Second
	// defaultMaxEventBytes bounds one chunk, which carries a few tokens or at most
	// one tool call.
	defaultMaxEventBytes = 256 << 10
	// cancelTimeout is short because closing the connection cancels as well; the
	// call is needed only where an intermediary keeps the connection open.
	cancelTimeout = 2 * time.Second
	// maxPendingCancels bounds the cancel calls in flight. Above it, requests are
	// cancelled by closing the connection alone.
	maxPendingCancels = 256
	// callTimeout bounds the calls for load reports, cache events, cancels and the
	// current serving configuration.
	callTimeout = 2 * time.Second
	// maxErrorBodyBytes bounds what is read of an error response, and of the rest
	// of a body to make its connection reusable.
	maxErrorBodyBytes = 4 << 10
)

// Client calls model engines. It is safe for concurrent use.
type Client struct {
	pools         *transport.Pools
	readTimeout   time.Duration
	maxEventBytes int
	resumeDelay   time.Duration
	cancelSlots   chan struct{}
}

// Option changes a default of a Client.
type Option func(c *Client)

// WithReadTimeout sets the longest time without data from the engine.
func WithReadTimeout(d time.Duration) Option { return func(c *Client) { c.readTimeout = d } }

// WithMaxEventBytes sets the largest size of one chunk, in bytes.
func WithMaxEventBytes(n int) Option { return func(c *Client) { c.maxEventBytes = n } }

// WithResumeDelay sets the delay before the first attempt to resume a stream.
func WithResumeDelay(d time.Duration) Option { return func(c *Client) { c.resumeDelay = d } }

// New returns a client that gets its connections from pools.
func New(pools *transport.Pools, options ...Option) *Client {
	c := &Client{
		pools:         pools,
		readTimeout:   defaultReadTimeout,
		maxEventBytes: defaultMaxEventBytes,
		resumeDelay:   defaultResumeDelay,
		cancelSlots:   make(chan struct{}, maxPendingCancels),
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// WaitForCancels returns when no cancel call is in flight or when ctx ends. No
// stream may be started during or after the call.
func (c *Client) WaitForCancels(ctx context.Context) error {
	for range cap(c.cancelSlots) {
		select {
		case c.cancelSlots <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// cancelAsync cancels a request at its engine from a new goroutine.
func (c *Client) cancelAsync(call Call) {
	select {
	case c.cancelSlots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-c.cancelSlots }()
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		// An error is ignored: it does not affect the caller, and the closed
		// connection cancels the request as well.
		_ = c.Cancel(ctx, call.Address, call.RequestID, call.Attempt)
	}()
}

// Cancel asks the engine at address to stop a request.
func (c *Client) Cancel(ctx context.Context, address, requestID string, attempt uint32) error {
	body, err := json.Marshal(map[string]string{"request_id": requestID})
	if err != nil {
		return err
	}
	header := http.Header{"Request-Id": {requestID}, "Request-Attempt": {fmt.Sprint(attempt)}}
	return c.callWithTimeout(ctx, http.MethodPost, address, "/v1/cancel", header, body, func(io.Reader) error { return nil })
}

// callWithTimeout makes one call within callTimeout and passes the body of a 2xx
// response to read.
func (c *Client) callWithTimeout(ctx context.Context, method, address, path string, header http.Header, body []byte, read func(io.Reader) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.call(ctx, method, address, path, header, bytes.NewReader(body), read)
}

func (c *Client) call(ctx context.Context, method, address, path string, header http.Header, body io.Reader, read func(io.Reader) error) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return verdict.New(verdict.NotRun, err)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := c.pools.KeepAliveTransport(time.Now(), address).RoundTrip(req)
	if err != nil {
		if ctx.Err() != nil {
			// After a timeout the idle connections may be broken too.
			c.pools.Remove(address)
		}
		return fmt.Errorf("%s %s%s: %w", method, address, path, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		statusErr, err := readStatusError(resp)
		if err != nil {
			return fmt.Errorf("%s %s%s: %w", method, address, path, err)
		}
		return fmt.Errorf("%s %s%s: %w", method, address, path, statusErr)
	}
	if err := read(resp.Body); err != nil {
		return fmt.Errorf("%s %s%s: %w", method, address, path, err)
	}
	// Reading to the end shows whether the response breaks off, and makes the connection
	// reusable.
	if _, err := io.CopyN(io.Discard, resp.Body, maxErrorBodyBytes); err != nil && !errors.Is(err, io.EOF) {
		return fmt.Errorf("%s %s%s: read response: %w", method, address, path, err)
	}
	return nil
}
