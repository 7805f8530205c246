package dispatch

import (
	"time"

	"fennelshunt.example/fennelshunt/version/work"
)

// Tasks that last run until their job is cancelled, and start again however
// they end. The engine never stops one that is at work, so that what a step may
// miss is left to ends that it has no part in.

// servingPercent is the progress of a lasting task that serves.
const servingPercent = 100

// rankLongRunning puts tasks that last before all work that ends.
const rankLongRunning = -1

// serves reports whether the run is of a lasting task that is at work.
func (alloc *allocation) serves() bool {
	return alloc.s.spec.Lasting && alloc.percent >= servingPercent
}

// noteServing judges the worker by a lasting task that has come to work there:
// such tasks never end as done, which is the sign that other work gives.
func (alloc *allocation) noteServing(before float64) {
	if alloc.serves() && before < servingPercent {
		alloc.w.noteSuccess()
	}
}

// hasTarget reports whether the step's tasks last and are bound to a response
// time, which work that fills beside them can spoil.
func hasTarget(s *work.Step) bool { return s.Lasting && s.Target > 0 }

// hostsTarget reports whether a task with a bound on its response time runs on
// the worker.
func (w *worker) hostsTarget() bool {
	for _, alloc := range w.allocs {
		if hasTarget(alloc.s.spec) {
			return true
		}
	}
	return false
}

// stopBestEffort stops what fills on a worker, for a task with a bound on its response
// time.
//
// What goes wrong without it: work that fills takes the processors' shared
// parts, the task beside it answers too late, and nothing here slows the other
// down, since it counts for no processors.
func (e *Engine) stopBestEffort(w *worker, s *step) {
	if !hasTarget(s.spec) {
		return
	}
	for _, alloc := range sortedAllocs(w) {
		if alloc.s.spec.Fills {
			e.stop(alloc, "it fills, and a task that serves starts beside it")
		}
	}
}

// forever is how long a lasting task is taken to go on.
const forever = 365 * 24 * time.Hour
