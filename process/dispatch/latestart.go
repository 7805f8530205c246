package dispatch

import (
	"maps"
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/version/work"
)

// Starts that may be carried out late, after the incarnation of the worker that they were sent to has ended.
//
// An order is carried out by maxOrderDelay after it was sent, or never. Until then a later incarnation under the
// worker's name may start the run. From then on the run can only be on an incarnation that was there before,
// which has either an entry in the directory or an answer at its address, and its lease ends all that it runs.
// The task is held until one of these is known:
//   - a later incarnation has answered, and refuses the run or lists it;
//   - nobody was there entryDelay after the last moment: no entry, and no answer;
//   - the longest lease from that moment has ended.
//
// What counts is the age of the order. A successor is told what is left of its time, and does not begin anew.

const (
	// entryDelay is by when a worker that has started and reaches the store has an entry in the directory.
	entryDelay = 2 * time.Second
	// lookupPause is between two lookups of the same worker.
	lookupPause = 500 * time.Millisecond
)

// addLateStart keeps an unconfirmed run that was in flight to a worker whose incarnation, or lease, has
// ended. It is no longer booked there.
func (e *Engine) addLateStart(w *worker, alloc *allocation) {
	alloc.state = stopping
	if alloc.orphanedAt == 0 { // no order has been sent since
		alloc.orphanedAt = e.now
	}
	ended := *w
	ended.used, ended.allocs, ended.removed = work.Resources{}, map[work.TaskID]*allocation{}, true
	alloc.moveTo(&ended)
	name := w.ID.Name()
	e.lateStarts[name] = append(e.lateStarts[name], alloc)
	e.fleetChanged, e.cordonsChanged = true, true
}

// lateUntil returns when the start orders of a run can no longer be carried out. While it is not known that the last one
// has been sent, the end of the worker's lease counts, which is several seconds later.
func (e *Engine) lateUntil(alloc *allocation) time.Duration {
	if alloc.calls > 0 || alloc.mayBeSent {
		return alloc.orphanedAt + maxOrderDelay
	}
	return alloc.orderedAt + e.o.Bounds.maxStartTimeout() + maxOrderDelay // a relay that has accepted it sends it within its call's time
}

// lateWorker is a worker that has ended, with the tasks that its next incarnation may start late until a time.
type lateWorker struct {
	ref   runner.Ref
	tasks []work.TaskID
	until time.Duration
}

// lateTasks returns the tasks of the late starts, in a fixed order.
func (e *Engine) lateTasks() (all []lateWorker) {
	for _, name := range slices.Sorted(maps.Keys(e.lateStarts)) {
		for _, alloc := range e.lateStarts[name] {
			i := slices.IndexFunc(all, func(x lateWorker) bool { return x.ref.ID == alloc.w.ID })
			if i < 0 {
				i = len(all)
				all = append(all, lateWorker{ref: runner.Ref{ID: alloc.w.ID, Address: alloc.w.Address}})
			}
			all[i].tasks = append(all[i].tasks, alloc.id())
			all[i].until = max(all[i].until, e.lateUntil(alloc))
		}
	}
	return all
}

// millisUntil returns the milliseconds until a time, at least 1.
func (e *Engine) millisUntil(at time.Duration) int64 { return max((at - e.now).Milliseconds(), 1) }

// inheritLate takes over what an earlier epoch knew about late orders to a worker. The list is written again, so that a
// further successor does not wait for all of the time anew.
func (e *Engine) inheritLate(w *worker, x *cordonedWorker) {
	left := time.Duration(x.LateMS) * time.Millisecond
	if !x.Late {
		w.unanswered, w.unansweredEnd = x.Unanswered, e.now+left
		return
	}
	if x.LateMS <= 0 {
		left = maxOrderDelay
	}
	w.expiry = max(w.expiry, e.now+left+e.inheritedLease())
	if x.LateMS > 0 && x.Ended {
		w.ordersEnd = e.now + left
		e.cordonsChanged = true
	}
}

