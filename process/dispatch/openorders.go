package dispatch

import (
	"errors"
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/process/openorder"
	"fennelshunt.example/fennelshunt/process/quota"
	"fennelshunt.example/fennelshunt/version/work"
)

// Start orders that may still be carried out.
//
// A start without an answer is carried out by maxOrderDelay after it was sent, or never. Until then any incarnation under the
// worker's name may start the run, also if the run has been running, has ended or has been stopped on one before: package
// openorder has these orders. While the run is booked on a worker its order does no harm, since the incarnation that has the
// run, or has ended it, starts it no second time. Otherwise the task
//   - may start on the incarnation that refuses the order: should a later one carry it out, what runs here has ended;
//   - waits, as long as no incarnation is known to refuse it.
//
// An order is forgotten once it is too old and
//   - the incarnation that refuses it was there at that time or later;
//   - or nobody was there entryDelay after that time: no entry, and no answer;
//   - or the longest lease from that time has ended.
//
// An incarnation that answers is told to stop the runs of all orders under its name before it gets any work. A successor is
// told the orders with what is left of their time, and an incarnation that answers it refuses them by their epoch.

// toldTimeout is for how long a start waits for the list that tells of its earlier try. All tries together still stay
// within half of the time for which members of a gang wait.
const toldTimeout = 150 * time.Millisecond

// fence is the stop, on one incarnation, of a run that an order may start there.
type fence struct {
	o              *openorder.Order
	sent, answered time.Duration // the latest stop; answered is 0 before an answer
}

// noteOrdered records that the call of a start order has ended.
func (e *Engine) noteOrdered(id runner.WorkerID, task work.TaskID, run uint64, err error) {
	name, startTime := id.Incarnation()
	if startTime == 0 {
		return
	}
	if !errors.Is(err, runner.ErrUnknown) && !errors.Is(err, runner.ErrCopyOpen) {
		e.orders.Answered(name, task, run)
		return
	}
	// A relay that has accepted the order sends it within the time of a call. One that has not may send it at any time, but
	// the incarnation that it was meant for refuses it once the lease in it has expired.
	until := e.now + e.o.Bounds.maxStartTimeout() + maxOrderDelay
	if errors.Is(err, runner.ErrMayBeSent) || errors.Is(err, runner.ErrCopyOpen) {
		until = e.now + leaseBound(e.o.Bounds.MaxLease) + maxOrderDelay
	}
	o := e.orders.Unanswered(runner.Ref{ID: id}, task, run, e.now, until)
	e.noteOpenOrders()
	if next := e.currentOf(name); next != nil && next.ID != id {
		e.prolong(next, until)
		if next.fenced && o.RefusedBy != next.ID {
			e.fence(next, o)
		}
	}
}

// currentOf returns the current incarnation of a worker, nil if none is known.
func (e *Engine) currentOf(name string) *worker {
	return e.workers[runner.IncarnationID(name, e.latestStarts[name])]
}

// hold returns an order that may start a task of a step elsewhere than a start that is decided now, nil if there is none. The task
// may start on pin, if that is not nil.
func (e *Engine) hold(s *step, i int) (held *openorder.Order, pin *worker) {
	if s.spec.Speculative || !e.orders.OnStep(s.id()) {
		return nil, nil
	}
	for _, o := range e.orders.Of(s.taskID(i)) {
		w := e.workers[o.RefusedBy]
		if w == nil || s.spec.Gang || (pin != nil && pin != w) || e.awaitsTelling(o) {
			return o, nil
		}
		held, pin = o, w
	}
	return held, pin
}

// awaitsTelling reports whether no run of an order's task is to be started yet, since a successor would not know of the order: it
// would take the run for the only one that there can be.
func (e *Engine) awaitsTelling(o *openorder.Order) bool {
	return !o.Told && e.now < o.Ended+toldTimeout
}

// resend sends a start again that had no answer, once the list tells of the first try.
func (e *Engine) resend(alloc *allocation) {
	alloc.state = unconfirmed
	e.stats.Resent++
	if _, startTime := alloc.w.ID.Incarnation(); startTime == 0 {
		e.sendStart(alloc)
		return
	}
	alloc.tries++
	e.resends = append(e.resends, alloc)
}

// sendResends sends the starts again of whose earlier try the list tells.
func (e *Engine) sendResends() {
	e.resends = slices.DeleteFunc(e.resends, func(alloc *allocation) bool {
		if o := e.orders.Find(alloc.w.ID.Name(), alloc.id(), alloc.run); alloc.state == unconfirmed && o != nil && e.awaitsTelling(o) {
			return false
		}
		alloc.tries-- // sendStart counts it
		e.sendHeld(alloc)
		return true
	})
}

