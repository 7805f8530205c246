package dispatch

import "time"

// Judging how work goes.
const (
	// paceDecay is the weight of the newest run in a learnt pace.
	paceDecay = 0.15
	// minPercent: below this share of its work a run's own progress says
	// less of its remaining time than its estimate.
	minPercent = 8
)

// estimate returns how long a task of the step is likely to take.
func (e *Engine) estimate(s *step) time.Duration {
	return scale(s.spec.Estimate, *s.job.pace)
}

// paceOf returns the learnt pace of a queue, which its jobs share: rounds of
// placement ask for it once for each run of each worker.
func (e *Engine) paceOf(queue string) *float64 {
	p := e.paces[queue]
	if p == nil {
		p = new(float64)
		*p = 1
		e.paces[queue] = p
	}
	return p
}

// learnPace learns from a run that was done how long runs of the queue, and on
// the worker, take against their estimates.
func (e *Engine) learnPace(w *worker, s *step, p *place) {
	if s.spec.Estimate <= 0 || p.state != running || s.spec.Lasting {
		return
	}
	took := float64(e.now-p.begun) / float64(s.spec.Estimate)
	mean := *s.job.pace
	w.pace += (min(max(took/mean, 0.2), 5) - w.pace) * paceDecay
	*s.job.pace = mean + (min(took, 5)-mean)*paceDecay/4
}

// remaining estimates how long a run goes on.
func (e *Engine) remaining(p *place) time.Duration {
	switch {
	case p.state == stopping:
		return stopRetry
	case p.s.spec.Lasting:
		return forever
	}
	elapsed := e.now - p.sent
	whole := e.estimate(p.s)
	if p.percent >= minPercent && p.percentAt > p.begun {
		whole = scale(p.percentAt-p.begun, 100/p.percent) + p.begun - p.sent
	}
	return max(whole-elapsed, minRemaining)
}

// minRemaining: a run past its estimate may end any time.
const minRemaining = 100 * time.Millisecond

// watchStandstill stops a run that makes no progress while its worker answers,
// so that it goes on elsewhere.
func (e *Engine) watchStandstill(p *place) {
	if p.state != running || p.percent >= nearlyDone {
		return
	}
	still := e.now - max(p.percentAt, p.begun)
	bound := max(standstillMin, e.estimate(p.s)/2)
	if p.s.spec.Lasting {
		bound = standstillMin // its estimate says nothing of how soon it is at work
	}
	if still < bound || p.w.answered < p.percentAt+standstillMin {
		return
	}
	e.stats.Moved++
	w := p.w
	p.task().shun(w.ID, e.now)
	if w.noteFail(e.now, p.s.job.id) {
		e.decide(Decision{What: "worker set aside", Worker: w.ID, Why: "runs of different jobs stand still there", Age: w.asideFor})
	}
	if p.s.spec.Gang {
		e.breakGang(p.s, "a member makes no progress")
		return
	}
	e.stop(p, "no progress")
}

// nearlyDone is the progress from which a run is left alone: members of a gang
// end together, and those on faster workers wait with all of their work done.
const nearlyDone = 97

// standstillMin is how long a run's progress may stay the same: reports come
// at least every renewWait, and a run of ten seconds gains ten percent a second.
const standstillMin = 2500 * time.Millisecond
