package submit

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/dispatch"
	"fennelshunt.example/fennelshunt/standin/kv"
	"fennelshunt.example/fennelshunt/version/work"
)

// lateStore is a store in which something happens between a read that finds no submission and the
// next one, as if the daemon had been suspended there.
type lateStore struct {
	*kv.Memory
	meanwhile func()
}

func (l *lateStore) Get(ctx context.Context, key string) (store.Entry, error) {
	e, err := l.Memory.Get(ctx, key)
	if f := l.meanwhile; f != nil && key == dispatch.KeySubmission(id) {
		l.meanwhile = nil
		f()
	}
	return e, err
}

// TestCancellationOverAFirstStartIsCarriedOut guards against a cancellation that is acknowledged and
// that nobody carries out, because the job was submitted and begun between its two reads.
func TestCancellationOverAFirstStartIsCarriedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &lateStore{Memory: kv.New()}
		m.meanwhile = func() {
			require.NoError(t, newService(m).Submit(t.Context(), id, testJob()))
			begun, err := work.EncodeProgress(&work.Progress{State: work.Running})
			require.NoError(t, err)
			_, err = m.Commit(t.Context(), store.Txn{Writes: []store.Write{{Key: dispatch.KeyState(id), Value: begun}}})
			require.NoError(t, err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		require.NoError(t, newService(m).Cancel(ctx, id, ""))
		require.True(t, stored(t, m.Memory, dispatch.KeyCancel(id)), "acknowledged, so the leader must learn of it")
	})
}
