package store

import "time"

const (
	// paceStep is the least time between two changes of the pace, so that a
	// burst of refusals counts as one.
	paceStep = time.Second
	// paceDown is the factor of a refusal, paceUp what a second without brings
	// back, paceLeast the slowest.
	paceDown  = 0.7
	paceUp    = 0.005
	paceLeast = 0.05
)

// pace is the part of its budget that a daemon uses: less after the service
// refused calls, slowly more while it does not.
type pace struct {
	factor  float64
	changed time.Time
}

// refused slows down; it reports whether the factor changed.
func (p *pace) refused(now time.Time) bool {
	if now.Sub(p.changed) < paceStep {
		return false
	}
	p.factor = max(paceLeast, p.factor*paceDown)
	p.changed = now
	return true
}

// recovered speeds up; it reports whether the factor changed.
func (p *pace) recovered(now time.Time) bool {
	since := now.Sub(p.changed)
	if p.factor >= 1 || since < paceStep {
		return false
	}
	p.factor = min(1, p.factor+paceUp*since.Seconds())
	p.changed = now
	return true
}
