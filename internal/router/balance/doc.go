// Package balance picks the upstream of a request by load, health and prefix
// affinity. It performs no I/O, and callers pass the time.
package balance
