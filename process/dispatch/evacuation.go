package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/process/evacuation"
	"fennelshunt.example/fennelshunt/process/preemption"
)

// This file stops runs on workers that have given notice that they leave, so that their tasks start
// elsewhere at once and not once the worker's lease has expired. Package evacuation decides which and
// when; this file collects what it needs and carries its decisions out.

const (
	// evacuationPeriod is between two looks at the runs on workers that leave.
	evacuationPeriod = 100 * time.Millisecond
	// paceDeviation is the standard deviation of the logarithm of a remaining time that is predicted
	// from the run's own pace: tasks of a step vary by some 15 % each way.
	paceDeviation = 0.15
	// leavingRenewWait is how long a renewal of a worker that leaves soon may wait for a completion: the
	// progress of its runs decides which are stopped.
	leavingRenewWait = 200 * time.Millisecond
)

// evacuating is the engine's state of evacuation.
type evacuating struct {
	at      time.Duration // when runs are looked at again
	stops   evacuation.StopTimes
	victims []victim
	// claimed has the workers on which the task of a run that was stopped early is expected to start, and
	// until when. No other run is stopped early for the same worker until then.
	claimed map[*worker]time.Duration
}

// noteNotice takes a worker's entry in the directory into account.
func (e *Engine) noteNotice(w *worker) {
	if !w.Draining || !w.Notice.Known {
		w.departure.Clear()
		return
	}
	before, known := e.timeLeft(w)
	w.departure.Notice(e.now, w.Notice.Remaining, w.Notice.Clock)
	if left, ok := e.timeLeft(w); ok && (!known || left != before) {
		e.decide(Decision{What: "notice", Worker: w.ID, Why: fmt.Sprintf("%d runs; it leaves in %d ms at the earliest", len(w.allocs), left.Milliseconds())})
	}
}

// timeLeft returns the time until a worker leaves at the earliest; false if it is not known.
func (e *Engine) timeLeft(w *worker) (time.Duration, bool) {
	clock := time.Duration(0)
	if w.clock > 0 {
		clock = w.clockNow(e.now)
	}
	return w.departure.Left(e.now, clock)
}

// renewWaitOf returns how long the next renewal of a worker may wait for a completion.
func (e *Engine) renewWaitOf(w *worker) time.Duration {
	if left, known := e.timeLeft(w); known && left <= evacuation.Horizon && len(w.allocs) > 0 && !e.o.Policy.NoEvacuation {
		return leavingRenewWait
	}
	return renewWait
}

// evacuate looks at the runs on workers that leave soon, and stops those that must be.
func (e *Engine) evacuate() {
	e.settleEvacuated()
	if e.o.Policy.NoEvacuation || e.now < e.evacuating.at {
		return
	}
	e.evacuating.at = e.now + evacuationPeriod
	maps.DeleteFunc(e.evacuating.claimed, func(_ *worker, until time.Duration) bool { return e.now >= until })
	for _, w := range e.workerList {
		left, known := e.timeLeft(w)
		if !known || left > evacuation.Horizon || (w.misses > 0 && left < 0) {
			continue // in the last case it has left, and a stop does not reach it
		}
		for _, alloc := range sortedAllocs(w) {
			if alloc.state != stopping && alloc.s.job.active() {
				e.evacuateRun(alloc, left)
			}
		}
	}
}

// evacuateRun decides about a run on a worker that leaves, or about its gang, and carries the decision
// out.
func (e *Engine) evacuateRun(alloc *allocation, left time.Duration) {
	c := e.evacuationCase(alloc, left)
	action := c.Decide()
	var place *worker
	if action == evacuation.Wait && c.Checkpoints && !c.Endless && !alloc.s.spec.Gang {
		place = e.placeReady(alloc, c.LongestStop)
		c.Ready = place != nil
		action = c.Decide()
	}
	switch {
	case action != evacuation.Stop:
		e.noteKept(alloc, action == evacuation.Keep, &c)
		return
	case place != nil:
		e.evacuating.claimed[place] = e.now + c.LongestStop
	}
	e.stopEvacuated(alloc, &c)
}

