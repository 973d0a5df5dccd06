package crowd

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// dialTimeout bounds the opening of one connection.
	dialTimeout = 5 * time.Second
	// receiveBufferBytes is the receive buffer of a connection that does not read, so
	// that the router holds what the caller does not take.
	receiveBufferBytes = 4 << 10
)

// Target is the router to which a crowd sends.
type Target struct {
	// Address is the router's address for callers.
	Address string
	// Post returns the request line and the header of a request with a body, without
	// the empty line and without the fields that describe the body.
	Post func(id string) string
	// Long and Stream return a whole request whose response is long, or a long stream.
	Long, Stream func(id string) string
}

// Pattern is one kind of traffic.
type Pattern struct {
	name  string
	conns int
	// rounds is how often a connection is opened again after the router closed it.
	rounds int
	// slowReader is set if the connections do not read.
	slowReader bool
	send       func(ctx context.Context, t Target, c net.Conn, id string) error
	// keepOpen is set if connections stay open after they have sent everything.
	keepOpen bool
}

// Name returns the name of the pattern.
func (p Pattern) Name() string { return p.name }

// Crowd is a pattern that is being played.
type Crowd struct {
	cancel context.CancelFunc
	sent   sync.WaitGroup
	all    sync.WaitGroup

	mu     sync.Mutex
	errors int
}

// Start opens the connections of a pattern and begins to send.
func Start(t Target, p Pattern) *Crowd {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Crowd{cancel: cancel}
	for i := range p.conns {
		w.sent.Add(1)
		w.all.Go(func() { w.play(ctx, t, p, i) })
	}
	return w
}

// AwaitSent waits until all connections have sent everything or were closed, at most
// for limit.
func (w *Crowd) AwaitSent(limit time.Duration) {
	done := make(chan struct{})
	go func() {
		w.sent.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(limit):
	}
}

// Closed returns the number of connections so far that the router did not accept or
// closed while the crowd was sending.
func (w *Crowd) Closed() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.errors
}

// Close closes all connections and waits for the end of their goroutines.
func (w *Crowd) Close() {
	w.cancel()
	w.all.Wait()
}

func (w *Crowd) play(ctx context.Context, t Target, p Pattern, i int) {
	var last net.Conn
	for round := range max(1, p.rounds) {
		c, err := open(ctx, t.Address, p)
		if err == nil {
			err = p.send(ctx, t, c, fmt.Sprintf("crowd-%d-%d", i, round))
			if last != nil {
				_ = last.Close()
			}
			last = c
		}
		if err != nil {
			w.mu.Lock()
			w.errors++
			w.mu.Unlock()
		}
		if ctx.Err() != nil || err == nil && p.keepOpen {
			break
		}
	}
	w.sent.Done()
	if p.keepOpen {
		<-ctx.Done()
	}
	if last != nil {
		_ = last.Close()
	}
}

// open opens a connection that is closed when ctx ends.
func open(ctx context.Context, address string, p Pattern) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok && p.slowReader {
		if err := tcp.SetReadBuffer(receiveBufferBytes); err != nil {
			_ = c.Close()
			return nil, err
		}
	}
	context.AfterFunc(ctx, func() { _ = c.Close() })
	return c, nil
}
