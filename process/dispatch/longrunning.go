package dispatch

import (
	"time"

	"fennelshunt.example/fennelshunt/version/work"
)

// Long-running tasks run until their job is cancelled, and start again however they end. The
// engine stops one that is serving only if it is best-effort work beside a task with a response time
// target, and then no more of its step than may be interrupted (work.Step.MaxInterrupted).

// servingPercent is the progress of a long-running task that serves.
const servingPercent = 100

// rankLongRunning puts long-running tasks ahead of all other work.
const rankLongRunning = -1

// serves reports whether the run is of a long-running task that is serving.
func (a *allocation) serves() bool { return a.s.spec.LongRunning && a.percent >= servingPercent }

// noteServing counts a long-running task that starts to serve as a success of its worker: such
// tasks never end as done, which is what counts for other work.
func (e *Engine) noteServing(alloc *allocation, before float64) {
	if alloc.serves() && before < servingPercent {
		e.runProves(alloc, "a long-running task serves")
	}
}

// hasTarget reports whether the step's tasks are long-running and have a response time target,
// which best-effort work beside them can spoil.
func hasTarget(s *work.Step) bool { return s.LongRunning && s.Target > 0 }

// hostsTarget reports whether a task with a response time target runs on the worker.
func (w *worker) hostsTarget() bool {
	for _, alloc := range w.allocs {
		if hasTarget(alloc.s.spec) {
			return true
		}
	}
	return false
}

// interruptible returns how many serving tasks of the step may be stopped now.
func (s *step) interruptible() int {
	if s.spec.MaxInterrupted == 0 {
		return s.spec.Count
	}
	left := s.spec.MaxInterrupted - s.spec.Count
	for i := range s.tasks {
		if alloc := s.tasks[i].alloc; alloc != nil && alloc.state == running && alloc.serves() {
			left++
		}
	}
	return max(left, 0)
}

// bestEffortOn returns the number of best-effort tasks on a worker that would have to make way for a task with a response time
// target, and how many of them may not be interrupted now.
func bestEffortOn(w *worker) (all, kept int) {
	serving := map[*step]int{}
	for _, alloc := range w.allocs {
		if !alloc.s.spec.BestEffort || alloc.state == stopping {
			continue
		}
		all++
		if alloc.state == running && alloc.serves() {
			serving[alloc.s]++
		}
	}
	for s, n := range serving {
		kept += max(n-s.interruptible(), 0)
	}
	return all, kept
}

// stopBestEffort stops the best-effort work on a worker on which a task with a response time target
// runs, or is about to start, as far as it may be interrupted now. Best-effort work uses the processors'
// shared resources and would make that task answer too late, and nothing else limits it, since it books no processors.
func (e *Engine) stopBestEffort(w *worker) {
	for _, alloc := range sortedAllocs(w) {
		if alloc.s.spec.BestEffort && (!alloc.serves() || alloc.state != running || alloc.s.interruptible() > 0) {
			e.stop(alloc, "best-effort work makes way for a task with a response time target")
		}
	}
}

// stopBestEffortBesideTargets stops the best-effort work that could not be interrupted when a task with a response time
// target started beside it.
func (e *Engine) stopBestEffortBesideTargets() {
	for _, w := range e.workerList {
		if w.hostsTarget() {
			e.stopBestEffort(w)
		}
	}
}

// forever is how long a long-running task is assumed to go on.
const forever = 365 * 24 * time.Hour
