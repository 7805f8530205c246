package bench

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPlotFolderIsCreatedBeforeTheRuns(t *testing.T) {
	// Guards against a command that fails after a minute of runs, without a plot, since
	// the folder for the plots does not exist.
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

func TestExperimentReportsTheWorstAccounts(t *testing.T) {
	var out bytes.Buffer
	o := ExperimentOptions{Workers: 24, Load: 0.5, Seconds: 6, Seeds: 1, Accounts: 4, Survey: true,
		Patterns: []string{"hot-account"}, Policies: []string{"due", "risk"}, Progress: io.Discard}
	require.NoError(t, Experiment(t.Context(), o, &out))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 3)
	require.Contains(t, lines[0], "worst accounts")
	o.Accounts = -1
	require.ErrorContains(t, Experiment(t.Context(), o, &out), "flag -accounts")
	o.Accounts, o.Policies = 4, []string{"newest"}
	require.ErrorContains(t, Experiment(t.Context(), o, &out), `no policy is called "newest"`)
}
