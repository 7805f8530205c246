package cell

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/standin/callers"
	"fennelshunt.example/fennelshunt/standin/endpoint"
	"fennelshunt.example/fennelshunt/standin/kv"
	"fennelshunt.example/fennelshunt/version/spec"
)

// TestStoreOutageStopsNothing guards against daemons that depend on the store: requests
// are refused, tasks stay unplaced or results are lost while the store is down for
// longer than the daemons' leases, or after it has come back. This happens if a daemon
// calls the store before it serves a request, or starts or keeps a task, or treats an
// expired lease as a loss of ownership.
func TestStoreOutageStopsNothing(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	c := startCell(t, ctx, 3)
	f := smallFile()
	f.Jobs = append(f.Jobs, spec.Job{Name: "surveys", Team: "surveyors", Kind: spec.Batch, Count: 400, Retries: 5,
		Size: spec.Resources{MilliCPU: 16_000, MemoryMB: 16 << 10}, RunTime: spec.Duration(500 * time.Millisecond)})
	_, err := c.Apply(ctx, f)
	require.NoError(t, err)
	// The first 64 tasks of a job start before its progress is written; the outage
	// begins after that write.
	require.Eventually(t, func() bool { return c.Platform.Recorder.Succeeded("surveys") > 80 }, time.Minute, 10*time.Millisecond)
	c.Platform.Store.SetFaults(kv.Faults{Down: true})
	began := c.Platform.Recorder.Succeeded("surveys")

	const rate, seconds = 100, 16 // the load lasts longer than the member lease
	o := callersOf(c, rate, rate*seconds)
	o.Keyed = 0 // a non-idempotent request with a key needs a durable intent
	result := callers.Run(ctx, o)
	during := c.Platform.Recorder.Succeeded("surveys")
	c.Platform.Store.SetFaults(kv.Faults{})
	require.Eventually(t, func() bool { return c.Platform.Recorder.Succeeded("surveys") == 400 }, time.Minute, 50*time.Millisecond)

	s := result.Check(c.Platform.EndpointReport().Runs)
	t.Logf("%+v; tasks done before %d, during %d", s, began, during)
	requireGuarantees(t, c, s)
	require.Equal(t, s.Requests, s.Whole)
	require.Greater(t, during, began, "tasks start during the outage")
}

// TestLeavingEndpointGetsNothingNew guards against requests that a leaving endpoint
// receives and aborts after the platform, under load, has marked its VM as leaving: the
// leaving notice reaches only the daemon that owns the VM's rack, or the instance is
// stopped before its requests have ended.
func TestLeavingEndpointGetsNothingNew(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	c := startCell(t, ctx, 3)
	w, e := someInstance(t, ctx, c)
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	done := make(chan *callers.Result, 1)
	go func() { done <- runUntil(loadCtx, ctx, callersOf(c, 100, 1_000_000)) }()
	require.Eventually(t, func() bool { return e.Report().Requests > 10 }, 30*time.Second, 10*time.Millisecond)

	marked := time.Now()
	c.Platform.VMs.SetLeaving(w.VM.Name)
	w.Agent.SetDraining(true)
	seen, last := e.Report().Requests, marked
	require.Eventually(t, func() bool {
		if n := e.Report().Requests; n != seen {
			seen, last = n, time.Now()
		}
		return time.Since(last) > 3*time.Second && c.Platform.Recorder.RunningOf("survey-desk") >= 6
	}, time.Minute, 20*time.Millisecond, "the endpoint still gets requests, or is not replaced")
	stopLoad()
	s := (<-done).Check(c.Platform.EndpointReport().Runs)
	t.Logf("%+v; last new request %s after the mark", s, last.Sub(marked).Round(time.Millisecond))
	requireGuarantees(t, c, s)
	require.Equal(t, s.Requests, s.Whole, "no request is aborted")
}

// someInstance returns a worker with a service instance and the instance.
func someInstance(t *testing.T, ctx context.Context, c *Cell) (*Worker, *endpoint.Endpoint) {
	t.Helper()
	for _, w := range c.Platform.Workers {
		inv, err := w.Agent.Inventory(ctx)
		require.NoError(t, err)
		for _, task := range inv.Tasks {
			if e := c.Platform.Endpoints()[task.Address]; e != nil {
				return w, e
			}
		}
	}
	require.Fail(t, "no instance runs", fmt.Sprint(len(c.Platform.Workers)))
	return nil, nil
}
