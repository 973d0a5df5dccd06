// Package crash tells crashes of upstreams from broken connections. A connection
// that breaks while an upstream responds may have been reset by the network or by an
// upstream that goes on; only an upstream that then refuses connections, or whose
// address belongs to another incarnation, has crashed.
package crash
