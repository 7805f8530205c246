package sleep

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

// NewBackoff returns an exponential backoff with jitter. The interval starts at
// first, grows by half with each attempt up to last, and returns to first after Reset.
func NewBackoff(first, last time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = first
	b.MaxInterval = last
	return b
}
