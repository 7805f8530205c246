package submit

import (
	"context"
	"errors"
	"time"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/dispatch"
	"fennelshunt.example/fennelshunt/version/work"
)

// Queries: the state of a job and the number of waiting jobs, from the leader or, without an answer
// of it, from the store.

// State returns the state of a job as it is shown to callers of the account. The error is
// ErrNoJob, when the store has nothing under the id, or a *verdict.Error.
func (s *Service) State(ctx context.Context, id work.JobID, account string) (work.State, error) {
	var r stateReply
	err := s.askLeader(ctx, func(ctx context.Context, h *dispatch.Host) error {
		view, known, err := h.State(ctx, id)
		r = stateReply{State: view.State, Known: known, Account: view.Account}
		return err
	}, s.method(MethodState), stateRequest{ID: id}, &r)
	view := dispatch.JobView{State: r.State, Account: r.Account}
	if err != nil || !r.Known {
		if view, err = s.storedState(ctx, id); err != nil {
			return 0, err
		}
	}
	if !work.MayAccess(view.Account, account) {
		return 0, refuseOtherAccount()
	}
	return view.State, nil
}

var errNoLeader = errors.New("submit: no leader is known")

// storedState reads a job's state from the store. The submission is read first: the transaction
// that writes the final state under the job's own key also removes the submission.
func (s *Service) storedState(ctx context.Context, id work.JobID) (dispatch.JobView, error) {
	in, accepted, err := s.get(ctx, dispatch.KeySubmission(id))
	if err != nil {
		return dispatch.JobView{}, unavailable(CodeStore, err)
	}
	p, err := s.progress(ctx, id)
	if err != nil {
		return dispatch.JobView{}, unavailable(CodeStore, err)
	}
	if accepted && (p == nil || !p.State.Final()) {
		if p, err = s.batched(ctx, in, id, p); err != nil {
			return dispatch.JobView{}, unavailable(CodeStore, err)
		}
	}
	var view dispatch.JobView
	if accepted {
		job, err := work.DecodeJob(in.Value)
		if err != nil {
			return dispatch.JobView{}, unavailable(CodeStore, err)
		}
		view.Account = job.Account
	}
	switch {
	case p == nil && accepted:
		return view, nil
	case p == nil, p.State == work.Refused:
		return dispatch.JobView{}, ErrNoJob
	case !accepted:
		view.Account = p.Account
	}
	view.State = p.State
	return view, nil
}

// progress reads the value under a job's own key; nil if there is none.
func (s *Service) progress(ctx context.Context, id work.JobID) (*work.Progress, error) {
	entry, found, err := s.get(ctx, dispatch.KeyState(id))
	if err != nil || !found {
		return nil, err
	}
	return work.DecodeProgress(entry.Value)
}

// batched looks for a job's final state in the batches of job states, and returns own if there
// is none.
//
// Without it, a job that ended while the store was slow could be shown as completed and later as
// running again, if the leader fails before it has moved the final state from the batch to the
// job's own key.
func (s *Service) batched(ctx context.Context, in store.Entry, id work.JobID, own *work.Progress) (*work.Progress, error) {
	var entries []store.Entry
	err := s.o.StoreTimeout.Call(ctx, func(ctx context.Context) (err error) {
		entries, _, err = s.o.Store.List(ctx, dispatch.PrefixBatches)
		return err
	})
	if err != nil {
		return nil, err
	}
	if p, found := dispatch.NewestProgress(entries, id, in.Revision); found && p.State.Final() {
		return p, nil
	}
	return own, nil
}

// Pending returns the number of a queue's jobs that have not begun; the number may be up to
// pendingAge (1.5 s) old. The error is a *verdict.Error.
func (s *Service) Pending(ctx context.Context, queue string) (int, error) {
	var r pendingReply
	err := s.askLeader(ctx, func(ctx context.Context, h *dispatch.Host) (err error) {
		r.N, err = h.Pending(ctx, queue)
		return err
	}, s.method(MethodPending), pendingRequest{Queue: queue}, &r)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.pending[queue] = count{r.N, time.Now()}
		return r.N, nil
	}
	if c, ok := s.pending[queue]; ok && time.Since(c.at) < pendingAge {
		return c.n, nil
	}
	return 0, unavailable(CodeLeader, err)
}

// jobKeys returns the keys of which one exists while the store has a job. The submission comes first,
// since the write of a job's end removes it and writes the state: read in this order, a job is not
// missed.
func jobKeys(id work.JobID) []string {
	return []string{dispatch.KeySubmission(id), dispatch.KeyState(id)}
}

// anyStored reads keys one after the other until one exists, and reports whether one does.
func (s *Service) anyStored(ctx context.Context, keys ...string) (bool, error) {
	for _, key := range keys {
		if _, found, err := s.get(ctx, key); found || err != nil {
			return found, err
		}
	}
	return false, nil
}
