package admission

import (
	"math"
	"time"
)

const (
	// rateDecay is the time constant of the decaying counts of starts and of busy time, in
	// seconds; only time during which requests wait counts. It spans several bursts, because
	// slots that were taken together are released together.
	rateDecay = 1.0
	// minStarts is the number of starts needed for an estimate.
	minStarts = 4
	// initialWaitShare is the initial value of the wait share: the estimated wait, divided by this
	// share, plus the shortest service time must fit into the time to the deadline. The rest is a
	// margin for the estimate's error. The share is multiplied by lateFactor with each request
	// that waited and ended late, and rises by inTimeStep with each that waited and ended in
	// time, so that about 1 in 70 of the requests that waited ends late.
	initialWaitShare = 0.8
	minWaitShare     = 0.4
	lateFactor       = 0.95
	inTimeStep       = 0.0005
	// staleAfter is how long an estimate is used after the last request waited; load and
	// instances change.
	staleAfter = 2 * time.Second
	// windowWait is the intended time, in seconds, that a request waits inside the window.
	windowWait = 0.05
	minWindow  = 4
	// shortestGrowth raises the shortest service time with each request, so that old values
	// expire.
	shortestGrowth = 1.001
)

// serviceRate estimates the rate at which a service's requests start while some are waiting, and
// the shortest service time.
type serviceRate struct {
	busy      float64   // seconds during which requests waited, decaying
	starts    float64   // during busy, decaying
	last      time.Time // time of the last start, or when waiting began; zero: no request waits
	idle      time.Time // when the last request stopped waiting
	shortest  float64   // shortest service time in seconds
	waitShare float64   // fraction of the time to the deadline that may be spent waiting
}

// waitBegan records that a request has begun to wait; waiting includes it.
func (r *serviceRate) waitBegan(waiting int, now time.Time) {
	if waiting != 1 {
		return
	}
	if now.Sub(r.idle) > staleAfter {
		r.busy, r.starts = 0, 0
	}
	r.last = now
}

// started records a start; waiting is the number of requests that still wait.
func (r *serviceRate) started(waiting int, now time.Time) {
	if waiting == 0 {
		r.last, r.idle = time.Time{}, now
		return
	}
	if !r.last.IsZero() {
		r.busy, r.starts = r.decayed(now)
		r.starts++
	}
	r.last = now
}

// served records a service time, from slot to end of the request.
func (r *serviceRate) served(d time.Duration) {
	s := d.Seconds()
	if r.shortest == 0 || s < r.shortest {
		r.shortest = s
		return
	}
	r.shortest = min(s, r.shortest*shortestGrowth)
}

// endedInTime and endedLate record the outcome of a request that had waited.
func (r *serviceRate) endedInTime() { r.waitShare = min(1, r.waitShare+inTimeStep) }
func (r *serviceRate) endedLate()   { r.waitShare = max(minWaitShare, r.waitShare*lateFactor) }

// interval returns the mean seconds between two starts; 0 while unknown. The time since the last
// start is included, so that a stall takes effect at once.
func (r *serviceRate) interval(now time.Time) float64 {
	if r.starts < minStarts {
		return 0
	}
	if r.last.IsZero() {
		return r.busy / r.starts
	}
	busy, starts := r.decayed(now)
	return busy / starts
}

// decayed returns busy and starts as of now, while requests wait.
func (r *serviceRate) decayed(now time.Time) (busy, starts float64) {
	passed := now.Sub(r.last).Seconds()
	decay := math.Exp(-passed / rateDecay)
	return r.busy*decay + passed, r.starts * decay
}

// window returns how many admitted requests may wait for a slot, chosen so that they wait for about
// windowWait. Slots are granted in order of arrival: the fair order between teams does not apply
// to admitted requests.
func (r *serviceRate) window(limit int, now time.Time) int {
	interval := r.interval(now)
	if interval <= 0 {
		return limit
	}
	return min(limit, max(minWindow, int(windowWait/interval)))
}

// wait estimates the waiting time of a request with the given number of requests ahead of it.
func (r *serviceRate) wait(ahead int, now time.Time) time.Duration {
	if ahead == 0 {
		return 0
	}
	wait := float64(ahead) * r.interval(now)
	return time.Duration(wait * float64(time.Second))
}

// fits reports whether a request that waits for the given time from now can end by the deadline,
// with a margin for the error of the estimate.
func (r *serviceRate) fits(wait time.Duration, now, deadline time.Time) bool {
	return r.feasible(time.Duration(float64(wait)/r.waitShare), now, deadline)
}

// feasible is fits without the margin for the estimate's error: a request that was admitted to
// the queue by fits is not dropped because the margin has grown.
func (r *serviceRate) feasible(wait time.Duration, now, deadline time.Time) bool {
	return wait.Seconds()+r.shortest <= deadline.Sub(now).Seconds()
}
