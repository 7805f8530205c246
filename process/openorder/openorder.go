// Package openorder remembers the start orders that may still be carried out.
//
// A call without an answer may be carried out until it is too old, by whichever incarnation of its worker is there then. What
// one incarnation says, that it has the run, has ended it or refuses it, binds no later one. So an order stays open, whatever
// becomes of the run, until it is too old and nothing that it may have started can be left.
//
// Guarantees of a Book:
//   - an order is kept from before its call is made until the call was answered, or Remove is called;
//   - an incarnation counts as refusing an order only from Refused until Gone, and no other one with it;
//   - the orders of a task and of a worker name are given in the order in which they were first sent.
//
// Times are those of the engine that uses it.
package openorder

import (
	"maps"
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/version/work"
)

// Order is a run that calls have ordered a worker to start.
type Order struct {
	Task work.TaskID
	Run  uint64
	// To is the latest incarnation that was ordered to start the run, or that refuses it.
	To runner.Ref
	// Until is from when on none of the calls that have ended can be carried out any more, 0 if none of them is open.
	Until time.Duration
	// Ended is when the last call without an answer had ended, 0 if that is not known.
	Ended time.Duration
	// RefusedBy is the incarnation that certainly does not start the run any more, "" for none.
	RefusedBy runner.WorkerID
	// Told: the list that is stored for a successor has it, with this Until or a later one.
	Told bool

	calls int // on their way
}

// InFlight reports whether a call is on its way, so that it is not known from when on it is too old.
func (o *Order) InFlight() bool { return o.calls > 0 }

// TooOld reports whether the order cannot be carried out any more.
func (o *Order) TooOld(now time.Duration) bool { return !o.InFlight() && now >= o.Until }

// Book holds open orders. It is not safe for concurrent use.
type Book struct {
	byTask map[work.TaskID][]*Order
	byName map[string][]*Order
	steps  map[work.TaskID]int      // orders by step, under the id of its first task
	leases map[string]time.Duration // by worker name, see ProlongLeases
	open   int                      // orders with an Until
	added  bool                     // see TakeAdded
}

// New returns an empty Book.
func New() *Book {
	return &Book{byTask: map[work.TaskID][]*Order{}, byName: map[string][]*Order{}, steps: map[work.TaskID]int{}, leases: map[string]time.Duration{}}
}

// Len returns the number of orders.
func (b *Book) Len() int {
	n := 0
	for _, all := range b.byName {
		n += len(all)
	}
	return n
}

// AnyOpen reports whether there are orders beside those that are on their way for the first time.
func (b *Book) AnyOpen() bool { return b.open > 0 }

// Of returns the orders of a task. The caller must not change the slice.
func (b *Book) Of(task work.TaskID) []*Order { return b.byTask[task] }

// OnStep reports whether there are orders of any task of a step.
func (b *Book) OnStep(task work.TaskID) bool { return len(b.steps) > 0 && b.steps[stepOf(task)] > 0 }

// ByName returns the orders to a worker's incarnations, in a slice of its own.
func (b *Book) ByName(name string) []*Order { return slices.Clone(b.byName[name]) }

// All returns all orders, sorted by worker name, in a slice of its own.
func (b *Book) All() (all []*Order) {
	for _, name := range slices.Sorted(maps.Keys(b.byName)) {
		all = append(all, b.byName[name]...)
	}
	return all
}

// Find returns the order of a run to a worker, nil if there is none.
func (b *Book) Find(name string, task work.TaskID, run uint64) *Order {
	for _, o := range b.byTask[task] {
		if o.Run == run && o.To.ID.Name() == name {
			return o
		}
	}
	return nil
}

// Sent records that a call with an order is about to be made.
func (b *Book) Sent(to runner.Ref, task work.TaskID, run uint64) { b.get(to, task, run).calls++ }

