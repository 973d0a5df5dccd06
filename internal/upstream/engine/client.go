package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/pool"
)

const (
	// defaultReadTimeout is four heartbeats of an engine (one every 2 s) and 1 s
	// for their delay. A silent connection must be given up within 10 s; a limit
	// of 10 s itself was up to 46 ms too late, since a timer fires after its time.
	defaultReadTimeout = 9 * time.Second
	// defaultMaxEventBytes bounds one chunk; a chunk carries a few tokens, or one
	// tool call at most.
	defaultMaxEventBytes = 256 << 10
	// cancelTimeout is short because closing the connection cancels as well;
	// the call helps where an intermediary keeps the connection open.
	cancelTimeout = 2 * time.Second
	// maxPendingCancels bounds the cancel calls in progress. Above it the closed
	// connection alone cancels.
	maxPendingCancels = 256
	// callTimeout bounds the short calls: load, orders, cache events.
	callTimeout = 2 * time.Second
	// maxErrorBodyBytes bounds what is read of the body of an error response.
	maxErrorBodyBytes = 4 << 10
)

// Client calls model engines. It is safe for concurrent use.
type Client struct {
	pools         *pool.Pools
	readTimeout   time.Duration
	maxEventBytes int
	resumeDelay   time.Duration
	cancelSlots   chan struct{}
}

// Option changes a default of a Client.
type Option func(c *Client)

// WithReadTimeout sets the longest time between two bytes of a response.
func WithReadTimeout(d time.Duration) Option { return func(c *Client) { c.readTimeout = d } }

// WithMaxEventBytes sets the largest size of one chunk, in bytes.
func WithMaxEventBytes(n int) Option { return func(c *Client) { c.maxEventBytes = n } }

// WithResumeDelay sets the wait before the first try to resume a stream.
func WithResumeDelay(d time.Duration) Option { return func(c *Client) { c.resumeDelay = d } }

// New returns a client that takes its connections from pools.
func New(pools *pool.Pools, options ...Option) *Client {
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

// WaitForCancels returns when no cancel call is in progress, or when ctx ends. No stream
// may be started during or after the call.
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

// cancelAsync tells an engine on a new goroutine to stop a request whose
// stream was abandoned.
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
		// A failed cancel call changes nothing for the caller, and the closed
		// connection has told the engine as well.
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

// callWithTimeout makes one call with a bounded duration and gives the body of a 2xx
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
			// Without an answer in time the kept connections are suspect.
			c.pools.Remove(address)
		}
		return fmt.Errorf("%s %s%s: %w", method, address, path, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%s %s%s: %w", method, address, path, readStatusError(resp))
	}
	if err := read(resp.Body); err != nil {
		return fmt.Errorf("%s %s%s: %w", method, address, path, err)
	}
	_, _ = io.CopyN(io.Discard, resp.Body, maxErrorBodyBytes) // lets the connection be used again
	return nil
}
