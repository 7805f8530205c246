package kv

import (
	"context"
	"fmt"

	"fennelshunt.example/fennelshunt/connection/store"
)

var _ store.Transactor = (*Memory)(nil)

// Commit implements store.Transactor. All writes of a transaction share one
// revision.
func (m *Memory) Commit(ctx context.Context, t store.Txn) (store.Revision, error) {
	if t.Len() > store.MaxTxnEntries {
		return 0, fmt.Errorf("commit: %w: %d entries", store.ErrTooLarge, t.Len())
	}
	var rev store.Revision
	err := m.call(ctx, callPut, func() error {
		if err := m.commit(t); err != nil {
			return fmt.Errorf("commit: %w", err)
		}
		rev = m.rev
		return nil
	})
	if err != nil {
		return 0, err
	}
	return rev, nil
}

func (m *Memory) commit(t store.Txn) error {
	if err := m.checkAll(t.Checks); err != nil {
		return err
	}
	for _, w := range t.Writes {
		if len(w.Value) > store.MaxValueSize {
			return store.ErrTooLarge
		}
		if w.Lease != 0 && m.leases[w.Lease] == nil {
			return store.ErrLeaseLost
		}
	}
	m.rev++
	for _, w := range t.Writes {
		old, _ := m.entries.Get(store.Entry{Key: w.Key})
		m.detach(old)
		e := store.Entry{Key: w.Key, Value: append([]byte(nil), w.Value...), Revision: m.rev, Lease: w.Lease}
		m.entries.ReplaceOrInsert(e)
		if w.Lease != 0 {
			m.leases[w.Lease].keys[w.Key] = struct{}{}
		}
		m.record(store.Event{Entry: e})
	}
	for _, key := range t.Deletes {
		old, ok := m.entries.Get(store.Entry{Key: key})
		if !ok {
			continue
		}
		m.detach(old)
		m.entries.Delete(old)
		m.record(store.Event{Entry: store.Entry{Key: key, Revision: m.rev}, Deleted: true})
	}
	return nil
}

func (m *Memory) checkAll(checks []store.Check) error {
	conflict := &store.ConflictError{}
	failed := false
	for _, c := range checks {
		e, ok := m.entries.Get(store.Entry{Key: c.Key})
		if ok {
			conflict.Current = append(conflict.Current, e)
		}
		failed = failed || e.Revision != c.Revision
	}
	if failed {
		return conflict
	}
	return nil
}

// ListStale implements store.Transactor; its result is never stale.
func (m *Memory) ListStale(ctx context.Context, prefix string) ([]store.Entry, store.Revision, error) {
	return m.List(ctx, prefix)
}
