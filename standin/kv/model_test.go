package kv_test

import (
	"context"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/internal/rapidtest"
	"fennelshunt.example/fennelshunt/standin/kv"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

// naive is the reference implementation: a log of events that is replayed for each query.
type naive struct {
	log    []store.Event
	leases map[store.LeaseID]bool
	last   store.LeaseID
}

func (n *naive) rev() store.Revision { return store.Revision(len(n.log)) }

func (n *naive) state() map[string]store.Entry {
	state := map[string]store.Entry{}
	for _, e := range n.log {
		if e.Deleted {
			delete(state, e.Key)
		} else {
			state[e.Key] = e.Entry
		}
	}
	return state
}

func (n *naive) put(key string, value []byte, prev store.Revision, lease store.LeaseID) error {
	switch {
	case n.state()[key].Revision != prev:
		return store.ErrConflict
	case lease != 0 && !n.leases[lease]:
		return store.ErrLeaseLost
	}
	e := store.Entry{Key: key, Value: value, Revision: n.rev() + 1, Lease: lease}
	n.log = append(n.log, store.Event{Entry: e})
	return nil
}

func (n *naive) delete(key string, prev store.Revision) error {
	e, ok := n.state()[key]
	switch {
	case !ok:
		return store.ErrNotFound
	case e.Revision != prev:
		return store.ErrConflict
	}
	deleted := store.Entry{Key: key, Revision: n.rev() + 1}
	n.log = append(n.log, store.Event{Entry: deleted, Deleted: true})
	return nil
}

func (n *naive) revoke(id store.LeaseID) error {
	if !n.leases[id] {
		return store.ErrLeaseLost
	}
	delete(n.leases, id)
	for _, e := range n.list("") {
		if e.Lease == id {
			_ = n.delete(e.Key, e.Revision)
		}
	}
	return nil
}

func (n *naive) list(prefix string) []store.Entry {
	var found []store.Entry
	for _, e := range n.state() {
		if strings.HasPrefix(e.Key, prefix) {
			found = append(found, e)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}

func (n *naive) since(prefix string, after store.Revision) []store.Event {
	var found []store.Event
	for _, e := range n.log {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			found = append(found, e)
		}
	}
	return found
}

// TestEngineAgainstNaiveLog compares the engine with the reference implementation.
func TestEngineAgainstNaiveLog(t *testing.T) {
	ctx := context.Background()
	keys := rapid.SampledFrom([]string{"a", "a/1", "a/2", "ab", "b/1"})
	prefixes := rapid.SampledFrom([]string{"", "a", "a/", "b", "c"})
	rapid.Check(t, func(t *rapid.T) {
		m, n := kv.New(), &naive{leases: map[store.LeaseID]bool{}}
		anyRevision := func(t *rapid.T, key string) store.Revision {
			if rapid.Bool().Draw(t, "current") {
				return n.state()[key].Revision
			}
			return store.Revision(rapid.IntRange(0, int(n.rev())).Draw(t, "revision"))
		}
		anyLease := func(t *rapid.T) store.LeaseID {
			return store.LeaseID(rapid.IntRange(0, int(n.last)).Draw(t, "lease"))
		}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				key := keys.Draw(t, "key")
				value := rapid.SliceOfN(rapid.Byte(), 1, 8).Draw(t, "value")
				prev, lease := anyRevision(t, key), anyLease(t)
				_, err := m.Put(ctx, key, value, prev, lease)
				require.ErrorIs(t, err, n.put(key, value, prev, lease))
			},
			"delete": func(t *rapid.T) {
				key := keys.Draw(t, "key")
				prev := anyRevision(t, key)
				require.ErrorIs(t, m.Delete(ctx, key, prev), n.delete(key, prev))
			},
			"grant": func(t *rapid.T) {
				id, err := m.GrantLease(ctx, time.Hour)
				require.NoError(t, err)
				n.last++
				n.leases[n.last] = true
				require.Equal(t, n.last, id)
			},
			"revoke": func(t *rapid.T) {
				id := anyLease(t)
				require.ErrorIs(t, m.RevokeLease(ctx, id), n.revoke(id))
			},
			"": func(t *rapid.T) {
				prefix := prefixes.Draw(t, "prefix")
				entries, rev, err := m.List(ctx, prefix)
				require.NoError(t, err)
				require.Equal(t, n.rev(), rev)
				require.Equal(t, n.list(prefix), entries)
				after := store.Revision(rapid.IntRange(0, int(n.rev())).Draw(t, "after"))
				events, rev, err := m.Watch(ctx, prefix, after, 0)
				require.NoError(t, err)
				require.Equal(t, n.rev(), rev)
				require.Equal(t, n.since(prefix, after), events)
			},
		})
	})
}
