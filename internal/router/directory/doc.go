// Package directory holds a router's view of the upstreams: which exist, which
// receive work, and which are in cold start. It is updated by listings and
// changes from the platform and takes the time as an argument.
package directory
