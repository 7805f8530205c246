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

// maxOrderDelay is how long after it was sent an order without an answer may be carried out.
const maxOrderDelay = 12 * time.Second

// noteIncarnation takes the birth of a life that is seen, and gives its earlier life up. It
// reports whether a later one of that name is known, or an earlier one.
func (e *Engine) noteIncarnation(id runner.WorkerID) (older, next bool) {
	name, startTime := id.Life()
	if startTime == 0 {
		return false, false
	}
	before, known := e.latestStart[name]
	if known && startTime <= before {
		return startTime < before, false
	}
	e.latestStart[name] = startTime
	if w := e.workers[runner.LifeID(name, before)]; known && w != nil {
		e.removeWorker(w, "it is listed with a later birth", true)
	}
	return false, known
}

// takeOtherIncarnation takes the answer of another life to a renewal that was meant for a worker. It
// is what lives under the name now, whichever birth is the higher one: the answer is to a
// call that was sent after the worker was last heard of.
//
// What goes wrong if only the end of the earlier life is taken from it: starts that were
// meant for that one and that the other has carried out count as lost, and are made again
// beside the runs that are there, or after they have ended.
func (e *Engine) takeOtherIncarnation(w *worker, x *runner.OtherLife) {
	e.decide(Decision{What: "answer of another life", Worker: w.ID, Why: x.Error(), Age: e.now - w.answered})
	next := e.workers[x.ID]
	if next == nil {
		seen := w.Worker
		seen.ID = x.ID
		next = e.addWorker(seen)
		next.newInEpoch, next.rack = true, w.rack
		e.fleetChanged = true
	}
	name, startTime := x.ID.Life()
	e.latestStart[name] = startTime
	// The lease of what runs there was given by orders to the other life, by whose clock
	// it says nothing.
	next.expiry = max(next.expiry, e.now+leaseBound(e.o.Bounds.MaxLease))
	moveReported(next, w, &x.Report)
	e.removeWorker(w, "another life answers at its address", true)
	e.Renewed(e.now, next.ID, x.Report, nil)
}

// moveReported books on a life what it lists of the runs that were ordered from an earlier one.
func moveReported(next, w *worker, r *runner.Report) {
	move := func(task work.TaskID, run uint64) {
		if alloc := w.allocs[task]; alloc != nil && alloc.run == run {
			alloc.moveTo(next)
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
func (alloc *allocation) moveTo(w *worker) {
	alloc.w.drop(alloc)
	alloc.w = w
	w.take(alloc)
}

// mayStartLate reports whether an order to start a run may be carried out, or have been, by
// the next life under its worker's name. Where that life is known and can tell, an answer to
// the start does not say which of them gave it.
func (e *Engine) mayStartLate(alloc *allocation) bool {
	name, startTime := alloc.w.ID.Life()
	followed := e.latestStart[name] != startTime
	return startTime != 0 && alloc.tries > 0 && (alloc.confirmedAt == 0 || (followed && !alloc.reported))
}

// addLateStart keeps a run in doubt that was on its way to a worker whose life has ended.
func (e *Engine) addLateStart(w *worker, alloc *allocation) {
	alloc.state, alloc.orphanedAt = stopping, e.now
	name := w.ID.Name()
	e.lateStarts[name] = append(e.lateStarts[name], alloc)
}

// takeLateStarts books on a worker that has answered what may have been carried out there
// for an earlier life, and stops it: the answer says whether it can still begin.
func (e *Engine) takeLateStarts(w *worker) {
	if len(e.lateStarts) == 0 {
		return
	}
	name := w.ID.Name()
	for _, alloc := range e.lateStarts[name] {
		if alloc.task().alloc != alloc {
			continue
		}
		alloc.moveTo(w)
		e.sendStop(alloc)
	}
	delete(e.lateStarts, name)
}

// expireLateStarts releases runs in doubt of workers that do not come back: whatever was
// carried out late has ended with its lease.
func (e *Engine) expireLateStarts() {
	for name, all := range e.lateStarts {
		kept := all[:0]
		for _, alloc := range all {
			if e.now-alloc.orphanedAt > maxOrderDelay+leaseBound(e.o.Bounds.MaxLease) {
				e.release(alloc)
				continue
			}
			kept = append(kept, alloc)
		}
		if e.lateStarts[name] = kept; len(kept) == 0 {
			delete(e.lateStarts, name)
		}
	}
}

// incarnationOf returns the id of the life that an entry names: where it tells no birth, the life
// under its name that is known.
func (e *Engine) incarnationOf(id runner.WorkerID) runner.WorkerID {
	name, startTime := id.Life()
	if startTime != 0 {
		return id
	}
	return runner.LifeID(name, e.latestStart[name])
}

// unlistedByName takes the end of the entry of whichever life has a name.
func (e *Engine) unlistedByName(now time.Duration, id runner.WorkerID) {
	name, startTime := id.Life()
	if latest, known := e.latestStart[name]; known && startTime == 0 {
		e.WorkerUnlisted(now, runner.LifeID(name, latest))
	}
}
