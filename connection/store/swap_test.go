package store_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/standin/kv"
)

// Symptom: a write that took effect is reported as failed and made again.
// Sequence: the service applies a swap, its answer is lost, then answers return.
// Cause: without read-back by write id the second attempt meets the first one
// and reports a conflict.
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
