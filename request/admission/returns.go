package admission

import "time"

const (
	// fasterShare and slowerShare are the weights of a gap between two starts in their mean,
	// and stallGaps how many means a gap counts for at most.
	fasterShare = 0.1
	slowerShare = 0.02
	stallGaps   = 4
	// returnGaps is how many such gaps there are for each caller who comes back: about one
	// start, since the mean is a low one.
	returnGaps = 2
	// maxReturn is how late a caller is told to come back at most: a service that was down
	// may be well long before.
	maxReturn = 10 * time.Second
)

// returns gives each refused caller of a service a place of its own to come back.
//
// What goes wrong without: after a burst or a stall all are told the length of the queue, and
// are all back before it has emptied. Refusing them takes the time in which requests would be
// served, and the service stays down for as long as they come.
type returns struct {
	// gap is a low mean of the seconds between two starts, 0 when not known; last is the
	// last start.
	gap  float64
	last time.Time
	// until is when the last of those who were told to come back is expected.
	until time.Time
}

// started notes a start. One learns quickly that a service starts requests faster, and slowly
// that it has become slower: it may be idle, or stand still for a moment.
func (r *returns) started(now time.Time) {
	gap := now.Sub(r.last).Seconds()
	switch {
	case r.last.IsZero():
	case r.gap == 0:
		r.gap = gap
	case gap < r.gap:
		r.gap += fasterShare * (gap - r.gap)
	default:
		r.gap += slowerShare * (min(gap, stallGaps*r.gap) - r.gap)
	}
	r.last = now
}

// next returns how long from now a caller should be back that would have waited for wait.
func (r *returns) next(wait time.Duration, now time.Time) time.Duration {
	if first := now.Add(wait); r.until.Before(first) {
		r.until = first
	}
	r.until = r.until.Add(time.Duration(returnGaps * r.gap * float64(time.Second)))
	if last := now.Add(maxReturn); r.until.After(last) {
		r.until = last
	}
	return r.until.Sub(now)
}