// Answered records that a call has ended with an answer, or was certainly not made.
func (b *Book) Answered(name string, task work.TaskID, run uint64) {
	if o := b.Find(name, task, run); o != nil && o.calls > 0 {
		if o.calls--; o.calls == 0 && o.Until == 0 {
			b.Remove(o)
		}
	}
}

// Unanswered records that a call has ended at now without an answer, and may be carried out until a time. It returns the order.
func (b *Book) Unanswered(to runner.Ref, task work.TaskID, run uint64, now, until time.Duration) *Order {
	o := b.Find(to.ID.Name(), task, run)
	if o == nil {
		o = b.get(to, task, run)
	}
	o.calls = max(o.calls-1, 0)
	o.Ended = now
	b.prolong(o, until)
	return o
}

// Add records an order of which no call is known. What it may start, it starts until a time.
func (b *Book) Add(to runner.Ref, task work.TaskID, run uint64, until time.Duration) *Order {
	o := b.get(to, task, run)
	b.prolong(o, until)
	return o
}

func (b *Book) prolong(o *Order, until time.Duration) {
	if o.Until == 0 {
		b.open++
	}
	o.Until, o.Told = max(o.Until, until, 1), false
	b.added = true
}

// Refused records that an incarnation does not start any run of a task up to one that it has ended or stopped.
func (b *Book) Refused(by runner.Ref, task work.TaskID, run uint64) {
	name := by.ID.Name()
	for _, o := range b.byTask[task] {
		if o.Run <= run && o.To.ID.Name() == name {
			b.Refuse(o, by)
		}
	}
}

// Refuse records that an incarnation under the order's name does not start the run any more, or has it.
func (b *Book) Refuse(o *Order, by runner.Ref) { o.RefusedBy, o.To = by.ID, by }

// Gone records that an incarnation has ended, or that it is not known any more what it refuses.
func (b *Book) Gone(id runner.WorkerID) {
	for _, o := range b.byName[id.Name()] {
		if o.RefusedBy == id {
			o.RefusedBy = ""
		}
	}
}

// Remove forgets an order.
func (b *Book) Remove(o *Order) {
	if o.Until > 0 {
		b.open--
	}
	drop(b.byTask, o.Task, o)
	drop(b.byName, o.To.ID.Name(), o)
	if len(b.byName[o.To.ID.Name()]) == 0 {
		delete(b.leases, o.To.ID.Name())
	}
	step := stepOf(o.Task)
	if b.steps[step]--; b.steps[step] == 0 {
		delete(b.steps, step)
	}
}

// ProlongLeases records that calls to a worker that renew its lease may be carried out until a time.
func (b *Book) ProlongLeases(name string, until time.Duration) {
	if len(b.byName[name]) > 0 {
		b.leases[name] = max(b.leases[name], until)
	}
}

// LeaseCalls returns until when calls may be carried out that renew the lease of what an order has started.
func (b *Book) LeaseCalls(o *Order) time.Duration { return max(o.Until, b.leases[o.To.ID.Name()]) }

// TakeAdded reports whether an order has become open since the last call.
func (b *Book) TakeAdded() bool {
	added := b.added
	b.added = false
	return added
}

func (b *Book) get(to runner.Ref, task work.TaskID, run uint64) *Order {
	if o := b.Find(to.ID.Name(), task, run); o != nil {
		o.To = to
		return o
	}
	o := &Order{Task: task, Run: run, To: to}
	b.byTask[task] = append(b.byTask[task], o)
	b.byName[to.ID.Name()] = append(b.byName[to.ID.Name()], o)
	b.steps[stepOf(task)]++
	return o
}

// stepOf identifies a task's step by the id of its first task.
func stepOf(task work.TaskID) work.TaskID {
	task.Index = 0
	return task
}

// drop removes an order from a list of a map.
func drop[K comparable](m map[K][]*Order, key K, o *Order) {
	if m[key] = slices.DeleteFunc(m[key], func(x *Order) bool { return x == o }); len(m[key]) == 0 {
		delete(m, key)
	}
}
