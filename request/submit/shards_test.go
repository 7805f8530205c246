package submit

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/dispatch"
	"fennelshunt.example/fennelshunt/process/lead"
	"fennelshunt.example/fennelshunt/process/outage"
	"fennelshunt.example/fennelshunt/request/verdict"
	"fennelshunt.example/fennelshunt/standin/kv"
	"fennelshunt.example/fennelshunt/version/work"
)

// shardedCell returns one daemon's job service for a cell of two shards. The daemon has read the
// layout of the given revision, by which all jobs belong to the second shard, except those that
// were submitted before the cell was divided.
func shardedCell(m store.Transactor, revision store.Revision) Shards {
	storeTimeout := &store.AdaptiveTimeout{Min: 200 * time.Millisecond, Max: 1500 * time.Millisecond}
	stats := &Stats{}
	pacer := NewPacer(storeTimeout, stats, false, zerolog.Nop())
	service := func(shard int) *Service {
		s, key := m, lead.KeyLayout
		if shard > 0 {
			s, key = store.Prefixed{Transactor: m, Prefix: lead.ShardPrefix(shard)}, store.Unprefixed(key)
		}
		return New(Options{Self: "a", Store: s, StoreTimeout: storeTimeout, View: lead.New(lead.Options{Store: s, StoreTimeout: storeTimeout}).View(),
			Stats: stats, Pacer: pacer, Peers: noPeers{}, Log: zerolog.Nop(), Leading: func() *dispatch.Host { return nil },
			Preconditions: func(id work.JobID) Preconditions {
				return Preconditions{Layout: store.Check{Key: key, Revision: revision}, OtherShardKeys: OtherShardKeysOf(shard, id)}
			}})
	}
	all := []*Service{service(0), service(1)}
	return Shards{Of: func(work.JobID) ([]*Service, int, error) {
		if revision == 0 {
			return all, 0, nil
		}
		return all, 1, nil
	}}
}

func writeLayout(t *testing.T, m *kv.Memory) store.Revision {
	rev, err := m.Put(t.Context(), lead.KeyLayout, lead.Layout{Shards: 2}.Encode(), 0, 0)
	require.NoError(t, err)
	return rev
}

func TestJobSubmittedBeforeShardingStaysOneJob(t *testing.T) {
	// A job must not run once in each shard when it is submitted, the cell is divided, and the
	// caller, whose answer was lost, submits it again.
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		require.NoError(t, shardedCell(m, 0).Submit(t.Context(), id, testJob()))
		sharded := shardedCell(m, writeLayout(t, m))
		require.NoError(t, sharded.Submit(t.Context(), id, testJob()))
		require.True(t, stored(t, m, "job/in/"+string(id)))
		require.False(t, stored(t, m, lead.ShardPrefix(1)+"job/in/"+string(id)))
		state, err := sharded.State(t.Context(), id, "")
		require.NoError(t, err)
		require.Equal(t, work.Queued, state)
		require.NoError(t, sharded.Cancel(t.Context(), id, ""))
		require.True(t, stored(t, m, "job/cancel/"+string(id)))
	})
}

func TestDaemonWithAnOldLayoutAcceptsNothing(t *testing.T) {
	// A daemon with the old layout must not write a job into a shard where no daemon looks for
	// it and its caller would be told that it does not exist. After the refusal the job must not
	// appear.
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		revision := writeLayout(t, m)
		err := shardedCell(m, 0).Submit(t.Context(), id, testJob())
		require.Equal(t, verdict.NotRun, verdict.Of(err))
		require.Positive(t, verdict.As(err).RetryAfterMillis)
		time.Sleep(time.Minute)
		require.False(t, stored(t, m, "job/in/"+string(id)))
		sharded := shardedCell(m, revision)
		require.NoError(t, sharded.Submit(t.Context(), id, testJob()))
		require.True(t, stored(t, m, lead.ShardPrefix(1)+"job/in/"+string(id)))
		require.NoError(t, sharded.Cancel(t.Context(), id, ""))
		_, err = sharded.State(t.Context(), "00000000000000bb", "")
		require.ErrorIs(t, err, ErrNoJob)
	})
}

