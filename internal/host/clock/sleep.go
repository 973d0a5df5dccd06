package clock

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx is done, whichever comes first, and reports
// whether it waited for d. If d is not positive, it reports whether ctx is not
// done.
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
