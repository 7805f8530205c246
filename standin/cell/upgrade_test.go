package cell

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/standin/callers"
	"fennelshunt.example/fennelshunt/standin/platform"
)

// testLease is the member lease in tests. It is longer than the default, since a loaded
// test machine may stall a process for seconds, which the tests are not about.
const testLease = 12 * time.Second

// startCell starts a cell, applies smallFile and waits until its tasks are done.
func startCell(t *testing.T, ctx context.Context, daemons int) *Cell {
	t.Helper()
	c, err := Start(ctx, Options{
		Platform: platform.Options{Shape: platform.Authority(), Work: 5 * time.Millisecond, Seed: 1},
		Daemons:  daemons, Log: testLog(t), MemberLease: testLease,
	})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, c.Close()) })
	_, err = c.Apply(ctx, smallFile())
	require.NoError(t, err)
	require.NoError(t, c.WaitPlaced(ctx, 6, 28))
	return c
}

// callersOf returns the options of a load through the balancer.
func callersOf(c *Cell, rate float64, count int) callers.Options {
	return callers.Options{
		Client: &http.Client{Transport: c.Balancer().Transport(), Timeout: 30 * time.Second}, Service: "survey-desk",
		Rate: rate, Count: count, NonIdempotent: 0.3, Keyed: 0.3, BodySize: 256, Seed: 3, Tries: 20,
	}
}

// requireGuarantees checks the guarantees that hold under all faults.
func requireGuarantees(t *testing.T, c *Cell, s callers.Summary) {
	t.Helper()
	full := c.Platform.FullReport()
	require.True(t, s.OK(), "%+v", s)
	require.Empty(t, full.Tasks.Violations)
	require.Empty(t, full.Endpoints.Violations)
	require.Empty(t, c.Violations())
}

// TestRollingUpgradeCutsNothing guards against requests that are aborted during a rolling
// upgrade: under load each daemon in turn stops as planned and restarts under its name.
// This happens if a daemon closes its listener before the balancer has seen its
// readiness check fail, or transfers slots or keys that requests still use.
func TestRollingUpgradeCutsNothing(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	c := startCell(t, ctx, 3)
	done := make(chan error, 1)
	upgradeCtx, stopLoad := context.WithCancel(ctx)
	go func() {
		defer stopLoad()
		for _, e := range c.Entries() {
			if err := c.StopDaemon(ctx, e); err != nil {
				done <- err
				return
			}
			next, err := c.AddNamed(e.Name())
			if err != nil {
				done <- err
				return
			}
			<-next.Ready()
		}
		done <- nil
	}()
	o := callersOf(c, 200, 1_000_000) // until the upgrade is done
	result := runUntil(upgradeCtx, ctx, o)
	require.NoError(t, <-done)
	s := result.Check(c.Platform.EndpointReport().Runs)
	t.Logf("%+v, p99 %d us, max %d us", s, result.Latency.ValueAtQuantile(99), result.Latency.Max())
	requireGuarantees(t, c, s)
	require.Equal(t, s.Requests, s.Whole, "a planned stop aborts no request: %+v", s)
}

// runUntil sends requests until stop ends; requests in flight then run on under ctx.
func runUntil(stop, ctx context.Context, o callers.Options) *callers.Result {
	o.Until = stop.Done()
	return callers.Run(ctx, o)
}
