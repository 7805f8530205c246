// Package sleep waits for time to pass or a context to end, and tells how long
// to wait between the attempts of a retry.
package sleep

import (
	"context"
	"time"
)

// For waits for d, or until ctx ends, in which case it returns the error of
// ctx. A d of 0 or less does not wait, but a ctx that has ended is told also
// then.
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
