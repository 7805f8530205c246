package submit

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/dispatch"
	"fennelshunt.example/fennelshunt/request/verdict"
	"fennelshunt.example/fennelshunt/standin/kv"
	"fennelshunt.example/fennelshunt/version/work"
)

// lossyStore is a store that loses the answer to the next commit and is then down.
type lossyStore struct{ *kv.Memory }

func (l lossyStore) Commit(ctx context.Context, t store.Txn) (store.Revision, error) {
	l.SetFaults(kv.Faults{LoseAnswers: 1})
	rev, err := l.Memory.Commit(ctx, t)
	l.SetFaults(kv.Faults{Down: true})
	return rev, err
}

// cutStore is a store that a daemon cannot reach.
type cutStore struct{ *kv.Memory }

func (cutStore) Get(context.Context, string) (store.Entry, error) {
	return store.Entry{}, store.ErrUnavailable
}

func (cutStore) Commit(context.Context, store.Txn) (store.Revision, error) {
	return 0, store.ErrUnavailable
}

// cancelPeers is a cell in which another daemon serves the forwarded cancellations; lost answers
// end with err.
type cancelPeers struct {
	other *Service
	err   error
}

func (p cancelPeers) CallAddr(ctx context.Context, _ string, _ peer.Method, req, resp any) (peer.Ref, error) {
	reply, err := p.other.serveCancel(ctx, req.(cancelRequest))
	if p.err != nil || err != nil {
		return peer.Ref{}, errors.Join(p.err, err)
	}
	*resp.(*cancelReply) = reply.(cancelReply)
	return peer.Ref{}, nil
}

// TestCancellationInTheStoreIsNotCalledNotRun guards against a cancellation that took effect and is
// answered "not run", because its answer was lost and the store failed afterwards.
func TestCancellationInTheStoreIsNotCalledNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		require.NoError(t, newService(m).Submit(t.Context(), id, testJob()))
		err := newService(lossyStore{m}).Cancel(t.Context(), id, "")
		require.Error(t, err)
		m.SetFaults(kv.Faults{})
		require.True(t, stored(t, m, dispatch.KeyCancel(id)))
		require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
	})
}

// garblingStore loses the answer to the next commit, after which another writer has replaced the
// submission of the job by bytes that cannot be decoded.
type garblingStore struct{ *kv.Memory }

func (g garblingStore) Commit(ctx context.Context, t store.Txn) (store.Revision, error) {
	g.SetFaults(kv.Faults{LoseAnswers: 1})
	rev, err := g.Memory.Commit(ctx, t)
	g.SetFaults(kv.Faults{})
	in, readErr := g.Get(ctx, dispatch.KeySubmission(id))
	_, writeErr := g.Put(ctx, in.Key, []byte{0xff}, in.Revision, 0)
	return rev, errors.Join(err, readErr, writeErr)
}

// TestRefusalAfterAnUnconfirmedCancellationIsNotCalledNotRun guards against "not run" from a later
// try that is refused for another reason, when an earlier one has written the cancellation.
func TestRefusalAfterAnUnconfirmedCancellationIsNotCalledNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		require.NoError(t, newService(m).Submit(t.Context(), id, testJob()))
		err := newService(garblingStore{m}).Cancel(t.Context(), id, "")
		require.Error(t, err)
		require.True(t, stored(t, m, dispatch.KeyCancel(id)))
		require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
	})
}

// TestMarkInTheStoreIsNotCalledNotRun guards against the same for the mark under an id without a
// job, after which no job can be submitted under the id.
func TestMarkInTheStoreIsNotCalledNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		err := newService(lossyStore{m}).Cancel(t.Context(), id, "")
		require.Error(t, err)
		m.SetFaults(kv.Faults{})
		require.True(t, stored(t, m, dispatch.KeyState(id)))
		require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
	})
}

