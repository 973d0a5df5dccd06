package transport

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/hemlockcroft/hemlockcroft/internal/upstream/http1wire"
)

const (
	// dialTimeout is far above the latency within a region (a few milliseconds)
	// and far below the time after which a caller gives up.
	dialTimeout = time.Second
	// idleTimeout is short because an idle connection may have stopped working
	// unnoticed, and a request sent on it is lost. With 15 s, requests were lost up
	// to 12 s after the connections had stopped working.
	idleTimeout = 5 * time.Second
	// maxIdlePerAddress is the usual number of concurrent requests of one router
	// at one upstream.
	maxIdlePerAddress = 8
	// maxResponseHeaderBytes bounds the memory that the header of an upstream's
	// response can take.
	maxResponseHeaderBytes = 64 << 10
	// writeBufferBytes fits the header of a request; a larger body bypasses the
	// buffer.
	writeBufferBytes = 1 << 10
	// receiveBufferBytes is the kernel's receive buffer of a connection. By default it
	// grows to some MB while a slow caller does not take the response, and what the
	// kernel has received counts as memory of the process.
	receiveBufferBytes = 64 << 10
	// readBufferBytes fits the chunks of one read. It is small because a long
	// stream keeps its buffer to the end.
	readBufferBytes = 2 << 10
	// sweepInterval is how often unused pools are removed, and the time without
	// use after which a pool counts as unused.
	sweepInterval = time.Minute
)

// entry is the pool of one address.
type entry struct {
	transport *http.Transport
	lastUsed  time.Time
}

// Pools holds the connection pools by address. It is safe for concurrent use.
type Pools struct {
	mu        sync.Mutex
	entries   map[string]*entry
	lastSweep time.Time
	singleUse *http.Transport
}

// New returns an empty set of pools.
func New() *Pools {
	singleUse := newTransport()
	singleUse.DisableKeepAlives = true
	return &Pools{entries: map[string]*entry{}, singleUse: singleUse}
}

func newTransport() *http.Transport {
	d := net.Dialer{Timeout: dialTimeout, Control: setReceiveBuffer}
	return http1wire.Strict(&http.Transport{
		DialContext:            d.DialContext,
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout,
		MaxIdleConnsPerHost:    maxIdlePerAddress,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		WriteBufferSize:        writeBufferBytes,
		ReadBufferSize:         readBufferBytes,
	})
}

// setReceiveBuffer sets the receive buffer of a connection.
func setReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
	})
	return errors.Join(err, sockoptErr)
}

// SingleUseTransport returns a transport that opens a new connection for each
// request.
func (p *Pools) SingleUseTransport() http.RoundTripper { return p.singleUse }

// KeepAliveTransport returns a transport that reuses connections to one address
// ("host:port").
func (p *Pools) KeepAliveTransport(now time.Time, address string) http.RoundTripper {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	e, ok := p.entries[address]
	if !ok {
		e = &entry{transport: newTransport()}
		p.entries[address] = e
	}
	e.lastUsed = now
	return e.transport
}

// sweep removes the pools whose idle connections have all expired.
func (p *Pools) sweep(now time.Time) {
	if now.Sub(p.lastSweep) < sweepInterval {
		return
	}
	p.lastSweep = now
	for address, e := range p.entries {
		if now.Sub(e.lastUsed) >= sweepInterval {
			e.transport.CloseIdleConnections()
			delete(p.entries, address)
		}
	}
}

// Remove removes the pool of an address and closes its idle connections. Requests
// in flight continue; the next request opens a new connection.
func (p *Pools) Remove(address string) {
	p.mu.Lock()
	e, ok := p.entries[address]
	delete(p.entries, address)
	p.mu.Unlock()
	if ok {
		e.transport.CloseIdleConnections()
	}
}

// Len returns the number of addresses that have a pool.
func (p *Pools) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.entries)
}

// Close closes all idle connections.
func (p *Pools) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, e := range p.entries {
		e.transport.CloseIdleConnections()
		delete(p.entries, address)
	}
}
