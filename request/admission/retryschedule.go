package admission

import "time"

const (
	// fasterWeight and slowerWeight are the weights of a new gap between two starts in the mean,
	// and maxGapRatio limits a gap to that multiple of the mean.
	fasterWeight = 0.1
	slowerWeight = 0.02
	maxGapRatio  = 4
	// gapsPerRetry is how many such gaps are planned for each caller who retries: about one
	// start, since the mean is biased low.
	gapsPerRetry = 2
	// maxRetryAfter is the longest delay after which a caller is told to retry: a service that
	// was down may recover long before.
	maxRetryAfter = 10 * time.Second
)

// retrySchedule assigns each refused caller of a service its own time to retry.
//
// If all were told the length of the queue, after a burst or a stall, they would all retry
// before it has emptied. Refusing them takes the CPU time in which requests would be
// served, and the service would stay down for as long as they retry.
type retrySchedule struct {
	// gap is the mean of the seconds between two starts, biased low; 0 while unknown. last is
	// the time of the last start.
	gap  float64
	last time.Time
	// until is the time at which the last of the refused callers is due to retry.
	until time.Time
}

// started records a start. The mean falls quickly when a service starts requests faster, and
// rises slowly when starts become slower: the service may be idle or stalled for a moment.
func (r *retrySchedule) started(now time.Time) {
	gap := now.Sub(r.last).Seconds()
	switch {
	case r.last.IsZero():
	case r.gap == 0:
		r.gap = gap
	case gap < r.gap:
		r.gap += fasterWeight * (gap - r.gap)
	default:
		r.gap += slowerWeight * (min(gap, maxGapRatio*r.gap) - r.gap)
	}
	r.last = now
}

// delay returns the retry delay for the caller of a refused request; wait is how long the request
// would have waited, with the given number of requests ahead of it.
//
// A wait that includes a stall is no reason to stay away for long: the service may start requests
// again at this moment, and would then have nobody to serve while its callers wait for up to
// maxRetryAfter. So the wait is limited to what the requests ahead take at the planned gaps.
func (r *retrySchedule) delay(wait time.Duration, ahead int, now time.Time) time.Duration {
	planned := time.Duration(gapsPerRetry * r.gap * float64(time.Second))
	if planned > 0 {
		wait = min(wait, time.Duration(ahead)*planned)
	}
	if earliest := now.Add(wait); r.until.Before(earliest) {
		r.until = earliest
	}
	r.until = r.until.Add(planned)
	if last := now.Add(maxRetryAfter); r.until.After(last) {
		r.until = last
	}
	return r.until.Sub(now)
}
