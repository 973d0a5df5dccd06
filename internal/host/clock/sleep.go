package clock

import (
	"context"
	"time"
)

// Sleep waits for a duration, or until ctx is done, and reports whether ctx is
// still running.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
