package peer

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"path"
	"sync"
	"time"

	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
	"github.com/hemlockcroft/hemlockcroft/internal/upstream/httpresponse"
)

const (
	// pingAfter and pingTimeout limit how long an unresponsive connection is used.
	// Together they stay below the 2 s after which a peer counts as failed.
	pingAfter   = time.Second
	pingTimeout = 800 * time.Millisecond
	// rotationPingAfter replaces pingAfter where peers are called in rotation and
	// count as failed only after more than 2 s. At the design size, with a call
	// every 2.5 s on each of 490 connections, pings after 1 s would cost 13 KB/s
	// and after 3 s 3 KB/s.
	rotationPingAfter = 3 * time.Second
	dialTimeout       = 500 * time.Millisecond
	// idleTimeout is how long the server keeps a connection without calls. An
	// open connection costs 34 B/s in pings, a new one 230 B and a dial, so
	// connections to peers that are called every few seconds stay open.
	idleTimeout = 15 * time.Second
	// maxClients limits the client cache, which keeps the addresses of replaced
	// hosts.
	maxClients = 4096
)

const (
	// maxMessageBytes limits a message in either direction; the generated code reads
	// whatever arrives. The largest one is a configuration of about 1 MB.
	maxMessageBytes = 8 << 20
	// maxHeaderBytes limits the header of a message.
	maxHeaderBytes = 16 << 10
)

// contentType is the only header that calls carry besides their length.
const contentType = "application/protobuf"

func serverProtocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// Clients caches the clients of routers by address. It is safe for concurrent
// use.
type Clients struct {
	selfAddress string
	localRouter rpc.Router
	inRotation  func() bool
	// defaultClient pings after pingAfter, rotationClient after
	// rotationPingAfter.
	defaultClient, rotationClient *http.Client

	mu                 sync.Mutex
	usesRotationClient bool // whether clients holds users of rotationClient
	clients            map[string]rpc.Router
}

// New returns a client cache. Calls to selfAddress go to localRouter without a
// connection. Bytes and calls are added to vars by method; inRotation reports
// whether there are too many peers to call all of them in every round.
func New(selfAddress string, localRouter rpc.Router, vars *expvar.Map, inRotation func() bool) *Clients {
	return &Clients{
		selfAddress: selfAddress, localRouter: localRouter, inRotation: inRotation, clients: map[string]rpc.Router{},
		defaultClient: newHTTPClient(vars, pingAfter), rotationClient: newHTTPClient(vars, rotationPingAfter),
	}
}

// newHTTPClient returns a client that uses unencrypted HTTP/2 only and pings a
// connection after pingAfterIdle without traffic.
func newHTTPClient(vars *expvar.Map, pingAfterIdle time.Duration) *http.Client {
	// HTTP/1 would need a connection for each waiting call.
	h2c := new(http.Protocols)
	h2c.SetUnencryptedHTTP2(true)
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		Protocols: h2c, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
		HTTP2: &http.HTTP2Config{SendPingTimeout: pingAfterIdle, PingTimeout: pingTimeout, WriteByteTimeout: pingAfter},
		// IdleConnTimeout is not set: net/http counts it from the dial of an
		// HTTP/2 connection, so it would also close connections in use. The
		// server closes idle connections, and pings detect unresponsive ones.
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return countBytes(c, vars, ""), nil
		},
	}
	return &http.Client{Transport: &countingTransport{next: transport, vars: vars}}
}

// Client returns the client of the router at address, given as host:port.
func (c *Clients) Client(address string) rpc.Router {
	if address == c.selfAddress {
		return c.localRouter
	}
	inRotation := c.inRotation()
	c.mu.Lock()
	defer c.mu.Unlock()
	if inRotation != c.usesRotationClient {
		c.usesRotationClient = inRotation
		clear(c.clients) // the servers close the old connections
	}
	if client, ok := c.clients[address]; ok {
		return client
	}
	if len(c.clients) >= maxClients {
		clear(c.clients)
	}
	httpClient := c.defaultClient
	if inRotation {
		httpClient = c.rotationClient
	}
	client := rpc.NewRouterProtobufClient("http://"+address, httpClient)
	c.clients[address] = client
	return client
}

