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
	// dialTimeout bounds the connection setup; a round trip takes a few
	// milliseconds, and a lost opening packet is sent again after a second.
	dialTimeout = 400 * time.Millisecond
	// unackedLimit is how long sent bytes may stay without acknowledgement
	// before the connection counts as dead. Retransmission after the loss of
	// two packets in a row fits in it.
	unackedLimit = 900 * time.Millisecond
	// probeAfter is the silence after which TCP probes an open connection.
	probeAfter = time.Second
	// readBuffer holds the header and the body of a usual answer.
	readBuffer = 4 << 10
)

// conn is one connection to an upstream. It is used by one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// idleSince is when the last answer was complete.
	idleSince clock.Instant
	// idleLimit is how long the upstream keeps the connection open unused.
	idleLimit time.Duration
	reused    bool
}

// dial opens a connection that notices a silent peer by itself.
func dial(ctx context.Context, address string) (*conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeAfter, Count: 2},
		Control:         limitUnacked,
	}
	c, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBuffer)}, nil
}

func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedLimit.Milliseconds()))
	})
	return errors.Join(err, failure)
}

// quiet reports whether the connection is open and has nothing to read. Bytes
// that wait on an idle connection belong to no request.
func (c *conn) quiet() bool {
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
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && quiet
}
