package vwgroup

import (
	"context"
	"time"
)

// Sleep waits for d and returns nil, or returns the error of ctx when that ends first.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		// Timers that are due at once run on the goroutines that wait for them. Under the race detector those
		// of one synctest bubble share a context that only one thread may use, and the runtime crashed.
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
