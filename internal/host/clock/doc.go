// Package clock provides the time since boot, including time in which the host
// was suspended. Go's monotonic clock excludes that time.
package clock
