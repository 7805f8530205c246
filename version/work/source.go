package work

import (
	"context"
	"time"

	"fennelshunt.example/fennelshunt/connection/store"
)

// Source is the source of the operator's configuration.
type Source interface {
	// Current returns the newest catalog and the revision to watch from, or
	// store.ErrNotFound.
	Current(ctx context.Context) (*Catalog, store.Revision, error)
	// CurrentCached is a cheaper Current whose result may be seconds old.
	CurrentCached(ctx context.Context) (*Catalog, error)
	// Watch waits up to wait for a catalog later than after; nil if none came.
	Watch(ctx context.Context, after store.Revision, wait time.Duration) (*Catalog, store.Revision, error)
}
