// Package http1 sends requests to upstreams over persistent HTTP/1.1
// connections. Unlike the client of net/http it never retries a request by
// itself, and it checks that each response belongs to the request, so that a late
// duplicate is not taken for the response to the next request.
package http1
