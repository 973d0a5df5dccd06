// Package clock reads the time since boot, which counts the time that a host
// was suspended; Go's monotonic clock does not.
package clock
