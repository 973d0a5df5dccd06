// Package latency estimates how slow each upstream is at present, compared with the
// other upstreams of its service. Package forward records the response times and load
// reports that it sees and asks for the estimates when it picks an upstream; package
// edge exchanges the estimates with peers. The package performs no I/O, and callers
// pass the time.
//
// It is designed for services with a few upstreams that up to some hundred routers
// share, each of them with 1 to 15 requests a second, where some of the upstreams take
// 3 to 8 times as long as usual for some seconds, or for parts of a second.
package latency
