package httpserver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/hemlockcroft/hemlockcroft/internal/caller/intake"
	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
)

const (
	// smallReceiveBuffer is the receive buffer of callers' connections. What the kernel
	// has received counts as memory of the process, also on connections that are not
	// read while their request is served.
	smallReceiveBuffer = 32 << 10
	// largeReceiveBuffer is the receive buffer while a large body arrives, so that
	// distant callers can send it quickly.
	largeReceiveBuffer = 128 << 10
	// headFactor and headMargin relate the limit on a header to what is read of a
	// connection until it is complete: the header as it was written, the request line,
	// and what follows the header in the same read.
	headFactor = 2
	headMargin = 8 << 10
)

// HeadLimits are the limits of the configuration on the head of a request.
type HeadLimits struct {
	// Bytes is the maximum size of the header, 0 for no limit.
	Bytes int
	// Time is the maximum time for a head, 0 for the default.
	Time time.Duration
}

// Gate connects the HTTP server for callers with the account of what they hold.
type Gate struct {
	account *intake.Account
	// limits returns the limits of the configuration, which may change.
	limits func() HeadLimits
}

// NewGate returns a gate that reads limits for each head.
func NewGate(a *intake.Account, limits func() HeadLimits) *Gate { return &Gate{a, limits} }

// Listen listens on address; network is "tcp" or "tcp4".
func (g *Gate) Listen(ctx context.Context, network, address string) (net.Listener, error) {
	l, err := (&net.ListenConfig{Control: setReceiveBuffer}).Listen(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	return trackingListener{l, g}, nil
}

// setReceiveBuffer sets the receive buffer of the connections that a socket accepts.
func setReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, smallReceiveBuffer)
	})
	return errors.Join(err, sockoptErr)
}

// Attach makes an HTTP server whose listener is from Listen report to the account.
func (g *Gate) Attach(h *http.Server) {
	next, trackNext := h.Handler, h.ConnState
	h.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { g.serve(next, w, r) })
	h.ConnState = func(nc net.Conn, state http.ConnState) {
		if c, ok := nc.(*conn); ok && state == http.StateIdle {
			c.account.Idle(clock.Now())
		}
		if trackNext != nil {
			trackNext(nc, state)
		}
	}
	h.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if c, ok := nc.(*conn); ok {
			return intake.NewContext(ctx, c.account)
		}
		return ctx
	}
}

// Run checks the limits on time until ctx is done.
func (g *Gate) Run(ctx context.Context) error {
	for clock.Sleep(ctx, intake.SweepInterval) {
		g.account.Sweep(clock.Now(), g.limits().Time)
	}
	return ctx.Err()
}

// serve passes a request on and releases what it held.
func (g *Gate) serve(next http.Handler, w http.ResponseWriter, r *http.Request) {
	account := intake.FromContext(r.Context())
	if account.HeadComplete(clock.Now()) != nil {
		// The connection is closed already.
		panic(http.ErrAbortHandler)
	}
	var body *trackedBody
	if r.ContentLength != 0 {
		body = &trackedBody{ReadCloser: r.Body}
		r.Body = body
	}
	defer func() { account.End(clock.Now(), body != nil && !body.complete) }()
	next.ServeHTTP(w, r)
}

// trackedBody records whether a body was read to its end.
type trackedBody struct {
	io.ReadCloser
	complete bool
}

func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.complete = true
	}
	return n, err
}

// maxHead returns the most that is read of a connection until a head is complete.
func (g *Gate) maxHead() int64 {
	limit := g.limits().Bytes
	if limit <= 0 {
		limit = maxHeaderBytes
	}
	return headFactor*int64(limit) + headMargin
}
