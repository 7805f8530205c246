package cellnode

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/dispatch"
	"fennelshunt.example/fennelshunt/process/relay"
	"fennelshunt.example/fennelshunt/standin/kv"
	"fennelshunt.example/fennelshunt/version/work"
)

func TestSpecIsReadFromTheStore(t *testing.T) {
	m := kv.New()
	s := &shard{store: m, n: &Node{storeTimeout: &store.AdaptiveTimeout{Min: 200 * time.Millisecond, Max: 1500 * time.Millisecond}}}
	put := func(id work.JobID, specStored bool, inside string) {
		value, err := work.EncodeJob(&work.Job{Queue: work.Queue{Name: "q", Attempts: 1, Slack: 1}, Spec: inside, SpecStored: specStored, Steps: []work.Step{{Count: 1}}})
		require.NoError(t, err)
		txn := store.Txn{Writes: []store.Write{{Key: dispatch.KeySubmission(id), Value: value}}}
		if specStored && inside == "" {
			txn.Writes = append(txn.Writes, store.Write{Key: dispatch.KeySpec(id), Value: []byte("kept apart")})
		}
		_, err = m.Commit(t.Context(), txn)
		require.NoError(t, err)
	}
	put("00000000000000aa", true, "")
	spec, err := s.storedSpec(t.Context(), "00000000000000aa")
	require.NoError(t, err)
	require.Equal(t, "kept apart", spec)
	put("00000000000000bb", false, "inside")
	spec, err = s.storedSpec(t.Context(), "00000000000000bb")
	require.NoError(t, err)
	require.Equal(t, "inside", spec, "accepted by a daemon of the previous release")
	_, err = s.storedSpec(t.Context(), "00000000000000cc")
	require.ErrorIs(t, err, store.ErrNotFound)
}

func TestSpecIsReadOnceForAllTasksOfAJob(t *testing.T) {
	// Guards against hundreds of reads of the store for a few jobs after all daemons were
	// lost: the tasks of a wide job start at the same moment, no daemon has the spec in
	// memory, and each start read it on its own.
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		const id = work.JobID("00000000000000aa")
		_, err := m.Commit(t.Context(), store.Txn{Writes: []store.Write{{Key: dispatch.KeySpec(id), Value: []byte("x")}}})
		require.NoError(t, err)
		m.SetFaults(kv.Faults{Delay: 50 * time.Millisecond, DelayChance: 1})
		s := &shard{store: m, n: &Node{storeTimeout: &store.AdaptiveTimeout{Min: 200 * time.Millisecond, Max: 1500 * time.Millisecond}}}
		before := m.Counts().Get
		var starts sync.WaitGroup
		for range 25 {
			starts.Go(func() {
				spec, err := s.storedOnce(t.Context(), id)
				assert.NoError(t, err)
				assert.Equal(t, "x", spec)
			})
		}
		synctest.Wait()
		starts.Wait()
		require.Equal(t, 1, int(m.Counts().Get-before))
	})
}

// TestSpecOfALaterJobIsNotRead guards against a late start of a job that has ended, which would be given the spec of a later job
// under its id.
func TestSpecOfALaterJobIsNotRead(t *testing.T) {
	m := kv.New()
	const id = work.JobID("00000000000000aa")
	_, err := m.Commit(t.Context(), store.Txn{Writes: []store.Write{{Key: dispatch.KeySpec(id), Value: []byte("later")}}})
	require.NoError(t, err)
	n := &Node{storeTimeout: &store.AdaptiveTimeout{Min: 200 * time.Millisecond, Max: 1500 * time.Millisecond}, relay: relay.NewServer(nil, nil, zerolog.Nop())}
	s := &shard{store: m, n: n}
	_, err = s.spec(t.Context(), id, "", work.DigestOf("earlier"))
	require.ErrorIs(t, err, store.ErrNotFound)
	spec, err := s.spec(t.Context(), id, "", work.DigestOf("later"))
	require.NoError(t, err)
	require.Equal(t, "later", spec)
}
