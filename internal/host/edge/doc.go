// Package edge assembles and runs a router that takes its configuration, its
// upstreams and its peers from the platform's store.
package edge
