package pool

import (
	"context"
	"time"
)

// Sleep waits for d, and returns false if ctx is done first. It does not wait if d is not positive.
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
