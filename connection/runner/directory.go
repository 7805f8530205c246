package runner

import (
	"context"
	"time"

	"fennelshunt.example/fennelshunt/connection/store"
)

// Change is the current registration of a worker, or the removal of its entry.
type Change struct {
	Worker  Worker // if Removed, only the id is set: that of an incarnation, or a name for all its incarnations
	Removed bool
}

// Directory is the list in which workers register themselves. A removed entry
// does not prove that the worker has exited.
//
// If some entries cannot be read, methods return an error together with the
// entries that could be read; the revision is then not 0.
type Directory interface {
	List(ctx context.Context) ([]Worker, store.Revision, error)
	// Watch returns the changes later than after; it waits up to wait for one.
	Watch(ctx context.Context, after store.Revision, wait time.Duration) ([]Change, store.Revision, error)
}
