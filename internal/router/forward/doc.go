// Package forward serves requests of callers from upstreams: it routes them,
// picks upstreams, sends, repeats what may be repeated, and relays answers. It
// decides the same for every protocol; Protocol translates the names on the
// wire.
package forward
