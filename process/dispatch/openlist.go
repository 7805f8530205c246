package dispatch

import (
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/openorder"
	"fennelshunt.example/fennelshunt/version/work"
)

// What a successor is told about open orders: a list of them all, and in the lists of workers those that hold tasks on workers that
// have ended, or that are silent.

const (
	// ordersPause is between two writes of the list of open orders that add some, and ordersCleanup between those that
	// only have fewer.
	ordersPause   = 100 * time.Millisecond
	ordersCleanup = 2 * time.Second
)

// lateWorker is a worker that has ended, with the tasks that its next incarnation may start late until a time.
type lateWorker struct {
	ref   runner.Ref
	tasks []work.TaskID
	until time.Duration
}

// lateTasks returns the tasks that wait since no incarnation is known to refuse an order, in a fixed order.
func (e *Engine) lateTasks() (all []lateWorker) {
	for _, o := range e.orders.All() {
		if e.workers[o.RefusedBy] != nil || !e.holdsTask(o) {
			continue
		}
		i := slices.IndexFunc(all, func(x lateWorker) bool { return x.ref.ID == o.To.ID })
		if i < 0 {
			i = len(all)
			all = append(all, lateWorker{ref: o.To})
		}
		all[i].tasks = append(all[i].tasks, o.Task)
		all[i].until = max(all[i].until, e.orderEnd(o))
	}
	return all
}

// orderEnd returns when an order is too old, at the latest.
func (e *Engine) orderEnd(o *openorder.Order) time.Duration {
	if o.InFlight() {
		return max(o.Until, e.now+e.o.Bounds.maxStartTimeout()+maxOrderDelay)
	}
	return o.Until
}

// openRecord lists the open orders of tasks that are not done, for a successor.
type openRecord struct {
	Orders []toldOrder `cbor:"1,keyasint"`
}

// toldOrder is an open order as it is stored.
type toldOrder struct {
	To   runner.Ref  `cbor:"1,keyasint"`
	Task work.TaskID `cbor:"2,keyasint"`
	Run  uint64      `cbor:"3,keyasint"`
	// LateMS is for how many milliseconds from when the list was written it may still be carried out.
	LateMS int64 `cbor:"4,keyasint"`
	// Refused: the incarnation To refuses it.
	Refused bool `cbor:"5,keyasint,omitempty"`
}

// lateEnded returns those of lateTasks on workers that have ended.
func (e *Engine) lateEnded(late []lateWorker) []lateWorker {
	return slices.DeleteFunc(slices.Clone(late), func(x lateWorker) bool { return e.workers[x.ref.ID] != nil })
}

// noteOpenOrders has the list of open orders written when it has changed, seldom enough for a store that takes few writes, and the lists
// of workers once fewer that have ended hold a task.
func (e *Engine) noteOpenOrders() {
	if e.endedTold > 0 && len(e.lateEnded(e.lateTasks())) < e.endedTold {
		e.fleetChanged, e.cordonsChanged = true, true
	}
	e.ordersAdded = e.orders.TakeAdded() || e.ordersAdded
	pause := ordersCleanup
	if e.ordersAdded {
		pause = ordersPause
	}
	if e.now < e.ordersToldAt+pause || (!e.ordersAdded && e.ordersTold == 0) {
		return
	}
	e.ordersAdded, e.ordersChanged, e.ordersToldAt = false, true, e.now
}

// openList returns the list of open orders as it is stored, and until when it has each.
func (e *Engine) openList() (r openRecord, told map[*openorder.Order]time.Duration) {
	told = map[*openorder.Order]time.Duration{}
	for _, o := range e.orders.All() {
		s := e.jobs[o.Task.Job].step(o.Task)
		if (o.Until == 0 && !e.holdsTask(o)) || o.TooOld(e.now) || s == nil || !s.job.active() || s.tasks[o.Task.Index].done {
			continue
		}
		told[o] = o.Until
		r.Orders = append(r.Orders, toldOrder{To: o.To, Task: o.Task, Run: o.Run, LateMS: e.millisUntil(e.orderEnd(o)), Refused: o.RefusedBy == o.To.ID})
	}
	e.ordersTold = len(r.Orders)
	return r, told
}

// loadOpen takes over the open orders of an earlier epoch.
func (e *Engine) loadOpen(entry store.Entry) error {
	var r openRecord
	if err := peer.Unmarshal(entry.Value, &r); err != nil {
		return err
	}
	e.ordersTold = len(r.Orders)
	for i := range r.Orders {
		x := &r.Orders[i]
		o := e.orders.Add(x.To, x.Task, x.Run, e.now+time.Duration(x.LateMS)*time.Millisecond)
		if x.Refused {
			e.orders.Refuse(o, x.To)
		}
	}
	return nil
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

// unanswered returns the tasks that may run on a silent worker and of which an order is open, and when these orders are too old.
func (e *Engine) unanswered(w *worker) (all []work.TaskID, until time.Duration) {
	if w.inherited {
		return w.unanswered, w.unansweredEnd
	}
	for _, alloc := range sortedAllocs(w) {
		open := e.mayBeOnNext(alloc)
		for _, o := range e.orders.Of(alloc.id()) {
			open, until = true, max(until, e.orderEnd(o))
		}
		if open {
			all = append(all, alloc.id())
		}
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
