package dispatch

import (
	"time"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/version/work"
)

// Incarnations: workers that restart under the same name.
//
// Workers crash and are back after seconds, while start orders are in flight to them. An order
// that was sent to the earlier incarnation can then be carried out by the later one, which has
// its name; if the task counted as lost with the earlier incarnation, it would run twice.

// maxOrderDelay is how long after it was sent an unanswered order may still be carried out.
const maxOrderDelay = 12 * time.Second

// noteIncarnation records that an incarnation has been seen. It reports whether the incarnation is
// older than the latest known one, and returns an earlier one that it follows.
func (e *Engine) noteIncarnation(id runner.WorkerID) (older bool, before *worker) {
	name, startTime := id.Incarnation()
	if startTime == 0 {
		return false, nil
	}
	latest, known := e.latestStarts[name]
	if known && startTime <= latest {
		return startTime < latest, nil
	}
	e.latestStarts[name] = startTime
	if known {
		before = e.workers[runner.IncarnationID(name, latest)]
	}
	return false, before
}

// takeOtherIncarnation handles the answer of another incarnation to a renewal that was sent to
// w. The one that answered is the current one, whichever start time is higher, because the
// call was sent after w last answered.
//
// The runs that it reports are taken over from w. If w were only removed, starts that were
// sent to w and carried out by the other incarnation would count as lost, and be repeated
// beside the runs that exist, or after these have ended.
func (e *Engine) takeOtherIncarnation(w *worker, x *runner.IncarnationError) {
	e.decide(Decision{What: "answer of another incarnation", Worker: w.ID, Why: x.Error(), Age: e.now - w.answered})
	next := e.workers[x.ID]
	e.forgetClaim(next)
	if next == nil {
		seen := w.Worker
		seen.ID = x.ID
		next = e.addWorker(seen)
		next.newInEpoch, next.rack = w.fenced, w.rack
		next.renewSent = w.renewSent // the call that it has answered
		e.labelSpeed(next)
		e.fleetChanged = true
	}
	name, startTime := x.ID.Incarnation()
	e.latestStarts[name] = startTime
	// The runs there got their leases from orders to w, whose clock says nothing about when
	// those leases end.
	next.expiry = max(next.expiry, e.now+leaseBound(e.o.Bounds.MaxLease))
	e.inheritLateOrders(w, next)
	moveReported(next, w, &x.Report)
	e.removeWorker(w, "another incarnation answers at its address", true)
	e.Renewed(e.now, next.ID, x.Report, nil)
}

// inheritLateOrders notes that unanswered orders of this epoch to w may still renew the lease of its next incarnation.
func (e *Engine) inheritLateOrders(w, next *worker) {
	for _, o := range e.orders.ByName(w.ID.Name()) {
		w.lateUntil = max(w.lateUntil, e.orderEnd(o))
	}
	if w.lateUntil > e.now {
		e.prolong(next, w.lateUntil)
	}
}

// moveReported moves the runs that next reports, but whose start orders were sent to the
// earlier incarnation w, from w to next.
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

// moveTo books a run on the next incarnation of its worker, which has not answered a stop of it.
func (alloc *allocation) moveTo(w *worker) {
	alloc.w.drop(alloc)
	alloc.w, alloc.stopAckedAt = w, 0
	w.take(alloc)
}

// incarnationOf returns the id of the incarnation that an entry names: without a start time,
// the latest known one of that name.
func (e *Engine) incarnationOf(id runner.WorkerID) runner.WorkerID {
	name, startTime := id.Incarnation()
	if startTime != 0 {
		return id
	}
	return runner.IncarnationID(name, e.latestStarts[name])
}

// unlistedByName handles the removal of a directory entry that names no incarnation.
func (e *Engine) unlistedByName(now time.Duration, id runner.WorkerID) {
	name, startTime := id.Incarnation()
	if startTime != 0 {
		return
	}
	if c := e.claims[name]; c != nil {
		e.WorkerUnlisted(now, c.ID)
	}
	if latest, known := e.latestStarts[name]; known {
		e.WorkerUnlisted(now, runner.IncarnationID(name, latest))
	}
}
