package etcd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/upstream/http1wire"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/httpresponse"
)

// Errors of the client.
var (
	// ErrUnavailable reports that no usable response arrived; a write may
	// nevertheless have taken effect.
	ErrUnavailable = errors.New("key-value service unavailable")
	// ErrRejected reports that the service rejected the request as invalid; the
	// request had no effect.
	ErrRejected = errors.New("key-value service rejected the request")
	// ErrRateLimited reports that the call was not sent because it would
	// exceed this client's rate limit.
	ErrRateLimited = errors.New("client rate limit for the key-value service exceeded")
	// ErrWatchTimeout reports that a watch received nothing within its timeout.
	// A new call of Watch dials a new connection.
	ErrWatchTimeout = errors.New("watch received nothing within its timeout")
	// ErrCompacted reports that the start revision of a watch no longer exists;
	// the caller must list the keys before it watches again.
	ErrCompacted = errors.New("watched revision was compacted")
)

const (
	defaultTimeout = 2 * time.Second
	// defaultWatchTimeout ends a watch without events, which the caller then
	// creates again. The service's progress notifications cannot serve as
	// heartbeats, since they are minutes apart.
	defaultWatchTimeout = 10 * time.Second
	// idleConnTimeout is shorter than the keep-alive timeout of common servers,
	// which avoids most races with a server that closes an idle connection.
	idleConnTimeout = 30 * time.Second
	maxIdleConns    = 4
	// maxResponseBytes limits a response; a list of 12,000 claims takes about 4 MB.
	maxResponseBytes = 8 << 20
	// maxHeaderBytes limits the header of a response.
	maxHeaderBytes = 16 << 10
)

// callKind holds the path of a kind of call and whether the write limit applies.
type callKind struct {
	path  string
	write bool
}

// callKinds is keyed by the names used in the counters.
var callKinds = map[string]callKind{
	"get":       {"/v3/kv/range", false},
	"list":      {"/v3/kv/range", false},
	"revision":  {"/v3/kv/range", false},
	"create":    {"/v3/kv/txn", true},
	"swap":      {"/v3/kv/txn", true},
	"delete":    {"/v3/kv/txn", true},
	"remove":    {"/v3/kv/deleterange", true},
	"grant":     {"/v3/lease/grant", true},
	"keepalive": {"/v3/lease/keepalive", true},
	"revoke":    {"/v3/lease/revoke", true},
	"watch":     {"/v3/watch", false},
}

// Client calls the key-value service; it is safe for concurrent use.
type Client struct {
	endpoints                 []string
	endpointIndex             atomic.Int64 // index into endpoints, modulo len(endpoints)
	callClient                *http.Client
	watchClient               *http.Client
	timeout, watchTimeout     time.Duration
	readLimiter, writeLimiter *rateLimiter
	counters                  *Counters
	lastContact               atomic.Int64 // Unix time of the last response in ns, 0 if there was none
}

// Option changes a setting of a new client.
type Option func(*Client)

// WithTimeout limits each call and the creation of a watch; the default is 2 s.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithWatchTimeout sets how long a watch may receive nothing; the default
// is 10 s.
func WithWatchTimeout(d time.Duration) Option { return func(c *Client) { c.watchTimeout = d } }

// WithRateLimit limits the calls per second; 0 means no limit. A call that would
// have to wait longer than maxWait fails with ErrRateLimited. Lease renewals
// count against the write limit but never wait, since the loss of a lease costs
// more calls than its renewal.
func WithRateLimit(writes, reads float64, maxWait time.Duration) Option {
	return func(c *Client) {
		c.writeLimiter = newRateLimiter(writes, maxWait)
		c.readLimiter = newRateLimiter(reads, maxWait)
	}
}

// New returns a client of the endpoints, each a base URL. It uses one endpoint
// until a call to it fails.
func New(endpoints []string, options ...Option) *Client {
	c := &Client{timeout: defaultTimeout, watchTimeout: defaultWatchTimeout, counters: newCounters()}
	for _, e := range endpoints {
		c.endpoints = append(c.endpoints, strings.TrimSuffix(e, "/"))
	}
	for _, option := range options {
		option(c)
	}
	dialer := &net.Dialer{Timeout: c.timeout}
	c.callClient = &http.Client{Transport: http1wire.Strict(&http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	})}
	// Each watch dials, so that it never reuses an unresponsive connection.
	c.watchClient = &http.Client{Transport: http1wire.Strict(&http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeaderBytes})}
	return c
}

