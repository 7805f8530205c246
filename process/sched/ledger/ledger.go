// Package ledger tracks the reserved capacity of each worker VM. Capacity is
// reserved before a task starts and freed only by an explicit call, which the owner
// of the partition makes after the task is confirmed to have stopped. A ledger is not
// safe for concurrent use.
package ledger

import (
	"errors"
	"fmt"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/version/spec"
)

// Errors of Reserve. Test with errors.Is.
var (
	ErrNoCapacity = errors.New("ledger: not enough free capacity")
	ErrNoWorker   = errors.New("ledger: worker not known")
	ErrHeld       = errors.New("ledger: holder already holds a reservation")
	ErrSize       = errors.New("ledger: size is zero or negative")
)

// workerState is the reserved capacity of one worker.
type workerState struct {
	capacity spec.Resources
	held     spec.Resources
	holders  map[string]spec.Resources
	// present is false for a worker that was removed while tasks still held
	// capacity. The state is kept until they are freed: if the worker is added
	// again under the same ID, its running tasks must still count.
	present bool
}

// Ledger holds the state of each worker.
type Ledger struct {
	workers map[worker.ID]*workerState
}

// New returns an empty ledger.
func New() *Ledger { return &Ledger{workers: map[worker.ID]*workerState{}} }

// SetWorker adds a worker or changes its capacity. The capacity may be lower than
// what is held; then nothing more fits until enough has been freed.
func (l *Ledger) SetWorker(id worker.ID, capacity spec.Resources) {
	w := l.workers[id]
	if w == nil {
		w = &workerState{holders: map[string]spec.Resources{}}
		l.workers[id] = w
	}
	w.capacity, w.present = capacity, true
}

// RemoveWorker removes a worker, so that Reserve fails with ErrNoWorker. What is
// held there stays counted until it is freed.
func (l *Ledger) RemoveWorker(id worker.ID) {
	w := l.workers[id]
	if w == nil {
		return
	}
	w.present = false
	l.dropEmpty(id, w)
}

// Reserve reserves size on a worker for a holder, for example a task ID. On error,
// which wraps ErrNoCapacity, ErrNoWorker, ErrHeld or ErrSize, nothing has changed.
func (l *Ledger) Reserve(id worker.ID, holder string, size spec.Resources) error {
	if err := l.reservable(id, holder, size); err != nil {
		return err
	}
	w := l.workers[id]
	if !size.Fits(w.capacity.Sub(w.held)) {
		return fmt.Errorf("%w: worker %s, free %+v, wanted %+v", ErrNoCapacity, id, w.capacity.Sub(w.held), size)
	}
	w.add(holder, size)
	return nil
}

// Adopt counts a task that already runs on a worker, as listed in the worker's own
// inventory after a takeover. It never fails with ErrNoCapacity: the task runs, and if
// it were not counted, more tasks would be started beside it. Check reports workers
// on which more is held than their capacity.
func (l *Ledger) Adopt(id worker.ID, holder string, size spec.Resources) error {
	if err := l.reservable(id, holder, size); err != nil {
		return err
	}
	l.workers[id].add(holder, size)
	return nil
}

func (l *Ledger) reservable(id worker.ID, holder string, size spec.Resources) error {
	w := l.workers[id]
	if w == nil || !w.present {
		return fmt.Errorf("%w: %s", ErrNoWorker, id)
	}
	if _, ok := w.holders[holder]; ok {
		return fmt.Errorf("%w: %s on %s", ErrHeld, holder, id)
	}
	if size.IsZero() || negative(size) {
		return fmt.Errorf("%w: %+v", ErrSize, size)
	}
	return nil
}

func (w *workerState) add(holder string, size spec.Resources) {
	w.holders[holder] = size
	w.held = w.held.Add(size)
}

// Free releases what the holder holds on the worker and reports whether it held
// anything. It must only be called when the task is certain not to run.
func (l *Ledger) Free(id worker.ID, holder string) bool {
	w := l.workers[id]
	if w == nil {
		return false
	}
	size, ok := w.holders[holder]
	if !ok {
		return false
	}
	delete(w.holders, holder)
	w.held = w.held.Sub(size)
	l.dropEmpty(id, w)
	return true
}

func (l *Ledger) dropEmpty(id worker.ID, w *workerState) {
	if !w.present && len(w.holders) == 0 {
		delete(l.workers, id)
	}
}

// Held returns the total held on a worker.
func (l *Ledger) Held(id worker.ID) spec.Resources {
	if w := l.workers[id]; w != nil {
		return w.held
	}
	return spec.Resources{}
}

// Capacity returns a worker's capacity, or false if it is unknown or was removed.
func (l *Ledger) Capacity(id worker.ID) (spec.Resources, bool) {
	w := l.workers[id]
	if w == nil || !w.present {
		return spec.Resources{}, false
	}
	return w.capacity, true
}

// Holds returns what one holder holds on a worker, and whether it holds anything.
func (l *Ledger) Holds(id worker.ID, holder string) (spec.Resources, bool) {
	w := l.workers[id]
	if w == nil {
		return spec.Resources{}, false
	}
	size, ok := w.holders[holder]
	return size, ok
}

func negative(r spec.Resources) bool {
	return r.MilliCPU < 0 || r.MemoryMB < 0 || r.Accelerators < 0
}
