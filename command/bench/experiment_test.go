package bench

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFolderOfPlotsIsMadeBeforeTheRuns(t *testing.T) {
	// Symptom: after a minute of runs the command fails, and nothing is drawn.
	// Cause: the folder for the plots did not exist, which only the first plot showed.
	o := &ExperimentOptions{Workers: 1, Load: 0.5, Seconds: 1, Seeds: 1, Plots: filepath.Join(t.TempDir(), "a", "b")}
	require.NoError(t, o.check())
	info, err := os.Stat(o.Plots)
	require.NoError(t, err)
	require.True(t, info.IsDir())
	file := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(file, nil, 0o600))
	o.Plots = filepath.Join(file, "under")
	require.ErrorContains(t, o.check(), "flag -plots")
}
