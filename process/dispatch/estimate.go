package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"fennelshunt.example/fennelshunt/process/speed"
)

// Estimates of run times; package speed learns the factors.
const (
	// speedPeriod is between two computations of what workers with the same labels have in
	// common: several per run, as runs take half a second and more.
	speedPeriod = 200 * time.Millisecond
	// endsPeriod is how long the expected end of a gang is kept, since it depends on all of its
	// members and a round needs it for each of them.
	endsPeriod = 50 * time.Millisecond
	// slowFactor is the factor relative to a typical worker above which a worker counts as slow:
	// its excess is three times the spread of healthy workers. A slow worker counts as such until
	// its factor is below recoveredFactor, so that a factor near the bound does not alternate.
	slowFactor      = 1.35
	recoveredFactor = 1.25
)

func newSpeedModel(p Policy) *speed.Model { return speed.New(p.NoSpeedModel) }

// labelSpeed tells the model of speeds which labels a worker has.
func (e *Engine) labelSpeed(w *worker) {
	kind := w.Labels
	if len(kind) > 0 {
		kind = kind[:len(kind)-1] // the last one is the rack
	}
	e.speed.SetLabels(w.speed, strings.Join(kind, "\n"), w.rack)
}

// refreshSpeeds computes again what depends on the speeds of several workers.
func (e *Engine) refreshSpeeds() {
	if e.now < e.speedAt {
		return
	}
	e.speedAt = e.now + speedPeriod
	e.speed.Refresh()
	for _, w := range e.workerList {
		relative := w.speed.Factor / e.speed.Typical()
		switch {
		case !w.slow && relative > slowFactor:
			w.slow = true
			e.stats.SlowWorkers++
			e.decide(Decision{What: "worker is slow", Worker: w.ID,
				Why: fmt.Sprintf("runs take %.2f times as long as on a typical worker", relative)})
		case w.slow && relative < recoveredFactor:
			w.slow = false
			e.decide(Decision{What: "worker is no longer slow", Worker: w.ID})
		}
	}
}

// estimate returns how long a task of the step is likely to take on a typical worker.
func (e *Engine) estimate(s *step) time.Duration {
	return scale(s.spec.Estimate, s.work.Factor()*e.speed.Typical())
}

// estimateOn returns how long a task of the step is likely to take on a worker.
func (e *Engine) estimateOn(s *step, w *worker) time.Duration {
	if e.o.Policy.NoSpeedModel {
		return e.estimate(s)
	}
	return scale(s.spec.Estimate, s.work.Factor()*w.speed.Factor)
}

// planFactors records the factors of the waiting steps with which reservations are planned.
func planFactors(steps []*step) {
	for _, s := range steps {
		s.planFactor = s.work.Factor()
	}
}

// plannedOn returns the run time of a task of the step on a worker that is compared with
// reservations: no shorter than the one with which these were planned. The start of a reservation
// depends on the earlier, longer estimates of the same work, so with the newer estimate this work
// would seem to end before the reservation and take its capacity.
func (e *Engine) plannedOn(s *step, w *worker) time.Duration {
	if f := s.work.Factor(); f < s.planFactor {
		return scale(e.estimateOn(s, w), s.planFactor/f)
	}
	return e.estimateOn(s, w)
}

// learnProgress takes the progress of a run into account.
func (e *Engine) learnProgress(alloc *allocation) {
	if alloc.s.spec.LongRunning || !alloc.progress.Report(e.now, alloc.percent) || e.o.Policy.NoSpeedModel {
		return
	}
	e.speed.LearnProgress(alloc.w.speed, &alloc.s.work, &alloc.progress)
}

// learnRunTime takes into account how long a completed run took.
func (e *Engine) learnRunTime(alloc *allocation) {
	s := alloc.s
	if s.spec.Estimate <= 0 || alloc.state != running || s.spec.LongRunning {
		return
	}
	if e.o.Ran != nil && !s.spec.Gang && !alloc.resumed && alloc.predicted > 0 {
		e.o.Ran(s.job.spec.Queue.Name, alloc.predicted, e.now-alloc.ackAt)
	}
	switch {
	case e.o.Policy.NoSpeedModel:
		e.speed.Learn(alloc.w.speed, &s.work, e.now-alloc.ackAt, speed.End)
	case !s.spec.Gang: // members of a gang end with its slowest one
		e.speed.LearnEnd(alloc.w.speed, &s.work, &alloc.progress, e.now)
	}
}

// remaining estimates how much longer a run takes.
func (e *Engine) remaining(alloc *allocation) time.Duration {
	switch {
	case alloc.state == stopping:
		return stopRetry
	case alloc.s.spec.LongRunning:
		return forever
	case e.o.Policy.NoSpeedModel:
		return e.remainingOnAverage(alloc)
	case alloc.s.spec.Gang:
		return max(e.gangEnds(alloc.s)-e.now, minRemaining)
	}
	return max(e.runEnds(alloc)-e.now, minRemaining)
}

