package rebind

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/process/sched/naive"
	"fennelshunt.example/fennelshunt/process/sched/snapshot"
	"fennelshunt.example/fennelshunt/version/spec"
)

// rack returns a random rack with some tasks. One in three has accelerators on some of
// its VMs.
func rack(r *rand.Rand) []plan.WorkerState {
	states := make([]plan.WorkerState, 1+r.IntN(8))
	accelerated := r.IntN(3) == 0
	for i := range states {
		w := &states[i]
		*w = plan.WorkerState{ID: worker.ID(fmt.Sprint("w", i)), Zone: "zone", Rack: "rack"}
		w.Capacity = spec.Resources{MilliCPU: 8000 * (1 + r.Int64N(2)), MemoryMB: 16000 * (1 + r.Int64N(2))}
		if accelerated && r.IntN(2) == 0 {
			w.Capacity.Accelerators = 4
		}
		if r.IntN(8) == 0 {
			w.Unusable = "in quarantine"
		}
		for j := range r.IntN(6) {
			size := spec.Resources{MilliCPU: 500 * (1 + r.Int64N(5)), MemoryMB: 1000 * (1 + r.Int64N(5))}
			task := spec.TaskID{Job: fmt.Sprint("job-", r.IntN(3)), Generation: 1, Index: i*10 + j}
			w.Reserved = w.Reserved.Add(size)
			w.Tasks = append(w.Tasks, plan.RunningTask{Ref: worker.Ref{Task: task, Attempt: 1}, Size: size})
		}
	}
	return states
}

func drawAsk(r *rand.Rand, states []plan.WorkerState) snapshot.Ask {
	a := snapshot.Ask{
		Task: spec.TaskID{Job: fmt.Sprint("job-", r.IntN(3)), Generation: 1, Index: 999}, Attempt: 1,
		Kind: []spec.Kind{spec.Batch, spec.Service}[r.IntN(2)],
		Size: spec.Resources{MilliCPU: 500 * (1 + r.Int64N(8)), MemoryMB: 1000 * (1 + r.Int64N(8))},
	}
	a.Constraints.Spread = []spec.Spread{"", "", spec.SpreadNone, spec.SpreadRack}[r.IntN(4)]
	a.Constraints.MaxPerWorker = []int{0, 0, 1, 2}[r.IntN(4)]
	if r.IntN(6) == 0 {
		a.Size.Accelerators = 1 + r.Int64N(2)
	}
	if r.IntN(4) == 0 {
		a.Avoid = []worker.ID{states[r.IntN(len(states))].ID}
	}
	return a
}

func candidatesOf(states []plan.WorkerState, a *snapshot.Ask, first worker.ID) []Candidate {
	var list []Candidate
	for i := range states {
		w := &states[i]
		if w.Unusable != "" {
			continue
		}
		c := Candidate{ID: w.ID, Capacity: w.Capacity, Free: w.Capacity.Sub(w.Reserved)}
		for j := range w.Tasks {
			if w.Tasks[j].Ref.Task.Job == a.Task.Job {
				c.Tasks++
			}
		}
		limit := a.Constraints.MaxPerWorker
		c.Excluded = w.ID == first || limit > 0 && c.Tasks >= limit
		list = append(list, c)
	}
	return list
}

// TestChooseAgainstNaive compares every choice with that of the naive scheduler on the
// rack without the workers that must not take the task.
func TestChooseAgainstNaive(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	moved := 0
	for range 20000 {
		states := rack(r)
		first := &states[r.IntN(len(states))]
		a := drawAsk(r, states)
		accelerators := first.Capacity.Accelerators > 0

		candidates := candidatesOf(states, &a, first.ID)
		got := worker.ID("")
		if at := Choose(&a, accelerators, candidates); at != None {
			got = candidates[at].ID
		}

		plain := a
		plain.Avoid = append(slices.Clone(a.Avoid), first.ID)
		for i := range states {
			if !accelerators && a.Size.Accelerators == 0 && states[i].Capacity.Accelerators > 0 {
				plain.Avoid = append(plain.Avoid, states[i].ID)
			}
		}
		place := naive.New(states).PlaceBatch
		if a.Spreads() {
			place = naive.New(states).PlaceService
		}
		want, _ := place(&plain)
		require.Equal(t, want, got, "%+v on %+v", a, states)
		if got != "" {
			moved++
		}
	}
	require.Greater(t, moved, 5000)
}
