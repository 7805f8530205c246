package dispatch

import (
	"time"

	"fennelshunt.example/fennelshunt/connection/runner"
)

// Workers that begin another life under the name that they had.
//
// Load pattern: workers crash and are back after seconds, while starts are on their way
// to them. What goes wrong without it: an order that was meant for the earlier life is
// carried out by the later one, which has its name; the task, taken for lost with the
// earlier life, runs twice.

// lateOrder is how long after it was sent an order without an answer may be carried out.
const lateOrder = 12 * time.Second

// noteBirth takes the birth of a life that is seen, and gives its earlier life up. It
// reports whether a later one of that name is known, or an earlier one.
func (e *Engine) noteBirth(id runner.WorkerID) (over, next bool) {
	name, born := id.Life()
	if born == 0 {
		return false, false
	}
	before, known := e.births[name]
	if known && born <= before {
		return born < before, false
	}
	e.births[name] = born
	if w := e.workers[runner.LifeID(name, before)]; known && w != nil {
		e.workerGone(w, "it is listed with a later birth", true)
	}
	return false, known
}

// mayOutlive reports whether an order to start a run may be carried out by the next life
// under the worker's name.
func (w *worker) mayOutlive(p *place) bool {
	_, born := w.ID.Life()
	return born != 0 && p.tries > 0 && p.begun == 0
}

// outlive keeps a run in doubt that was on its way to a worker whose life has ended.
func (e *Engine) outlive(w *worker, p *place) {
	p.state, p.lostAt = stopping, e.now
	name := w.ID.Name()
	e.outliving[name] = append(e.outliving[name], p)
}

// takeOutliving books on a worker that has answered what may have been carried out there
// for an earlier life, and stops it: the answer says whether it can still begin.
func (e *Engine) takeOutliving(w *worker) {
	if len(e.outliving) == 0 {
		return
	}
	name := w.ID.Name()
	for _, p := range e.outliving[name] {
		if p.task().place != p {
			continue
		}
		p.w.drop(p)
		p.w = w
		w.take(p)
		e.sendStop(p)
	}
	delete(e.outliving, name)
}

// expireOutliving releases runs in doubt of workers that do not come back: whatever was
// carried out late has ended with its lease.
func (e *Engine) expireOutliving() {
	for name, all := range e.outliving {
		kept := all[:0]
		for _, p := range all {
			if e.now-p.lostAt > lateOrder+scale(e.o.Bounds.MaxLease, clockDrift)+driftMargin {
				e.release(p)
				continue
			}
			kept = append(kept, p)
		}
		if e.outliving[name] = kept; len(kept) == 0 {
			delete(e.outliving, name)
		}
	}
}

// unlistedName takes the end of the entry of whichever life has a name.
func (e *Engine) unlistedName(now time.Duration, id runner.WorkerID) {
	name, born := id.Life()
	if latest, known := e.births[name]; known && born == 0 {
		e.WorkerUnlisted(now, runner.LifeID(name, latest))
	}
}
