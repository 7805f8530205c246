package admission

import (
	"math"
	"time"
)

const (
	// meanShare and spreadShare are the weights of the newest service time in its mean and
	// in its mean deviation, and spreads how many deviations above the mean a request may
	// well take: the measures of TCP's retransmission timer.
	meanShare   = 0.125
	spreadShare = 0.25
	spreads     = 4
)

// times follows how long a service's requests take from their slot to their end. The zero
// value knows nothing.
type times struct {
	mean, spread float64 // seconds, as of measured
	measured     time.Time
}

// note takes the time that a request took.
func (t *times) note(d time.Duration, now time.Time) {
	s := d.Seconds()
	if now.Sub(t.measured) > staleAfter {
		t.mean, t.spread = s, 0
	}
	t.spread += spreadShare * (math.Abs(s-t.mean) - t.spread)
	t.mean += meanShare * (s - t.mean)
	t.measured = now
}

// likely returns how long a request may well take; 0 when no time was measured of late.
func (t *times) likely(now time.Time) time.Duration {
	if now.Sub(t.measured) > staleAfter {
		return 0
	}
	return time.Duration((t.mean + spreads*t.spread) * float64(time.Second))
}

// enough reports whether a request that came at came, to be answered by deadline, is likely
// to be if it begins now. One that has most of its time left always is: where requests take
// longer than that, waiting for better times helps nobody.
func (t *times) enough(came, now, deadline time.Time) bool {
	return deadline.Sub(now) >= min(t.likely(now), deadline.Sub(came)/2)
}
