package evacuation

import (
	"slices"
	"time"
)

const (
	// initialLongest is the longest time that stops are assumed to take at least until window of them have
	// been observed: workers stop a run within 900 ms, and the end is known with the next report.
	initialLongest = time.Second
	// initialUsual is the usual time until one has been observed: on most platforms a stop takes at
	// most 200 ms.
	initialUsual = 250 * time.Millisecond
	// maxTime bounds the observed times: a longer one says more about the worker than about stops.
	maxTime = 1500 * time.Millisecond
	// window is the number of stops that are remembered. A stop that takes longer than all of them is
	// one in 65, and longestMargin covers most of these.
	window        = 64
	longestMargin = 1.1
	// usualDecay is the weight of the newest stop in the usual time.
	usualDecay = 0.1
)

// StopTimes learns how long stops take, from the order until the end of the run is known. Its zero
// value has observed none.
type StopTimes struct {
	recent [window]time.Duration
	count  int
	usual  time.Duration
}

// Observe takes a stop into account.
func (t *StopTimes) Observe(took time.Duration) {
	took = min(max(took, 0), maxTime)
	t.usual = t.Usual() + scale(took-t.Usual(), usualDecay)
	t.recent[t.count%window] = took
	t.count++
}

// Longest returns the longest time that a stop is expected to take. Until the window is full, it is at
// least what is assumed without any observation.
func (t *StopTimes) Longest() time.Duration {
	longest := scale(slices.Max(t.recent[:]), longestMargin)
	if t.count < window {
		return max(longest, initialLongest)
	}
	return longest
}

// Usual returns the usual time that a stop takes.
func (t *StopTimes) Usual() time.Duration {
	if t.count == 0 {
		return initialUsual
	}
	return t.usual
}
