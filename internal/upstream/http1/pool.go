package http1

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/request/verdict"
)

const (
	// defaultIdleTimeout is how long an idle connection is kept if the upstream
	// does not state its own idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the idle timeout that the upstream
	// states, so that no request is sent while the upstream closes the connection.
	idleTimeoutMargin = 400 * time.Millisecond
)

// errTooManyConns means that the router's share of an upstream's connections is
// in use.
var errTooManyConns = errors.New("all connections to the upstream are in use")

// Pool holds the connections to one incarnation of an upstream. It is safe for
// concurrent use.
type Pool struct {
	address string

	mu        sync.Mutex
	idle      []*conn // the most recently used last
	openConns int
	closed    bool
	dials     int64
}

// NewPool returns an empty pool for the upstream at address ("host:port").
func NewPool(address string) *Pool { return &Pool{address: address} }

// Dials returns the number of connection attempts so far.
func (p *Pool) Dials() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// Close closes all idle connections; those in use are closed after their
// response.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		p.closeLocked(c)
	}
	p.idle = nil
}

// Prune closes idle connections that are past their idle timeout or broken.
func (p *Pool) Prune(now clock.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.idleSince) < c.idleTimeout && c.healthy() {
			kept = append(kept, c)
		} else {
			p.closeLocked(c)
		}
	}
	p.idle = kept
}

// get returns a connection that has been idle for at most maxIdleAge, or a new
// one. maxConns bounds the open connections, 0 for no bound.
func (p *Pool) get(ctx context.Context, maxConns int, maxIdleAge time.Duration) (*conn, error) {
	if c := p.getIdle(maxIdleAge); c != nil {
		return c, nil
	}
	c, err := p.open(ctx, maxConns)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, err)
	}
	return c, nil
}

// open opens a connection unless maxConns are open, 0 for no bound.
func (p *Pool) open(ctx context.Context, maxConns int) (*conn, error) {
	p.mu.Lock()
	if maxConns > 0 && p.openConns >= maxConns {
		p.mu.Unlock()
		return nil, errTooManyConns
	}
	p.openConns++
	p.dials++
	p.mu.Unlock()
	c, err := dial(ctx, p.address)
	if err != nil {
		p.mu.Lock()
		p.openConns--
		p.mu.Unlock()
	}
	return c, err
}

// Check reports whether the upstream accepts connections, by opening one, which the
// next request uses.
func (p *Pool) Check(ctx context.Context) error {
	c, err := p.open(ctx, 0)
	if err != nil {
		return err
	}
	c.idleTimeout = defaultIdleTimeout
	p.put(c)
	return nil
}

func (p *Pool) getIdle(maxIdleAge time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		age := now.Sub(c.idleSince)
		if age > maxIdleAge {
			// The remaining connections have been idle for longer.
			return nil
		}
		p.idle = p.idle[:len(p.idle)-1]
		if age < c.idleTimeout && c.healthy() {
			c.reused = true
			return c
		}
		p.closeLocked(c)
	}
	return nil
}

// put returns a connection to the pool after a complete response.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || c.reader.Buffered() > 0 {
		p.closeLocked(c)
		return
	}
	c.idleSince = clock.Now()
	p.idle = append(p.idle, c)
}

// discard closes a connection that cannot be used again.
func (p *Pool) discard(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c)
}

func (p *Pool) closeLocked(c *conn) {
	p.openConns--
	// The connection is not used any more, so a failed close has no effect.
	_ = c.Close()
}
