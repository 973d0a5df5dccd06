package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/standin"
)

// dialTimeout bounds the dial to the target.
const dialTimeout = 2 * time.Second

// Faults are the injected faults; POST /faults changes the fields it names.
type Faults struct {
	Reset         bool `json:"cut"`    // once: reset existing connections
	Blackhole     bool `json:"silent"` // once: discard all further bytes of existing connections
	RejectNew     bool `json:"block"`  // close new connections immediately
	DropResponses bool `json:"oneway"` // discard what the target sends
	// ResponseDelayMS delays each write of what the target sends, in milliseconds.
	ResponseDelayMS int64 `json:"delay_ms"`
}

// connection is a forwarded connection. Once it is blackholed, nothing is
// forwarded, not even a close by either side.
type connection struct {
	client, target net.Conn
	forwarder      *Forwarder
	blackholed     atomic.Bool
	blackholedAt   time.Time    // Forwarder.mu guards this field and the next
	clientClosed   bool         // the client has closed its side
	firstLossNanos atomic.Int64 // when bytes were first discarded while blackholed, Unix time in nanoseconds, 0 for never
}

// Stats are counts of the blackholed connections.
type Stats struct {
	Blackholed     int   `json:"silenced"`
	ClosedByClient int   `json:"left"`       // blackholed connections that the client has closed since
	SlowestCloseMS int64 `json:"slowest_ms"` // longest time from the first loss until the client closed, or until now, in milliseconds
}

// Forwarder forwards TCP connections to one address.
type Forwarder struct {
	target string
	// Copies of the faults that the copying goroutines read without the lock.
	dropResponses   atomic.Bool
	responseDelayMS atomic.Int64

	mu          sync.Mutex
	faults      Faults
	stats       Stats
	connections map[*connection]bool
	forwarding  sync.WaitGroup
}

// New returns a forwarder to the target address.
func New(target string) *Forwarder {
	return &Forwarder{target: target, connections: map[*connection]bool{}}
}

// ServeHTTP serves /faults and /stats.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/stats" {
		standin.WriteJSON(w, http.StatusOK, f.currentStats())
		return
	}
	f.mu.Lock()
	faults := f.faults
	f.mu.Unlock()
	standin.HandleFaults(w, r, &faults, func() { f.SetFaults(faults) })
}

// SetFaults replaces the injected faults; Reset and Blackhole take effect once.
func (f *Forwarder) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.connections {
		if faults.Blackhole && c.blackholed.CompareAndSwap(false, true) {
			c.blackholedAt = time.Now()
			f.stats.Blackholed++
		}
		if faults.Reset {
			c.reset()
		}
	}
	f.faults = Faults{RejectNew: faults.RejectNew, DropResponses: faults.DropResponses, ResponseDelayMS: faults.ResponseDelayMS}
	f.dropResponses.Store(faults.DropResponses)
	f.responseDelayMS.Store(faults.ResponseDelayMS)
}

// Run accepts connections from the listener and forwards them until ctx ends.
func (f *Forwarder) Run(ctx context.Context, listener net.Listener) error {
	defer f.forwarding.Wait()
	stop := context.AfterFunc(ctx, func() {
		_ = listener.Close()
		f.SetFaults(Faults{Reset: true, RejectNew: true})
	})
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept: %w", err)
		}
		f.forwarding.Go(func() { f.forward(conn) })
	}
}

func (f *Forwarder) forward(client net.Conn) {
	defer client.Close()
	target, err := net.DialTimeout("tcp", f.target, dialTimeout)
	if err != nil {
		return
	}
	c := &connection{client: client, target: target, forwarder: f}
	defer c.close()
	if !f.add(c) {
		return
	}
	defer f.remove(c)
	var copies sync.WaitGroup
	copies.Go(func() {
		c.copyDirection(target, client)
		f.recordClientClose(c)
	})
	copies.Go(func() { c.copyDirection(client, target) })
	copies.Wait()
}

func (f *Forwarder) add(c *connection) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.RejectNew {
		return false
	}
	f.connections[c] = true
	return true
}

func (f *Forwarder) remove(c *connection) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.connections, c)
}

// recordClientClose records that the client has closed its side. A blackholed
// connection counts in the stats, from its first loss if it has lost bytes.
func (f *Forwarder) recordClientClose(c *connection) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.clientClosed = true
	if c.blackholedAt.IsZero() {
		return
	}
	since := c.blackholedAt
	if loss := c.firstLoss(); !loss.IsZero() {
		since = loss
	}
	f.stats.ClosedByClient++
	f.stats.SlowestCloseMS = max(f.stats.SlowestCloseMS, time.Since(since).Milliseconds())
}

// currentStats returns the stats, with connections in SlowestCloseMS that have
// lost bytes and that the client has not closed yet.
func (f *Forwarder) currentStats() Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.stats
	for c := range f.connections {
		if loss := c.firstLoss(); !c.clientClosed && !loss.IsZero() {
			s.SlowestCloseMS = max(s.SlowestCloseMS, time.Since(loss).Milliseconds())
		}
	}
	return s
}

// firstLoss returns when bytes were first discarded, or the zero time. The time
// until the client gives up the connection counts from then: on an idle
// connection the client can't detect the fault before it sends something, on a
// stream it can once bytes from the target are missing.
func (c *connection) firstLoss() time.Time {
	if ns := c.firstLossNanos.Load(); ns != 0 {
		return time.Unix(0, ns)
	}
	return time.Time{}
}

func (c *connection) close() {
	_ = c.client.Close()
	_ = c.target.Close()
}

// faultyWriter writes to one side of a connection and applies the faults.
type faultyWriter struct {
	conn *connection
	to   net.Conn
}

func (w faultyWriter) Write(b []byte) (int, error) {
	if w.conn.blackholed.Load() {
		w.conn.firstLossNanos.CompareAndSwap(0, time.Now().UnixNano())
		return len(b), nil
	}
	if w.to == w.conn.client {
		if w.conn.forwarder.dropResponses.Load() {
			return len(b), nil
		}
		time.Sleep(time.Duration(w.conn.forwarder.responseDelayMS.Load()) * time.Millisecond)
	}
	return w.to.Write(b)
}

// copyDirection forwards one direction. It forwards the close as well unless the
// connection is blackholed.
func (c *connection) copyDirection(to, from net.Conn) {
	_, err := io.Copy(faultyWriter{conn: c, to: to}, from)
	switch tcp, ok := to.(*net.TCPConn); {
	case c.blackholed.Load():
	case err == nil && ok:
		_ = tcp.CloseWrite()
	default:
		c.reset()
	}
}

// reset closes both sides with a TCP reset. After an orderly close, a response
// body that is delimited by the end of the connection would look complete.
func (c *connection) reset() {
	for _, conn := range []net.Conn{c.client, c.target} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// It fails only if the connection is closed already.
			_ = tcp.SetLinger(0)
		}
	}
	c.close()
}
