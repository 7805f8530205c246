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

// chaos drives random faults against a cell until its context ends.
type chaos struct {
	t       *testing.T
	c       *Cell
	rng     *rand.Rand
	daemons int
	killed  map[*Worker]bool
	applied int
}

// Worker is short for the platform's.
type Worker = platform.Worker

// tasksOnce is the job whose tasks must never start twice.
const tasksOnce = "certificates"

// chaosFile returns the file of round n; batch work changes with each.
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

// step makes one random fault.
func (x *chaos) step(ctx context.Context) {
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

// replace ends a daemon in the given way and starts another under its name.
func (x *chaos) replace(ctx context.Context, end func(*Entry) error) {
	entries := x.c.Entries()
	if len(entries) < x.daemons {
		return
	}
	e := entries[x.rng.IntN(len(entries))]
	if err := end(e); err != nil {
		x.t.Logf("end of %s: %v", e.Name(), err) // a stop during an outage may be cut short
	}
	if ctx.Err() == nil {
		_, err := x.c.AddNamed(e.Name())
		require.NoError(x.t, err)
	}
}

func (x *chaos) worker() *Worker {
	return x.c.Platform.Workers[x.rng.IntN(len(x.c.Platform.Workers))]
}

// killWorker ends a VM; the list of VMs learns of it later. A third of the
// workers always stays.
func (x *chaos) killWorker() {
	w := x.worker()
	if x.killed[w] || len(x.killed) > 2*len(x.c.Platform.Workers)/3 {
		return
	}
	x.killed[w] = true
	w.Kill()
	time.AfterFunc(time.Second, func() { x.c.Platform.VMs.Remove(w.VM.Name) })
}

// apply races two files of the same name.
func (x *chaos) apply(ctx context.Context) {
	x.applied++
	for range 2 {
		go func(n int) {
			applyCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
			defer cancel()
			_, err := x.c.Apply(applyCtx, chaosFile(n))
			if err != nil && ctx.Err() == nil {
				x.t.Logf("apply: %v", err) // a lost race or an outage, as intended
			}
		}(x.applied)
	}
}

// heal ends every fault that can be ended.
func (x *chaos) heal() {
	x.c.Platform.Store.SetFaults(kv.Faults{})
	for _, w := range x.c.Platform.Workers {
		w.Fault.Set(fault.Set{})
	}
	for _, e := range x.c.Platform.Endpoints() {
		e.SetFaults(endpoint.Faults{})
	}
}

// chaosSeconds is how long the faults go on; FENNEL_LONG=1 makes it minutes.
func chaosSeconds() time.Duration {
	if os.Getenv("FENNEL_LONG") == "1" {
		return 5 * time.Minute
	}
	return 15 * time.Second
}

// Symptom: any promise of the brief broken after a bad night.
// Sequence: daemons killed, stopped and replaced, the store down or losing
// answers, VMs lost, workers losing calls, endpoints resetting and truncating,
// and applies racing, in random order and together, under load.
// Cause: unknown until seen; each one found keeps a test of its own.
func TestRandomFaultsTogether(t *testing.T) {
	if testing.Short() {
		t.Skip("the full run covers it")
	}
	seed := uint64(1)
	if s, err := strconv.ParseUint(os.Getenv("FENNEL_SEED"), 10, 64); err == nil {
		seed = s
	}
	ctx, cancel := context.WithTimeout(t.Context(), chaosSeconds()+2*time.Minute+settleLimit)
	defer cancel()
	c := startCell(t, ctx, 4)
	_, err := c.Apply(ctx, chaosFile(0))
	require.NoError(t, err)
	x := &chaos{t: t, c: c, rng: rand.New(rand.NewPCG(seed, seed)), daemons: 4, killed: map[*Worker]bool{}}

	faultCtx, stopFaults := context.WithTimeout(ctx, chaosSeconds())
	defer stopFaults()
	faultsDone := make(chan struct{})
	go func() {
		defer close(faultsDone)
		for faultCtx.Err() == nil {
			x.step(faultCtx)
			x.sleep(faultCtx, time.Duration(200+x.rng.IntN(600))*time.Millisecond)
		}
	}()
	result := runUntil(faultCtx, ctx, callersOf(c, 100, 1_000_000))
	<-faultsDone
	x.heal()
	requireSettled(t, ctx, c, x.applied)

	s := result.Check(c.Platform.EndpointReport().Runs)
	t.Logf("%+v; %d VMs lost, %d applies; p99 %d us", s, len(x.killed), x.applied, result.Latency.ValueAtQuantile(99))
	requirePromises(t, c, s)
	for _, id := range c.Platform.Recorder.StartedMoreThanOnce() {
		require.False(t, strings.HasPrefix(id.String(), tasksOnce+"/"), "non-idempotent task %s started more than once", id)
	}
}

// settleLimit is generous: the tasks of a lost VM start elsewhere 76 s after its
// last heartbeat, and a takeover may come on top.
const settleLimit = 4 * time.Minute

// requireSettled waits until the last file is in force, its batch work is done
// and every instance runs.
func requireSettled(t *testing.T, ctx context.Context, c *Cell, last int) {
	t.Helper()
	_, err := c.Apply(ctx, chaosFile(last+1))
	require.NoError(t, err)
	want := fmt.Sprintf("overlays-%d", last+1)
	require.Eventually(t, func() bool {
		return c.Platform.Recorder.Succeeded(want) == 30 && c.Platform.Recorder.RunningOf("survey-desk") == 6
	}, settleLimit, 100*time.Millisecond, "the cell does not settle after the faults")
}
