package outage

import "time"

// Bounds of Retry-After.
const (
	// MinRetryAfter is the shortest pause that the header can name, other than none.
	MinRetryAfter = time.Second
	// MaxRetryAfter bounds the pause of callers with long deadlines, so that they notice within this
	// time that the store answers again.
	MaxRetryAfter = 10 * time.Second
)

// Age returns how long the outage has lasted; 0 if there is none.
func (t *Tracker) Age(now time.Time) time.Duration {
	if t.since.IsZero() {
		return 0
	}
	return max(0, now.Sub(t.since))
}

// lastTry is the least time that a caller must have left after a pause longer than MinRetryAfter: a
// slow store takes 350 ms to answer.
const lastTry = 500 * time.Millisecond

// RetryAfter returns after how many whole seconds a refused caller should return, given the age of
// the outage, how long the caller will wait in all, and two random numbers in [0, 1).
//
// Most outages end within a second or two, and a caller that waits 3 s can use every try, so the
// usual value is the shortest one, 1 s. In a longer outage callers with more than 2 s left are
// spread evenly between 1 s and half the age of the outage, or half of the caller's time, whichever
// is less. Of the callers that wait 3 s at most a quarter is told 2 s.
func RetryAfter(age, left time.Duration, spread, round float64) time.Duration {
	longest := min(age/2, left/2, MaxRetryAfter)
	if longest <= MinRetryAfter {
		return MinRetryAfter
	}
	pause := MinRetryAfter + time.Duration(spread*float64(longest-MinRetryAfter))
	// Retry-After is in whole seconds, so the pause is rounded up or down at random; its mean is kept.
	whole := (pause + time.Duration(round*float64(time.Second))).Truncate(time.Second)
	if whole > left-lastTry {
		return MinRetryAfter
	}
	return min(whole, MaxRetryAfter)
}
