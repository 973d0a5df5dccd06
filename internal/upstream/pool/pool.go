package pool

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// dialTimeout is far above the latency within a region (a few milliseconds)
	// and far below the time in which a caller gives up.
	dialTimeout = time.Second
	// idleTimeout is short because a kept connection may have gone silent
	// unnoticed: the shorter it is kept, the fewer requests meet that. With 15 s
	// requests were lost on such connections up to 12 s after the silence.
	idleTimeout = 5 * time.Second
	// maxIdlePerAddress covers the usual number of concurrent requests of one
	// router at one upstream.
	maxIdlePerAddress = 8
	// maxResponseHeaderBytes bounds the header bytes that an upstream can make a
	// router hold.
	maxResponseHeaderBytes = 64 << 10
	// writeBufferBytes holds the header of a request; a larger body bypasses it.
	writeBufferBytes = 1 << 10
	// readBufferBytes holds the chunks of one read; streams hold one for long.
	readBufferBytes = 2 << 10
	// sweepInterval is how often the pools without recent use are removed.
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
	d := net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:            d.DialContext,
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout,
		MaxIdleConnsPerHost:    maxIdlePerAddress,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		WriteBufferSize:        writeBufferBytes,
		ReadBufferSize:         readBufferBytes,
	}
}

// SingleUseTransport returns a transport that opens a new connection for each request.
func (p *Pools) SingleUseTransport() http.RoundTripper { return p.singleUse }

// KeepAliveTransport returns a transport that keeps the connections to one address
// ("host:port") for later requests.
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

// sweep forgets the pools in which every kept connection has expired.
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

// Remove closes the kept connections to an address. Requests in progress go on;
// the next one opens a new connection.
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

// Close closes all kept connections.
func (p *Pools) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, e := range p.entries {
		e.transport.CloseIdleConnections()
		delete(p.entries, address)
	}
}