// evacuationCase collects what decides about a run on a worker that leaves, or about its gang, apart from
// whether its new start is ready.
func (e *Engine) evacuationCase(alloc *allocation, left time.Duration) evacuation.Case {
	s, stops := alloc.s, &e.evacuating.stops
	// A run is looked at once per period, so that a stop may come that much later than it is due.
	c := evacuation.Case{Left: left, LongestStop: stops.Longest() + evacuationPeriod, UsualStop: stops.Usual(),
		Endless: s.spec.LongRunning, Checkpoints: s.spec.Checkpoints}
	if s.spec.Gang {
		c.Left = e.gangLeft(s, left)
	}
	c.Remaining, c.Deviation = e.predictEnd(alloc)
	return c
}

// stopEvacuated stops a run on a worker that leaves, or its gang as a whole.
func (e *Engine) stopEvacuated(alloc *allocation, c *evacuation.Case) {
	why := fmt.Sprintf("its worker leaves in %d ms at the earliest", c.Left.Milliseconds())
	if !c.Endless {
		why += fmt.Sprintf(", and it is expected to end in %d ms", c.Remaining.Milliseconds())
	}
	e.decide(Decision{What: "evacuation", Task: alloc.id(), Run: alloc.run, Worker: alloc.w.ID, Why: why, Age: e.now - alloc.sent})
	s := alloc.s
	if !s.spec.Gang {
		e.noteEvacuated(alloc)
		e.stop(alloc, "its worker leaves")
		return
	}
	for i := range s.tasks {
		if member := s.tasks[i].alloc; member != nil && member.state != stopping {
			e.noteEvacuated(member)
		}
	}
	e.stopGang(s, "a member's worker leaves")
}

// placeReady returns a worker on which the task of a run can start again as soon as the run has been
// stopped, which takes at most stopTime: with capacity that no step that comes before is waiting for and,
// if the step needs tickets, one that is valid until then. It returns nil if there is none.
func (e *Engine) placeReady(alloc *allocation, stopTime time.Duration) *worker {
	s, a := alloc.s, e.adviceOf(alloc.s)
	if len(s.pending) > 0 || (a != nil && !a.usable(e.now+stopTime)) {
		return nil
	}
	for _, w := range e.workerList {
		if !e.mayPlace(s, alloc.index, w) || e.now < e.evacuating.claimed[w] {
			continue
		}
		if a != nil && !a.hasTicket(w, e.now+stopTime) {
			continue
		}
		s.rank = e.rankOf(s)
		if slices.ContainsFunc(e.ready, func(x *step) bool { return x.job.active() && compareSteps(x, s) < 0 }) {
			return nil
		}
		return w
	}
	return nil
}

// gangLeft returns the time until the first of a gang's workers leaves.
func (e *Engine) gangLeft(s *step, left time.Duration) time.Duration {
	for i := range s.tasks {
		alloc := s.tasks[i].alloc
		if alloc == nil || alloc.state == stopping {
			continue
		}
		if l, known := e.timeLeft(alloc.w); known {
			left = min(left, l)
		}
	}
	return left
}

// predictEnd returns the predicted time to the end of a run, or of its gang, and the standard
// deviation of its logarithm. A run that should have ended takes at least as long as it is overdue.
func (e *Engine) predictEnd(alloc *allocation) (remaining time.Duration, deviation float64) {
	s := alloc.s
	remaining = e.remaining(alloc)
	if e.o.Policy.NoSpeedModel || s.spec.LongRunning {
		return remaining, s.work.Deviation()
	}
	ends, paced := e.runEnds(alloc), alloc.hasPace()
	if s.spec.Gang {
		ends = e.gangEnds(s)
		paced = !slices.ContainsFunc(s.tasks, func(t task) bool { return t.alloc != nil && !t.alloc.hasPace() })
	}
	deviation = s.work.Deviation()
	if paced {
		deviation = min(deviation, paceDeviation)
	}
	return max(remaining, e.now-ends), deviation
}

// hasPace reports whether the run's own progress predicts its end.
func (alloc *allocation) hasPace() bool {
	_, ok := alloc.progress.Pace()
	return ok
}

