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

var lastRequest atomic.Int64

// newRequestID returns an ID that no other request of this run has.
func newRequestID() string { return fmt.Sprintf("q%06d", lastRequest.Add(1)) }

// request is one attempt of a client.
type request struct {
	id, method, path string
	deadline         time.Duration
	header           map[string]string
	body             []byte
	// bytesPerSecond paces the body, 0 for no limit.
	bytesPerSecond int
}

// response is what a client saw.
type response struct {
	id     string
	sent   time.Time
	ended  time.Time
	status int
	header http.Header
	body   []byte
	// err is set if the connection ended without a complete answer.
	err error
}

func (r response) text() string {
	if r.err != nil {
		return fmt.Sprintf("%s: status %d, %d bytes, connection ended without a complete answer: %v", r.id, r.status, len(r.body), r.err)
	}
	return fmt.Sprintf("%s: status %d, %d bytes after %d ms", r.id, r.status, len(r.body), r.ended.Sub(r.sent).Milliseconds())
}

// client sends requests on one connection that it keeps.
type client struct {
	name    string
	address string
	record  *record
	conn    net.Conn
	reader  *bufio.Reader
	// used counts the complete answers on the connection.
	used int
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn, c.used = nil, 0
}

// send sends a request and reads the answer. It never repeats a request.
func (c *client) send(q request) response {
	res := response{id: q.id, sent: time.Now()}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp4", c.address, time.Second)
		if err != nil {
			res.err, res.ended = err, time.Now()
			return res
		}
		c.conn, c.reader, c.used = conn, bufio.NewReader(conn), 0
	}
	c.record.line("client %s sends %s: %s %s, %d bytes, answers on this connection so far %d", c.name, q.id, q.method, q.path, len(q.body), c.used)
	_ = c.conn.SetDeadline(time.Now().Add(q.deadline + time.Second))
	res.err = c.exchange(q, &res)
	res.ended = time.Now()
	c.record.line("client %s: %s", c.name, res.text())
	if res.err != nil || res.header.Get("Connection") == "close" {
		c.close()
	} else {
		c.used++
	}
	return res
}

func (c *client) exchange(q request, res *response) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", q.method, q.path, q.id, q.deadline.Milliseconds())
	for name, value := range q.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %s\r\n", strconv.Itoa(len(q.body)))
	}
	b.WriteString("\r\n")
	if _, err := c.conn.Write(b.Bytes()); err != nil {
		return err
	}
	if err := c.writeBody(q); err != nil {
		return err
	}
	r, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		return err
	}
	res.status, res.header = r.StatusCode, r.Header
	if r.Close {
		res.header.Set("Connection", "close")
	}
	res.body, err = io.ReadAll(r.Body)
	return err
}

const paceChunk = 64 << 10

func (c *client) writeBody(q request) error {
	if q.bytesPerSecond == 0 {
		_, err := c.conn.Write(q.body)
		return err
	}
	start, sent := time.Now(), 0
	for rest := q.body; len(rest) > 0; {
		n := min(paceChunk, len(rest))
		if _, err := c.conn.Write(rest[:n]); err != nil {
			return err
		}
		rest, sent = rest[n:], sent+n
		time.Sleep(time.Until(start.Add(time.Duration(sent) * time.Second / time.Duration(q.bytesPerSecond))))
	}
	return nil
}

// timedOut reports whether the client gave up, rather than the router.
func (r response) timedOut() bool {
	var n net.Error
	return errors.As(r.err, &n) && n.Timeout()
}
