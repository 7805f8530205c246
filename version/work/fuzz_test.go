package work

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzDecodeBatch decodes what another writer, or a torn write, may have stored in place
// of a batch of job states: the result is an error, or records that survive another
// encoding and decoding.
func FuzzDecodeBatch(f *testing.F) {
	good, err := EncodeBatch([]JobProgress{
		{Job: "00000000000000aa", Progress: Progress{State: Completed}},
		{Job: "00000000000000bb", Progress: Progress{State: Running, Completions: []StepCompletions{{Done: []int{1}, Failed: []TaskFailures{{Index: 2, Runs: []uint64{3}}}}}}},
	})
	require.NoError(f, err)
	f.Add(good)
	f.Add(good[:len(good)/2])
	f.Add([]byte{})
	f.Add([]byte{0x80})
	f.Add([]byte(`[{"job":1}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		records, err := DecodeBatch(data)
		if err != nil {
			return
		}
		again, err := EncodeBatch(records)
		require.NoError(t, err)
		back, err := DecodeBatch(again)
		require.NoError(t, err)
		require.Len(t, back, len(records))
	})
}
