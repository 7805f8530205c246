package submit

import (
	"context"
	"errors"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/dispatch"
	"fennelshunt.example/fennelshunt/version/work"
)

// Shards serves the job requests of a cell that may be divided into shards. A job is in the shard
// that its id maps to or, if it was submitted before the cell was divided, in shard 0.
type Shards struct {
	// Of returns the services of all shards and the shard of a job; an error while the shard
	// layout is unknown.
	Of func(id work.JobID) (all []*Service, shard int, err error)
}

// Submit accepts a job, as Service.Submit does.
func (p Shards) Submit(ctx context.Context, id work.JobID, j *work.Job) error {
	all, shard, err := p.Of(id)
	if err != nil {
		return unavailable(CodeStore, err)
	}
	return all[shard].Submit(ctx, id, j)
}

// State returns the state of a job as it is shown to callers of the account, as Service.State
// does.
func (p Shards) State(ctx context.Context, id work.JobID, account string) (work.State, error) {
	all, shard, err := p.Of(id)
	if err != nil {
		return 0, unavailable(CodeStore, err)
	}
	state, err := all[shard].State(ctx, id, account)
	if shard != 0 && errors.Is(err, ErrNoJob) {
		return all[0].State(ctx, id, account)
	}
	return state, err
}

// Cancel cancels a job, as Service.Cancel does.
func (p Shards) Cancel(ctx context.Context, id work.JobID, account string) error {
	all, shard, err := p.Of(id)
	if err != nil {
		return unavailable(CodeStore, err)
	}
	own, shard0 := all[shard], all[0]
	if shard == 0 {
		return own.Cancel(ctx, id, account)
	}
	// Cancelling a job that is absent marks its id in its shard, so the job must first be looked for in
	// shard 0.
	find := func(ctx context.Context) (*Service, error) {
		inShard0, err := shard0.anyStored(ctx, jobKeys(id)...)
		switch {
		case err != nil:
			return nil, err
		case inShard0:
			return shard0, nil
		}
		return own, nil
	}
	if !own.pacer.off {
		return own.cancelPaced(ctx, id, account, nil, find)
	}
	of, err := find(ctx)
	if err != nil {
		return unavailable(CodeStore, err)
	}
	return of.Cancel(ctx, id, account)
}

// Explain returns what delays a job, as Service.Explain does.
func (p Shards) Explain(ctx context.Context, id work.JobID) (dispatch.Explanation, error) {
	all, shard, err := p.Of(id)
	if err != nil {
		return dispatch.Explanation{}, err
	}
	x, err := all[shard].Explain(ctx, id)
	if shard != 0 && errors.Is(err, ErrNoJob) {
		return all[0].Explain(ctx, id)
	}
	return x, err
}

// Pending returns the number of a queue's jobs that have not begun, over all shards, as
// Service.Pending does.
func (p Shards) Pending(ctx context.Context, queue string) (int, error) {
	all, _, err := p.Of("")
	if err != nil {
		return 0, unavailable(CodeLeader, err)
	}
	sum := 0
	for _, s := range all {
		n, err := s.Pending(ctx, queue)
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return sum, nil
}

// OtherShardKeysOf returns the keys under which a job of a shard other than 0 may exist in shard 0,
// for the Preconditions of that shard.
func OtherShardKeysOf(shard int, id work.JobID) []string {
	if shard == 0 {
		return nil
	}
	return []string{store.Unprefixed(dispatch.KeySubmission(id)), store.Unprefixed(dispatch.KeyState(id))}
}
