// Package httpserver implements the HTTP server for callers: it limits idle
// connections and shuts down without aborting requests.
package httpserver
