package cell

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/process/settings"
	"fennelshunt.example/fennelshunt/standin/platform"
	"fennelshunt.example/fennelshunt/version/spec"
)

// TestPlannedStopOutlastsDrainSetting guards against a planned stop that is bounded by the
// drain setting alone, and aborts a request that is within its service's timeout but
// takes longer than the setting.
func TestPlannedStopOutlastsDrainSetting(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	c, err := Start(ctx, Options{
		Platform: platform.Options{Shape: platform.Authority(), Work: 4 * time.Second, Seed: 1},
		Daemons:  2, Log: testLog(t), MemberLease: testLease,
		Adjust: func(s *settings.Settings) { s.Drain = spec.Duration(time.Millisecond) },
	})
	require.NoError(t, err)
	defer func() { require.NoError(t, c.Close()) }()
	_, err = c.Apply(ctx, smallFile())
	require.NoError(t, err)
	require.NoError(t, c.WaitPlaced(ctx, 6, 28))

	e := c.Entries()[0]
	status := make(chan int, 1)
	go func() {
		defer close(status)
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.CallerAddr()+"/", nil)
		if err != nil {
			return
		}
		r.Header.Set("Fennel-Service", "survey-desk")
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			return
		}
		defer resp.Body.Close()
		if _, err := io.Copy(io.Discard, resp.Body); err == nil {
			status <- resp.StatusCode
		}
	}()
	require.Eventually(t, func() bool { return c.Platform.EndpointReport().Requests > 0 }, 20*time.Second, 5*time.Millisecond)
	require.NoError(t, c.StopDaemon(ctx, e))
	require.Equal(t, http.StatusOK, <-status)
}
