package daemon_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStartingDaemonNeverAnswersUnknownService guards against a daemon that accepts requests,
// and reports itself ready, before it has the configuration.
func TestStartingDaemonNeverAnswersUnknownService(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	c := startDesk(ctx, t)
	for range 4 {
		e, err := c.Add()
		require.NoError(t, err)
		for status := 0; status != http.StatusOK; {
			require.NoError(t, ctx.Err())
			status, err = statusBy(ctx, e.Daemon)
			require.NoError(t, err)
			require.NotEqual(t, http.StatusNotFound, status, "the service exists")
		}
	}
}
