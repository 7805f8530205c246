package submit

import (
	"context"
	"errors"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/dispatch"
	"fennelshunt.example/fennelshunt/version/work"
)

// Parts is the jobs' interface of a cell that may be divided: a job is in the part
// that its id names, or, if it was handed in before the cell was divided, in part 0.
type Parts struct {
	// Of returns the services of all parts, and the part of a job; an error while the
	// cell's layout is not known.
	Of func(id work.JobID) (all []*Service, part int, err error)
}

// Submit accepts a job. The error is a *verdict.Error.
func (p Parts) Submit(ctx context.Context, id work.JobID, j *work.Job) error {
	all, part, err := p.Of(id)
	if err != nil {
		return unavailable(CodeStore, err)
	}
	return all[part].Submit(ctx, id, j)
}

// State returns what callers of an account are shown of a job, as Service.State does.
func (p Parts) State(ctx context.Context, id work.JobID, account string) (work.State, error) {
	all, part, err := p.Of(id)
	if err != nil {
		return 0, unavailable(CodeStore, err)
	}
	state, err := all[part].State(ctx, id, account)
	if part != 0 && errors.Is(err, ErrNoJob) {
		return all[0].State(ctx, id, account)
	}
	return state, err
}

// Cancel ends a job, as Service.Cancel does.
func (p Parts) Cancel(ctx context.Context, id work.JobID, account string) error {
	all, part, err := p.Of(id)
	if err != nil {
		return unavailable(CodeStore, err)
	}
	if part != 0 {
		// Its absence in its part must not be marked before it is known not to be in
		// part 0.
		_, early, err := all[0].get(ctx, dispatch.KeyIn(id))
		if err != nil {
			return unavailable(CodeStore, err)
		}
		if early {
			part = 0
		}
	}
	return all[part].Cancel(ctx, id, account)
}

// Explain tells what holds a job up, as Service.Explain does.
func (p Parts) Explain(ctx context.Context, id work.JobID) (dispatch.Explanation, error) {
	all, part, err := p.Of(id)
	if err != nil {
		return dispatch.Explanation{}, err
	}
	x, err := all[part].Explain(ctx, id)
	if part != 0 && errors.Is(err, ErrNoJob) {
		return all[0].Explain(ctx, id)
	}
	return x, err
}

// Pending returns the number of a queue's jobs that have not begun, in all parts.
func (p Parts) Pending(ctx context.Context, queue string) (int, error) {
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

// ElsewhereThan returns the keys under which a job of a part other than 0 may stand
// in part 0, for the Guards of that part.
func ElsewhereThan(part int, id work.JobID) []string {
	if part == 0 {
		return nil
	}
	return []string{store.Outside(dispatch.KeyIn(id)), store.Outside(dispatch.KeyState(id))}
}