// Server returns the HTTP server for calls from other routers. Messages with facts go
// to receiveFacts. Calls and bodies are added to vars by method; Listener counts the
// bytes on the wire. The server sends no pings, since the client does.
func Server(address string, r rpc.Router, vars *expvar.Map, receiveFacts func(message []byte)) *http.Server {
	return &http.Server{
		Addr: address, Handler: http.MaxBytesHandler(&countingHandler{next: handleFacts(rpc.NewRouterServer(r), receiveFacts), vars: vars}, maxMessageBytes), Protocols: serverProtocols(),
		HTTP2:             &http.HTTP2Config{WriteByteTimeout: pingAfter},
		ReadHeaderTimeout: 5 * time.Second, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// servedPrefix is the prefix of the counters of connections and calls that peers
// opened. A call between two routers is counted by the client without it and by
// the server with it.
const servedPrefix = "served_"

// Listener returns a listener that adds the bytes of its connections to vars.
func Listener(l net.Listener, vars *expvar.Map) net.Listener {
	return &countingListener{Listener: l, vars: vars}
}

type countingListener struct {
	net.Listener
	vars *expvar.Map
}

// Accept returns the next connection with its bytes counted.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countBytes(c, l.vars, servedPrefix), nil
}

// countingHandler counts served calls and their bodies by method.
type countingHandler struct {
	next http.Handler
	vars *expvar.Map
}

// ServeHTTP counts a call and handles it. The response has no Date header, since
// header compression does not help with a value that changes every second.
func (c *countingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header()["Date"] = nil
	// Unknown paths must not create counters.
	if method := path.Base(r.URL.Path); routerMethods[method] {
		c.vars.Add(servedPrefix+method+"_calls", 1)
		counting := &countingResponseWriter{ResponseWriter: w}
		defer func() { c.vars.Add(servedPrefix+method+"_bytes", max(r.ContentLength, 0)+counting.n) }()
		w = counting
	}
	c.next.ServeHTTP(w, r)
}

// routerMethods are the methods of the Router service.
var routerMethods = map[string]bool{"Acquire": true, "Sync": true, "Exchange": true, "Handover": true, "FetchConfig": true, "Facts": true}

type countingResponseWriter struct {
	http.ResponseWriter
	n int64
}

// Write counts the bytes of a body.
func (w *countingResponseWriter) Write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	w.n += int64(n)
	return n, err
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (w *countingResponseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// countingTransport counts calls and bodies by method.
type countingTransport struct {
	next http.RoundTripper
	vars *expvar.Map
}

// RoundTrip counts a call and sends it with only the headers that the server
// needs; each further header costs a byte per call.
func (c *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.WithContext(r.Context())
	r.Header = http.Header{"Content-Type": {contentType}, "User-Agent": {""}}
	method := path.Base(r.URL.Path)
	c.vars.Add(method+"_calls", 1)
	c.vars.Add(method+"_bytes", max(r.ContentLength, 0))
	resp, err := c.next.RoundTrip(r)
	if err != nil {
		c.vars.Add(method+"_errors", 1)
		return nil, err
	}
	c.vars.Add(method+"_bytes", max(resp.ContentLength, 0))
	httpresponse.LimitBody(resp, maxMessageBytes)
	return resp, nil
}

// countingConn counts the bytes of a connection, including HTTP/2 framing and
// headers.
type countingConn struct {
	net.Conn
	vars                   *expvar.Map
	receivedName, sentName string // counter names
}

// countBytes returns a connection that adds its bytes to vars, under names that
// start with prefix.
func countBytes(c net.Conn, vars *expvar.Map, prefix string) net.Conn {
	vars.Add(prefix+"connections", 1)
	return &countingConn{Conn: c, vars: vars, receivedName: prefix + "wire_bytes_in", sentName: prefix + "wire_bytes_out"}
}

// Read counts the bytes received.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.vars.Add(c.receivedName, int64(n))
	return n, err
}

// Write counts the bytes sent.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.vars.Add(c.sentName, int64(n))
	return n, err
}
