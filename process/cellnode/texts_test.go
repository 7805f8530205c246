package cellnode

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/dispatch"
	"fennelshunt.example/fennelshunt/standin/kv"
	"fennelshunt.example/fennelshunt/version/work"
)

func TestSpecIsReadFromTheStore(t *testing.T) {
	m := kv.New()
	p := &part{store: m, n: &Node{patience: &store.Patience{Min: 200 * time.Millisecond, Max: 1500 * time.Millisecond}}}
	put := func(id work.JobID, apart bool, inside string) {
		value, err := work.EncodeJob(&work.Job{Queue: work.Queue{Name: "q", Attempts: 1, Slack: 1}, Spec: inside, Apart: apart, Steps: []work.Step{{Count: 1}}})
		require.NoError(t, err)
		txn := store.Txn{Writes: []store.Write{{Key: dispatch.KeyIn(id), Value: value}}}
		if apart && inside == "" {
			txn.Writes = append(txn.Writes, store.Write{Key: dispatch.KeySpec(id), Value: []byte("kept apart")})
		}
		_, err = m.Commit(t.Context(), txn)
		require.NoError(t, err)
	}
	put("00000000000000aa", true, "")
	spec, err := p.storedText(t.Context(), "00000000000000aa")
	require.NoError(t, err)
	require.Equal(t, "kept apart", spec)
	put("00000000000000bb", false, "inside")
	spec, err = p.storedText(t.Context(), "00000000000000bb")
	require.NoError(t, err)
	require.Equal(t, "inside", spec, "of a daemon of the version before")
	_, err = p.storedText(t.Context(), "00000000000000cc")
	require.ErrorIs(t, err, store.ErrNotFound)
}
