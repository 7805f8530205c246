package runner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"fennelshunt.example/fennelshunt/connection/store"
)

// Change is the current registration of a worker, or the removal of its entry.
type Change struct {
	// Worker is the registration. If Removed is set, only its ID is set: that of one
	// incarnation, or the worker's name, which stands for all its incarnations.
	Worker  Worker
	Removed bool
}

// EntryErrors are the entries of a directory that name no worker to use, the others having been read.
type EntryErrors []EntryError

// EntryError is such an entry, by the name of its worker, with the reason.
type EntryError struct {
	Name string
	Err  error
}

// Error implements error. It names the first entry.
func (e EntryErrors) Error() string {
	if len(e) == 0 {
		return "no entry is refused"
	}
	return fmt.Sprintf("%d entries refused, the first is %q: %v", len(e), e[0].Name, e[0].Err)
}

// OrNil returns the errors as an error, nil if there are none.
func (e EntryErrors) OrNil() error {
	if len(e) == 0 {
		return nil
	}
	return e
}

// Refused returns the entries that an error of a Directory is about, and nil in place of an error that is about nothing else.
func Refused(err error) (EntryErrors, error) {
	var refused EntryErrors
	if errors.As(err, &refused) {
		return refused, nil
	}
	return nil, err
}

// Directory is the list in which workers register themselves. A removed entry
// does not prove that the worker has exited.
//
// If some entries cannot be read, or cannot be true, methods return EntryErrors together with the
// entries that could be read and with the revision. Watch returns such an entry as a removal as well.
type Directory interface {
	// List returns all entries and the revision to watch from.
	List(ctx context.Context) ([]Worker, store.Revision, error)
	// Has reports whether there is an entry under a worker's name now, of whichever incarnation and whether it can be
	// read or not; an error means that this is not known.
	Has(ctx context.Context, name string) (bool, error)
	// Watch waits up to wait for changes later than after. It returns them, none after
	// wait, with the revision to pass next.
	Watch(ctx context.Context, after store.Revision, wait time.Duration) ([]Change, store.Revision, error)
}
