package front

import (
	"net"
	"sync"
)

// conn is a caller's connection that can be closed between requests only: once
// bytes of a request were handed to the HTTP server, the request is answered.
// net/http marks a connection as active after it has read the whole header, so
// that closing the idle ones by its state cuts off requests.
type conn struct {
	net.Conn

	mu     sync.Mutex
	idle   bool
	closed bool
}

// Read reads from the connection, and fails once it is retired even if bytes
// arrived meanwhile.
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

// markIdle notes that the last request was answered.
func (c *conn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = true
}

// closeIfIdle closes the connection unless a request is in progress.
func (c *conn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle {
		return false
	}
	if !c.closed {
		c.closed = true
		// The caller may have closed it at the same moment.
		_ = c.Close()
	}
	return true
}

// trackingListener wraps the connections that it accepts.
type trackingListener struct{ net.Listener }

// Accept waits for a connection.
func (l trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, idle: true}, nil
}
