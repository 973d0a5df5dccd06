package http1

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
)

const (
	// maxUnmatched bounds the answers to other requests that are skipped on one
	// connection before it is given up.
	maxUnmatched = 3
	// inlineBodyBytes is the size up to which a body is written before the answer is
	// read; it fits in the socket's buffer.
	inlineBodyBytes = 16 << 10
	// maxUnmatchedBodyBytes bounds the body of an answer that is skipped.
	maxUnmatchedBodyBytes = 1 << 20
)

// errUnmatched means that only answers to other requests came.
var errUnmatched = errors.New("the answers on the connection belong to other requests")

// Request is one attempt of a request at an upstream.
type Request struct {
	Method string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Matches reports whether an answer with this header belongs to the request.
	Matches func(status int, h http.Header) bool
	// MaxConns bounds this router's connections to the upstream.
	MaxConns int
	// MaxIdleAge is the longest idle time of a connection that may be reused.
	MaxIdleAge time.Duration
}

// Response is the answer to a request. Its body must be closed.
type Response struct {
	status int
	header http.Header
	body   io.Reader

	pool       *Pool
	conn       *conn
	keepAlive  bool
	bodyRead   bool
	writeErr    chan error
	stopCancel func() bool
	once       sync.Once
}

// Status returns the HTTP status.
func (r *Response) Status() int { return r.status }

// Header returns the header, which includes fields of the connection.
func (r *Response) Header() http.Header { return r.header }

// Read reads the body. io.EOF means that the body is complete.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if errors.Is(err, io.EOF) {
		r.bodyRead = true
	}
	return n, err
}

// Close ends the use of the connection: it is kept after a complete answer and
// closed otherwise, which cancels the request at the upstream.
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

// requestSent reports whether the request was written whole.
func (r *Response) requestSent() bool {
	select {
	case err := <-r.writeErr:
		return err == nil
	default:
		return false
	}
}

// Do sends a request and returns when the header of its answer is read. The
// request is cancelled with ctx, also while the body is read. Errors carry a
// verdict.
func (p *Pool) Do(ctx context.Context, q Request) (*Response, error) {
	c, err := p.get(ctx, q.MaxConns, q.MaxIdleAge)
	if err != nil {
		return nil, err
	}
	past := time.Unix(1, 0)
	// A cancelled request must not wait in a read or a write.
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

// roundTrip writes the request and reads the header of the answer to it.
func (c *conn) roundTrip(q Request) (*Response, error) {
	header := q.encodeHeader()
	writeErr := make(chan error, 1)
	if len(q.Body) <= inlineBodyBytes {
		_, err := c.Write(append(header, q.Body...))
		writeErr <- err
		if err != nil {
			return nil, fmt.Errorf("send request: %w", err)
		}
	} else {
		// An upstream may answer before it has read a long body.
		go func() {
			_, err := c.Write(append(header, q.Body...))
			writeErr <- err
		}()
	}
	for range maxUnmatched {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: q.Method})
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if q.Matches(resp.StatusCode, resp.Header) {
			c.idleTimeout = keepAliveTimeout(resp.Header)
			return &Response{
				status: resp.StatusCode, header: resp.Header, body: resp.Body,
				conn: c, keepAlive: !resp.Close && c.idleTimeout > 0, writeErr: writeErr,
			}, nil
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxUnmatchedBodyBytes)); err != nil || resp.Close {
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
	if len(q.Body) > 0 || q.Method == http.MethodPost || q.Method == http.MethodPut || q.Method == http.MethodPatch {
		h.Set("Content-Length", strconv.Itoa(len(q.Body)))
	}
	// A bytes.Buffer never fails.
	_ = h.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// idleTimeout returns how long a connection may stay unused after an answer.
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