// heldAll reports whether orders keep a step from starting: one of a gang's tasks, else all that wait.
func (e *Engine) heldAll(s *step) bool {
	if s.spec.Speculative || len(s.pending) == 0 || !e.orders.OnStep(s.id()) {
		return false
	}
	held := func(i int) bool {
		o, pin := e.hold(s, i)
		return o != nil && pin == nil
	}
	if s.spec.Gang {
		return slices.ContainsFunc(s.pending, held)
	}
	return !slices.ContainsFunc(s.pending, func(i int) bool { return !held(i) })
}

// heldIfStopped reports whether the task of a run could not start on other workers at once if the run were stopped, or that of another
// member of its gang.
func (e *Engine) heldIfStopped(alloc *allocation) bool {
	s := alloc.s
	if s.spec.Speculative || !e.orders.OnStep(s.id()) {
		return false
	}
	open := func(i int) bool {
		return slices.ContainsFunc(e.orders.Of(s.taskID(i)), func(o *openorder.Order) bool { return !o.TooOld(e.now) })
	}
	if !s.spec.Gang {
		return open(alloc.index)
	}
	for i := range s.tasks {
		if open(i) {
			return true
		}
	}
	return false
}

// mayBeOnNext reports whether a run that is lost with its worker may be on the next incarnation: if that one has been seen, an answer
// to the start does not say which of the two gave it. Only a report of the earlier one that lists the run does.
func (e *Engine) mayBeOnNext(alloc *allocation) bool {
	name, startTime := alloc.w.ID.Incarnation()
	return startTime != 0 && alloc.ackAt > 0 && !alloc.reported && e.laterSeen(name, startTime)
}

// lists reports whether a report has the run of an order, in progress or ended.
func lists(r *runner.Report, o *openorder.Order) bool {
	return slices.ContainsFunc(r.Running, func(x runner.ActiveRun) bool { return x.Task == o.Task && x.Run == o.Run }) ||
		slices.ContainsFunc(r.Ended, func(x runner.Completion) bool { return x.Task == o.Task && x.Run == o.Run })
}

// settleOrders is called with each report of a worker. It notes which orders under its name the worker refuses, and has it stop the runs
// of the others.
func (e *Engine) settleOrders(w *worker, r *runner.Report, complete bool) {
	for _, o := range e.orders.ByName(w.ID.Name()) {
		alloc := w.allocs[o.Task]
		switch {
		case o.RefusedBy == w.ID:
		case alloc != nil && alloc.run >= o.Run && !o.TooOld(w.renewSent): // what becomes of it tells
		case o.TooOld(w.renewSent), o.Run <= e.nextRun(0), lists(r, o), complete && w.refused(o):
			e.orders.Refuse(o, w.Ref)
			e.scheduled = false
		default:
			e.fence(w, o)
		}
	}
	w.fences = slices.DeleteFunc(w.fences, func(f fence) bool {
		return f.o.RefusedBy == w.ID || e.orders.Find(w.ID.Name(), f.o.Task, f.o.Run) == nil
	})
}

// refused reports whether the worker has answered the stop of an order's run before the renewal was sent that it has answered last.
func (w *worker) refused(o *openorder.Order) bool {
	return slices.ContainsFunc(w.fences, func(f fence) bool { return f.o == o && f.answered > 0 && f.answered < w.renewSent })
}

// fence has a worker stop the run of an order. It gets no work until it has.
func (e *Engine) fence(w *worker, o *openorder.Order) {
	if slices.ContainsFunc(w.fences, func(f fence) bool { return f.o == o }) {
		return
	}
	w.expiry = max(w.expiry, e.now+leaseBound(e.o.Bounds.MaxLease)) // a start has a lease of its own
	w.fences = append(w.fences, fence{o: o})
	e.stats.OrdersFenced++
	e.decide(Decision{What: "start is refused in advance", Task: o.Task, Run: o.Run, Worker: w.ID, Why: "an order without an answer may start it here"})
	e.sendFence(w, &w.fences[len(w.fences)-1])
}

func (e *Engine) sendFence(w *worker, f *fence) {
	f.sent = e.now
	e.stats.Stops++
	e.effects = append(e.effects, SendStop{To: w.Ref, Task: f.o.Task, Run: f.o.Run})
}

// tickFences sends the stops again that have not been answered.
func (e *Engine) tickFences(w *worker) {
	for i := range w.fences {
		if f := &w.fences[i]; f.answered == 0 && e.now-f.sent >= stopRetry {
			e.sendFence(w, f)
		}
	}
}

