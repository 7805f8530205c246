package bench

import (
	"bytes"
	"image/png"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func results(values ...float64) *Result {
	r := &Result{Setting: Setting{User: "authority"}}
	for _, v := range values {
		r.Repetitions = append(r.Repetitions, Metrics{RequestP99: v})
	}
	return r
}

// TestCompareNeedsDisjointRanges guards against reporting noise as a change: one value of each
// run is no basis for a verdict, and neither are ranges that overlap.
func TestCompareNeedsDisjointRanges(t *testing.T) {
	for _, c := range []struct {
		name          string
		before, after *Result
		want          Verdict
	}{
		{"overlap", results(10, 12, 14), results(13, 15, 16), Same},
		{"higher", results(10, 12, 14), results(15, 16, 17), Higher},
		{"lower", results(10, 12, 14), results(7, 8, 9), Lower},
		{"too few", results(10), results(100), Same},
	} {
		changes, err := Compare(c.before, c.after)
		require.NoError(t, err, c.name)
		require.Len(t, changes, 1, c.name)
		require.Equal(t, c.want, changes[0].Verdict, c.name)
	}
	other := results(1, 2, 3)
	other.Setting.Daemons = 8
	_, err := Compare(results(1, 2, 3), other)
	require.ErrorIs(t, err, ErrDifferentSettings)
}

func TestResultRoundTrip(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r.json")
	r := results(1, 2, 3)
	require.NoError(t, r.Write(path))
	read, err := Read(path)
	require.NoError(t, err)
	require.Equal(t, r, read)
}

// TestPlotAcceptsZeros guards against a panic in the plot of a waiting time of 0, as in a run
// without gangs: 0 has no place on a logarithmic axis.
func TestPlotAcceptsZeros(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r.png")
	require.NoError(t, results(0, 0, 10).Plot(path))
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	_, err = png.Decode(bytes.NewReader(data))
	require.NoError(t, err)
}
