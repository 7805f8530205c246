package versions

import (
	"context"

	"fennelshunt.example/fennelshunt/version/history"
	"fennelshunt.example/fennelshunt/version/spec"
)

// Applier applies files and waits until they are in force on every daemon.
type Applier struct {
	History    *history.History
	Replicator *Replicator
}

// Applied is the result of an apply.
type Applied struct {
	history.Result
	// Members holds the version that each daemon has in force.
	Members []MemberVersion `json:"members,omitempty"`
	// Lagging holds those that did not have the version in force in time. They
	// still fetch it as soon as they can.
	Lagging []MemberVersion `json:"lagging,omitempty"`
}

// Apply applies file; see history.History.ApplyAs for base and errors. It does
// not wait for the other daemons.
func (a *Applier) Apply(ctx context.Context, file *spec.File, base uint64, by history.By) (Applied, error) {
	result, err := a.History.ApplyAs(ctx, file, base, by)
	if err != nil {
		return Applied{}, err
	}
	a.Replicator.offer(ctx, result.Snapshot)
	return Applied{Result: result}, nil
}

// Check reports whether file could be applied on base now.
func (a *Applier) Check(ctx context.Context, file *spec.File, base uint64, by history.By) error {
	return a.History.Check(ctx, file, base, by)
}

// Latest returns the latest version, read from the store.
func (a *Applier) Latest(ctx context.Context) (*history.Snapshot, error) {
	return a.History.Current(ctx)
}

// List returns changes below version before, the latest first.
func (a *Applier) List(ctx context.Context, before uint64, limit int) ([]history.Change, error) {
	return a.History.List(ctx, before, limit)
}

// Await waits until every member has the applied version in force, for
// PropagationLimit at most, and fills in Members and Lagging.
func (a *Applier) Await(ctx context.Context, applied *Applied) {
	ctx, cancel := context.WithTimeout(ctx, PropagationLimit)
	defer cancel()
	applied.Members = a.Replicator.Await(ctx, applied.Version)
	applied.Lagging = Lagging(applied.Members, applied.Version)
}

// offer passes to the loop a snapshot that was just read from or written to the
// store.
func (r *Replicator) offer(ctx context.Context, s *history.Snapshot) {
	select {
	case r.offers <- s:
	case <-ctx.Done(): // the watch delivers it too
	}
}

// InForce returns the version in force on this daemon.
func (a *Applier) InForce() *history.Snapshot { return a.Replicator.Snapshot() }
