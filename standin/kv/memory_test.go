package kv_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/standin/kv"
)

// engines returns constructors of an engine used directly and of one used over HTTP.
func engines(t *testing.T) map[string]func() (*kv.Memory, store.Store) {
	return map[string]func() (*kv.Memory, store.Store){
		"memory": func() (*kv.Memory, store.Store) { m := kv.New(); return m, m },
		"http": func() (*kv.Memory, store.Store) {
			m := kv.New()
			server := httptest.NewServer(kv.Handler(m))
			t.Cleanup(server.Close)
			return m, store.NewHTTP(server.URL, nil)
		},
	}
}

func TestEngineImplementsTheStoreContract(t *testing.T) {
	for name, open := range engines(t) {
		t.Run(name, func(t *testing.T) {
			m, s := open()
			ctx := context.Background()
			rev, err := s.Put(ctx, "a/1", []byte("x"), 0, 0)
			require.NoError(t, err)
			_, err = s.Put(ctx, "a/1", []byte("y"), 0, 0)
			require.ErrorIs(t, err, store.ErrConflict)
			_, err = s.Put(ctx, "a/2", make([]byte, store.MaxValueSize+1), 0, 0)
			require.ErrorIs(t, err, store.ErrTooLarge)
			_, err = s.Get(ctx, "b")
			require.ErrorIs(t, err, store.ErrNotFound)
			require.ErrorIs(t, s.Delete(ctx, "b", 1), store.ErrNotFound)
			require.ErrorIs(t, s.Delete(ctx, "a/1", rev+1), store.ErrConflict)

			id, err := s.GrantLease(ctx, time.Hour)
			require.NoError(t, err)
			_, err = s.Put(ctx, "a/2", []byte("z"), 0, id)
			require.NoError(t, err)
			require.NoError(t, s.RenewLease(ctx, id))
			require.NoError(t, s.RevokeLease(ctx, id))
			require.ErrorIs(t, s.RenewLease(ctx, id), store.ErrLeaseLost)
			_, err = s.Put(ctx, "a/3", nil, 0, id)
			require.ErrorIs(t, err, store.ErrLeaseLost)

			entries, at, err := s.List(ctx, "a/")
			require.NoError(t, err)
			require.Equal(t, []store.Entry{{Key: "a/1", Value: []byte("x"), Revision: rev}}, entries)
			events, next, err := s.Watch(ctx, "a/", rev, time.Second)
			require.NoError(t, err)
			require.Equal(t, at, next)
			require.Len(t, events, 2)
			require.Equal(t, "a/2", events[1].Key)
			require.True(t, events[1].Deleted)

			m.Compact()
			_, _, err = s.Watch(ctx, "a/", rev, 0)
			require.ErrorIs(t, err, store.ErrCompacted)
			m.SetFaults(kv.Faults{Down: true})
			_, err = s.Put(ctx, "a/1", nil, rev, 0)
			require.ErrorIs(t, err, store.ErrUnavailable)
			m.SetFaults(kv.Faults{LoseAnswers: 1})
			_, err = s.Put(ctx, "a/1", []byte("w"), rev, 0)
			require.ErrorIs(t, err, store.ErrUnknownOutcome)
			m.SetFaults(kv.Faults{})
			e, err := s.Get(ctx, "a/1")
			require.NoError(t, err)
			require.Equal(t, []byte("w"), e.Value)
		})
	}
}

// TestLongDelaysAndDelayedWatches guards against a slow store in which a watch that waits for an event
// still answers at once.
func TestLongDelaysAndDelayedWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		put := func() {
			_, err := m.Commit(t.Context(), store.Txn{Writes: []store.Write{{Key: "k", Value: []byte("v")}}})
			require.NoError(t, err)
		}
		watch := func(after store.Revision) time.Duration { // from the event on
			began := time.Now()
			time.AfterFunc(time.Second, put)
			events, _, err := m.Watch(t.Context(), "k", after, time.Minute)
			require.NoError(t, err)
			require.Len(t, events, 1)
			return time.Since(began) - time.Second
		}
		m.SetFaults(kv.Faults{DelayWatches: true})
		require.Zero(t, watch(m.Revision()))
		m.SetFaults(kv.Faults{LongDelay: 400 * time.Millisecond, LongDelayChance: 1})
		began := time.Now()
		put()
		require.GreaterOrEqual(t, time.Since(began), 100*time.Millisecond)
		require.LessOrEqual(t, time.Since(began), 400*time.Millisecond)
		m.SetFaults(kv.Faults{Delay: 30 * time.Millisecond})
		require.Equal(t, 30*time.Millisecond, watch(m.Revision()), "only the write is delayed")
		m.SetFaults(kv.Faults{Delay: 30 * time.Millisecond, DelayWatches: true})
		require.Equal(t, 60*time.Millisecond, watch(m.Revision()), "the write and the answer are delayed")
		m.SetFaults(kv.Faults{WatchDelay: 50 * time.Millisecond})
		require.Equal(t, 50*time.Millisecond, watch(m.Revision()))
	})
}
