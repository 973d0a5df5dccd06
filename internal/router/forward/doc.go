// Package forward forwards requests of callers to upstreams: it routes them,
// picks upstreams, sends and retries requests, and relays responses. The logic
// is the same for every wire protocol; Protocol translates the header fields.
package forward
