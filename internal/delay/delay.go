// Package delay waits for a period that the end of a context cuts short.
package delay

import (
	"context"
	"time"
)

// For waits until the period has passed or the context ends, and reports whether the whole period passed.
func For(ctx context.Context, period time.Duration) bool {
	if period <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
