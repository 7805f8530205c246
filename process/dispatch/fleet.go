package dispatch

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/version/work"
)

// The list of workers that is kept for a successor: which ones were used, which of them are
// cordoned, and which tasks may run on those.
//
// Without it, after a change of the leader while workers are removed, unreachable or draining,
// any waiting task might run on one of them, so none could start for the eight seconds after
// which their leases have certainly expired.

// fleetRecord lists the workers that the leader may have started tasks on.
type fleetRecord struct {
	Workers []runner.Ref `cbor:"1,keyasint"`
	// Cordoned is written by earlier versions, which do not list what may run there.
	Cordoned []runner.WorkerID `cbor:"2,keyasint,omitempty"`
}

// cordonRecord lists the cordoned workers: nothing is started on them until the list is
// written again without them.
type cordonRecord struct {
	Workers []cordonedWorker `cbor:"1,keyasint"`
}

// cordonedWorker is a worker with all tasks that may run there, or have completed there
// without that being stored. Those that complete later stay listed.
type cordonedWorker struct {
	ID    runner.WorkerID `cbor:"1,keyasint"`
	Tasks []work.TaskID   `cbor:"2,keyasint,omitempty"`
	// Suspects are the runs that may have crashed it, if it has crashed.
	Suspects []suspectRun `cbor:"3,keyasint,omitempty"`
	// Late: its next incarnation may carry out orders to it.
	Late bool `cbor:"4,keyasint,omitempty"`
	// LateMS is for how many milliseconds from when the list was written the starts of Tasks, if it is Late, or of
	// Unanswered may still be carried out; 0 if that is not known. It is a span, since no two daemons have a
	// clock in common.
	LateMS int64 `cbor:"5,keyasint,omitempty"`
	// Ended: nothing ran on it any more.
	Ended bool `cbor:"6,keyasint,omitempty"`
	// Unanswered are those of Tasks of which a start had no answer.
	Unanswered []work.TaskID `cbor:"7,keyasint,omitempty"`
	// LeaseMS is for how many milliseconds from when the list was written its lease lasts at the latest; 0 if that is not
	// known. It is given no lease until the list is written again without that.
	LeaseMS int64 `cbor:"8,keyasint,omitempty"`
}

// suspectRun is a run that may have crashed its worker.
type suspectRun struct {
	Task work.TaskID `cbor:"1,keyasint"`
	Run  uint64      `cbor:"2,keyasint"`
	Sole bool        `cbor:"3,keyasint,omitempty"` // no run of another job is suspect
}

// cordonAfter is how long a worker must have been unresponsive to be cordoned: the longest
// wait of a renewal and one more call, so that a single lost response cordons no worker. After
// cordonMisses failed calls in a row it is cordoned sooner; calls fail at once where nothing
// listens.
const (
	cordonAfter  = renewWait + 2*renewGrace
	cordonMisses = 2
)

// retellPause is between two lists that tell what is left of a lease: a successor does not know how old the list is.
const retellPause = time.Second

func (e *Engine) fleetDirty() bool {
	return e.fleetChanged || e.cordonsChanged || e.unreadChanged || e.ordersChanged
}

// loadFleet restores the list of workers.
func (e *Engine) loadFleet(entries []store.Entry) error {
	var f fleetRecord
	var cordons cordonRecord
	var errs []error
	for _, entry := range entries {
		var err error
		switch entry.Key {
		case keyFleet:
			e.fleetRevision = entry.Revision
			if err = peer.Unmarshal(entry.Value, &f); err != nil {
				e.fleetUnknownUntil = e.now + e.inheritedLease()
			}
		case keyCordoned:
			err = peer.Unmarshal(entry.Value, &cordons)
		case keyOpen:
			err = e.loadOpen(entry)
		}
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", entry.Key, err))
		}
	}
	for _, ref := range f.Workers {
		w := e.addWorker(runner.Worker{Ref: ref})
		w.recorded, w.known = true, true
		w.expiry = e.now + e.inheritedLease()
	}
	for _, id := range f.Cordoned {
		if w := e.workers[id]; w != nil && !w.cordoned {
			w.cordoned, w.unlisted = true, true
		}
	}
	for _, x := range cordons.Workers {
		if w := e.workers[x.ID]; w != nil && !w.cordoned {
			w.cordoned, w.mayRun, w.inheritedSuspects, w.lateOrders = true, x.Tasks, x.Suspects, x.Late
			if w.leaseTold = x.LeaseMS > 0; w.leaseTold && !x.Late {
				w.expiry = e.now + time.Duration(x.LeaseMS)*time.Millisecond
			}
			e.inheritLate(w, &x)
		}
	}
	for _, ref := range f.Workers {
		w := e.workers[ref.ID]
		e.inherit(w)
		if _, before := e.noteIncarnation(ref.ID); before != nil {
			e.follow(before, w)
		}
	}
	e.loadVoters()
	return errors.Join(errs...)
}

