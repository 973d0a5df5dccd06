package http1

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/http1wire"
)

const (
	// maxUnmatched bounds the responses that are read for one request. Those to other
	// requests are skipped; if none of the responses matches, the connection is closed.
	maxUnmatched = 3
	// inlineBodyBytes is the size up to which a body is written before the response
	// is read; it fits in the socket buffer.
	inlineBodyBytes = 16 << 10
	// maxUnmatchedBodyBytes bounds the body of a skipped response.
	maxUnmatchedBodyBytes = 64 << 10
)

// errUnmatched means that no response on the connection matched the request.
var errUnmatched = errors.New("the responses on the connection belong to other requests")

// ErrNotSent means that BeforeSend kept a request from being sent.
var ErrNotSent = errors.New("request not sent")

// Request is one attempt of a request at an upstream.
type Request struct {
	Method string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   Body
	// BeforeSend, if set, is called once the connection is open, right before the
	// request is written. It returns the header to send in place of Header, or an
	// error to keep the request from being sent.
	BeforeSend func() (http.Header, error)
	// Matches reports whether a response with this header belongs to the request.
	// first is set for the first response on a connection, which cannot belong to an
	// earlier request.
	Matches func(status int, h http.Header, first bool) bool
	// MaxConns bounds this router's connections to the upstream, 0 for no bound.
	MaxConns int
	// MaxIdleAge is the longest idle time of a connection that may be reused.
	MaxIdleAge time.Duration
}

// Body is the body of a request in segments. It is not changed.
type Body [][]byte

// Len returns the length of the body in bytes.
func (b Body) Len() int {
	n := 0
	for _, segment := range b {
		n += len(segment)
	}
	return n
}

// Response is the response to a request. It must be closed.
type Response struct {
	status int
	header http.Header
	body   io.Reader

	pool      *Pool
	conn      *conn
	keepAlive bool
	// length is the length of the body, -1 if it is not stated.
	length int64
	// delimited is set if the body has a length or chunks.
	delimited bool
	bodyRead  bool
	// untilClose is set if the end of the connection ends the body.
	untilClose bool
	sending    *sending
	// stopCancel detaches the connection from the request's context. It returns
	// false if the context has ended.
	stopCancel func() bool
	once       sync.Once
}

// Status returns the HTTP status.
func (r *Response) Status() int { return r.status }

// Header returns the header including hop-by-hop fields.
func (r *Response) Header() http.Header { return r.header }

// Length returns the length of the body, -1 if it is not stated.
func (r *Response) Length() int64 { return r.length }

// Delimited reports whether the body has a length or chunks. The end of the
// connection ends any other one, whether it is complete or not.
func (r *Response) Delimited() bool { return r.delimited }

// Read reads the body. io.EOF means that the body is complete.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if errors.Is(err, io.EOF) && r.untilClose {
		// This ends the sending of the request, since the response is over.
		err = http1wire.EndOfConnection(r.conn, r.sending.wait)
	}
	if errors.Is(err, io.EOF) {
		r.bodyRead = true
	}
	return n, err
}

// ReadRest reads the rest of the body, at most limit bytes and for at most a time.
// The connection is reused only if the body ends within both.
func (r *Response) ReadRest(limit int64, timeout time.Duration) {
	t := time.AfterFunc(timeout, func() { _ = r.conn.SetDeadline(past) })
	// If the body does not end, Close closes the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(r, limit))
	if !t.Stop() {
		// The deadline may be set after the body was read.
		r.keepAlive = false
	}
}

// Close returns the connection to the pool if the response was read completely.
// Otherwise it closes the connection, which cancels the request at the upstream.
func (r *Response) Close() {
	r.once.Do(func() {
		notCancelled := r.stopCancel()
		if notCancelled && r.bodyRead && r.keepAlive && r.requestSent() {
			r.pool.put(r.conn)
			return
		}
		r.pool.discard(r.conn)
	})
}

// requestSent reports whether the request was written completely.
func (r *Response) requestSent() bool {
	select {
	case <-r.sending.ended:
		return r.sending.err == nil
	default:
		return false
	}
}

// sending is the writing of a request, which may go on while its response is read.
type sending struct {
	// ended is closed once the request is written or the writing has failed with err.
	ended chan struct{}
	err   error
}

func (s *sending) finish(err error) {
	s.err = err
	close(s.ended)
}

