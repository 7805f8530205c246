package evacuation

import "time"

const (
	// initialLead is how long stops are assumed to take until some have been observed: workers stop a
	// run within 900 ms, and the end is known with the next report.
	initialLead = time.Second
	// initialUsual is the usual time until some have been observed: on most platforms a stop takes at
	// most 200 ms.
	initialUsual = 250 * time.Millisecond
	// maxTime bounds the observed times: a longer one says that the worker did not answer.
	maxTime = 1500 * time.Millisecond
	// decay is the weight of a stop that took less than the longest one. The longest of the last 30
	// stops or so determines the lead.
	decay = 1.0 / 32
	// usualDecay is the weight of the newest stop in the usual time.
	usualDecay = 0.1
)

// StopTimes learns how long stops take, from the order until the end of the run is known. Its zero
// value has observed none.
type StopTimes struct{ longest, usual time.Duration }

// Observe takes a stop into account.
func (t *StopTimes) Observe(took time.Duration) {
	took = min(max(took, 0), maxTime)
	t.longest, t.usual = t.Lead(), t.Usual()
	t.usual += scale(took-t.usual, usualDecay)
	if took > t.longest {
		t.longest = took
		return
	}
	t.longest += scale(took-t.longest, decay)
}

// Lead returns the longest time that a stop is expected to take.
func (t *StopTimes) Lead() time.Duration {
	if t.longest == 0 {
		return initialLead
	}
	return t.longest
}

// Usual returns the usual time that a stop takes.
func (t *StopTimes) Usual() time.Duration {
	if t.usual == 0 {
		return initialUsual
	}
	return t.usual
}
