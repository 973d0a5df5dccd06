// Package http1wire reads the responses of HTTP/1.1 servers and rejects those that
// RFC 9112 does not allow, which net/http accepts in part: it takes such bytes for a
// response other than the one that the server sent. Package http1 reads with
// ReadResponse. The other clients of HTTP/1.1 in the routers and in hemlockctl use net/http
// with a transport that Strict has changed; routers of hemlockd speak HTTP/2 with each
// other.
package http1wire
