// Package budget divides fleet-wide limits among the live routers: retries of a
// service, requests to upstreams in cold start, and connections to an upstream.
package budget