// inherit records that an earlier epoch used a worker that has not answered this one.
func (e *Engine) inherit(w *worker) {
	w.inherited = true
	e.unresolved++
	switch {
	case !w.cordoned:
		e.unresolvedUncordoned++
	case w.unlisted:
		e.cordonedUnlisted++
	}
	for _, task := range w.mayRun {
		e.mayRun[task]++
	}
}

// follow removes a worker whose next incarnation has been seen. Orders of an earlier epoch to the one may
// have been carried out by the other, or may still be: what may run on a worker that has not answered this
// epoch may run on its next incarnation until that one has answered, or the leases from these orders have
// expired.
func (e *Engine) follow(w, next *worker) {
	e.inheritLateOrders(w, next)
	inherits, cordoned, unlisted, mayRun := w.inherited && !next.fenced, w.cordoned, w.unlisted, w.mayRun
	e.removeWorker(w, "another incarnation has its place", true)
	if !inherits {
		return
	}
	if next.inherited {
		cordoned, unlisted, mayRun = cordoned && next.cordoned, unlisted || next.unlisted, slices.Concat(mayRun, next.mayRun)
		e.resolve(next)
	}
	next.cordoned, next.unlisted, next.mayRun = cordoned, unlisted, mayRun
	next.expiry, next.lateOrders = max(next.expiry, w.expiry+maxOrderDelay), true
	e.inherit(next)
	e.fleetChanged, e.cordonsChanged = true, e.cordonsChanged || cordoned
}

// resolve records that nothing of an earlier epoch can start or run unreported on a worker any
// more.
func (e *Engine) resolve(w *worker) {
	if !w.inherited {
		return
	}
	w.inherited = false
	e.unresolved--
	e.scheduled = false
	switch {
	case !w.cordoned:
		e.unresolvedUncordoned--
	case w.unlisted:
		e.cordonedUnlisted--
	}
	for _, task := range w.mayRun {
		e.noLongerMayRun(task)
	}
	w.unlisted, w.mayRun, w.inheritedSuspects = false, nil, nil
}

// noLongerMayRun records that a task does not run unreported on one worker.
func (e *Engine) noLongerMayRun(task work.TaskID) {
	if e.mayRun[task]--; e.mayRun[task] <= 0 {
		delete(e.mayRun, task)
	}
}

// accountedFor reports whether it is known which inherited tasks of the step are running: every
// worker that an earlier epoch used and that is not cordoned has answered or has certainly
// ended. What the cordoned ones may run is in mayRun. If the list of workers could not be decoded, any worker may run them until
// the longest lease has ended.
func (e *Engine) accountedFor(s *step) bool {
	if e.now < e.fleetUnknownUntil || e.unresolvedUncordoned > 0 || (e.cordonedUnlisted > 0 && s.job.revision <= e.fleetRevision) {
		return false
	}
	if !s.spec.Gang || len(e.mayRun) == 0 {
		return true
	}
	for i := range s.tasks {
		if e.mayRunUnreported(s, i) {
			return false
		}
	}
	return true
}

// mayRunUnreported reports whether a task may run on a cordoned worker that has not answered.
func (e *Engine) mayRunUnreported(s *step, i int) bool {
	if len(e.mayRun) == 0 {
		return false
	}
	return e.mayRun[s.taskID(i)] > 0
}

// cordonUnresponsive cordons a worker that has not answered for a while: nothing is started
// there until the stored list no longer has it as cordoned.
func (e *Engine) cordonUnresponsive(w *worker) {
	if w.misses == 0 || (w.misses < cordonMisses && e.now-w.answered < cordonAfter) {
		return
	}
	e.cordon(w, "it does not answer")
	e.tellLease(w)
}

// tellLease has the list tell until when the lease of a cordoned worker lasts that does not answer for longer than a blip, so that a
// successor does not wait for a whole lease anew. A worker that answers again before gets its lease also while no list can
// be stored.
func (e *Engine) tellLease(w *worker) {
	if w.leaseTold && e.now < w.expiry && e.now >= e.cordonsAt+retellPause {
		e.cordonsChanged = true
	}
	if !w.cordoned || w.leaseTold || w.unlisted || w.inherited || w.misses < cordonMisses || e.now-w.answered < cordonAfter {
		return
	}
	w.leaseTold, e.cordonsChanged = true, true
}

// cordonDraining cordons a worker that is about to leave: nothing is started there anyway.
func (e *Engine) cordonDraining(w *worker) {
	if w.Draining {
		e.cordon(w, "it is leaving")
	}
}

func (e *Engine) cordon(w *worker, why string) {
	if w.cordoned || !w.fenced || !w.recorded || w.inherited {
		return
	}
	w.cordoned = true
	e.cordonsChanged = true
	e.decide(Decision{What: "worker cordoned", Worker: w.ID, Why: why, Age: e.now - w.answered})
}

// uncordon makes a cordoned worker that has answered usable, once the list is stored.
func (e *Engine) uncordon(w *worker) {
	e.cordonsChanged = e.cordonsChanged || w.leaseTold // the list has to be written without the end of its lease
	if !w.cordoned || w.Draining || w.inherited {
		return
	}
	w.cordoned, w.recorded = false, false
	e.cordonsChanged = true
}

// tasks lists what runs on the worker or may run there, and what has completed there without
// that being stored.
func (w *worker) tasks() []work.TaskID {
	var all []work.TaskID
	for _, alloc := range sortedAllocs(w) {
		all = append(all, alloc.id())
	}
	for _, a := range w.pendingAcks {
		all = append(all, a.task)
	}
	for _, x := range w.untracked {
		all = append(all, x.task)
	}
	return all
}

// addFleet writes the lists of workers that have changed, and returns their number. A worker
// is used only once the stored lists have it, and not as cordoned: a successor that cannot
// reach it has to be aware that something may run there. The lists have no worker that has never
// answered: each successor would wait for a lease that it has never been given.
func (e *Engine) addFleet(ws *writeSet, c *SendCommit) (keys int) {
	var f fleetRecord
	var cordoned cordonRecord
	ws.lists = true
	e.sendVoters()
	late := e.lateTasks()
	ended := e.lateEnded(late)
	e.endedTold = len(ended)
	for _, x := range ended { // before their later incarnations, which follow them when the list is read
		f.Workers = append(f.Workers, x.ref)
		cordoned.Workers = append(cordoned.Workers, cordonedWorker{ID: x.ref.ID, Tasks: x.tasks, Late: true, LateMS: e.millisUntil(x.until), Ended: true})
	}
	for _, w := range e.workerList {
		if !w.mayBeUsed() {
			continue
		}
		f.Workers = append(f.Workers, runner.Ref{ID: w.ID, Address: w.Address})
		if w.cordoned && !w.unlisted { // without a list of tasks a successor has to wait for it
			x := cordonedWorker{ID: w.ID, Tasks: append(w.tasks(), w.mayRun...), Suspects: w.suspectRuns(false), Late: w.lateOrders}
			end := w.expiry - leaseBound(e.o.Bounds.MaxLease)
			if i := slices.IndexFunc(late, func(x lateWorker) bool { return x.ref.ID == w.ID }); i >= 0 {
				x.Tasks, x.Late = append(x.Tasks, late[i].tasks...), true
				end = max(end, late[i].until)
			}
			if w.ordersEnd > 0 {
				x.Ended, end = true, w.ordersEnd
			}
			if !x.Late {
				x.Unanswered, end = e.unanswered(w)
			}
			w.toldUnanswered = len(x.Unanswered) > 0
			if x.Late || len(x.Unanswered) > 0 {
				x.LateMS = e.millisUntil(end)
			}
			if w.leaseTold && (w.misses > 0 || w.inherited) {
				x.LeaseMS = e.millisUntil(w.expiry)
			}
			cordoned.Workers = append(cordoned.Workers, x)
		}
		if !w.recorded {
			ws.fleet = append(ws.fleet, w)
		}
		if w.leaseTold && w.misses == 0 && !w.inherited {
			ws.untold = append(ws.untold, w)
		}
	}
	put := func(key string, record any) {
		data, err := peer.Marshal(record)
		if err != nil {
			e.violate(key+" does not encode: "+err.Error(), work.TaskID{}, "")
			return
		}
		c.Writes = append(c.Writes, store.Write{Key: key, Value: data})
		keys++
	}
	if e.fleetChanged {
		put(keyFleet, f)
	}
	if e.cordonsChanged {
		e.cordonsAt = e.now
		put(keyCordoned, cordoned)
	}
	if e.ordersChanged {
		r, told := e.openList()
		put(keyOpen, r)
		ws.told = told
	}
	e.addUnread(ws, put)
	e.fleetChanged, e.cordonsChanged, e.ordersChanged = false, false, false
	return keys
}
