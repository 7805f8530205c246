package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/process/sched/naive"
	"fennelshunt.example/fennelshunt/process/sched/score"
	"fennelshunt.example/fennelshunt/process/sched/snapshot"
	"fennelshunt.example/fennelshunt/version/spec"
)

// pair runs the planner and the naive scheduler on the same input.
type pair struct {
	t       *rapid.T
	planner *Planner
	naive   *naive.Scheduler
	running map[worker.Ref]worker.ID
	order   []worker.Ref
}

func newPair(t *rapid.T) *pair {
	s := shape{
		workers: rapid.IntRange(1, 40).Draw(t, "workers"), capacity: res(64, 64),
		rackSize: rapid.IntRange(1, 6).Draw(t, "rack size"), zones: rapid.IntRange(1, 3).Draw(t, "zones"),
		accelEvery: rapid.IntRange(0, 3).Draw(t, "accelerators every"), accelerators: 2,
	}
	r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
	states := s.states(r, rapid.Bool().Draw(t, "varied"))
	for i := range states {
		if r.IntN(10) == 0 {
			states[i].Unusable = "draining"
		}
	}
	return &pair{t, NewPlanner(cacheOf(states).Snapshot()), naive.New(states), map[worker.Ref]worker.ID{}, nil}
}

func (p *pair) drawAsk(index int) Ask {
	t := p.t
	a := batchAsk(fmt.Sprint("job-", rapid.IntRange(0, 3).Draw(t, "job")), index, spec.Resources{
		MilliCPU: rapid.Int64Range(0, 30).Draw(t, "cpu"), MemoryMB: rapid.Int64Range(1, 30).Draw(t, "memory"),
		Accelerators: max(0, rapid.Int64Range(-4, 2).Draw(t, "accelerators")),
	})
	a.Task.Generation = rapid.Uint64Range(1, 2).Draw(t, "generation")
	a.Kind = rapid.SampledFrom([]spec.Kind{spec.Batch, spec.Service}).Draw(t, "kind")
	if rapid.IntRange(0, 3).Draw(t, "constrained") == 0 {
		a.Constraints = spec.Constraints{
			MaxPerWorker: rapid.IntRange(0, 2).Draw(t, "max per worker"),
			Zones:        rapid.SampledFrom([][]string{nil, {"zone-0"}, {"zone-1", "zone-2"}}).Draw(t, "zones"),
			Racks:        rapid.SampledFrom([][]string{nil, {"rack-0"}, {"rack-1", "rack-2"}}).Draw(t, "racks"),
		}
		a.Constraints.Spread = rapid.SampledFrom([]spec.Spread{"", spec.SpreadNone, spec.SpreadRack, spec.SpreadZone}).Draw(t, "spread")
		a.Avoid = rapid.SampledFrom([][]worker.ID{nil, {"w00000", "w00001"}}).Draw(t, "avoid")
	}
	return a
}

// prefer sets the preferred partitions of both; each rack is a partition.
func (p *pair) prefer(scheduler string, partitions []string) {
	p.planner.Prefer(scheduler, partitions)
	affinity := snapshot.NewAffinity(scheduler, partitions)
	p.naive.Locality = func(w *plan.WorkerState) float64 { return score.Locality(affinity, snapshot.HashPartition(w.Rack)) }
}

// decide places an ask with both and compares feasibility and score.
func (p *pair) decide(a Ask) (Decision, bool) {
	d := p.planner.Place(a)
	place := p.naive.PlaceBatch
	if spread(&a) {
		place = p.naive.PlaceService
	}
	want, ok := place(&a)
	require.Equal(p.t, ok, d.Placed(), "feasibility of %+v: %+v", a, d)
	if !ok {
		p.compareRejections(&a, d)
		return d, false
	}
	got, best := p.naive.Worker(d.Worker), p.naive.Worker(want)
	require.True(p.t, p.naive.Fits(&a, got))
	if spread(&a) {
		require.Equal(p.t, want, d.Worker)
	} else {
		rate := p.naive.Rater(&a)
		require.Equal(p.t, rate(best), rate(got))
	}
	return d, true
}

// spread reports whether an ask is to be spread according to the documentation.
func spread(a *Ask) bool {
	switch a.Constraints.Spread {
	case spec.SpreadNone:
		return false
	case "":
		return a.Kind == spec.Service
	}
	return true
}

// compareRejections checks that each worker is counted once, and that an ask is
// infeasible if and only if it does not fit in the empty cell either.
func (p *pair) compareRejections(a *Ask, d Decision) {
	n := 0
	for _, r := range d.Rejections {
		n += r.Workers
	}
	require.Equal(p.t, len(p.naive.Workers), n)
	empty := naive.New(p.naive.Workers)
	for i := range empty.Workers {
		empty.Workers[i].Unusable, empty.Workers[i].Tasks = "", nil
		empty.Workers[i].Reserved = spec.Resources{}
	}
	bare := *a
	bare.Avoid = nil
	_, ok := empty.PlaceBatch(&bare)
	require.Equal(p.t, ok, d.Infeasible == "", "%+v: %+v", a, d)
}

func (p *pair) start(a Ask, d Decision) {
	require.True(p.t, p.planner.Assume(a, d))
	p.naive.Start(&a, d.Worker)
	p.running[a.Ref()] = d.Worker
	p.order = append(p.order, a.Ref())
}

func (p *pair) end(i int) {
	ref := p.order[i]
	p.order = append(p.order[:i], p.order[i+1:]...)
	p.planner.Forget(ref)
	p.naive.End(ref, p.running[ref])
}

func (p *pair) compareWorkers() {
	for i := range p.naive.Workers {
		w := &p.naive.Workers[i]
		got := p.planner.View().Lookup(w.ID)
		require.Equal(p.t, w.Reserved, got.Reserved)
		require.True(p.t, got.Reserved.Fits(got.Capacity))
	}
	require.NoError(p.t, p.planner.View().Check())
}

func TestDecisionsAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPair(t)
		if rapid.Bool().Draw(t, "home") {
			p.prefer("scheduler", []string{"rack-1", "rack-2"})
		}
		for i := range rapid.IntRange(1, 120).Draw(t, "steps") {
			if len(p.order) > 0 && rapid.IntRange(0, 3).Draw(t, "action") == 0 {
				p.end(rapid.IntRange(0, len(p.order)-1).Draw(t, "ended"))
				continue
			}
			a := p.drawAsk(i)
			if d, ok := p.decide(a); ok {
				p.start(a, d)
			}
		}
		p.compareWorkers()
	})
}
