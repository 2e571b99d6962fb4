// Package delay waits for a time that a context can cut short.
package delay

import (
	"context"
	"time"
)

// For returns after the period or when the context ends, and reports whether the whole period passed.
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
