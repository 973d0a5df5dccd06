package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time since boot, including time in which the host was suspended.
// It is measured in nanoseconds.
type Instant time.Duration

// Now returns the current time. Kernels without CLOCK_BOOTTIME use
// CLOCK_MONOTONIC.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// CLOCK_MONOTONIC exists on every Linux kernel.
		_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts)
	}
	return Instant(ts.Nano())
}

// Since returns the time elapsed since an instant.
func Since(i Instant) time.Duration { return Now().Sub(i) }

// Sub returns the duration from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }
