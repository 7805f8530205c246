package dispatch

import (
	"errors"
	"fmt"
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/version/work"
)

// What a successor knows of the workers: which were used, on which of them nothing was
// started any more, and what those ran.
//
// Load pattern: the leader changes while workers are gone, out of reach, or about to
// leave. What goes wrong without it: whatever waits may run on one of them, so nothing of
// it starts for the eight seconds after which a lease of theirs has certainly run out.

// fleetRecord lists the workers that the leader may have started tasks on.
type fleetRecord struct {
	Workers []runner.Ref `cbor:"1,keyasint"`
	// Closed is written by earlier versions, which do not tell what may run there.
	Closed []runner.WorkerID `cbor:"2,keyasint,omitempty"`
}

// closedRecord lists the workers on which nothing is started until the list is written
// again without them.
type closedRecord struct {
	Workers []closedWorker `cbor:"1,keyasint"`
}

// closedWorker is a worker with all tasks that may run there, or have ended there without
// that being written. Those that ended later stay listed.
type closedWorker struct {
	ID    runner.WorkerID `cbor:"1,keyasint"`
	Tasks []work.TaskID   `cbor:"2,keyasint,omitempty"`
	// Suspects are the runs that may have crashed it, if it has crashed.
	Suspects []suspectRun `cbor:"3,keyasint,omitempty"`
}

// suspectRun is a run that may have crashed its worker.
type suspectRun struct {
	Task work.TaskID `cbor:"1,keyasint"`
	Run  uint64      `cbor:"2,keyasint"`
	Sole bool        `cbor:"3,keyasint,omitempty"` // no run of another job may
}

// closeAfter is how long a worker must have been silent to be closed: the longest
// wait of a renewal and one more call, so that a lost answer closes none. closeMisses
// calls in a row that fail, as they do at once where nobody listens, close it sooner.
const (
	closeAfter  = renewWait + 2*renewGrace
	closeMisses = 2
)

func (e *Engine) fleetDirty() bool { return e.fleetNew || e.closedNew }

// loadFleet takes over what is known of the workers.
func (e *Engine) loadFleet(entries []store.Entry) error {
	var f fleetRecord
	var c closedRecord
	var errs []error
	for _, entry := range entries {
		var err error
		switch entry.Key {
		case keyFleet:
			err = peer.Unmarshal(entry.Value, &f)
			e.closedAt = entry.Revision
		case keyClosed:
			err = peer.Unmarshal(entry.Value, &c)
		}
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", entry.Key, err))
		}
	}
	for _, ref := range f.Workers {
		w := e.addWorker(runner.Worker{Ref: ref})
		e.noteBirth(ref.ID)
		w.kept, w.inherited = true, true
		w.lapse = e.now + noticeTime + ranOut(e.o.Bounds.MaxLease)
		e.unresolved++
		e.unresolvedOpen++
	}
	for _, id := range f.Closed {
		if w := e.workers[id]; w != nil && !w.closed {
			w.closed, w.unlisted = true, true
			e.unresolvedOpen--
			e.unlistedClosed++
		}
	}
	for _, x := range c.Workers {
		if w := e.workers[x.ID]; w != nil && !w.closed {
			w.closed, w.mayRun, w.inheritedSuspects = true, x.Tasks, x.Suspects
			e.unresolvedOpen--
			for _, task := range x.Tasks {
				e.mayRun[task]++
			}
		}
	}
	return errors.Join(errs...)
}

// resolve notes that nothing of an earlier epoch can start or run unseen on a
// worker.
func (e *Engine) resolve(w *worker) {
	if !w.inherited {
		return
	}
	w.inherited = false
	e.unresolved--
	e.scheduled = false
	switch {
	case !w.closed:
		e.unresolvedOpen--
	case w.unlisted:
		e.unlistedClosed--
	}
	for _, task := range w.mayRun {
		if e.mayRun[task]--; e.mayRun[task] <= 0 {
			delete(e.mayRun, task)
		}
	}
	w.unlisted, w.mayRun, w.inheritedSuspects = false, nil, nil
}

// accountedFor reports whether it is known of each inherited task of the step whether it
// runs: every open worker that an earlier epoch used has answered or has certainly ended.
// What the closed ones may run is in mayRun.
func (e *Engine) accountedFor(s *step) bool {
	if e.unresolvedOpen > 0 || (e.unlistedClosed > 0 && s.job.revision <= e.closedAt) {
		return false
	}
	if !s.spec.Gang || len(e.mayRun) == 0 {
		return true
	}
	for i := range s.tasks {
		if e.unseen(s, i) {
			return false
		}
	}
	return true
}

// unseen reports whether a task may run on a closed worker that has not answered.
func (e *Engine) unseen(s *step, i int) bool {
	if len(e.mayRun) == 0 {
		return false
	}
	return e.mayRun[s.taskID(i)] > 0
}

// closeSilent closes a worker that has not answered for a while: nothing is
// started there until the store knows that it is open again.
func (e *Engine) closeSilent(w *worker) {
	if w.misses == 0 || (w.misses < closeMisses && e.now-w.answered < closeAfter) {
		return
	}
	e.closeWorker(w, "it does not answer")
}

// closeLeaving closes a worker that is about to leave: nothing is started there anyway.
func (e *Engine) closeLeaving(w *worker) {
	if w.Draining {
		e.closeWorker(w, "it is leaving")
	}
}

func (e *Engine) closeWorker(w *worker, why string) {
	if w.closed || !w.fenced || !w.kept {
		return
	}
	w.closed = true
	e.closedNew = true
	e.decide(Decision{What: "worker closed", Worker: w.ID, Why: why, Age: e.now - w.answered})
}

// reopen lets a closed worker that has answered be used once the store knows.
func (e *Engine) reopen(w *worker) {
	if !w.closed || w.Draining {
		return
	}
	w.closed, w.kept = false, false
	e.closedNew = true
}

// tasks lists what runs on the worker, or may, and what has ended there without that being
// in the store.
func (w *worker) tasks() []work.TaskID {
	var all []work.TaskID
	for _, p := range places(w) {
		all = append(all, p.id())
	}
	for _, a := range w.waiting {
		all = append(all, a.task)
	}
	for _, x := range w.strays {
		all = append(all, x.task)
	}
	return all
}

// addFleet writes the lists of workers that have changed, and returns their number. A
// worker is used only once it is in the store, and is not closed there: a successor that
// can not reach it has to know that something may run there.
func (e *Engine) addFleet(b *batch, c *SendCommit) (keys int) {
	var f fleetRecord
	var closed closedRecord
	for _, w := range e.order {
		f.Workers = append(f.Workers, runner.Ref{ID: w.ID, Address: w.Address})
		switch {
		case w.closed && w.unlisted: // stays open for a successor, which waits
		case w.closed:
			closed.Workers = append(closed.Workers, closedWorker{ID: w.ID, Tasks: append(w.tasks(), w.mayRun...), Suspects: w.suspectRuns(false)})
		case !w.kept:
			b.fleet = append(b.fleet, w)
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
	if e.fleetNew {
		put(keyFleet, f)
	}
	if e.closedNew {
		put(keyClosed, closed)
	}
	e.fleetNew, e.closedNew = false, false
	return keys
}

// noticeTime is how long after a takeover an earlier leader may still renew a
// worker that the new one does not reach: it renews every worker at least this
// often, and the first one that the new leader has called tells it to stop.
const noticeTime = 2 * time.Second
