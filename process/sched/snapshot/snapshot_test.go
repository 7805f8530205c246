package snapshot

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/internal/rapidtest"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/version/spec"
)

// TestMain fixes the seed. FENNEL_LONG=1 makes each randomised test longer.
func TestMain(m *testing.M) {
	checks := 50
	if os.Getenv("FENNEL_LONG") == "1" {
		checks = 3000
	}
	rapidtest.MainChecks(m, checks)
}

// dump returns the records of all workers of a table.
func dump(t *Table) map[worker.ID]Worker {
	out := map[worker.ID]Worker{}
	t.All(func(w *Worker) bool {
		out[w.ID] = *w
		return true
	})
	return out
}

// frozen is a snapshot with its contents at the time it was taken.
type frozen struct {
	snapshot *Snapshot
	dump     map[worker.ID]Worker
}

// drawState returns a random state with few sizes, so that buckets have several pages.
func drawState(r *rand.Rand, partition int, seq uint64) plan.State {
	s := plan.State{Partition: fmt.Sprint("p", partition), Epoch: 1, Seq: seq, Full: seq == 1 || r.IntN(10) == 0}
	for i := range 100 {
		if r.IntN(3) == 0 && seq > 1 {
			continue
		}
		w := plan.WorkerState{
			ID: worker.ID(fmt.Sprint("w", partition, "-", i)), Zone: "z", Rack: fmt.Sprint("r", r.IntN(2)),
			Capacity: spec.Resources{MilliCPU: 100, MemoryMB: 100}, Removed: r.IntN(20) == 0,
		}
		for range r.IntN(3) {
			w.Reserved = w.Reserved.Add(spec.Resources{MilliCPU: 40, MemoryMB: 40})
			ref := worker.Ref{Task: spec.TaskID{Job: fmt.Sprint("j", r.IntN(3)), Index: r.IntN(1000)}}
			w.Tasks = append(w.Tasks, plan.RunningTask{Ref: ref, Size: spec.Resources{MilliCPU: 40, MemoryMB: 40}})
		}
		if r.IntN(10) == 0 {
			w.Unusable = "draining"
		}
		s.Workers = append(s.Workers, w)
	}
	return s
}

// TestSnapshotsAndViewsAreIndependent guards against writing to a shared structure in
// place while the cache or a view changes after a snapshot was taken: a decision then
// sees half of a change, or a planner sees another planner's assumption.
func TestSnapshotsAndViewsAreIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		cache := NewCache()
		var taken []frozen
		for step := range 12 {
			cache.Apply(drawState(r, step%3, uint64(step/3+1)))
			snap := cache.Snapshot()
			taken = append(taken, frozen{snap, dump(snap.table)})
			churn(r, taken[r.IntN(len(taken))].snapshot.View())
			require.NoError(t, cache.table.Check())
		}
		for _, f := range taken {
			require.NoError(t, f.snapshot.table.Check())
			require.Equal(t, f.dump, dump(f.snapshot.table))
		}
	})
}

// churn starts and ends tasks on a view.
func churn(r *rand.Rand, v *View) {
	for i := range 200 {
		a := Ask{Task: spec.TaskID{Job: "new", Index: i}, Size: spec.Resources{MilliCPU: 5, MemoryMB: 5}}
		id := worker.ID(fmt.Sprint("w", r.IntN(3), "-", r.IntN(100)))
		if v.Start(&a, id) && r.IntN(2) == 0 {
			v.End(a.Ref(), id)
		}
	}
	if err := v.Check(); err != nil {
		panic(err)
	}
}