// remainingOnAverage estimates how much longer a run takes, without a model of speeds.
func (e *Engine) remainingOnAverage(alloc *allocation) time.Duration {
	whole := e.estimate(alloc.s)
	ends := alloc.sent + whole
	if _, ok := alloc.progress.Pace(); ok || (alloc.resumed && alloc.ackAt > 0) {
		// The progress that a run begins with, from its checkpoint, says nothing about its pace.
		ends = alloc.progress.Ends(whole)
	}
	return max(ends-e.now, minRemaining)
}

// runEnds returns when a run would end if it did not depend on others.
func (e *Engine) runEnds(alloc *allocation) time.Duration {
	whole := e.estimateOn(alloc.s, alloc.w)
	if alloc.ackAt == 0 {
		return alloc.sent + whole
	}
	return alloc.progress.Ends(whole)
}

// gangEnds returns when a gang ends: with its slowest member.
func (e *Engine) gangEnds(s *step) time.Duration {
	if e.now < s.gang.endsUntil {
		return s.gang.ends
	}
	s.gang.ends, s.gang.endsUntil = 0, e.now+endsPeriod
	for i := range s.tasks {
		if alloc := s.tasks[i].alloc; alloc != nil {
			s.gang.ends = max(s.gang.ends, e.runEnds(alloc))
		}
	}
	return s.gang.ends
}

// alikeFactor is the ratio of factors up to which workers count as equally fast: healthy workers
// of one kind differ by as much.
const alikeFactor = 1.1

// gangPace returns the factor of the slowest worker of a gang of n tasks that takes the fastest of
// the slots. It sorts the slots by the factor of their workers.
func gangPace(all []gangSlots, n int) float64 {
	slices.SortStableFunc(all, func(x, y gangSlots) int { return cmp.Compare(x.w.speed.Factor, y.w.speed.Factor) })
	for _, x := range all {
		if n -= x.n; n <= 0 {
			return x.w.speed.Factor
		}
	}
	return all[len(all)-1].w.speed.Factor
}

// speedScore rates a worker for a gang whose slowest worker has the factor pace. A slower worker
// would delay the whole gang; a run on a faster one would wait for the others, and the worker is of
// more use to other work.
func (e *Engine) speedScore(w *worker, pace float64) float64 {
	if e.o.Policy.NoSpeedModel {
		return -w.speed.Factor
	}
	switch f := w.speed.Factor; {
	case f > pace*alikeFactor:
		return scoreSlowsGang - f
	case f < pace/alikeFactor:
		return math.Log(f * alikeFactor / pace)
	}
	return 0
}

// scoreSlowsGang puts workers on which a gang would take longer behind all others but those on
// which its tasks have failed.
const scoreSlowsGang = -10

// minRemaining is the estimate for a run that has exceeded its estimate and may end any time.
const minRemaining = 100 * time.Millisecond

// stalls returns how often the run's task, or its gang, was stopped for want of progress in this epoch.
func (alloc *allocation) stalls() *int {
	if alloc.s.spec.Gang {
		return &alloc.s.gang.stalls
	}
	return &alloc.task().stalls
}

// checkStalled stops a run that makes no progress while its worker answers, so that it
// continues elsewhere. Each stop doubles the time that the task then has, as its progress may be shown in steps that take
// longer than it was estimated to run.
func (e *Engine) checkStalled(alloc *allocation) {
	if alloc.state != running || alloc.percent >= nearlyDone {
		return
	}
	stalled := e.now - max(alloc.percentAt, alloc.ackAt)
	bound := max(stallTimeout, e.estimateOn(alloc.s, alloc.w)/2)
	if alloc.s.spec.LongRunning {
		bound = stallTimeout // its estimate says nothing about how soon it serves
	}
	stalls := alloc.stalls()
	bound <<= min(*stalls, maxStallDoublings)
	if stalled < bound || alloc.w.presence.at < alloc.percentAt+stallTimeout {
		return
	}
	e.stats.Moved++
	*stalls++
	w := alloc.w
	alloc.task().avoidWorker(w.ID, e.now)
	if j := alloc.s.job; j.countsAgainst(w.ID) && w.noteFailure(e.now, j.id) {
		e.stats.Quarantined++
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

// maxStallDoublings bounds that time at two minutes and a half for short tasks.
const maxStallDoublings = 6

// stallTimeout is how long a run's progress may stay the same: reports arrive at least every
// renewWait, and a run of ten seconds gains ten percent a second.
const stallTimeout = 2500 * time.Millisecond
