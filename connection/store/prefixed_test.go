package store_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/standin/kv"
)

func TestPrefixedStoresAreIsolated(t *testing.T) {
	// Guards against a user of a store that reads, checks or changes keys of another user
	// with the same names.
	rapid.Check(t, func(t *rapid.T) {
		ctx := t.Context()
		m := kv.New()
		users := []store.Transactor{m, store.Prefixed{Transactor: m, Prefix: "part/1/"}, store.Prefixed{Transactor: m, Prefix: "part/2/"}}
		type held struct {
			value    string
			revision store.Revision
		}
		model := make([]map[string]held, len(users))
		for i := range model {
			model[i] = map[string]held{}
		}
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			u := rapid.IntRange(0, len(users)-1).Draw(t, "user")
			key := "k/" + rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
			had := model[u][key]
			checked := had.revision
			wrong := rapid.IntRange(0, 3).Draw(t, "wrong") == 0
			if wrong {
				checked += 1000
			}
			value := fmt.Sprint(step)
			rev, err := users[u].Commit(ctx, store.Txn{Checks: []store.Check{{Key: key, Revision: checked}}, Writes: []store.Write{{Key: key, Value: []byte(value)}}})
			if wrong {
				var conflict *store.ConflictError
				require.True(t, errors.As(err, &conflict))
				now, found := conflict.Find(key)
				require.Equal(t, had.revision != 0, found)
				require.Equal(t, had.revision, now.Revision)
			} else {
				require.NoError(t, err)
				model[u][key] = held{value, rev}
			}
		}
		for u, s := range users {
			entries, _, err := s.List(ctx, "k/")
			require.NoError(t, err)
			require.Len(t, entries, len(model[u]))
			for _, e := range entries {
				require.Equal(t, model[u][e.Key].value, string(e.Value))
			}
			for key, h := range model[u] {
				e, err := s.Get(ctx, key)
				require.NoError(t, err)
				require.Equal(t, h.value, string(e.Value))
				require.Equal(t, key, e.Key)
			}
		}
	})
}

func TestPrefixedStoreReachesKeysOutside(t *testing.T) {
	ctx := t.Context()
	m := kv.New()
	rev, err := m.Put(ctx, "shared", []byte("x"), 0, 0)
	require.NoError(t, err)
	p := store.Prefixed{Transactor: m, Prefix: "part/1/"}
	e, err := p.Get(ctx, store.Unprefixed("shared"))
	require.NoError(t, err)
	require.Equal(t, store.Unprefixed("shared"), e.Key)
	_, err = p.Commit(ctx, store.Txn{Checks: []store.Check{{Key: store.Unprefixed("shared"), Revision: rev + 1}}, Writes: []store.Write{{Key: "own"}}})
	var conflict *store.ConflictError
	require.True(t, errors.As(err, &conflict))
	now, found := conflict.Find(store.Unprefixed("shared"))
	require.True(t, found)
	require.Equal(t, rev, now.Revision)
	_, err = p.Put(ctx, "own", []byte("y"), 0, 0)
	require.NoError(t, err)
	events, _, err := p.Watch(ctx, "own", rev, time.Second)
	require.NoError(t, err)
	require.Len(t, events, 1)
	require.Equal(t, "own", events[0].Key)
	own, err := p.Get(ctx, "own")
	require.NoError(t, err)
	require.NoError(t, p.Delete(ctx, "own", own.Revision))
	_, err = p.Get(ctx, "own")
	require.ErrorIs(t, err, store.ErrNotFound)
	_, err = m.Get(ctx, "shared")
	require.NoError(t, err)
}
