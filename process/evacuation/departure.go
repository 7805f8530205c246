package evacuation

import "time"

const (
	// clockError is by how much the clock in a notice may be ahead of the worker's clock as its reports
	// show it. The clock of a report is read some milliseconds before the report arrives, up to a
	// few hundred over a slow link.
	clockError = time.Second
	// passedFor is how long a worker may still be there after the time of its notice until the notice
	// counts as false. Workers leave up to 0.6 s after the least time that they have given.
	passedFor = 5 * time.Second
)

// Departure is when a worker leaves, as far as it is known. Its zero value is a worker that has
// given no notice with a time.
type Departure struct {
	known            bool
	remaining, clock time.Duration // of the last notice
	// bound is the latest value of the earliest time at which the worker leaves, on the leader's
	// clock: a notice is seen only after it has been written.
	bound time.Duration
}

// Notice takes into account that the worker's entry was seen with a least remaining time, and the
// worker's clock when it wrote the entry, 0 if that is not known. A notice that is seen again does
// not make the time longer.
func (d *Departure) Notice(now, remaining, clock time.Duration) {
	switch {
	case d.known && remaining == d.remaining && clock == d.clock:
	case d.known && clock <= 0:
		// The notice may be an old one, written again.
		d.remaining, d.clock, d.bound = remaining, clock, min(d.bound, now+remaining)
	default:
		*d = Departure{known: true, remaining: remaining, clock: clock, bound: now + remaining}
	}
}

// Clear takes into account that the worker gives no notice with a time any more.
func (d *Departure) Clear() { *d = Departure{} }

// Left returns the time until the worker leaves at the earliest; false if it is not known. clock is
// the worker's clock now as its reports show it, 0 if there was none.
//
// The notice's clock gives the right time however late its entry arrives. It is not used if it is
// ahead of the worker's clock: the entry is then from another writer or incarnation.
func (d *Departure) Left(now, clock time.Duration) (left time.Duration, known bool) {
	if !d.known {
		return 0, false
	}
	left = d.bound - now
	if d.clock > 0 && clock > 0 && d.clock <= clock+clockError {
		left = min(left, d.clock+d.remaining-clock)
	}
	return left, left >= -passedFor
}
