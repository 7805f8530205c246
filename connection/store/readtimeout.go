package store

import (
	"context"
	"errors"
	"time"
)

// maxReadDoublings bounds how far the timeout grows: to eight times its first value.
const maxReadDoublings = 3

// ReadTimeout is the timeout of attempts of a read whose duration depends on the size of
// the data. An attempt that times out doubles the timeout of the next one; a successful
// attempt resets it.
//
// With a fixed timeout, a read that takes longer over a slow link would be cancelled
// when most of the data has arrived and start over endlessly, saturating the link.
type ReadTimeout struct {
	First time.Duration

	doublings int
}

// Try makes one attempt with the current timeout.
func (t *ReadTimeout) Try(ctx context.Context, read func(ctx context.Context) error) error {
	bounded, cancel := context.WithTimeout(ctx, t.First<<t.doublings)
	defer cancel()
	err := read(bounded)
	switch {
	case err == nil:
		t.doublings = 0
	case ctx.Err() == nil && errors.Is(bounded.Err(), context.DeadlineExceeded):
		t.doublings = min(t.doublings+1, maxReadDoublings)
	}
	return err
}
