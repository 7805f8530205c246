package dispatch

import (
	"time"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/version/work"
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

// otherLife takes the answer of another life to a renewal that was meant for a worker. It
// is what lives under the name now, whichever birth is the higher one: the answer is to a
// call that was sent after the worker was last heard of.
//
// What goes wrong if only the end of the earlier life is taken from it: starts that were
// meant for that one and that the other has carried out count as lost, and are made again
// beside the runs that are there, or after they have ended.
func (e *Engine) otherLife(w *worker, x *runner.OtherLife) {
	e.decide(Decision{What: "answer of another life", Worker: w.ID, Why: x.Error(), Age: e.now - w.answered})
	next := e.workers[x.ID]
	if next == nil {
		seen := w.Worker
		seen.ID = x.ID
		next = e.addWorker(seen)
		next.fresh, next.rack = true, w.rack
		e.fleetNew = true
	}
	name, born := x.ID.Life()
	e.births[name] = born
	// The lease of what runs there was given by orders to the other life, by whose clock
	// it says nothing.
	next.lapse = max(next.lapse, e.now+ranOut(e.o.Bounds.MaxLease))
	moveListed(next, w, &x.Report)
	e.workerGone(w, "another life answers at its address", true)
	e.Renewed(e.now, next.ID, x.Report, nil)
}

// moveListed books on a life what it lists of the runs that were ordered from an earlier one.
func moveListed(next, w *worker, r *runner.Report) {
	move := func(task work.TaskID, run uint64) {
		if p := w.places[task]; p != nil && p.run == run {
			p.moveTo(next)
		}
	}
	for i := range r.Running {
		move(r.Running[i].Task, r.Running[i].Run)
	}
	for i := range r.Ended {
		move(r.Ended[i].Task, r.Ended[i].Run)
	}
}

// moveTo books a run on another worker.
func (p *place) moveTo(w *worker) {
	p.w.drop(p)
	p.w = w
	w.take(p)
}

// mayOutlive reports whether an order to start a run may be carried out, or have been, by
// the next life under its worker's name. Where that life is known and can tell, an answer to
// the start does not say which of them gave it.
func (e *Engine) mayOutlive(p *place) bool {
	name, born := p.w.ID.Life()
	followed := e.births[name] != born
	return born != 0 && p.tries > 0 && (p.begun == 0 || (followed && !p.listed))
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
		p.moveTo(w)
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
			if e.now-p.lostAt > lateOrder+ranOut(e.o.Bounds.MaxLease) {
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

// lifeOf returns the id of the life that an entry names: where it tells no birth, the life
// under its name that is known.
func (e *Engine) lifeOf(id runner.WorkerID) runner.WorkerID {
	name, born := id.Life()
	if born != 0 {
		return id
	}
	return runner.LifeID(name, e.births[name])
}

// unlistedName takes the end of the entry of whichever life has a name.
func (e *Engine) unlistedName(now time.Duration, id runner.WorkerID) {
	name, born := id.Life()
	if latest, known := e.births[name]; known && born == 0 {
		e.WorkerUnlisted(now, runner.LifeID(name, latest))
	}
}
