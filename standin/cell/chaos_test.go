package cell

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/standin/endpoint"
	"fennelshunt.example/fennelshunt/standin/fault"
	"fennelshunt.example/fennelshunt/standin/kv"
	"fennelshunt.example/fennelshunt/standin/platform"
	"fennelshunt.example/fennelshunt/version/spec"
)

// chaos injects random faults into a cell.
type chaos struct {
	t       *testing.T
	c       *Cell
	rng     *rand.Rand
	daemons int
	killed  map[*Worker]bool
	applied int
}

// Worker abbreviates platform.Worker.
type Worker = platform.Worker

// tasksOnce is the job whose tasks must never start twice.
const tasksOnce = "certificates"

// chaosFile returns the configuration file of round n; the batch jobs differ between rounds.
func chaosFile(n int) *spec.File {
	f := smallFile()
	f.Jobs = append(f.Jobs,
		spec.Job{Name: fmt.Sprintf("overlays-%d", n), Team: "surveyors", Kind: spec.Batch, Count: 30, Retries: 50,
			Size: spec.Resources{MilliCPU: 4000, MemoryMB: 2048}, RunTime: spec.Duration(300 * time.Millisecond)},
		spec.Job{Name: tasksOnce, Team: "surveyors", Kind: spec.Batch, Count: 40, NonIdempotent: true,
			Size: spec.Resources{MilliCPU: 1000, MemoryMB: 512}, RunTime: spec.Duration(200 * time.Millisecond)},
		spec.Job{Name: "urgent-report", Team: "surveyors", Kind: spec.Batch, Class: spec.Urgent, Count: 5 + n, Retries: 50,
			Size: spec.Resources{MilliCPU: 1000, MemoryMB: 512}, RunTime: spec.Duration(100 * time.Millisecond)})
	return f
}

// inject injects one random fault.
func (x *chaos) inject(ctx context.Context) {
	switch x.rng.IntN(8) {
	case 0:
		x.replace(ctx, x.c.Kill)
	case 1:
		x.replace(ctx, func(e *Entry) error {
			stopCtx, cancel := context.WithTimeout(ctx, 20*time.Second)
			defer cancel()
			return x.c.StopDaemon(stopCtx, e)
		})
	case 2:
		x.c.Platform.Store.SetFaults(kv.Faults{Down: true})
		x.sleep(ctx, 2*time.Second)
		x.c.Platform.Store.SetFaults(kv.Faults{})
	case 3:
		x.c.Platform.Store.SetFaults(kv.Faults{LoseAnswers: 0.3, LoseRequests: 0.1})
		x.sleep(ctx, time.Second)
		x.c.Platform.Store.SetFaults(kv.Faults{})
	case 4:
		x.killWorker()
	case 5:
		x.worker().Fault.Set(fault.Set{LoseAnswers: 0.3, LoseCalls: 0.2})
	case 6:
		for _, e := range x.c.Platform.Endpoints() {
			e.SetFaults(endpoint.Faults{Reset: 0.02, Truncate: 0.02, Refuse: 0.05, CloseIdle: 0.1, Unsolicited: 0.02})
		}
	case 7:
		x.apply(ctx)
	}
}

func (x *chaos) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// replace ends a daemon with the given function and starts another one under its name.
func (x *chaos) replace(ctx context.Context, end func(*Entry) error) {
	entries := x.c.Entries()
	if len(entries) < x.daemons {
		return
	}
	e := entries[x.rng.IntN(len(entries))]
	if err := end(e); err != nil {
		x.t.Logf("end of %s: %v", e.Name(), err) // a stop during a store outage may fail
	}
	if ctx.Err() == nil {
		_, err := x.c.AddNamed(e.Name())
		require.NoError(x.t, err)
	}
}

func (x *chaos) worker() *Worker {
	return x.c.Platform.Workers[x.rng.IntN(len(x.c.Platform.Workers))]
}

// killWorker ends a VM and removes it from the list of VMs a second later.
// About a third of the workers is always left running.
func (x *chaos) killWorker() {
	w := x.worker()
	if x.killed[w] || len(x.killed) > 2*len(x.c.Platform.Workers)/3 {
		return
	}
	x.killed[w] = true
	w.Kill()
	time.AfterFunc(time.Second, func() { x.c.Platform.VMs.Remove(w.VM.Name) })
}

