package history

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/standin/kv"
)

// cutStore loses the connection for the time cut, from the first write of the head.
type cutStore struct {
	store.Store
	effect bool // the write takes effect
	cut    time.Duration
	since  atomic.Pointer[time.Time]
}

func (c *cutStore) down() bool {
	since := c.since.Load()
	return since != nil && time.Since(*since) < c.cut
}

func (c *cutStore) Put(ctx context.Context, key string, value []byte, prev store.Revision, lease store.LeaseID) (store.Revision, error) {
	if key == KeyHead && c.since.Load() == nil {
		now := time.Now()
		c.since.Store(&now)
		if c.effect {
			_, _ = c.Store.Put(ctx, key, value, prev, lease) // its answer is lost
		}
	}
	if c.down() {
		return 0, store.ErrUnknownOutcome
	}
	return c.Store.Put(ctx, key, value, prev, lease)
}

func (c *cutStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if c.down() {
		return store.Entry{}, store.ErrUnavailable
	}
	return c.Store.Get(ctx, key)
}

// TestLostSwapIsResolvedByItsID guards against an operator getting "applied" for a version that
// another apply created, or "not applied" for a version that is in force: the answer to the swap
// of the head is lost, the store is unreachable until the caller's deadline, and another daemon
// applies meanwhile. The version number alone does not identify the apply.
func TestLostSwapIsResolvedByItsID(t *testing.T) {
	cases := map[string]struct {
		effect, other bool
		cut           time.Duration
		check         func(t *testing.T, r Result, err error)
	}{
		"took effect": {true, true, time.Second, func(t *testing.T, r Result, err error) {
			require.NoError(t, err)
			assert.Equal(t, uint64(1), r.Version)
		}},
		"another's version": {false, true, time.Second, func(t *testing.T, _ Result, err error) {
			assert.ErrorContains(t, err, "nothing was applied")
		}},
		"not resolved in time": {false, false, time.Minute, func(t *testing.T, _ Result, err error) {
			var unknown *UnknownOutcomeError
			require.ErrorAs(t, err, &unknown)
			assert.Equal(t, uint64(1), unknown.Version)
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := kv.New()
				h := newHistory(&cutStore{Store: m, effect: c.effect, cut: c.cut})
				if c.other {
					time.AfterFunc(700*time.Millisecond, func() { mustApply(t, newHistory(m), fileOf("other", 1), 0) })
				}
				ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
				defer cancel()
				r, err := h.Apply(ctx, fileOf("a", 1), 0, "x")
				c.check(t, r, err)
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// TestStoreThatIsBackInTimeIsAsked guards against an unknown outcome although the store was
// reachable for the last 300 ms of reading back.
func TestStoreThatIsBackInTimeIsAsked(t *testing.T) {
	for range 300 { // each run draws different pauses
		synctest.Test(t, func(t *testing.T) {
			h := newHistory(&cutStore{Store: kv.New(), effect: true, cut: 500*time.Millisecond + readBackTime - 300*time.Millisecond})
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()
			r, err := h.Apply(ctx, fileOf("a", 1), 0, "x")
			require.NoError(t, err)
			require.Equal(t, uint64(1), r.Version)
		})
	}
}

// slowReader delivers an answer only after the following version was received elsewhere.
type slowReader struct {
	store.Store
	after func()
}

func (r *slowReader) Get(ctx context.Context, key string) (store.Entry, error) {
	e, err := r.Store.Get(ctx, key)
	if key == KeyHead && r.after != nil {
		r.after()
	}
	return e, err
}

// TestLateAnswerIsNotTakenForAResetStore guards against an apply that is refused with "the store
// is at version 1, but version 2 is in force" although the store was not reset: the head is read,
// version 2 is applied elsewhere and received from a peer before the answer arrives, and the
// answer is compared with it.
func TestLateAnswerIsNotTakenForAResetStore(t *testing.T) {
	m := kv.New()
	other := newHistory(m)
	mustApply(t, other, fileOf("a", 1), 0)
	reader := &slowReader{Store: m}
	h := newHistory(reader)
	reader.after = func() {
		reader.after = nil
		h.Offer(mustApply(t, other, fileOf("b", 1), 1).Snapshot)
	}
	assert.Equal(t, uint64(3), mustApply(t, h, fileOf("c", 1), 0).Version)
}
