package daemon_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestDaemonThatBeginsNeverCallsAServiceUnknown guards against a daemon that listens, and is
// found ready, before it knows the configuration.
func TestDaemonThatBeginsNeverCallsAServiceUnknown(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	c := startDesk(ctx, t)
	for range 4 {
		e, err := c.Add()
		require.NoError(t, err)
		for status := 0; status != http.StatusOK; {
			require.NoError(t, ctx.Err())
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.CallerAddr()+"/", nil)
			require.NoError(t, err)
			r.Header.Set("Fennel-Service", "survey-desk")
			resp, err := http.DefaultClient.Do(r)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			status = resp.StatusCode
			require.NotEqual(t, http.StatusNotFound, status, "the service exists")
		}
	}
}
