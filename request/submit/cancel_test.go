package submit

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

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
