// Package membership tracks the other routers of the fleet: which are live, the
// load of their upstreams, how fresh the configuration is and which hold-off
// promises are active. It performs no I/O: the control goroutine passes in the
// messages of the gossip exchange and the time.
//
// Ages are measured so that a delayed or paused message never makes anything
// look newer than it is. A response counts from the time its request was sent. A
// request from another router has an unknown delay, so digests that it relays are
// ignored and it is no evidence of freshness.
//
// The load of a failure domain is sent as a domain sum: a digest whose router is
// "*" followed by the name of the domain. A digest without a router is the
// sender's own, and a pool name that starts with "/" is in the sender's region.
//
// By BenchmarkExchange with ticks of 500 ms, a router sends messages of 3.8 KB/s
// with 9 routers, 7.0 KB/s with 245 and 6.3 KB/s with 980, and 9.2 KB/s with 245
// and 980 while the store is unreachable. HTTP headers add 352 bytes to an
// exchange: 5.6 KB/s, and 17.6 KB/s while the store is unreachable.
package membership
