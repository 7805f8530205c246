package store

import (
	"context"
	"fmt"
)

// MaxTxnEntries is the largest number of checks, writes and deletes that one
// transaction may hold together.
const MaxTxnEntries = 32

// Check requires a key to have a revision; 0 requires that it does not exist.
type Check struct {
	Key      string
	Revision Revision
}

// Write sets a key. A key bound to a lease is removed when the lease ends.
type Write struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is a change of several keys that takes effect as a whole or not at all.
type Txn struct {
	Checks  []Check
	Writes  []Write
	Deletes []string
}

// Len returns the number of entries, which must not exceed MaxTxnEntries.
func (t Txn) Len() int { return len(t.Checks) + len(t.Writes) + len(t.Deletes) }

// ConflictError reports that a check of a transaction failed, with the current
// entries of the checked keys. It matches ErrConflict.
type ConflictError struct {
	// Current holds the checked keys that exist.
	Current []Entry
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: %d of the checked keys exist", ErrConflict, len(e.Current))
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// Find returns the current entry of a checked key.
func (e *ConflictError) Find(key string) (Entry, bool) {
	for _, entry := range e.Current {
		if entry.Key == key {
			return entry, true
		}
	}
	return Entry{}, false
}

// Transactor is a store with transactions over several keys.
type Transactor interface {
	Store
	// Commit applies t and returns the revision of its writes. It fails with a
	// *ConflictError, ErrLeaseLost, ErrTooLarge, ErrOverBudget or ErrUnavailable
	// if nothing was changed, and with ErrUnknownOutcome if all of t may have
	// been applied, or may be applied later.
	Commit(ctx context.Context, t Txn) (Revision, error)
	// ListStale is List with a result that may be seconds old, at a fraction of
	// the cost.
	ListStale(ctx context.Context, prefix string) ([]Entry, Revision, error)
}
