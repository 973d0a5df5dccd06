package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// newID returns another request ID.
func newID() string { return fmt.Sprintf("%08x%04x", time.Now().UnixNano()&0xffffffff, lastID.Add(1)) }

// request is one client attempt.
type request struct {
	id       string
	method   string
	path     string
	key      string
	deadline time.Duration
	fields   [][2]string
	body     []byte
}

// result is what the client got.
type result struct {
	sent   time.Time
	ended  time.Time
	status int
	header http.Header
	body   []byte
	err    error
}

func (r result) String() string {
	if r.err != nil {
		return fmt.Sprintf("status %d, %d bytes, error: %v", r.status, len(r.body), r.err)
	}
	return fmt.Sprintf("status %d, %d bytes, complete", r.status, len(r.body))
}

// client is a client with one connection to a router.
type client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

var errClosed = errors.New("connection closed without an answer")

func (c *client) open() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp4", c.address, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (q request) encode() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", q.method, q.path, q.id, q.deadline.Milliseconds())
	if q.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", q.key)
	}
	for _, f := range q.fields {
		fmt.Fprintf(&b, "%s: %s\r\n", f[0], f[1])
	}
	if len(q.body) > 0 || q.method == http.MethodPost {
		b.WriteString("Content-Length: " + strconv.Itoa(len(q.body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(q.body)
	return b.Bytes()
}

// do sends a request on the kept connection, or a new one, and reads the answer until the
// client's deadline.
func (c *client) do(q request) (r result) {
	r.sent = time.Now()
	defer func() {
		r.ended = time.Now()
		if r.err != nil {
			c.close()
		}
	}()
	if r.err = c.open(); r.err != nil {
		return r
	}
	_ = c.conn.SetDeadline(time.Now().Add(q.deadline + 300*time.Millisecond))
	if _, r.err = c.conn.Write(q.encode()); r.err != nil {
		return r
	}
	res, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		r.err = fmt.Errorf("%w: %w", errClosed, err)
		return r
	}
	r.status, r.header = res.StatusCode, res.Header
	r.body, r.err = io.ReadAll(res.Body)
	if res.Close {
		c.close()
	}
	return r
}

// do sends a request and records what was sent and answered.
func (f *fleet) do(c *client, r *router, q request) result {
	f.rec.printf("client sends %s to %s: %s %s%s", q.id, r.name, q.method, q.path, q.prompt())
	res := c.do(q)
	f.rec.printf("client gets for %s from %s after %d ms: %v", q.id, r.name, res.ended.Sub(res.sent).Milliseconds(), res)
	return res
}

// prompt returns the parts of the prompt for the record.
func (q request) prompt() string {
	for _, field := range q.fields {
		if field[0] == "Prompt-Prefix" {
			return " " + field[1]
		}
	}
	return ""
}
