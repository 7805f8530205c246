// Package ledger tracks the reserved capacity of each worker VM. Capacity is
// reserved before a task starts and freed only by an explicit call, which the owner
// of the worker makes after the task is confirmed to have stopped. A ledger is not
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

// account is the state of one worker.
type account struct {
	capacity spec.Resources
	held     spec.Resources
	holders  map[string]spec.Resources
	// present is false for a worker that was removed while tasks still held
	// capacity. The account is kept until they are freed: if the worker is added
	// again under the same ID, its running tasks must still count.
	present bool
}

// Ledger holds one account per worker.
type Ledger struct {
	accounts map[worker.ID]*account
}

// New returns an empty ledger.
func New() *Ledger { return &Ledger{accounts: map[worker.ID]*account{}} }

// SetWorker adds a worker or changes its capacity. The capacity may be lower than
// what is held; then nothing more fits until enough has been freed.
func (l *Ledger) SetWorker(id worker.ID, capacity spec.Resources) {
	a := l.accounts[id]
	if a == nil {
		a = &account{holders: map[string]spec.Resources{}}
		l.accounts[id] = a
	}
	a.capacity, a.present = capacity, true
}

// RemoveWorker removes a worker, so that Reserve fails with ErrNoWorker. What is
// held there stays counted until it is freed.
func (l *Ledger) RemoveWorker(id worker.ID) {
	a := l.accounts[id]
	if a == nil {
		return
	}
	a.present = false
	l.dropEmpty(id, a)
}

// Reserve reserves size on a worker for a holder, for example a task ID. On error,
// which wraps ErrNoCapacity, ErrNoWorker, ErrHeld or ErrSize, nothing has changed.
func (l *Ledger) Reserve(id worker.ID, holder string, size spec.Resources) error {
	if err := l.reservable(id, holder, size); err != nil {
		return err
	}
	a := l.accounts[id]
	if !size.Fits(a.capacity.Sub(a.held)) {
		return fmt.Errorf("%w: worker %s, free %+v, wanted %+v", ErrNoCapacity, id, a.capacity.Sub(a.held), size)
	}
	a.add(holder, size)
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
	l.accounts[id].add(holder, size)
	return nil
}

func (l *Ledger) reservable(id worker.ID, holder string, size spec.Resources) error {
	a := l.accounts[id]
	if a == nil || !a.present {
		return fmt.Errorf("%w: %s", ErrNoWorker, id)
	}
	if _, ok := a.holders[holder]; ok {
		return fmt.Errorf("%w: %s on %s", ErrHeld, holder, id)
	}
	if size.IsZero() || negative(size) {
		return fmt.Errorf("%w: %+v", ErrSize, size)
	}
	return nil
}

func (a *account) add(holder string, size spec.Resources) {
	a.holders[holder] = size
	a.held = a.held.Add(size)
}

// Free releases what the holder holds on the worker and reports whether it held
// anything. It must only be called when the task is certain not to run.
func (l *Ledger) Free(id worker.ID, holder string) bool {
	a := l.accounts[id]
	if a == nil {
		return false
	}
	size, ok := a.holders[holder]
	if !ok {
		return false
	}
	delete(a.holders, holder)
	a.held = a.held.Sub(size)
	l.dropEmpty(id, a)
	return true
}

func (l *Ledger) dropEmpty(id worker.ID, a *account) {
	if !a.present && len(a.holders) == 0 {
		delete(l.accounts, id)
	}
}

// Held returns the total held on a worker.
func (l *Ledger) Held(id worker.ID) spec.Resources {
	if a := l.accounts[id]; a != nil {
		return a.held
	}
	return spec.Resources{}
}

// Capacity returns a worker's capacity, or false if it is unknown or was removed.
func (l *Ledger) Capacity(id worker.ID) (spec.Resources, bool) {
	a := l.accounts[id]
	if a == nil || !a.present {
		return spec.Resources{}, false
	}
	return a.capacity, true
}

// Holds returns what one holder holds on a worker, and whether it holds anything.
func (l *Ledger) Holds(id worker.ID, holder string) (spec.Resources, bool) {
	a := l.accounts[id]
	if a == nil {
		return spec.Resources{}, false
	}
	size, ok := a.holders[holder]
	return size, ok
}

func negative(r spec.Resources) bool {
	return r.MilliCPU < 0 || r.MemoryMB < 0 || r.Accelerators < 0
}
