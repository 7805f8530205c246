package submit

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/dispatch"
	"fennelshunt.example/fennelshunt/standin/kv"
	"fennelshunt.example/fennelshunt/version/work"
)

// offeredPeers records what is offered to the leader.
type offeredPeers struct {
	mu     sync.Mutex
	offers []offer
}

func (p *offeredPeers) CallAddr(_ context.Context, _ string, method peer.Method, req, _ any) (peer.Ref, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if method == MethodOffer {
		p.offers = append(p.offers, req.(offer))
	}
	return peer.Ref{}, nil
}

// offersOf returns what a daemon offers to the leader while a job is submitted.
func offersOf(t *testing.T, m *kv.Memory, j *work.Job) []offer {
	peers := &offeredPeers{}
	s := cellOf(t, m, peers)
	s.o.Self = "c" // one of the two others leads
	require.NoError(t, s.Submit(t.Context(), id, j))
	time.Sleep(time.Second)
	peers.mu.Lock()
	defer peers.mu.Unlock()
	return peers.offers
}

// TestDuplicateOffersTheJobThatIsStored guards against a leader that takes a repeated submission for the job and so
// believes that no earlier leader has started it: the repetition carries the epoch of its own arrival.
func TestDuplicateOffersTheJobThatIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		require.NoError(t, newService(m).Submit(t.Context(), id, testJob()))
		first, err := m.Get(t.Context(), dispatch.KeySubmission(id))
		require.NoError(t, err)
		again := testJob()
		again.Steps[0].Count = 2
		require.Equal(t, []offer{{Key: first.Key, Value: first.Value, Revision: uint64(first.Revision)}}, offersOf(t, m, again))
	})
}

// TestDuplicateOfAnEndedJobIsNotOffered guards against a job that runs again after it has ended, because a repeated
// submission is offered to a leader that has just forgotten the job.
func TestDuplicateOfAnEndedJobIsNotOffered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		ended, err := work.EncodeProgress(&work.Progress{State: work.Completed})
		require.NoError(t, err)
		_, err = m.Commit(t.Context(), store.Txn{Writes: []store.Write{{Key: dispatch.KeyState(id), Value: ended}}})
		require.NoError(t, err)
		require.Empty(t, offersOf(t, m, testJob()))
	})
}

// TestSubmissionOffersItsJob guards against a job that waits for the leader's watch because its
// submission offers nothing.
func TestSubmissionOffersItsJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		offers := offersOf(t, m, testJob())
		require.Len(t, offers, 1)
		job, err := work.DecodeJob(offers[0].Value)
		require.NoError(t, err)
		require.Equal(t, testJob().Spec, job.Spec)
		stored, err := m.Get(t.Context(), dispatch.KeySubmission(id))
		require.NoError(t, err)
		require.EqualValues(t, stored.Revision, offers[0].Revision)
	})
}