// unanswered returns the tasks that may run on a silent worker and of which a start has no answer, and when these starts
// can no longer be carried out.
func (e *Engine) unanswered(w *worker) (all []work.TaskID, until time.Duration) {
	if w.inherited {
		return w.unanswered, w.unansweredEnd
	}
	for _, alloc := range sortedAllocs(w) {
		if !e.mayStartLate(alloc) {
			continue
		}
		all = append(all, alloc.id())
		if end := e.lateUntil(alloc); alloc.calls == 0 && !alloc.mayBeSent {
			until = max(until, end)
			continue
		}
		until = max(until, e.now+e.o.Bounds.maxStartTimeout()+maxOrderDelay)
	}
	return all, until
}

// noteAnswered has the list written again when all starts have been answered that it names as unanswered, so that a successor
// does not hold their tasks for as long as these could be late.
func (e *Engine) noteAnswered(w *worker) {
	if !w.toldUnanswered || !w.cordoned {
		return
	}
	if all, _ := e.unanswered(w); len(all) == 0 {
		w.toldUnanswered, e.cordonsChanged = false, true
	}
}

// holdUnanswered is called when an inherited worker's lease has certainly expired. It keeps holding the tasks of which a start
// had no answer, as long as that may be carried out, and reports whether there are any.
func (e *Engine) holdUnanswered(w *worker) bool {
	if !w.inherited || len(w.unanswered) == 0 || e.now >= w.unansweredEnd {
		return false
	}
	held, end := w.unanswered, w.unansweredEnd
	for _, task := range w.mayRun {
		if !slices.Contains(held, task) {
			e.noLongerMayRun(task)
		}
	}
	w.mayRun, w.unanswered, w.lateOrders = held, nil, true
	w.ordersEnd, w.expiry = end, end+leaseBound(e.o.Bounds.MaxLease)
	e.cordonsChanged, e.scheduled = true, false
	e.decide(Decision{What: "starts may be carried out late", Worker: w.ID, Why: "its lease has expired, and they had no answer"})
	return true
}

// takeLateStarts is called when a worker has answered. It books on the worker the runs that it
// may have started from orders to an earlier incarnation, and stops them: the answer to the
// stop says whether the run can still start.
func (e *Engine) takeLateStarts(w *worker) {
	if len(e.lateStarts) == 0 {
		return
	}
	name := w.ID.Name()
	if len(e.lateStarts[name]) == 0 {
		return
	}
	for _, alloc := range e.lateStarts[name] {
		if alloc.task().alloc != alloc {
			continue
		}
		alloc.moveTo(w)
		e.sendStop(alloc)
		w.expiry = max(w.expiry, e.now+leaseBound(e.o.Bounds.MaxLease)) // a start has a lease of its own
	}
	delete(e.lateStarts, name)
	e.fleetChanged, e.cordonsChanged = true, true
}

// expireLateStarts releases late starts of workers that do not come back: a run that was
// started late has ended with its lease.
func (e *Engine) expireLateStarts() {
	e.releaseLate(func(_ string, alloc *allocation) bool {
		// An unanswered renewal may have been carried out late as well.
		return e.now > max(e.lateUntil(alloc), alloc.w.lateUntil)+leaseBound(e.o.Bounds.MaxLease)
	})
}

// releaseLate releases the late starts for which over is true, and returns their number.
func (e *Engine) releaseLate(over func(name string, alloc *allocation) bool) (n int) {
	for _, name := range slices.Sorted(maps.Keys(e.lateStarts)) {
		var kept []*allocation
		for _, alloc := range e.lateStarts[name] {
			if !over(name, alloc) {
				kept = append(kept, alloc)
				continue
			}
			n++
			e.release(alloc)
			e.fleetChanged, e.cordonsChanged = true, true
		}
		if e.lateStarts[name] = kept; len(kept) == 0 {
			delete(e.lateStarts, name)
		}
	}
	return n
}

