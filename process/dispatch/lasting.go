package dispatch

import (
	"time"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/version/work"
)

// Tasks that last run until their job is cancelled, and start again however
// they end. The engine never stops one that is at work, so that what a step may
// miss is left to ends that it has no part in.

// atWorkPercent is the progress of a lasting task that serves.
const atWorkPercent = 100

// rankLasting puts tasks that last before all work that ends.
const rankLasting = -1

// serves reports whether the run is of a lasting task that is at work.
func (p *place) serves() bool { return p.s.spec.Lasting && p.percent >= atWorkPercent }

// noteServing judges the worker by a lasting task that has come to work there:
// such tasks never end as done, which is the sign that other work gives.
func (p *place) noteServing(before float64) {
	if p.serves() && before < atWorkPercent {
		p.w.noteDone()
	}
}

// hasTarget reports whether the step's tasks last and are bound to a response
// time, which work that fills beside them can spoil.
func hasTarget(s *work.Step) bool { return s.Lasting && s.Target > 0 }

// hostsTarget reports whether a task with a bound on its response time runs on
// the worker.
func (w *worker) hostsTarget() bool {
	for _, p := range w.places {
		if hasTarget(p.s.spec) {
			return true
		}
	}
	return false
}

// giveWay stops what fills on a worker, for a task with a bound on its response
// time.
//
// What goes wrong without it: work that fills takes the processors' shared
// parts, the task beside it answers too late, and nothing here slows the other
// down, since it counts for no processors.
func (e *Engine) giveWay(w *worker, s *step) {
	if !hasTarget(s.spec) {
		return
	}
	for _, p := range places(w) {
		if p.s.spec.Fills {
			e.stop(p, "it fills, and a task that serves starts beside it")
		}
	}
}

// reserveLasting keeps room for tasks that last and that found none: without
// it, small work takes each gap as it opens, and a large task never starts.
func (e *Engine) reserveLasting(s *step, r *round) {
	if !s.spec.Lasting || len(s.pending) == 0 || r.reserved >= e.perWorkers(maxReserved, reservedShare) {
		return
	}
	if e.hasReserved(s) || e.reserveFor(s) {
		r.reserved++
	}
}

// forever is how long a lasting task is taken to go on.
const forever = 365 * 24 * time.Hour

// newRun gives the next run of the epoch its number; count is how many there
// were. An epoch that has used up its numbers ends: its next run's number would
// be one of the next epoch's, which could then not start the task again.
func (e *Engine) newRun(count *uint64, id work.TaskID, on runner.WorkerID) (run uint64, ok bool) {
	if *count+1 >= 1<<runBits {
		e.decide(Decision{What: "epoch ends", Task: id, Worker: on, Why: "it has no more numbers for runs of this task"})
		e.deposed = true
		return 0, false
	}
	*count++
	return e.nextRun(*count), true
}
