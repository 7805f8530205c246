package sleep

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

// NewBackoff returns the pauses between the attempts of a retry. Each is drawn
// around an interval that begins with first, grows by half each time up to
// last, and begins anew after Reset.
func NewBackoff(first, last time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = first
	b.MaxInterval = last
	return b
}