func TestCancellationsOverShardsAreNotHeldInAnOutage(t *testing.T) {
	// While the store fails, a cancellation must be refused at once, also for a job that is first looked
	// for in shard 0.
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		revision := writeLayout(t, m)
		sharded := shardedCell(m, revision)
		require.NoError(t, sharded.Submit(t.Context(), id, testJob()))
		m.SetFaults(kv.Faults{Hang: true})
		require.Error(t, sharded.Cancel(t.Context(), id, "")) // notices the outage
		time.Sleep(time.Second)
		var held atomic.Int64
		var wg sync.WaitGroup
		for range 10 {
			wg.Go(func() {
				start := time.Now()
				err := sharded.Cancel(t.Context(), id, "")
				assert.Equal(t, verdict.NotRun, verdict.Of(err))
				assert.Positive(t, verdict.As(err).RetryAfterMillis)
				assert.Less(t, time.Since(start), outage.ProbeTimeout)
				if time.Since(start) > 0 {
					held.Add(1)
				}
			})
		}
		wg.Wait()
		require.LessOrEqual(t, held.Load(), int64(1), "one may send a probe")
		m.SetFaults(kv.Faults{})
		time.Sleep(time.Second)
		require.NoError(t, sharded.Cancel(t.Context(), id, ""))
	})
}

func TestOneLostAnswerRefusesNoCancellationOverShards(t *testing.T) {
	// A cancellation must not be refused because one answer was lost, also if it is that of the look into
	// shard 0, and it must not be made in the wrong shard then.
	for _, inShard0 := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			m := kv.New()
			prefix := lead.ShardPrefix(1)
			if inShard0 {
				prefix = ""
				require.NoError(t, shardedCell(m, 0).Submit(t.Context(), id, testJob()))
			}
			revision := writeLayout(t, m)
			if !inShard0 {
				require.NoError(t, shardedCell(m, revision).Submit(t.Context(), id, testJob()))
			}
			lossy := &losesFirstRead{Transactor: m}
			require.NoError(t, shardedCell(lossy, revision).Cancel(t.Context(), id, ""))
			require.Greater(t, lossy.reads, 1)
			require.True(t, stored(t, m, prefix+"job/cancel/"+string(id)), "in shard 0: %v", inShard0)
		})
	}
}

// losesFirstRead is a store that loses the answer to the first read.
type losesFirstRead struct {
	store.Transactor
	reads int
}

func (l *losesFirstRead) Get(ctx context.Context, key string) (store.Entry, error) {
	if l.reads++; l.reads == 1 {
		<-ctx.Done()
		return store.Entry{}, fmt.Errorf("%w: %w", store.ErrUnavailable, ctx.Err())
	}
	return l.Transactor.Get(ctx, key)
}

func TestCancellationOfAJobThatEndedBeforeShardingFindsIt(t *testing.T) {
	// A caller must not be told that its job does not exist because the job ended, in shard 0, before the
	// cell was divided. Its id must not be marked in another shard either.
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		ended, err := work.EncodeProgress(&work.Progress{State: work.Completed})
		require.NoError(t, err)
		_, err = m.Put(t.Context(), dispatch.KeyState(id), ended, 0, 0)
		require.NoError(t, err)
		sharded := shardedCell(m, writeLayout(t, m))
		require.NoError(t, sharded.Cancel(t.Context(), id, ""))
		require.False(t, stored(t, m, lead.ShardPrefix(1)+dispatch.KeyState(id)))
		state, err := sharded.State(t.Context(), id, "")
		require.NoError(t, err)
		require.Equal(t, work.Completed, state)
	})
}

func TestUnknownLayoutIsNoAnswer(t *testing.T) {
	// A daemon that has just started must not tell a caller that its job does not exist.
	p := Shards{Of: func(work.JobID) ([]*Service, int, error) { return nil, 0, errLayoutChanged }}
	_, err := p.State(t.Context(), id, "")
	require.NotErrorIs(t, err, ErrNoJob)
	require.Equal(t, verdict.NotRun, verdict.Of(p.Submit(t.Context(), id, testJob())))
	require.NotErrorIs(t, p.Cancel(t.Context(), id, ""), ErrNoJob)
}