// fenceAnswered records that a worker has answered the stop of a run.
func (e *Engine) fenceAnswered(w *worker, task work.TaskID, run uint64) {
	for i := range w.fences {
		if f := &w.fences[i]; f.o.Task == task && f.o.Run == run {
			f.answered = e.now
			w.nextRenew = min(w.nextRenew, e.now)
		}
	}
}

// forgetOrders forgets the orders that are too old, once nothing that they may have started can be left.
func (e *Engine) forgetOrders() {
	for _, o := range e.orders.All() {
		w := e.workers[o.RefusedBy]
		switch {
		case !o.TooOld(e.now):
		case w != nil && w.aliveAt >= o.Until && !w.hasUntracked(o.Task),
			w == nil && e.now > e.orders.LeaseCalls(o)+leaseBound(e.o.Bounds.MaxLease):
			e.forgetOrder(o)
		}
	}
}

func (e *Engine) forgetOrder(o *openorder.Order) {
	e.orders.Remove(o)
	e.scheduled = false
	if e.holdsTask(o) {
		e.decide(Decision{What: "start can no longer be carried out", Task: o.Task, Run: o.Run, Worker: o.To.ID, Age: e.now - o.Ended})
	}
}

// hasUntracked reports whether a run of a task is being stopped on the worker that no start has been booked for.
func (w *worker) hasUntracked(task work.TaskID) bool {
	return slices.ContainsFunc(w.untracked, func(x untrackedRun) bool { return x.task == task })
}

// holdsTask reports whether a task that is to be started waits for an order, or may start on one worker only.
func (e *Engine) holdsTask(o *openorder.Order) bool {
	s := e.jobs[o.Task.Job].step(o.Task)
	return s != nil && s.job.active() && !s.spec.Speculative && !s.tasks[o.Task.Index].done && s.tasks[o.Task.Index].alloc == nil
}

// countHeld returns how many tasks wait for an order or may start on one worker only.
func (e *Engine) countHeld() (n uint64) {
	tasks := map[work.TaskID]bool{}
	for _, o := range e.orders.All() {
		if !tasks[o.Task] && e.holdsTask(o) {
			tasks[o.Task] = true
			n++
		}
	}
	return n
}

// countOpen adds up, by account, what orders may start beside the runs that are booked.
func (e *Engine) countOpen(sums map[*quota.Account]quota.Size) {
	tasks := map[work.TaskID]bool{}
	for _, o := range e.orders.All() {
		j := e.jobs[o.Task.Job]
		if j == nil || tasks[o.Task] || e.workers[o.RefusedBy] != nil {
			continue
		}
		if s := j.step(o.Task); s != nil && s.tasks[o.Task.Index].alloc != nil {
			continue
		}
		tasks[o.Task] = true
		a := e.ledger.Account(j.spec.Account)
		sums[a] = sums[a].Add(j.sizeOf(o.Task.Step))
	}
}

// prolong notes that calls may be carried out until a time that renew the lease of an incarnation, though they were made to an earlier one.
// How long the lease then lasts is not known, since they name a time of another clock.
func (e *Engine) prolong(w *worker, until time.Duration) {
	w.lateUntil = max(w.lateUntil, until)
	w.expiry = max(w.expiry, w.lateUntil+leaseBound(e.o.Bounds.MaxLease))
}

// explainLate returns the open orders that hold a step's tasks, those of an earlier leader included.
func (e *Engine) explainLate(s *step) (all []LateStart) {
	ends := func(at time.Duration) int64 { return max((at - e.now).Milliseconds(), 0) }
	for i := range s.tasks {
		held, pin := e.hold(s, i)
		if held == nil || s.tasks[i].alloc != nil || s.tasks[i].done {
			continue
		}
		x := LateStart{Index: i, Worker: string(held.To.ID), EndsMS: ends(e.orderEnd(held)), Refused: pin != nil}
		if held.Ended > 0 {
			x.AgeMS = (e.now - held.Ended).Milliseconds()
		}
		all = append(all, x)
	}
	for _, w := range e.workerList {
		if !w.inherited || w.ordersEnd == 0 {
			continue
		}
		for _, id := range w.mayRun {
			listed := slices.ContainsFunc(all, func(x LateStart) bool { return x.Index == id.Index })
			if s.job.step(id) == s && !listed {
				all = append(all, LateStart{Index: id.Index, Worker: string(w.ID), EndsMS: ends(w.ordersEnd)})
			}
		}
	}
	return all
}
