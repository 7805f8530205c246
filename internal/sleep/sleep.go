// Package sleep provides a sleep that a context can interrupt, and the backoff between
// the attempts of a retry.
package sleep

import (
	"context"
	"time"
)

// For sleeps for d, or until ctx ends, in which case it returns the error of ctx. If d
// is 0 or less, For does not sleep, but still returns the error of a ctx that has ended.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
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
