package dispatch

import (
	"time"

	"fennelshunt.example/fennelshunt/version/work"
)

// Long-running tasks run until their job is cancelled, and start again however they end. The
// engine never stops one that is serving: the interruptions that a step allows
// (work.Step.MaxInterrupted) are left to failures that the engine does not cause.

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

// stopBestEffort stops the best-effort work on a worker before a task with a response time
// target starts there. Best-effort work uses the processors' shared resources and would make
// that task answer too late, and nothing else limits it, since it books no processors.
func (e *Engine) stopBestEffort(w *worker, s *step) {
	if !hasTarget(s.spec) {
		return
	}
	for _, alloc := range sortedAllocs(w) {
		if alloc.s.spec.BestEffort {
			e.stop(alloc, "best-effort work makes way for a task with a response time target")
		}
	}
}

// forever is how long a long-running task is assumed to go on.
const forever = 365 * 24 * time.Hour