// Counters returns the counters of the client for publication by expvar.
func (c *Client) Counters() *Counters { return c.counters }

// LastContact returns the time of the last response, the zero time if there was
// none.
func (c *Client) LastContact() time.Time {
	if ns := c.lastContact.Load(); ns != 0 {
		return time.Unix(0, ns)
	}
	return time.Time{}
}

func (c *Client) recordContact() { c.lastContact.Store(time.Now().UnixNano()) }

// waitForToken applies the rate limit to a call before it is sent.
func (c *Client) waitForToken(ctx context.Context, kind string) error {
	limiter := c.readLimiter
	if callKinds[kind].write {
		limiter = c.writeLimiter
	}
	if kind == "keepalive" {
		limiter.takeToken()
		return nil
	}
	err := limiter.wait(ctx)
	if err != nil {
		c.counters.add(kind, countRateLimited, 1)
		return fmt.Errorf("%s: %w", kind, err)
	}
	return nil
}

// do sends one call and decodes its response. It never retries, since a write
// without a response may have taken effect.
func (c *Client) do(ctx context.Context, kind string, request, response any) error {
	if err := c.waitForToken(ctx, kind); err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	endpointIndex := c.endpointIndex.Load()
	body, err := c.roundTrip(callCtx, kind, endpointIndex, request)
	if err == nil {
		if err = json.Unmarshal(body, response); err != nil {
			err = fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
	}
	if err == nil || errors.Is(err, ErrRejected) {
		c.recordContact()
	}
	if err == nil {
		return nil
	}
	c.counters.add(kind, countFailures, 1)
	if ctx.Err() == nil && errors.Is(err, ErrUnavailable) {
		c.failOver(endpointIndex)
	}
	return fmt.Errorf("%s: %w", kind, err)
}

// failOver switches from the endpoint at failedIndex to the next one and closes
// idle connections, which may have become unresponsive.
func (c *Client) failOver(failedIndex int64) {
	c.endpointIndex.CompareAndSwap(failedIndex, failedIndex+1)
	c.callClient.CloseIdleConnections()
}

func (c *Client) roundTrip(ctx context.Context, kind string, endpointIndex int64, request any) ([]byte, error) {
	response, err := c.post(ctx, c.callClient, kind, endpointIndex, request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	httpresponse.LimitBody(response, maxResponseBytes)
	body, err := io.ReadAll(response.Body)
	c.counters.add(kind, countReceived, len(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return body, checkStatus(response.StatusCode, body)
}

// post sends the request and returns the response with its body unread.
func (c *Client) post(ctx context.Context, client *http.Client, kind string, endpointIndex int64, request any) (*http.Response, error) {
	if len(c.endpoints) == 0 {
		return nil, fmt.Errorf("%w: no endpoint", ErrUnavailable)
	}
	body, err := json.Marshal(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRejected, err)
	}
	url := c.endpoints[int(endpointIndex)%len(c.endpoints)] + callKinds[kind].path
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRejected, err)
	}
	r.Header.Set("Content-Type", "application/json")
	c.counters.add(kind, countCalls, 1)
	c.counters.add(kind, countSent, len(body))
	response, err := client.Do(r)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return response, nil
}

// rejectionStatuses are the statuses of requests that the gateway rejected as
// invalid. After any other failure the request may have taken effect.
var rejectionStatuses = map[int]bool{http.StatusBadRequest: true, http.StatusNotFound: true, http.StatusRequestEntityTooLarge: true}

// maxErrorBytes limits the part of an error response that is quoted.
const maxErrorBytes = 200

func checkStatus(status int, body []byte) error {
	if status == http.StatusOK {
		return nil
	}
	category := ErrUnavailable
	if rejectionStatuses[status] {
		category = ErrRejected
	}
	return fmt.Errorf("%w: status %d: %s", category, status, bytes.TrimSpace(body[:min(len(body), maxErrorBytes)]))
}
