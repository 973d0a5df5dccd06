// Package directory keeps what a router believes of the upstreams: which
// exist, which receive work, and which are in cold start. It is driven by
// listings and changes from the platform and takes the time as an argument.
package directory
