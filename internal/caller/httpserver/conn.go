package httpserver

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hemlockcroft/hemlockcroft/internal/caller/intake"
	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

const (
	// writePeriod and minWriteBytes state the slowest reader of a response: that many
	// bytes in each period. A caller that does not read keeps a connection from others
	// for that time, since its request was forwarded and is not given up for them.
	writePeriod   = 5 * time.Second
	minWriteBytes = 4 << 10
	// maxWriteDelay is by how much the end of a period may be late. Later, the process
	// was paused and the caller gets another period.
	maxWriteDelay = time.Second
	// rejectTime and maxRejectBytes bound what is read of a connection after the
	// response to a head that is not accepted: closing a connection with unread bytes
	// resets it, and the caller may lose the response.
	rejectTime     = 500 * time.Millisecond
	maxRejectBytes = 256 << 10
)

// conn is a caller's connection that can be closed only between requests: once
// the HTTP server has read any bytes of a request, the connection stays open until
// the response is sent. The connection state of net/http is not enough for this:
// it becomes active only after the whole header has been read, so closing
// connections that net/http calls idle aborts requests. An account may close the
// connection of an incomplete request.
type conn struct {
	net.Conn
	gate *Gate
	// account is nil without a gate.
	account *intake.Connection
	// aborted is closed by Abort.
	aborted chan struct{}

	mu     sync.Mutex
	idle   bool
	closed bool
}

// Read reads from the connection. After closeIfIdle has closed it, Read returns
// net.ErrClosed even if the underlying read returned bytes.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.idle = false
	}
	c.mu.Unlock()
	if n > 0 && c.account != nil {
		if refusal := c.account.Received(clock.Now(), b[:n], c.gate.maxHead()); refusal != nil {
			c.reject(refusal, b)
			return 0, io.EOF
		}
	}
	return n, err
}

// reject responds to a head that is not accepted, and waits until the caller can have
// read the response. The HTTP server then closes the connection.
func (c *conn) reject(refusal error, buffer []byte) {
	if errors.Is(refusal, intake.ErrYield) {
		// The connection is closed.
		return
	}
	status, retry := http.StatusServiceUnavailable, "Retry-After: 1\r\n"
	if errors.Is(refusal, intake.ErrHeadTooLarge) {
		status, retry = http.StatusRequestHeaderFieldsTooLarge, ""
	}
	end := time.Now().Add(rejectTime)
	_ = c.Conn.SetDeadline(end)
	text := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nConnection: close\r\nContent-Length: 0\r\n" + retry + "\r\n"
	if _, err := io.WriteString(c.Conn, text); err != nil {
		return
	}
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = w.CloseWrite()
	}
	for rest := maxRejectBytes; rest > 0; {
		n, err := c.Conn.Read(buffer)
		if err != nil {
			return
		}
		rest -= n
	}
	t := time.NewTimer(time.Until(end))
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.aborted:
	}
}

// Write writes to the connection. It fails once the caller has read less than
// minWriteBytes in writePeriod.
func (c *conn) Write(b []byte) (int, error) {
	written := 0
	for {
		deadline := time.Now().Add(writePeriod)
		if err := c.Conn.SetWriteDeadline(deadline); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(b[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		if n < minWriteBytes && time.Since(deadline) < maxWriteDelay {
			if c.gate != nil {
				c.gate.account.Count(clock.Now(), "response_not_read", logrus.Fields{"address": c.RemoteAddr().String(), "left": len(b) - written})
			}
			return written, err
		}
	}
}

// Close closes the connection and its account.
func (c *conn) Close() error {
	c.account.Close()
	return c.Conn.Close()
}

// Abort closes the connection at once, with what the kernel holds for it.
func (c *conn) Abort() {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	c.mu.Unlock()
	close(c.aborted)
	// Errors mean that the connection is closed already.
	_ = c.SetLinger(0)
	_ = c.Close()
}

// Interrupt makes reads fail, so that the handler responds.
func (c *conn) Interrupt() {
	// An error means that the connection is closed already.
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// SetLargeReceiveBuffer sets the size of the receive buffer.
func (c *conn) SetLargeReceiveBuffer(large bool) {
	size := smallReceiveBuffer
	if large {
		size = largeReceiveBuffer
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// Without it only the rate of a distant caller differs.
		_ = tcp.SetReadBuffer(size)
	}
}

// SetLinger sets what happens to unsent data on close, as net.TCPConn does.
func (c *conn) SetLinger(seconds int) error {
	if l, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return l.SetLinger(seconds)
	}
	return nil
}

// CloseWrite ends the sending direction, as net.TCPConn does. The HTTP server uses it to
// let a caller read a response before the connection is closed.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// markIdle records that the last request is complete.
func (c *conn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = true
}

// closeIfIdle closes the connection unless a request is in progress. It reports
// whether the connection is closed.
func (c *conn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle {
		return false
	}
	if !c.closed {
		c.closed = true
		// The error is ignored: the caller may have closed the connection already.
		_ = c.Close()
	}
	return true
}

// trackingListener wraps each accepted connection in a conn.
type trackingListener struct {
	net.Listener
	// gate may be nil.
	gate *Gate
}

// Accept implements net.Listener.
func (l trackingListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tracked := &conn{Conn: c, gate: l.gate, aborted: make(chan struct{}), idle: true}
		if l.gate == nil || l.gate.open(tracked) {
			return tracked, nil
		}
		_ = tracked.SetLinger(0)
		_ = c.Close()
	}
}

// open opens the account of a connection and reports whether it is accepted.
func (g *Gate) open(c *conn) bool {
	address := c.RemoteAddr().String()
	if host, _, err := net.SplitHostPort(address); err == nil {
		address = host
	}
	c.account = g.account.Open(clock.Now(), address, c)
	return c.account != nil
}
