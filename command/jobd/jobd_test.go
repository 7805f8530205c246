package jobd

import (
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// blockedWriter blocks each write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestALogThatNobodyReadsBlocksNothing(t *testing.T) {
	// Guards against a daemon that blocks because the log collector stopped
	// reading its standard output: the first write blocks, and four times as many
	// lines as the buffer holds are logged.
	s := blockedWriter{make(chan struct{})}
	var dropped atomic.Int64
	out := newLogWriter(s, &dropped)
	log := zerolog.New(out)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 4 * logBuffer {
			log.Info().Msg("line")
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("logging blocks")
	}
	close(s.release)
	require.NoError(t, out.Close())
	require.Positive(t, dropped.Load(), "dropped lines are counted")
}

func TestSettingsAreChecked(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.json")
	require.NoError(t, os.WriteFile(path, []byte(`{"name":"A B","callers":"x"}`), 0o600))
	err := Run([]string{"-settings", path, "-check"})
	require.ErrorContains(t, err, "field name")
	require.ErrorContains(t, err, "field callers")
	require.NoError(t, os.WriteFile(path, []byte(`{"name":"a","callers":"127.0.0.1:1","ready":"127.0.0.1:2","store":"127.0.0.1:3","ip":"127.0.0.1","peer_port":4}`), 0o600))
	require.NoError(t, Run([]string{"-settings", path, "-check"}))
	require.ErrorContains(t, Run(nil), "-settings")
}
