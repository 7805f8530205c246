package runner

import (
	"context"
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

// Directory is the list in which workers register themselves. A removed entry
// does not prove that the worker has exited.
//
// If some entries cannot be read, methods return an error together with the
// entries that could be read; the revision is then not 0.
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
