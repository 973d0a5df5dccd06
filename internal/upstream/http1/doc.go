// Package http1 sends requests to upstreams over kept HTTP/1.1 connections.
// Unlike net/http's client it never repeats a request, and it matches answers
// to requests by an id, so that a late extra answer is not taken for another.
package http1
