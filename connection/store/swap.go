package store

import (
	"context"
	"errors"
	"fmt"

	"fennelshunt.example/fennelshunt/internal/sleep"
)

// pendingWrite is a compare-and-swap that may be sent several times. All
// attempts have the same id and the same previous revision, so at most one of
// them takes effect.
type pendingWrite struct {
	key   string
	id    writeID
	value []byte
	prev  Revision
	lease LeaseID
	// floor is a store revision older than the first attempt.
	floor Revision
}

// Swap writes data if the key's revision is prev (0: the key must not exist)
// and returns the new revision.
//
// When a response is lost, Swap reads the key back and looks for its own write
// id; while the write may still take effect it sends the same write again. It
// fails with ErrConflict, ErrLeaseLost, ErrTooLarge, ErrUnavailable or
// ErrOverBudget if the write certainly did not take effect, and with
// ErrUnknownOutcome if the context, or the operation timeout, ended before the
// outcome was known.
//
// Creations (prev 0) are not fully protected, since the service has no revision to
// compare them with: a creation that was delayed in the network takes effect if
// the key has been deleted in the meantime, whatever was reported. Owners of such
// keys store an increasing number beside them and ignore values with a lower one,
// bind the keys to a lease, or overwrite keys instead of deleting them.
func (h *Handle) Swap(ctx context.Context, key string, data []byte, prev Revision, lease LeaseID) (Revision, error) {
	id := newWriteID()
	value, err := sealEnvelope(id, data)
	if err != nil {
		return 0, fmt.Errorf("swap %s: %w", key, err)
	}
	ctx, cancel := h.client.bound(ctx)
	defer cancel()
	floor := max(prev, h.mark(ctx, key))
	rev, err := h.swap(ctx, pendingWrite{key: key, id: id, value: value, prev: prev, lease: lease, floor: floor})
	if err != nil {
		h.countFailure(err)
		return 0, fmt.Errorf("swap %s: %w", key, err)
	}
	h.client.seen.raise(rev)
	return rev, nil
}

// mark returns a past revision of the store, or 0 if none can be read:
// lookUpHistory then starts at the oldest event.
func (h *Handle) mark(ctx context.Context, key string) Revision {
	if rev := h.client.seen.get(); rev > 0 {
		return rev
	}
	_, rev, err := h.List(ctx, key)
	if err != nil {
		return 0
	}
	return rev
}

func (h *Handle) countFailure(err error) {
	m := h.client.metrics.of(h.role)
	switch {
	case errors.Is(err, ErrConflict):
		m.conflicts.Add(1)
	case errors.Is(err, ErrUnknownOutcome):
		m.unresolved.Add(1)
	}
}

// swap sends the write until its outcome is known.
func (h *Handle) swap(ctx context.Context, w pendingWrite) (Revision, error) {
	pause := newRetryBackoff()
	for attempt := 1; ; attempt++ {
		rev, err := h.put(ctx, w)
		if err == nil {
			return rev, nil
		}
		if errors.Is(err, ErrUnknownOutcome) {
			return h.resolve(ctx, w, err)
		}
		if !transient(err) || attempt == quickAttempts || !h.client.Available() {
			return 0, err
		}
		if sleep.For(ctx, pause.NextBackOff()) != nil {
			return 0, err
		}
	}
}

// transient reports whether the same call may succeed after err.
func transient(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrOverBudget)
}

func (h *Handle) put(ctx context.Context, w pendingWrite) (Revision, error) {
	var rev Revision
	err := h.write(ctx, func(ctx context.Context) error {
		var err error
		rev, err = h.client.store.Put(ctx, w.key, w.value, w.prev, w.lease)
		return err
	})
	return rev, err
}

// resolve determines the outcome of a write after an attempt whose response was
// lost; cause is the error of that attempt.
func (h *Handle) resolve(ctx context.Context, w pendingWrite, cause error) (Revision, error) {
	pause := newRetryBackoff()
	for {
		rev, err := h.resolveOnce(ctx, w)
		if err == nil {
			h.client.metrics.of(h.role).resolved.Add(1)
			return rev, nil
		}
		if errors.Is(err, ErrConflict) || errors.Is(err, ErrLeaseLost) {
			h.client.metrics.of(h.role).resolved.Add(1)
			return 0, err
		}
		if errors.Is(err, errUnknowable) {
			return 0, err
		}
		if ctxErr := sleep.For(ctx, pause.NextBackOff()); ctxErr != nil {
			return 0, fmt.Errorf("%w (last: %w)", ErrUnknownOutcome, cause)
		}
	}
}

// errUnknowable means that no further read can determine the outcome.
var errUnknowable = fmt.Errorf("%w: the history of the key is compacted", ErrUnknownOutcome)

// errPending means that the write has not taken effect yet and still may.
var errPending = errors.New("store: write has not taken effect yet")

// resolveOnce reads the key back and, if the write may still take effect, sends it
// again. ErrConflict and ErrLeaseLost are final; other errors are not.
func (h *Handle) resolveOnce(ctx context.Context, w pendingWrite) (Revision, error) {
	rev, err := h.lookUp(ctx, w)
	if !errors.Is(err, errPending) {
		return rev, err
	}
	rev, err = h.put(ctx, w)
	if err == nil {
		return rev, nil
	}
	if !errors.Is(err, ErrConflict) && !errors.Is(err, ErrLeaseLost) {
		return 0, fmt.Errorf("%w: %w", errPending, err)
	}
	// This attempt was refused; an earlier one may have taken effect meanwhile.
	rev, found := h.lookUp(ctx, w)
	if errors.Is(found, errPending) && errors.Is(err, ErrLeaseLost) {
		return 0, err
	}
	return rev, found
}

// lookUp reads the key back. It returns the revision of the write if it took
// effect, ErrConflict if it did not and no longer can, errPending if it still may,
// errUnknowable, or the error of the read.
func (h *Handle) lookUp(ctx context.Context, w pendingWrite) (Revision, error) {
	item, id, err := h.get(ctx, w.key)
	absent := errors.Is(err, ErrNotFound)
	switch {
	case err == nil && id == w.id:
		return item.Revision, nil
	case err == nil && item.Revision == w.prev:
		return 0, errPending
	case err != nil && !absent && !errors.Is(err, ErrNotEnveloped):
		return 0, fmt.Errorf("read back: %w", err)
	}
	return h.lookUpHistory(ctx, w, absent)
}

// lookUpHistory looks for the write among the events of the key. It is needed after
// another write or a deletion: the current value does not say whether this write
// took effect before it.
func (h *Handle) lookUpHistory(ctx context.Context, w pendingWrite, absent bool) (Revision, error) {
	events, _, err := h.watchOnce(ctx, w.key, w.floor)
	if errors.Is(err, ErrCompacted) {
		return 0, errUnknowable
	}
	if err != nil {
		return 0, fmt.Errorf("read history: %w", err)
	}
	for _, e := range events {
		if e.Key != w.key || e.Deleted {
			continue
		}
		if _, id, err := itemOf(e.Entry); err == nil && id == w.id {
			return e.Revision, nil
		}
	}
	if absent && w.prev == 0 {
		return 0, errPending
	}
	return 0, ErrConflict
}

// watchOnce returns the events after a revision without waiting.
func (h *Handle) watchOnce(ctx context.Context, prefix string, after Revision) ([]Event, Revision, error) {
	var events []Event
	var rev Revision
	err := h.retry(ctx, func(ctx context.Context) error {
		var err error
		events, rev, err = h.client.store.Watch(ctx, prefix, after, 0)
		return err
	})
	return events, rev, err
}
