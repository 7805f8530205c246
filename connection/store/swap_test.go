package store_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/standin/kv"
)

// TestSwapKnowsItsOwnWriteAfterALostAnswer guards against reporting a write that took
// effect as failed and making it again: the service applies a swap, its response is lost,
// then responses arrive again. Without read-back by write id the second attempt conflicts
// with the first.
func TestSwapKnowsItsOwnWriteAfterALostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		h := store.NewClient(m, store.Options{}).Role(store.RoleClaims)
		_, err := h.Swap(context.Background(), "other", nil, 0, 0)
		require.NoError(t, err)
		m.SetFaults(kv.Faults{LoseAnswers: 1})
		time.AfterFunc(5*time.Second, func() { m.SetFaults(kv.Faults{}) })
		rev, err := h.Swap(context.Background(), "k", []byte("v"), 0, 0)
		require.NoError(t, err)
		item, err := h.Get(context.Background(), "k")
		require.NoError(t, err)
		require.Equal(t, store.Item{Key: "k", Data: []byte("v"), Revision: rev}, item)
		require.Equal(t, store.Revision(2), m.Revision(), "applied once")
	})
}

// lateStore delays the first write until the second arrives.
type lateStore struct {
	store.Store
	held func()
}

func (s *lateStore) Put(ctx context.Context, key string, value []byte, prev store.Revision, lease store.LeaseID) (store.Revision, error) {
	if s.held == nil {
		s.held = func() { _, _ = s.Store.Put(ctx, key, value, prev, lease) }
		return 0, store.ErrUnknownOutcome
	}
	s.held()
	return s.Store.Put(ctx, key, value, prev, lease)
}

// TestSwapRecognisesItsOwnLateRequest guards against reporting a write that took effect as a
// conflict: the request of a swap is delayed, its caller reads back, finds nothing and
// sends it again. The first request arrives just before the second, which then conflicts
// with it.
func TestSwapRecognisesItsOwnLateRequest(t *testing.T) {
	m := kv.New()
	h := store.NewClient(&lateStore{Store: m}, store.Options{}).Role(store.RoleClaims)
	rev, err := h.Swap(context.Background(), "k", []byte("v"), 0, 0)
	require.NoError(t, err)
	require.Equal(t, store.Revision(1), rev)
	require.Equal(t, store.Revision(1), m.Revision(), "applied once")
}

// TestSwapChecksTheSizeBeforeTheCall guards against values above the size limit being
// sent or truncated: if only the service checks the limit, or if the check leaves out the
// envelope. Swaps data of exactly the limit, then of one byte more.
func TestSwapChecksTheSizeBeforeTheCall(t *testing.T) {
	m := kv.New()
	h := store.NewClient(m, store.Options{}).Role(store.RoleVersions)
	rev, err := h.Swap(context.Background(), "k", make([]byte, store.MaxDataSize), 0, 0)
	require.NoError(t, err)
	calls := m.Counts().Total()
	_, err = h.Swap(context.Background(), "k", make([]byte, store.MaxDataSize+1), rev, 0)
	require.ErrorIs(t, err, store.ErrTooLarge)
	require.Equal(t, calls, m.Counts().Total())
}

func TestUpdateLosesNoIncrement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		m.SetFaults(kv.Faults{LoseAnswers: 0.2, Delay: 2 * time.Millisecond})
		const writers, rounds = 4, 10
		done := make(chan struct{})
		for range writers {
			go func() {
				defer func() { done <- struct{}{} }()
				h := store.NewClient(m, store.Options{}).Role(store.RoleProgress)
				for range rounds {
					increment(t, h)
				}
			}()
		}
		for range writers {
			<-done
		}
		m.SetFaults(kv.Faults{})
		item, err := store.NewClient(m, store.Options{}).Role(store.RoleProgress).Get(t.Context(), "n")
		require.NoError(t, err)
		require.Len(t, item.Data, writers*rounds)
	})
}

// increment adds one byte to the value, retrying after refusals.
func increment(t *testing.T, h *store.Handle) {
	for {
		_, err := h.Update(t.Context(), "n", func(cur []byte, _ bool) ([]byte, error) {
			return append(cur[:len(cur):len(cur)], 1), nil
		})
		if err == nil {
			return
		}
		if errors.Is(err, store.ErrUnknownOutcome) {
			t.Errorf("outcome stays unknown: %v", err)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}
