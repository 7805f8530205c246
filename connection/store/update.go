package store

import (
	"context"
	"errors"
	"fmt"

	"fennelshunt.example/fennelshunt/internal/sleep"
)

// ErrNoChange is returned by the function given to Update to skip the write.
var ErrNoChange = errors.New("store: no change")

// Update is a read-modify-write of key: f returns the new data for the current
// data. After a conflict it starts over, until ctx or the operation timeout ends,
// so f may run several times. The key is written without a lease. An error of f
// is returned as it is, except ErrNoChange, after which Update returns the
// revision that it read.
func (h *Handle) Update(ctx context.Context, key string, f func(cur []byte, exists bool) ([]byte, error)) (Revision, error) {
	ctx, cancel := h.client.bound(ctx)
	defer cancel()
	pause := newRetryBackoff()
	for {
		rev, err := h.updateOnce(ctx, key, f)
		if !errors.Is(err, ErrConflict) {
			return rev, err
		}
		if sleep.For(ctx, pause.NextBackOff()) != nil {
			return 0, fmt.Errorf("update %s: %w", key, err)
		}
	}
}

func (h *Handle) updateOnce(ctx context.Context, key string, f func([]byte, bool) ([]byte, error)) (Revision, error) {
	item, err := h.Get(ctx, key)
	exists := err == nil
	if err != nil && !errors.Is(err, ErrNotFound) {
		return 0, err
	}
	data, err := f(item.Data, exists)
	if errors.Is(err, ErrNoChange) {
		return item.Revision, nil
	}
	if err != nil {
		return 0, err
	}
	return h.Swap(ctx, key, data, item.Revision, 0)
}

// Delete removes key if its revision is prev. After a lost response it succeeds
// if that revision was deleted, by any client. It fails with ErrNotFound,
// ErrConflict, ErrUnavailable, ErrOverBudget or ErrUnknownOutcome.
func (h *Handle) Delete(ctx context.Context, key string, prev Revision) error {
	ctx, cancel := h.client.bound(ctx)
	defer cancel()
	err := h.deleteOnce(ctx, key, prev)
	if errors.Is(err, ErrUnknownOutcome) {
		err = h.resolveDelete(ctx, key, prev, err)
	}
	if err != nil {
		h.countFailure(err)
		return fmt.Errorf("delete %s: %w", key, err)
	}
	return nil
}

func (h *Handle) deleteOnce(ctx context.Context, key string, prev Revision) error {
	return h.write(ctx, func(ctx context.Context) error { return h.client.store.Delete(ctx, key, prev) })
}

// resolveDelete determines the outcome of a deletion whose response was lost.
func (h *Handle) resolveDelete(ctx context.Context, key string, prev Revision, cause error) error {
	pause := newRetryBackoff()
	for {
		err := h.lookUpDelete(ctx, key, prev)
		if errors.Is(err, errPending) {
			err = h.deleteOnce(ctx, key, prev)
			if errors.Is(err, ErrNotFound) || errors.Is(err, ErrConflict) {
				err = h.lookUpDelete(ctx, key, prev)
			}
		}
		if err == nil || errors.Is(err, ErrConflict) {
			h.client.metrics.of(h.role).resolved.Add(1)
			return err
		}
		if errors.Is(err, errUnknowable) {
			return err
		}
		if sleep.For(ctx, pause.NextBackOff()) != nil {
			return cause
		}
	}
}

// lookUpDelete returns nil if revision prev of key was deleted, ErrConflict if
// it was overwritten, errPending if it is still there.
func (h *Handle) lookUpDelete(ctx context.Context, key string, prev Revision) error {
	item, err := h.Get(ctx, key)
	if err == nil && item.Revision == prev {
		return errPending
	}
	if err != nil && !errors.Is(err, ErrNotFound) && !errors.Is(err, ErrNotEnveloped) {
		return err
	}
	events, _, err := h.watchOnce(ctx, key, prev)
	if errors.Is(err, ErrCompacted) {
		return errUnknowable
	}
	if err != nil {
		return err
	}
	for _, e := range events {
		if e.Key != key {
			continue
		}
		if e.Deleted {
			return nil
		}
		return ErrConflict
	}
	return errUnknowable
}
