package store

import (
	"context"
	"errors"
	"time"
)

// maxReadDoublings bounds how far a ReadBound grows: eight times its first bound.
const maxReadDoublings = 3

// ReadBound bounds the tries of a reading that takes as long as what is read is
// large. A try that runs out of time doubles the bound of the next one, and one that
// succeeds resets it.
//
// What goes wrong with a fixed bound: what is read takes longer than that over a small
// link, each try is given up when most of it is there, and the reading is begun anew
// for ever, on a link that is full of it.
type ReadBound struct {
	First time.Duration

	doublings int
}

// Try makes one try, bounded.
func (b *ReadBound) Try(ctx context.Context, read func(ctx context.Context) error) error {
	bounded, cancel := context.WithTimeout(ctx, b.First<<b.doublings)
	defer cancel()
	err := read(bounded)
	switch {
	case err == nil:
		b.doublings = 0
	case ctx.Err() == nil && errors.Is(bounded.Err(), context.DeadlineExceeded):
		b.doublings = min(b.doublings+1, maxReadDoublings)
	}
	return err
}
