package jobs

import (
	"context"
	"flag"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"fennelshunt.example/fennelshunt/version/spec"
)

// TestMain fixes the seed, so that each run gives the same result, unless a seed is
// given on the command line.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var core = spec.Resources{MilliCPU: 1000, MemoryMB: 1024}

// inCell runs f in a synctest bubble with three racks of four workers with
// eight cores each.
func inCell(t *testing.T, seed uint64, f func(ctx context.Context, c *cell)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		c := newCell(t, seed)
		c.net.SetDelay(time.Millisecond)
		for _, rack := range []string{"r1", "r2", "r3"} {
			c.addRack(ctx, rack, "z-"+rack, 4, core.Times(8))
		}
		go c.publish(ctx, 20*time.Millisecond)
		f(ctx, c)
		c.check()
	})
}

func batch(name, team string, count int, run time.Duration) spec.Job {
	return spec.Job{Name: name, Team: team, Kind: spec.Batch, Count: count, Size: core,
		RunTime: spec.Duration(run), Retries: 3}
}

func TestAllKindsRunToCompletion(t *testing.T) {
	inCell(t, 1, func(ctx context.Context, c *cell) {
		service := spec.Job{Name: "desk", Team: "a", Kind: spec.Service, Count: 6, Size: core,
			Service: &spec.ServiceSettings{Slots: 8, Connections: 64}}
		gang := spec.Job{Name: "gang", Team: "b", Kind: spec.Gang, Count: 20, Size: core, RunTime: spec.Duration(5 * time.Second)}
		c.apply(nil, service, gang, batch("b1", "a", 200, time.Second), batch("b2", "b", 100, time.Second))
		c.startDaemon(ctx, "d1").own(0)
		c.await(time.Minute, "all done", func() bool {
			return c.succeeded("b1") == 200 && c.succeeded("b2") == 100 && c.succeeded("gang") == 20
		})
		c.await(time.Second, "all instances run", func() bool { return c.runningTasks("desk") == 6 })
		t.Logf("writes %v", c.store.Counts().Put)
	})
}
