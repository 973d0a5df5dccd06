// Package forward is a TCP forwarder that injects network faults: POST /faults
// on a second address resets, blackholes, rejects or delays connections.
package forward
