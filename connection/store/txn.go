package store

import (
	"context"
	"fmt"
)

// MaxTxnEntries is the largest number of checks, writes and deletes that one
// transaction may hold together.
const MaxTxnEntries = 32

// Check demands that a key has a revision; 0 means that it does not exist.
type Check struct {
	Key      string
	Revision Revision
}

// Write sets a key. A value bound to a lease disappears with it.
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

// Len returns the number of entries, to be held against MaxTxnEntries.
func (t Txn) Len() int { return len(t.Checks) + len(t.Writes) + len(t.Deletes) }

// ConflictError says that a check of a transaction failed, and what the
// checked keys hold. It matches ErrConflict.
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

// Transactor is a store that changes several keys at once.
type Transactor interface {
	Store
	// Commit applies t and returns the revision of its writes. It fails with a
	// *ConflictError, ErrLeaseLost, ErrTooLarge, ErrOverBudget or ErrUnavailable
	// when nothing was changed, and with ErrUnknownOutcome when all of t may
	// have been changed, or may be changed later.
	Commit(ctx context.Context, t Txn) (Revision, error)
	// ListStale is List with an answer that may be seconds old, at a fraction
	// of the price.
	ListStale(ctx context.Context, prefix string) ([]Entry, Revision, error)
}
