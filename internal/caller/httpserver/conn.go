package httpserver

import (
	"net"
	"sync"
)

// conn is a caller's connection that can be closed only between requests: once
// the HTTP server has read any bytes of a request, the connection stays open until
// the response is sent. The connection state of net/http is not enough for this:
// it becomes active only after the whole header has been read, so closing
// connections that net/http calls idle aborts requests.
type conn struct {
	net.Conn

	mu     sync.Mutex
	idle   bool
	closed bool
}

// Read reads from the connection. After closeIfIdle has closed it, Read returns
// net.ErrClosed even if the underlying read returned bytes.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.idle = false
	}
	return n, err
}

// SetLinger sets what happens to unsent data on close, as net.TCPConn does.
func (c *conn) SetLinger(seconds int) error {
	if l, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return l.SetLinger(seconds)
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
type trackingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, idle: true}, nil
}
