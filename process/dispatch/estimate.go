package dispatch

import "time"

// Estimates of run times.
const (
	// runTimeDecay is the weight of the newest run in a learned average.
	runTimeDecay = 0.15
	// minPercent: below this progress a run's own speed is a worse predictor of its remaining
	// time than its estimate.
	minPercent = 8
)

// estimate returns how long a task of the step is likely to take.
func (e *Engine) estimate(s *step) time.Duration {
	return scale(s.spec.Estimate, *s.job.estimateRatio)
}

// estimateRatioOf returns the learned ratio of run time to estimate of a queue. It is a
// pointer that the queue's jobs share, because rounds of placement need it once for each run
// of each worker.
func (e *Engine) estimateRatioOf(queue string) *float64 {
	p := e.estimateRatios[queue]
	if p == nil {
		p = new(float64)
		*p = 1
		e.estimateRatios[queue] = p
	}
	return p
}

// learnRunTime updates, from a run that was done, how long runs of the queue and on the worker
// take relative to their estimates.
func (e *Engine) learnRunTime(w *worker, s *step, alloc *allocation) {
	if s.spec.Estimate <= 0 || alloc.state != running || s.spec.LongRunning {
		return
	}
	took := float64(e.now-alloc.ackAt) / float64(s.spec.Estimate)
	mean := *s.job.estimateRatio
	w.slowdown += (min(max(took/mean, 0.2), 5) - w.slowdown) * runTimeDecay
	*s.job.estimateRatio = mean + (min(took, 5)-mean)*runTimeDecay/4
}

// remaining estimates how much longer a run takes.
func (e *Engine) remaining(alloc *allocation) time.Duration {
	switch {
	case alloc.state == stopping:
		return stopRetry
	case alloc.s.spec.LongRunning:
		return forever
	}
	elapsed := e.now - alloc.sent
	whole := e.estimate(alloc.s)
	if alloc.percent >= minPercent && alloc.percentAt > alloc.ackAt {
		whole = scale(alloc.percentAt-alloc.ackAt, 100/alloc.percent) + alloc.ackAt - alloc.sent
	}
	return max(whole-elapsed, minRemaining)
}

// minRemaining is the estimate for a run that has exceeded its estimate and may end any time.
const minRemaining = 100 * time.Millisecond

// checkStalled stops a run that makes no progress while its worker answers, so that it
// continues elsewhere.
func (e *Engine) checkStalled(alloc *allocation) {
	if alloc.state != running || alloc.percent >= nearlyDone {
		return
	}
	stalled := e.now - max(alloc.percentAt, alloc.ackAt)
	bound := max(stallTimeout, e.estimate(alloc.s)/2)
	if alloc.s.spec.LongRunning {
		bound = stallTimeout // its estimate says nothing about how soon it serves
	}
	if stalled < bound || alloc.w.answered < alloc.percentAt+stallTimeout {
		return
	}
	e.stats.Moved++
	w := alloc.w
	alloc.task().avoidWorker(w.ID, e.now)
	if w.noteFailure(e.now, alloc.s.job.id) {
		e.decide(Decision{What: "worker quarantined", Worker: w.ID, Why: "runs of different jobs stalled there", Age: w.quarantine})
	}
	if alloc.s.spec.Gang {
		e.stopGang(alloc.s, "a member makes no progress")
		return
	}
	e.stop(alloc, "no progress")
}

// nearlyDone is the progress from which a run is not checked: members of a gang end together,
// and those on faster workers wait with all of their work done.
const nearlyDone = 97

// stallTimeout is how long a run's progress may stay the same: reports arrive at least every
// renewWait, and a run of ten seconds gains ten percent a second.
const stallTimeout = 2500 * time.Millisecond
