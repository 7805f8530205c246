package sched

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/process/sched/naive"
	"fennelshunt.example/fennelshunt/version/spec"
)

func instanceAsk(i int) Ask {
	a := batchAsk("survey-desk", i, res(200, 400))
	a.Kind, a.Class = spec.Service, spec.High
	a.Constraints.MaxPerWorker = 2
	return a
}

// BenchmarkService measures the placement of the 48th instance of a service.
func BenchmarkService(b *testing.B) {
	for _, n := range cellSizes {
		states := loaded(authority(n))
		p, plain := NewPlanner(cacheOf(states).Snapshot()), naive.New(states)
		for i := range 47 {
			a := instanceAsk(i)
			d := p.Place(a)
			require.True(b, p.Assume(a, d))
			plain.Start(&a, d.Worker)
		}
		a := instanceAsk(48)
		b.Run("planner/"+size(n), func(b *testing.B) {
			for b.Loop() {
				require.True(b, p.Place(a).Placed())
			}
		})
		if n > 500 {
			continue // the naive scheduler is quadratic
		}
		b.Run("naive/"+size(n), func(b *testing.B) {
			for b.Loop() {
				_, ok := plain.PlaceService(&a)
				require.True(b, ok)
			}
		})
	}
}

// BenchmarkNoCapacity measures the decision on a task that does not fit: the first of its
// job, and each further one until a task ends.
func BenchmarkNoCapacity(b *testing.B) {
	for _, n := range cellSizes {
		snap := cacheOf(loaded(authority(n))).Snapshot()
		a := batchAsk("large", 0, res(64000, 131072))
		b.Run("first/"+size(n), func(b *testing.B) {
			p := NewPlanner(snap)
			for b.Loop() {
				clear(p.failures)
				require.False(b, p.Place(a).Placed())
			}
		})
		b.Run("next/"+size(n), func(b *testing.B) {
			p := NewPlanner(snap)
			for b.Loop() {
				require.False(b, p.Place(a).Placed())
			}
		})
	}
}

// BenchmarkRebase measures the switch to a new snapshot with 1,000 placements in
// flight, which is what the peak of 1,600 starts a second yields in 0.6 s.
func BenchmarkRebase(b *testing.B) {
	const inFlight = 1000
	for _, n := range cellSizes {
		b.Run(size(n), func(b *testing.B) {
			snap := cacheOf(authority(n).states(nil, false)).Snapshot()
			p := NewPlanner(snap)
			for i := range inFlight {
				a := batchAsk("flight", i, res(1000, 2000))
				require.True(b, p.Assume(a, p.Place(a)))
			}
			for b.Loop() {
				p.base = nil
				p.Rebase(snap)
			}
			require.Equal(b, inFlight, p.InFlight())
		})
	}
}

// BenchmarkApply measures applying a worker's new state, in which one task is
// replaced by another, to a cache of which a snapshot is taken after each state.
func BenchmarkApply(b *testing.B) {
	states := loaded(authority(48))
	cache := cacheOf(states)
	w := slices.MaxFunc(states, func(a, b plan.WorkerState) int { return len(a.Tasks) - len(b.Tasks) })
	tasks := w.Tasks
	for seq := uint64(2); b.Loop(); seq++ {
		w.Tasks = append([]plan.RunningTask(nil), tasks...)
		w.Tasks[int(seq)%len(tasks)].Ref.Task.Job = "another"
		cache.Apply(plan.State{Partition: w.Rack, Epoch: 1, Seq: seq, Workers: []plan.WorkerState{w}})
		cache.Snapshot()
	}
	b.ReportMetric(float64(len(tasks)), "tasks")
}
