package http1wire

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// readBufferBytes fits most heads and the chunks of one read.
	readBufferBytes = 2 << 10
	// defaultMaxHead is the limit of a head where the transport states none, in bytes.
	defaultMaxHead = 64 << 10
	// defaultHandshakeTimeout limits a TLS handshake where the transport states no limit.
	defaultHandshakeTimeout = 10 * time.Second
)

// ErrUnsolicited means that a server sent bytes on an idle connection.
var ErrUnsolicited = errors.New("response without a request")

// Strict makes a transport accept only responses that ReadResponse accepts, and returns
// it. Its connections pass on heads as they are, and bodies in chunks without extensions
// and trailers. An early response is read to its end although the request cannot be sent
// completely. The transport uses HTTP/1.1 only. Responses through a proxy for https are
// not checked.
func Strict(t *http.Transport) *http.Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	maxHead := defaultMaxHead
	if t.MaxResponseHeaderBytes > 0 {
		maxHead = int(t.MaxResponseHeaderBytes)
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(c, maxHead), nil
	}
	t.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c, err := startTLS(ctx, raw, address, t)
		if err != nil {
			_ = raw.Close()
			return nil, err
		}
		return newConn(c, maxHead), nil
	}
	return t
}

// startTLS does the handshake of a connection as a transport does by itself, with
// HTTP/1.1 only.
func startTLS(ctx context.Context, raw net.Conn, address string, t *http.Transport) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	config := t.TLSClientConfig.Clone()
	if config == nil {
		config = &tls.Config{}
	}
	if config.ServerName == "" {
		config.ServerName = host
	}
	config.NextProtos = nil
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(t.TLSHandshakeTimeout, defaultHandshakeTimeout))
	defer cancel()
	c := tls.Client(raw, config)
	return c, c.HandshakeContext(ctx)
}

// conn is a connection of a client of net/http. Reads return the bytes of responses that
// have been checked.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	maxHead int
	// pending holds checked bytes that no read has returned yet.
	pending []byte
	// body is the rest of the current body, nil before a head. chunked is set if it is
	// passed on in chunks, and untilClose if the end of the connection ends it.
	body                io.Reader
	chunked, untilClose bool

	// writing is held during a write.
	writing sync.Mutex
	// writeErr is the error of the first write that failed.
	writeErr error

	mu sync.Mutex
	// method is that of the request in progress, empty while there is none, and begun is
	// set once a part of it was passed to Write.
	method string
	begun  bool

	closeOnce sync.Once
	closed    chan struct{}
}

func newConn(c net.Conn, maxHead int) *conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBufferBytes), maxHead: maxHead, closed: make(chan struct{})}
}

// Write writes a part of a request. After the first part, it holds back a failure until
// the connection is closed: the server may have responded before, which net/http would
// give up, and reads fail if it has not.
func (c *conn) Write(p []byte) (int, error) {
	begun := c.beginWrite(p)
	n, err := c.write(p)
	if err != nil && (begun || n > 0) {
		<-c.closed
	}
	return n, err
}

func (c *conn) write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr != nil {
		return 0, c.writeErr
	}
	n, err := c.Conn.Write(p)
	c.writeErr = err
	return n, err
}

// Close closes the connection, which ends reads and writes.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// beginWrite records the method if p starts a request, and reports whether an earlier
// write did.
func (c *conn) beginWrite(p []byte) (begun bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.method == "" {
		method, _, _ := bytes.Cut(p, []byte(" "))
		c.method, c.begun = string(method[:min(len(method), maxMethodBytes)]), false
	}
	begun, c.begun = c.begun, c.begun || len(p) > 0
	return begun
}

// maxMethodBytes bounds what is kept of a method. Only HEAD and CONNECT, which change
// where a response ends, must fit.
const maxMethodBytes = 16

// Read implements io.Reader.
func (c *conn) Read(p []byte) (int, error) {
	if len(c.pending) == 0 && c.body == nil {
		if err := c.readHead(); err != nil {
			return 0, err
		}
	}
	if len(c.pending) == 0 && c.chunked && len(p) < minChunkRead {
		buffer := make([]byte, minChunkRead)
		n, err := c.readChunk(buffer)
		if err != nil {
			return 0, err
		}
		c.pending = buffer[:n]
	}
	switch {
	case len(c.pending) > 0:
		n := copy(p, c.pending)
		c.pending = c.pending[n:]
		return n, nil
	case c.chunked:
		return c.readChunk(p)
	}
	return c.readBody(p)
}

// readHead reads the next head into pending. Without any byte it returns io.EOF, which
// shows net/http that an idle connection was closed.
func (c *conn) readHead() error {
	if _, err := c.reader.Peek(1); err != nil {
		return c.readError(err)
	}
	c.mu.Lock()
	method := c.method
	c.mu.Unlock()
	if method == "" {
		return ErrUnsolicited
	}
	head, err := readHead(c.reader, c.maxHead)
	if err != nil {
		return c.readError(err)
	}
	response, err := parseHead(head, c.reader, method, c.maxHead)
	if err != nil {
		return err
	}
	c.pending = head
	switch {
	case response.StatusCode < http.StatusOK:
	case response.Body == http.NoBody:
		c.endResponse()
	default:
		c.body, c.chunked, c.untilClose = response.Body, len(response.TransferEncoding) > 0, UntilClose(response)
	}
	return nil
}

// endResponse expects the next request.
func (c *conn) endResponse() {
	c.body, c.chunked, c.untilClose = nil, false, false
	c.mu.Lock()
	defer c.mu.Unlock()
	c.method = ""
}

const (
	// chunkSizeFormat is the line before a chunk, with leading zeros.
	chunkSizeFormat = "%04x\r\n"
	chunkSizeBytes  = len("0000\r\n")
	chunkEnd        = "\r\n"
	lastChunk       = "0\r\n\r\n"
	// maxChunk is the largest chunk of that format, in bytes.
	maxChunk = 1<<16 - 1
	// minChunkRead is the smallest buffer into which a chunk is read directly, in bytes. It
	// has room for the lines around the chunk.
	minChunkRead = 64
)

// readChunk reads a part of a body into p, which has minChunkRead bytes or more, as one
// chunk.
func (c *conn) readChunk(p []byte) (int, error) {
	room := min(len(p)-chunkSizeBytes-len(chunkEnd), maxChunk)
	n, err := c.body.Read(p[chunkSizeBytes : chunkSizeBytes+room])
	switch {
	case n > 0:
		// The next read returns the error again.
		size := fmt.Appendf(p[:0], chunkSizeFormat, n)
		return len(size) + n + copy(p[len(size)+n:], chunkEnd), nil
	case errors.Is(err, io.EOF):
		c.endResponse()
		return copy(p, lastChunk), nil
	}
	return 0, c.readError(err)
}

// readBody reads a part of a body that is not in chunks.
func (c *conn) readBody(p []byte) (int, error) {
	n, err := c.body.Read(p)
	switch {
	case errors.Is(err, io.EOF) && c.untilClose:
		return n, EndOfConnection(c.Conn, c.lastWriteError)
	case errors.Is(err, io.EOF):
		c.endResponse()
		return n, nil
	}
	return n, c.readError(err)
}

// lastWriteError waits for the write in progress.
func (c *conn) lastWriteError() error {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeErr
}

// readError returns the error of a read, after which the connection is of no use. A
// write that failed before says more.
func (c *conn) readError(err error) error {
	if err == nil || !c.writing.TryLock() {
		return err
	}
	defer c.writing.Unlock()
	if c.writeErr != nil {
		return c.writeErr
	}
	return err
}