// TestForwardedCancellationWithoutAnAnswerIsNotCalledNotRun guards against a cancellation that
// another daemon has written, whose answer to this daemon was lost, and that is answered "not run".
func TestForwardedCancellationWithoutAnAnswerIsNotCalledNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		other := newService(m)
		require.NoError(t, other.Submit(t.Context(), id, testJob()))
		s := cellOf(t, m, cancelPeers{other, peer.ErrUnknown})
		s.o.Store = cutStore{m}
		err := s.Cancel(t.Context(), id, "")
		require.Error(t, err)
		require.True(t, stored(t, m, dispatch.KeyCancel(id)))
		require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
	})
}

// TestOutcomeOfAForwardedCancellationReachesTheCaller guards against "not run" for a cancellation
// whose outcome only the other daemon knows: the job does not exist, and the id has been marked; or
// the store did not answer the other daemon.
func TestOutcomeOfAForwardedCancellationReachesTheCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		s := cellOf(t, m, cancelPeers{other: newService(m)})
		s.o.Store = cutStore{m}
		require.ErrorIs(t, s.Cancel(t.Context(), id, ""), ErrNoJob)
		require.True(t, stored(t, m, dispatch.KeyState(id)))

		s.o.Peers = cancelPeers{other: newService(lossyStore{m})}
		require.Equal(t, verdict.MayHaveRun, verdict.Of(s.Cancel(t.Context(), "00000000000000bb", "")))
		m.SetFaults(kv.Faults{})
	})
}

// oldPeers answer as a daemon of a version whose replies say nothing beyond Accepted.
type oldPeers struct{}

func (oldPeers) CallAddr(context.Context, string, peer.Method, any, any) (peer.Ref, error) {
	return peer.Ref{}, nil
}

// TestCancellationByAnOldDaemonIsNotCalledNotRun guards against "not run" during an upgrade: the
// reply of an earlier version does not tell a cancellation that may have taken effect.
func TestCancellationByAnOldDaemonIsNotCalledNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		s := cellOf(t, m, oldPeers{})
		s.o.Store = cutStore{m}
		require.Equal(t, verdict.MayHaveRun, verdict.Of(s.Cancel(t.Context(), id, "")))
	})
}

// TestCancellationThatNobodyWroteIsNotRun guards against a caller who is told that its cancellation
// may have taken effect, although neither this daemon nor another reached the store.
func TestCancellationThatNobodyWroteIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		s := cellOf(t, m, cancelPeers{other: newService(cutStore{m})})
		s.o.Store = cutStore{m}
		err := s.Cancel(t.Context(), id, "")
		require.Equal(t, verdict.NotRun, verdict.Of(err))
		require.Positive(t, verdict.As(err).RetryAfterMillis)
	})
}

// TestLostAnswersNeverMakeAFalseRefusalOfACancellation guards against each of these over seeds: the
// store loses answers and requests, refuses calls and delays writes past their timeout.
func TestLostAnswersNeverMakeAFalseRefusalOfACancellation(t *testing.T) {
	refused := 0
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			m := kv.NewSeeded(seed)
			s := newService(m)
			verdicts := map[work.JobID]error{}
			for i := range 20 {
				key := work.JobID(fmt.Sprintf("%016x", i))
				if i%2 == 0 {
					require.NoError(t, s.Submit(t.Context(), key, testJob()))
				}
				m.SetFaults(kv.Faults{LoseAnswers: 0.3, LoseRequests: 0.2, Delay: 2 * time.Second, DelayChance: 0.3, Refuse: 0.5})
				verdicts[key] = s.Cancel(t.Context(), key, "")
				m.SetFaults(kv.Faults{})
				_, _, err := s.get(t.Context(), probeKey)
				require.NoError(t, err)
			}
			time.Sleep(time.Minute)
			for key, err := range verdicts {
				took := stored(t, m, dispatch.KeyCancel(key)) || stored(t, m, dispatch.KeyState(key))
				switch {
				case err == nil, errors.Is(err, ErrNoJob):
					require.True(t, took, "seed %d: %s was acknowledged: %v", seed, key, err)
				case verdict.Of(err) == verdict.NotRun:
					refused++
					require.False(t, took, "seed %d: %s was refused: %v", seed, key, err)
				}
			}
		})
	}
	require.Positive(t, refused)
}
