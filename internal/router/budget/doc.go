// Package budget divides sums that the whole fleet must keep among its live
// routers: repeated requests of a service and requests to upstreams in cold
// start.
package budget
