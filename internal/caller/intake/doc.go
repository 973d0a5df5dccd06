// Package intake decides which callers are refused, and whose connections are closed,
// when the memory or the descriptors of a router would not suffice for all. It keeps one
// account of bytes for the whole process. The HTTP servers for callers (httpserver) open
// an account for each connection; forward, chat and plain reserve what they hold for a
// request. The decisions take the time as an argument and use no network.
//
// The load that it is designed for: hundreds of connections of ordinary callers and some
// thousand requests a second, and at the same time thousands of connections that send
// heads and bodies as large as permitted or larger, stop just short of their end, or do
// not read responses.
package intake
