package dispatch

import (
	"time"

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

// forever is how long a lasting task is taken to go on.
const forever = 365 * 24 * time.Hour
