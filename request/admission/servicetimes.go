package admission

import (
	"math"
	"time"
)

const (
	// meanWeight and deviationWeight are the weights of the newest service time in the mean and
	// in the mean deviation, and deviations is how many deviations above the mean a request is
	// expected to take at most: the constants of TCP's retransmission timer.
	meanWeight      = 0.125
	deviationWeight = 0.25
	deviations      = 4
)

// serviceTimes tracks how long a service's requests take from their slot to their end. The zero
// value has no measurement.
type serviceTimes struct {
	mean, deviation float64 // seconds, as of updated
	updated         time.Time
}

// observe records the time that a request took.
func (t *serviceTimes) observe(d time.Duration, now time.Time) {
	s := d.Seconds()
	if now.Sub(t.updated) > staleAfter {
		t.mean, t.deviation = s, 0
	}
	t.deviation += deviationWeight * (math.Abs(s-t.mean) - t.deviation)
	t.mean += meanWeight * (s - t.mean)
	t.updated = now
}

// upperEstimate returns a time that most requests do not exceed; 0 without a recent measurement.
func (t *serviceTimes) upperEstimate(now time.Time) time.Duration {
	if now.Sub(t.updated) > staleAfter {
		return 0
	}
	return time.Duration((t.mean + deviations*t.deviation) * float64(time.Second))
}

// sufficient reports whether a request that arrived at the given time, to be answered by
// deadline, is likely to be answered in time if it is sent now. A request with at least half of
// its time left always is: where requests take longer than that, refusing them improves nothing.
func (t *serviceTimes) sufficient(arrived, now, deadline time.Time) bool {
	return deadline.Sub(now) >= min(t.upperEstimate(now), deadline.Sub(arrived)/2)
}