// explainLate returns the late starts of a step's tasks, those of an earlier leader included.
func (e *Engine) explainLate(s *step) (all []LateStart) {
	ends := func(at time.Duration) int64 { return max((at - e.now).Milliseconds(), 0) }
	for i := range s.tasks {
		if alloc := s.tasks[i].alloc; alloc != nil && slices.Contains(e.lateStarts[alloc.w.ID.Name()], alloc) {
			x := LateStart{Index: i, Worker: string(alloc.w.ID), EndsMS: ends(e.lateUntil(alloc))}
			if alloc.orderedAt > 0 {
				x.AgeMS = (e.now - alloc.orderedAt).Milliseconds()
			}
			all = append(all, x)
		}
	}
	for _, w := range e.workerList {
		if !w.inherited || w.ordersEnd == 0 {
			continue
		}
		for _, id := range w.mayRun {
			if s.job.step(id) == s {
				all = append(all, LateStart{Index: id.Index, Worker: string(w.ID), EndsMS: ends(w.ordersEnd)})
			}
		}
	}
	return all
}

// lookup is the state of the lookups of a worker that has ended.
type lookup struct {
	inFlight bool
	sent     time.Duration
	next     time.Duration
}

// Lookup is what a LookUpWorker has found. Err is that the directory could not be read; Listed is then not known.
type Lookup struct {
	Listed  bool
	Answers bool
	Err     error
}

// lookUpEnded looks for the workers that have ended once no order to them can be carried out any more.
func (e *Engine) lookUpEnded() {
	for name, l := range e.lookups {
		if !l.inFlight && len(e.lateStarts[name]) == 0 && e.now > l.next {
			delete(e.lookups, name)
		}
	}
	for _, x := range e.lateTasks() {
		e.lookUp(x.ref, x.until)
	}
	for _, w := range e.workerList {
		if w.inherited && w.ordersEnd > 0 && !w.listed {
			e.lookUp(w.Ref, w.ordersEnd)
		}
	}
}

// lookUp looks for a worker that has ended, unless a later incarnation has been seen, which may have the run.
func (e *Engine) lookUp(ref runner.Ref, until time.Duration) {
	name, startTime := ref.ID.Incarnation()
	if e.laterSeen(name, startTime) || e.now < until+entryDelay {
		return
	}
	l := e.lookups[name]
	if l == nil {
		l = &lookup{}
		e.lookups[name] = l
	}
	if l.inFlight || e.now < l.next {
		return
	}
	l.inFlight, l.sent, l.next = true, e.now, e.now+lookupPause
	e.effects = append(e.effects, LookUpWorker{Ref: ref})
}

// LookedUp handles the outcome of a LookUpWorker.
func (e *Engine) LookedUp(now time.Duration, id runner.WorkerID, found Lookup) {
	e.now = now
	name, startTime := id.Incarnation()
	l := e.lookups[name]
	if l == nil || !l.inFlight {
		return
	}
	l.inFlight = false
	if found.Err != nil || found.Listed || found.Answers || e.laterSeen(name, startTime) {
		return
	}
	n := e.releaseLate(func(other string, alloc *allocation) bool {
		return other == name && alloc.w.ID == id && l.sent >= e.lateUntil(alloc)+entryDelay
	})
	if n > 0 {
		e.stats.LateStartsGone += uint64(n)
		e.decide(Decision{What: "late starts can no longer be carried out", Worker: id, Why: "it has no entry and does not answer, nor does a later incarnation"})
	}
	if w := e.workers[id]; w != nil && w.inherited && w.ordersEnd > 0 && !w.listed && l.sent >= w.ordersEnd+entryDelay {
		e.stats.LateStartsGone += uint64(len(w.mayRun))
		e.removeWorker(w, "orders to it can no longer be carried out, and nobody is there", true)
	}
}
