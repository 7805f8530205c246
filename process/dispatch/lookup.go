package dispatch

import (
	"time"

	"fennelshunt.example/fennelshunt/connection/runner"
)

// Lookups of workers that have ended, by which an open order is known not to be carried out: nobody was there.

const (
	// entryDelay is by when a worker that has started and reaches the store has an entry in the directory.
	entryDelay = 2 * time.Second
	// lookupPause is between two lookups of the same worker.
	lookupPause = 500 * time.Millisecond
)

// lookup is the state of the lookups of a worker that has ended.
type lookup struct {
	inFlight bool
	address  string
	sent     time.Duration
	next     time.Duration
}

// Lookup is what a LookUpWorker has found. Err is that the directory could not be read; Listed is then not known. Other is the
// incarnation that answers, if it is another one.
type Lookup struct {
	Listed  bool
	Answers bool
	Other   runner.WorkerID
	Err     error
}

// lookUpEnded looks for the workers that have ended once no order to them can be carried out any more.
func (e *Engine) lookUpEnded() {
	for name, l := range e.lookups {
		if !l.inFlight && len(e.orders.ByName(name)) == 0 && e.now > l.next {
			delete(e.lookups, name)
		}
	}
	for _, o := range e.orders.All() {
		if w := e.workers[o.To.ID]; o.TooOld(e.now) && (w == nil || w.misses > 0) {
			e.lookUp(o.To, o.Until)
		}
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
	l.inFlight, l.sent, l.next, l.address = true, e.now, e.now+lookupPause, ref.Address
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
	if _, started := found.Other.Incarnation(); started != 0 && !e.contested(found.Other) && e.workers[found.Other] == nil {
		// It has no entry yet, and is asked at once to refuse the orders under its name.
		e.WorkerSeen(now, runner.Worker{Ref: runner.Ref{ID: found.Other, Address: l.address}})
		e.workers[found.Other].listed = false
	}
	if found.Err != nil || found.Listed || found.Answers || e.laterSeen(name, startTime) {
		return
	}
	for _, o := range e.orders.ByName(name) {
		if o.To.ID != id || !o.TooOld(e.now) || l.sent < o.Until+entryDelay {
			continue
		}
		if e.holdsTask(o) {
			e.stats.LateStartsGone++
		}
		e.forgetOrder(o)
	}
	if w := e.workers[id]; w != nil && w.inherited && w.ordersEnd > 0 && !w.listed && l.sent >= w.ordersEnd+entryDelay {
		e.stats.LateStartsGone += uint64(len(w.mayRun))
		e.removeWorker(w, "orders to it can no longer be carried out, and nobody is there", true)
	}
}
