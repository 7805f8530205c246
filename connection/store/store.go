// Package store is the client of the platform's key-value service: compare-and-swap,
// leases and watches over a narrow interface that an adapter implements.
//
// Guarantees of Store implementations: every method returns nil only if the
// call took effect; ErrUnavailable, ErrConflict, ErrTooLarge and ErrOverBudget
// mean that a write certainly did not take effect; ErrUnknownOutcome means
// that it may have. Revisions of a key only rise.
package store

import (
	"context"
	"errors"
	"time"
)

// Revision orders the writes of the store; 0 stands for "no value".
type Revision uint64

// LeaseID names a lease of the store; 0 stands for no lease.
type LeaseID uint64

// Entry is one key with its value.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
	Lease    LeaseID
}

// Event is a change of one key. A deleted key has Deleted set and no value.
type Event struct {
	Entry
	Deleted bool
}

// MaxValueSize is the largest value the service holds, in bytes.
const MaxValueSize = 1 << 20

// Errors of the store. Test with errors.Is.
var (
	ErrNotFound       = errors.New("store: key not found")
	ErrConflict       = errors.New("store: compare-and-swap conflict")
	ErrUnknownOutcome = errors.New("store: outcome unknown, the write may have taken effect")
	ErrUnavailable    = errors.New("store: unavailable, the write did not take effect")
	ErrTooLarge       = errors.New("store: value larger than 1 MB")
	ErrLeaseLost      = errors.New("store: lease lapsed or revoked")
	ErrOverBudget     = errors.New("store: call budget used up")
	ErrCompacted      = errors.New("store: watch position no longer kept, list again")
)

// Store is the platform's key-value service.
type Store interface {
	// Get returns the entry of key or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries under prefix in key order and the revision of
	// the store at which they were read.
	List(ctx context.Context, prefix string) ([]Entry, Revision, error)
	// Put writes value if the key's revision is prev (0: the key must not
	// exist). A key bound to a lease is removed when the lease ends. It fails with
	// ErrConflict, ErrLeaseLost, ErrTooLarge, ErrUnavailable or
	// ErrUnknownOutcome.
	Put(ctx context.Context, key string, value []byte, prev Revision, lease LeaseID) (Revision, error)
	// Delete removes key if its revision is prev. It fails with ErrNotFound,
	// ErrConflict, ErrUnavailable or ErrUnknownOutcome.
	Delete(ctx context.Context, key string, prev Revision) error
	// Watch waits up to wait for events under prefix later than after and
	// returns them with the revision to pass next; no events is no error. It fails
	// with ErrCompacted if events later than after are no longer kept.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error)
	// GrantLease opens a lease that expires ttl after its last renewal.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease restarts the lease's time to live, or fails with
	// ErrLeaseLost.
	RenewLease(ctx context.Context, id LeaseID) error
	// RevokeLease ends the lease and removes every key bound to it.
	RevokeLease(ctx context.Context, id LeaseID) error
}
