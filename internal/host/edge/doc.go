// Package edge assembles a router that takes its configuration, its upstreams
// and its peers from the platform's store, and runs it.
package edge
