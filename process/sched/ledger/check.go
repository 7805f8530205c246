package ledger

import (
	"errors"
	"fmt"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/version/spec"
)

// ErrInvariant is wrapped by each error of Check.
var ErrInvariant = errors.New("ledger: invariant violated")

// Check verifies the state of every worker: the holders' sizes add up to what is held,
// none of them is negative, and no present worker has more held than its capacity. It
// returns all violations, joined.
func (l *Ledger) Check() error {
	var errs []error
	for id := range l.workers {
		errs = append(errs, l.CheckWorker(id))
	}
	return errors.Join(errs...)
}

// CheckWorker verifies the state of one worker. Its cost is linear in the worker's holders.
func (l *Ledger) CheckWorker(id worker.ID) error {
	w := l.workers[id]
	if w == nil {
		return nil
	}
	var sum spec.Resources
	for holder, size := range w.holders {
		if negative(size) {
			return fmt.Errorf("%w: worker %s: %s holds %+v", ErrInvariant, id, holder, size)
		}
		sum = sum.Add(size)
	}
	if sum != w.held {
		return fmt.Errorf("%w: worker %s: holders sum to %+v, held is %+v", ErrInvariant, id, sum, w.held)
	}
	if w.present && !w.held.Fits(w.capacity) {
		return fmt.Errorf("%w: worker %s: held %+v, capacity %+v", ErrInvariant, id, w.held, w.capacity)
	}
	return nil
}
