package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

const (
	// dialTimeout bounds the connection setup. A round trip takes a few
	// milliseconds; a lost SYN is retransmitted only after one second.
	dialTimeout = 400 * time.Millisecond
	// tcpUserTimeout is how long sent bytes may stay unacknowledged before the
	// connection counts as broken. It leaves time for the retransmissions after
	// two lost packets in a row.
	tcpUserTimeout = 900 * time.Millisecond
	// keepAliveInterval is the idle time before the first TCP keep-alive probe and
	// the time between probes.
	keepAliveInterval = time.Second
	// readBufferBytes fits the header and the body of a typical response.
	readBufferBytes = 4 << 10
	// receiveBufferBytes is the kernel's receive buffer of a connection. By default it
	// grows to some MB while a slow caller does not take the response, and what the
	// kernel has received counts as memory of the process.
	receiveBufferBytes = 64 << 10
	// maxHeadBytes bounds the head and the trailer section of a response.
	maxHeadBytes = 32 << 10
)

// conn is one connection to an upstream. It is used by one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// idleSince is when the last response was complete, 0 on a new connection.
	idleSince clock.Instant
	// idleTimeout is how long the connection may stay idle before the upstream
	// may close it.
	idleTimeout time.Duration
	reused      bool
}

// dial opens a connection whose reads and writes fail soon after the peer stops
// responding, by TCP keep-alive probes and TCP_USER_TIMEOUT.
func dial(ctx context.Context, address string) (*conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 2},
		Control:         setSocketOptions,
	}
	c, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	return newConn(c), nil
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBufferBytes)}
}

func setSocketOptions(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = errors.Join(
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds())),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes),
		)
	})
	return errors.Join(err, sockoptErr)
}

// healthy reports whether an idle connection is open and has no unread bytes,
// which would belong to no request.
func (c *conn) healthy() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && noData
}
