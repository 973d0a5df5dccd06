// Command hemlock-standin runs a fake of a platform service or of an upstream, a
// TCP forwarder with fault injection, the load generator, or a check of the demo.
package main
