package store

import "time"

const (
	// rateStep is the minimum time between two changes of the factor, so that a
	// burst of refusals counts as one.
	rateStep = time.Second
	// rateDecrease is the factor per refusal, rateIncrease the increment per second
	// without a refusal, and rateMin the lower bound.
	rateDecrease = 0.7
	rateIncrease = 0.005
	rateMin      = 0.05
)

// adaptiveRate is the part of its budget that a daemon uses: decreased after the
// service refused calls, slowly increased while it does not.
type adaptiveRate struct {
	factor  float64
	changed time.Time
}

// decrease reports whether it changed the factor.
func (r *adaptiveRate) decrease(now time.Time) bool {
	if now.Sub(r.changed) < rateStep {
		return false
	}
	r.factor = max(rateMin, r.factor*rateDecrease)
	r.changed = now
	return true
}

// increase reports whether it changed the factor.
func (r *adaptiveRate) increase(now time.Time) bool {
	since := now.Sub(r.changed)
	if r.factor >= 1 || since < rateStep {
		return false
	}
	r.factor = min(1, r.factor+rateIncrease*since.Seconds())
	r.changed = now
	return true
}