func (s *sending) wait() error {
	<-s.ended
	return s.err
}

// past is a deadline that ends reads and writes at once.
var past = time.Unix(1, 0)

// Do sends a request and returns once the header of its response is read. The
// end of ctx cancels the request, also while the body is read. Errors carry a
// verdict.
func (p *Pool) Do(ctx context.Context, q Request) (*Response, error) {
	c, err := p.get(ctx, q.MaxConns, q.MaxIdleAge)
	if err != nil {
		return nil, err
	}
	if q.BeforeSend != nil {
		// Time has passed since the caller decided to send: for the dial, or because
		// the process was paused.
		if q.Header, err = q.BeforeSend(); err != nil {
			p.discard(c)
			return nil, verdict.Errorf(verdict.NotRun, "%w: %w", ErrNotSent, err)
		}
	}
	// Unblocks reads and writes when the request is cancelled.
	stopCancel := context.AfterFunc(ctx, func() { _ = c.SetDeadline(past) })
	r, err := c.roundTrip(q)
	if err != nil {
		stopCancel()
		p.discard(c)
		if ctx.Err() != nil {
			err = fmt.Errorf("%w: %w", context.Cause(ctx), err)
		}
		return nil, verdict.Errorf(verdict.Unknown, "upstream %s, reused=%t, idle=%s: %w", p.address, c.reused, c.idleTime(), err)
	}
	r.pool, r.stopCancel = p, stopCancel
	return r, nil
}

func (c *conn) idleTime() time.Duration {
	if c.idleSince == 0 {
		return 0
	}
	return clock.Since(c.idleSince).Round(time.Millisecond)
}

// send starts to write the request. An upstream may respond before it has read a long
// body, so that is written while the response is read.
func (c *conn) send(q Request) *sending {
	s := &sending{ended: make(chan struct{})}
	header := q.encodeHeader()
	if q.Body.Len() <= inlineBodyBytes {
		for _, segment := range q.Body {
			header = append(header, segment...)
		}
		_, err := c.Write(header)
		s.finish(err)
		return s
	}
	// The deadline of the connection ends the goroutine with the request's context.
	go func() {
		// WriteTo changes the slice of segments, which is used again after a failed
		// attempt.
		buffers := append(net.Buffers{header}, q.Body...)
		_, err := buffers.WriteTo(c.Conn)
		s.finish(err)
	}()
	return s
}

// roundTrip writes the request and reads the header of its response. The upstream may
// have responded although the writing failed.
func (c *conn) roundTrip(q Request) (*Response, error) {
	s := c.send(q)
	first := !c.reused
	for range maxUnmatched {
		resp, err := http1wire.ReadResponse(c.reader, q.Method, maxHeadBytes)
		if err != nil {
			return nil, fmt.Errorf("read response: %w", err)
		}
		if q.Matches(resp.StatusCode, resp.Header, first) {
			c.idleTimeout = keepAliveTimeout(resp.Header)
			return &Response{
				status: resp.StatusCode, header: resp.Header, body: resp.Body,
				length: resp.ContentLength, conn: c, keepAlive: !resp.Close && c.idleTimeout > 0, sending: s,
				delimited: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0, untilClose: http1wire.UntilClose(resp),
			}, nil
		}
		first = false
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxUnmatchedBodyBytes))
		if err != nil || resp.Close || n == maxUnmatchedBodyBytes {
			// The rest of a longer body must not be parsed as the next response.
			return nil, errors.Join(errUnmatched, err)
		}
	}
	return nil, errUnmatched
}

// encodeHeader returns the request line and the header.
func (q *Request) encodeHeader() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", q.Method, q.Target, q.Host)
	h := q.Header.Clone()
	h.Del("Content-Length")
	h.Del("Host")
	if q.Body.Len() > 0 || q.Method == http.MethodPost || q.Method == http.MethodPut || q.Method == http.MethodPatch {
		h.Set("Content-Length", strconv.Itoa(q.Body.Len()))
	}
	// A write to a bytes.Buffer never fails.
	_ = h.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// keepAliveTimeout returns how long a connection may stay idle: the timeout of the
// Keep-Alive field less a margin, or a default without one.
func keepAliveTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s >= 0 {
			return time.Duration(s)*time.Second - idleTimeoutMargin
		}
	}
	return defaultIdleTimeout
}
