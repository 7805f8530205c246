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
	"fennelshunt.example/fennelshunt/version/spec"
)

// victimTolerance is how much more work than the optimum may be lost. The optimum is
// found by trying every set of victims; package preempt tries three sets.
const victimTolerance = 1.1

// busy fills workers with tasks of all kinds, classes and ages.
func busy(r *rand.Rand, states []plan.WorkerState) {
	classes := []spec.Class{spec.Low, spec.Normal, spec.High, spec.Urgent}
	kinds := []spec.Kind{spec.Batch, spec.Batch, spec.Gang, spec.Service}
	for i := range states {
		w := &states[i]
		for n := range r.IntN(9) {
			size := res(4+r.Int64N(20), 4+r.Int64N(20))
			if !size.Fits(w.Capacity.Sub(w.Reserved)) {
				continue
			}
			kind := kinds[r.IntN(len(kinds))]
			task := spec.TaskID{Job: fmt.Sprint(kind, r.IntN(3)), Index: i*10 + n}
			w.Reserved = w.Reserved.Add(size)
			w.Tasks = append(w.Tasks, plan.RunningTask{
				Ref: worker.Ref{Task: task}, Size: size, Kind: kind, Class: classes[r.IntN(len(classes))],
				NonIdempotent: r.IntN(6) == 0, StartedMillis: 1000 * (1000 + r.Int64N(100_000)),
			})
		}
	}
}

func TestPreemptionAgainstEverySetOfVictims(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		s := shape{workers: rapid.IntRange(1, 8).Draw(t, "workers"), capacity: res(64, 64), rackSize: 2, zones: 2}
		states := s.states(r, false)
		busy(r, states)
		plain := naive.New(states)
		a := batchAsk("urgent", 0, res(rapid.Int64Range(1, 70).Draw(t, "cpu"), rapid.Int64Range(1, 70).Draw(t, "memory")))
		a.Class = rapid.SampledFrom([]spec.Class{spec.Urgent, spec.High, spec.Normal, spec.Low}).Draw(t, "class")
		a.Preempt = true
		p := NewPlanner(cacheOf(states).Snapshot())
		d := p.Place(a)
		best, ok := plain.Preempt(&a)
		require.Equal(t, ok, d.Placed())
		if !ok {
			return
		}
		got, allowed := plain.LossOf(&a, d.Worker, d.Victims)
		require.True(t, allowed, "victims are not preemptible, or do not free enough")
		require.Equal(t, best.Rank, got.Rank)
		require.LessOrEqual(t, got.Work, victimTolerance*best.Work+0.1)

		require.True(t, p.Assume(a, d))
		require.NoError(t, p.View().Check())
		w := p.View().Lookup(d.Worker)
		require.True(t, w.Reserved.Fits(w.Capacity))
		p.Forget(a.Ref())
		require.NoError(t, p.View().Check())
		require.Equal(t, plain.Worker(d.Worker).Reserved, p.View().Lookup(d.Worker).Reserved)
	})
}

// TestVictimsInFlightAreNotChosenAgain guards against urgent tasks that wait although
// victims are being stopped: the plan has been sent, but the next snapshot still shows
// the victims, and if assumptions were dropped with the old snapshot, the next urgent
// task would choose the same victims again.
func TestVictimsInFlightAreNotChosenAgain(t *testing.T) {
	c := NewCache()
	w := workerState("w", "z", "r", res(100, 100), res(100, 100))
	for i := range 2 {
		w.Tasks = append(w.Tasks, plan.RunningTask{
			Ref: worker.Ref{Task: spec.TaskID{Job: "low", Index: i}}, Size: res(50, 50), Class: spec.Low, Kind: spec.Batch,
		})
	}
	c.Apply(state("p", 1, 1, true, w))
	p := NewPlanner(c.Snapshot())
	chosen := map[worker.Ref]bool{}
	for i := range 2 {
		a := batchAsk("urgent", i, res(50, 50))
		a.Class, a.Preempt = spec.Urgent, true
		d := p.Place(a)
		require.Len(t, d.Victims, 1)
		require.False(t, chosen[d.Victims[0]])
		chosen[d.Victims[0]] = true
		require.True(t, p.Assume(a, d))
		c.Apply(state("p", 1, uint64(i+2), false, w))
		p.Rebase(c.Snapshot())
	}
	third := batchAsk("urgent", 2, res(50, 50))
	third.Class, third.Preempt = spec.Urgent, true
	require.False(t, p.Place(third).Placed())
}

// BenchmarkPreemption measures placements of urgent tasks that fit on no worker: the
// whole decision, including the unsuccessful search for free capacity.
func BenchmarkPreemption(b *testing.B) {
	large := res(40000, 90000)
	for _, n := range cellSizes {
		states := loaded(authority(n))
		for i := range states {
			if large.Fits(states[i].Capacity.Sub(states[i].Reserved)) {
				states[i].Unusable = "excluded from the measurement"
			}
		}
		b.Run(size(n), func(b *testing.B) {
			p := NewPlanner(cacheOf(states).Snapshot())
			for i := 0; b.Loop(); i++ {
				a := batchAsk("urgent", i, large)
				a.Class, a.Preempt = spec.Urgent, true
				a.Avoid = []worker.ID{"none"} // prevents caching of the result
				require.NotEmpty(b, p.Place(a).Victims)
			}
		})
	}
}