// noteKept records whether a run is left alone because it is expected to end in time.
func (e *Engine) noteKept(alloc *allocation, keep bool, c *evacuation.Case) {
	if keep && !alloc.kept {
		e.decide(Decision{What: "evacuation not needed", Task: alloc.id(), Run: alloc.run, Worker: alloc.w.ID, Age: e.now - alloc.sent,
			Why: fmt.Sprintf("it is expected to end in %d ms, and its worker leaves in %d ms at the earliest", c.Remaining.Milliseconds(), c.Left.Milliseconds())})
	}
	alloc.kept = keep
}

// noteEvacuated counts a run that is about to be stopped.
func (e *Engine) noteEvacuated(alloc *allocation) {
	alloc.evacuated, alloc.kept = true, false
	e.stats.Evacuated++
	e.evacuating.victims = append(e.evacuating.victims, victim{alloc: alloc, stopped: e.now, checkpoint: alloc.task().checkpoint})
}

// noteSaved records how much of the work of an evacuated run is in its checkpoint: at least what the run
// reported last, and at least what was in the checkpoint that it started from. A run that is stopped soon
// after its start has reported no progress yet.
func (alloc *allocation) noteSaved() {
	if alloc.evacuated {
		alloc.s.evacuated = true
		t := alloc.task()
		t.savedShare = max(t.savedShare, min(alloc.percent/100, 1))
	}
}

// leftToRun returns how long the waiting tasks of a step are likely to take. What evacuated tasks have in
// their checkpoints counts: a job that would have been in time would otherwise wait behind all others
// that still can be.
func (e *Engine) leftToRun(s *step) time.Duration {
	whole := e.estimate(s)
	if !s.evacuated || len(s.pending) == 0 {
		return whole
	}
	saved := 1.0
	for _, i := range s.pending {
		saved = min(saved, s.tasks[i].savedShare)
	}
	if saved == 0 {
		return whole
	}
	return scale(whole, 1-saved) + resumeTime
}

// settleEvacuated adds up the lost work of stopped runs whose end is known.
func (e *Engine) settleEvacuated() {
	v := &e.evacuating.victims
	*v = slices.DeleteFunc(*v, func(v victim) bool {
		if !v.ended() {
			return false
		}
		e.stats.EvacuatedCoreSeconds += e.lostBy(v)
		return true
	})
}

// lostBy returns the core-seconds that a stopped run whose end is known has lost.
func (e *Engine) lostBy(v victim) float64 {
	t, lost := v.alloc.task(), preemption.Restart
	switch {
	case t.done:
		lost = 0
	case t.checkpoint == v.checkpoint: // it wrote none at its end: all of the run counts as lost
		lost += e.now - v.alloc.sent
	}
	return float64(v.alloc.need.CPU) / 1000 * lost.Seconds()
}

// noteStopped learns how long a stop took that has ended a run. If the worker did not answer for a while
// in between, the time says nothing about stops.
func (e *Engine) noteStopped(alloc *allocation) {
	if alloc.stopAt > 0 && alloc.w.recoveredAt < alloc.stopAt {
		e.evacuating.stops.Observe(e.now - alloc.stopAt)
	}
}

// noteEmptied writes the list of cordoned workers again once nothing runs any more on one that leaves.
// Otherwise a successor that cannot reach it would wait for its lease before it starts the tasks that
// have ended there.
func (e *Engine) noteEmptied(w *worker) {
	if w.cordoned && w.Notice.Known && len(w.allocs) == 0 && len(w.pendingAcks) == 0 {
		e.cordonsChanged = true
	}
}

// noteKeptEnd counts a run on a worker that leaves which was left alone and is done.
func (e *Engine) noteKeptEnd(alloc *allocation) {
	if alloc != nil && alloc.kept && alloc.w.Draining {
		e.stats.EvacuationKept++
	}
}

// noteEvacuatedLate counts a run that was stopped because its worker leaves, and was lost with it.
func (e *Engine) noteEvacuatedLate(alloc *allocation) {
	if alloc.evacuated && alloc.w.Draining {
		e.stats.EvacuationsLate++
		e.decide(Decision{What: "evacuated too late", Task: alloc.id(), Run: alloc.run, Worker: alloc.w.ID, Age: e.now - alloc.stopAt})
	}
}
