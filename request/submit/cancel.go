package submit

import (
	"context"
	"errors"
	"fmt"
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/internal/sleep"
	"fennelshunt.example/fennelshunt/process/dispatch"
	"fennelshunt.example/fennelshunt/process/outage"
	"fennelshunt.example/fennelshunt/request/verdict"
	"fennelshunt.example/fennelshunt/version/work"
)

// cancelRetryDelay is how long a cancellation waits at most before it calls a failing store again,
// with the policy no_outage_pacing. An answer to any other call ends the wait.
const cancelRetryDelay = 300 * time.Millisecond

// Cancel cancels a job for callers of its account. The error is ErrNoJob, when no such job
// exists or can still come into existence, or a *verdict.Error.
func (s *Service) Cancel(ctx context.Context, id work.JobID, account string) error {
	if s.pacer.off {
		return s.cancelUnpaced(ctx, id, account)
	}
	return s.cancelPaced(ctx, id, account, s, nil)
}

// cancelPaced cancels a job in the shard of the service of. If that is nil, it is found by find, which
// reads from the store.
func (s *Service) cancelPaced(ctx context.Context, id work.JobID, account string, of *Service, find func(context.Context) (*Service, error)) error {
	return s.paced(ctx, pacedRequest{
		try: func(ctx context.Context, r *outage.Request) (done bool, err error) {
			if of == nil {
				found, err := find(ctx)
				if err != nil {
					return false, err
				}
				of = found
			}
			done, err = of.cancelOnce(ctx, id, account)
			switch {
			case done && r.Unconfirmed && verdict.Of(err) == verdict.NotRun:
				return true, unknown(err)
			case errors.Is(err, store.ErrUnknownOutcome):
				r.Unconfirmed = true
			}
			return done, err
		},
		forward: func(ctx context.Context, r *outage.Request) (done bool, err error) {
			if of == nil {
				return false, nil // another daemon would mark the id in a shard that the job may not be in
			}
			done, uncertain, err := of.forwardCancel(ctx, id, account)
			r.TargetUncertain = r.TargetUncertain || uncertain
			r.Unconfirmed = r.Unconfirmed || uncertain
			return done, err
		},
	})
}

// cancelUnpaced is Cancel with the policy no_outage_pacing.
func (s *Service) cancelUnpaced(ctx context.Context, id work.JobID, account string) error {
	ctx, cancel := context.WithTimeout(ctx, submitBudget)
	defer cancel()
	unconfirmed := false // whether an unanswered write may still take effect
	var last error
	for ctx.Err() == nil {
		done, err := s.cancelOnce(ctx, id, account)
		switch {
		case done && unconfirmed && verdict.Of(err) == verdict.NotRun:
			return unknown(err)
		case done:
			return err
		}
		last = err
		switch {
		case errors.Is(err, store.ErrUnknownOutcome):
			unconfirmed = true
		case !errors.Is(err, store.ErrConflict):
			done, uncertain, err := s.forwardCancel(ctx, id, account)
			if done {
				return err
			}
			unconfirmed = unconfirmed || uncertain
		}
		_ = sleep.For(ctx, retryDelay) // the loop condition checks ctx
		s.o.StoreTimeout.AwaitAnswer(ctx, cancelRetryDelay)
	}
	return refuseAtEnd(ctx, last, unconfirmed)
}

// cancelOnce makes one attempt; done reports that err is the final result.
func (s *Service) cancelOnce(ctx context.Context, id work.JobID, account string) (done bool, err error) {
	accepted, found, err := s.get(ctx, dispatch.KeySubmission(id))
	if err != nil {
		return false, err
	}
	if !found {
		return s.cancelAbsent(ctx, id, account)
	}
	job, err := work.DecodeJob(accepted.Value)
	switch {
	case err != nil:
		return true, unavailable(CodeStore, err)
	case !work.MayAccess(job.Account, account):
		return true, refuseOtherAccount()
	}
	key := dispatch.KeyCancel(id)
	err = s.commit(ctx, store.Txn{
		Checks: []store.Check{{Key: dispatch.KeySubmission(id), Revision: accepted.Revision}},
		Writes: []store.Write{{Key: key, Value: dispatch.CancelJob}},
	})
	if err != nil {
		return false, err
	}
	s.stats.Cancelled.Add(1)
	s.push(store.Entry{Key: key, Value: dispatch.CancelJob})
	return true, nil
}

// cancelAbsent handles a job without a submission: it has ended, or its id is marked, so that a
// submission still in flight cannot take effect after the caller was told that no such job
// exists.
func (s *Service) cancelAbsent(ctx context.Context, id work.JobID, account string) (done bool, err error) {
	entry, found, err := s.get(ctx, dispatch.KeyState(id))
	if err != nil {
		return false, err
	}
	if found {
		p, err := work.DecodeProgress(entry.Value)
		switch {
		case err != nil:
			return true, unavailable(CodeStore, err)
		case p.State == work.Refused:
			return true, ErrNoJob
		case !work.MayAccess(p.Account, account):
			return true, refuseOtherAccount()
		case !p.State.Final():
			// The submission is removed only with a final state, so it was stored after it was read.
			return false, fmt.Errorf("submission was stored meanwhile: %w", store.ErrConflict)
		}
		return true, nil
	}
	mark, err := work.EncodeProgress(&work.Progress{State: work.Refused})
	if err != nil {
		return true, unavailable(CodeStore, err)
	}
	err = s.commit(ctx, store.Txn{
		Checks: []store.Check{{Key: dispatch.KeySubmission(id)}, {Key: dispatch.KeyState(id)}},
		Writes: []store.Write{{Key: dispatch.KeyState(id), Value: mark}, {Key: dispatch.KeyCancel(id), Value: dispatch.CancelAbsent}},
	})
	if err != nil {
		return false, err
	}
	return true, ErrNoJob
}

// forwardCancel has another daemon cancel the job. done reports that err, nil or ErrNoJob, is the
// final result; uncertain that a daemon may have written the cancellation although it did not say so.
func (s *Service) forwardCancel(ctx context.Context, id work.JobID, account string) (done, uncertain bool, err error) {
	for _, m := range s.pacer.targets(s) {
		if uncertain && !s.pacer.off {
			break
		}
		var r cancelReply
		if err := s.callTarget(ctx, m, s.method(MethodCancel), cancelRequest{ID: id, Account: account}, &r); err != nil {
			s.o.Log.Debug().Err(err).Str("job", string(id)).Msg("cancellation was not accepted by another daemon")
			uncertain = uncertain || !peer.NotRun(err)
			continue
		}
		switch {
		case r.Accepted:
			return true, false, nil
		case r.NoJob:
			return true, false, ErrNoJob
		}
		uncertain = uncertain || !r.NotRun
	}
	return false, uncertain, nil
}