// apply applies the file of the next round in two concurrent calls.
func (x *chaos) apply(ctx context.Context) {
	x.applied++
	for range 2 {
		go func(n int) {
			applyCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
			defer cancel()
			_, err := x.c.Apply(applyCtx, chaosFile(n))
			if err != nil && ctx.Err() == nil {
				x.t.Logf("apply: %v", err) // a conflict or a store outage, as intended
			}
		}(x.applied)
	}
}

// heal ends all faults but the loss of VMs.
func (x *chaos) heal() {
	x.c.Platform.Store.SetFaults(kv.Faults{})
	for _, w := range x.c.Platform.Workers {
		w.Fault.Set(fault.Set{})
	}
	for _, e := range x.c.Platform.Endpoints() {
		e.SetFaults(endpoint.Faults{})
	}
}

// chaosDuration is how long faults are injected: 15 s, or 5 min with FENNEL_LONG=1.
func chaosDuration() time.Duration {
	if os.Getenv("FENNEL_LONG") == "1" {
		return 5 * time.Minute
	}
	return 15 * time.Second
}

// TestRandomFaultsTogether checks all guarantees to callers under load and random,
// overlapping faults: daemons killed, stopped and replaced, the store down or losing
// responses, VMs lost, workers losing calls, endpoints resetting and truncating
// connections, and concurrent applies. Each fault found here gets a test of its own.
func TestRandomFaultsTogether(t *testing.T) {
	if testing.Short() {
		t.Skip("takes minutes; run without -short")
	}
	seed := uint64(1)
	if s, err := strconv.ParseUint(os.Getenv("FENNEL_SEED"), 10, 64); err == nil {
		seed = s
	}
	ctx, cancel := context.WithTimeout(t.Context(), chaosDuration()+2*time.Minute+recoveryTimeout)
	defer cancel()
	c := startCell(t, ctx, 4)
	_, err := c.Apply(ctx, chaosFile(0))
	require.NoError(t, err)
	x := &chaos{t: t, c: c, rng: rand.New(rand.NewPCG(seed, seed)), daemons: 4, killed: map[*Worker]bool{}}

	faultCtx, stopFaults := context.WithTimeout(ctx, chaosDuration())
	defer stopFaults()
	faultsDone := make(chan struct{})
	go func() {
		defer close(faultsDone)
		for faultCtx.Err() == nil {
			x.inject(faultCtx)
			x.sleep(faultCtx, time.Duration(200+x.rng.IntN(600))*time.Millisecond)
		}
	}()
	result := runUntil(faultCtx, ctx, callersOf(c, 100, 1_000_000))
	<-faultsDone
	x.heal()
	requireRecovered(t, ctx, c, x.applied)

	s := result.Check(c.Platform.EndpointReport().Runs)
	t.Logf("%+v; %d VMs lost, %d applies; p99 %d us", s, len(x.killed), x.applied, result.Latency.ValueAtQuantile(99))
	requireGuarantees(t, c, s)
	for _, id := range c.Platform.Recorder.StartedMoreThanOnce() {
		require.False(t, strings.HasPrefix(id.String(), tasksOnce+"/"), "non-idempotent task %s started more than once", id)
	}
}

// recoveryTimeout bounds the recovery after the faults: the tasks of a lost VM start
// elsewhere 76 s after its last heartbeat, and a takeover may delay them further.
const recoveryTimeout = 4 * time.Minute

// requireRecovered applies another file and waits until its batch tasks have succeeded
// and all service instances run.
func requireRecovered(t *testing.T, ctx context.Context, c *Cell, last int) {
	t.Helper()
	_, err := c.Apply(ctx, chaosFile(last+1))
	require.NoError(t, err)
	want := fmt.Sprintf("overlays-%d", last+1)
	require.Eventually(t, func() bool {
		return c.Platform.Recorder.Succeeded(want) == 30 && c.Platform.Recorder.RunningOf("survey-desk") == 6
	}, recoveryTimeout, 100*time.Millisecond, "the cell does not recover after the faults")
}
