package sched

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/internal/rapidtest"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/version/spec"
)

// TestMain fixes the seed. FENNEL_LONG=1 makes each randomised test longer.
func TestMain(m *testing.M) {
	checks := 100
	if os.Getenv("FENNEL_LONG") == "1" {
		checks = 3000
	}
	rapidtest.MainChecks(m, checks)
}

// shape describes a cell's VMs.
type shape struct {
	workers  int
	capacity spec.Resources
	rackSize int
	zones    int
	// every accelEvery-th rack has accelerators on its VMs; 0 means none.
	accelEvery   int
	accelerators int64
}

// guild has the VM size, racks and zones of platform.Guild. Two of its eight racks have
// accelerators.
var guild = shape{48, spec.Resources{MilliCPU: 16000, MemoryMB: 32768}, 6, 4, 4, 4}

// authority has the VM size, rack size and zones of platform.Authority, and the given
// number of workers.
func authority(workers int) shape {
	return shape{workers, spec.Resources{MilliCPU: 64000, MemoryMB: 131072}, 8, 3, 3, 8}
}

// states returns the workers. If varied is set, VMs are up to 4 % smaller.
func (s shape) states(r *rand.Rand, varied bool) []plan.WorkerState {
	out := make([]plan.WorkerState, s.workers)
	for i := range out {
		rack := i / s.rackSize
		capacity := s.capacity
		if varied {
			capacity.MilliCPU -= r.Int64N(capacity.MilliCPU / 25)
			capacity.MemoryMB -= r.Int64N(capacity.MemoryMB / 25)
		}
		if s.accelEvery > 0 && rack%s.accelEvery == 0 {
			capacity.Accelerators = s.accelerators
		}
		out[i] = plan.WorkerState{
			ID: worker.ID(fmt.Sprintf("w%05d", i)), Zone: fmt.Sprint("zone-", rack%s.zones),
			Rack: fmt.Sprint("rack-", rack), Capacity: capacity,
		}
	}
	return out
}

// cacheOf returns a cache of the workers, with one partition per rack.
func cacheOf(workers []plan.WorkerState) *Cache {
	c := NewCache()
	partitions := map[string][]plan.WorkerState{}
	var order []string
	for _, w := range workers {
		if partitions[w.Rack] == nil {
			order = append(order, w.Rack)
		}
		partitions[w.Rack] = append(partitions[w.Rack], w)
	}
	for _, name := range order {
		c.Apply(plan.State{Partition: name, Epoch: 1, Seq: 1, Full: true, Workers: partitions[name]})
	}
	return c
}

// mixedTask draws a task from a mix that is skewed in both dimensions: many small
// tasks, some with much CPU, some with much memory, and some with accelerators.
// Sizes are multiples of a 64th of a VM.
func mixedTask(r *rand.Rand, index int, capacity spec.Resources) Ask {
	cpu, mem := capacity.MilliCPU/64, capacity.MemoryMB/64
	between := func(lo, hi int64) int64 { return lo + r.Int64N(hi-lo+1) }
	var size spec.Resources
	switch n := r.IntN(100); {
	case n < 45:
		size = spec.Resources{MilliCPU: between(cpu, 4*cpu), MemoryMB: between(mem, 4*mem)}
	case n < 70:
		size = spec.Resources{MilliCPU: between(6*cpu, 16*cpu), MemoryMB: between(mem, 5*mem)}
	case n < 95:
		size = spec.Resources{MilliCPU: between(cpu, 5*cpu), MemoryMB: between(6*mem, 16*mem)}
	case n < 97:
		size = spec.Resources{MilliCPU: between(4*cpu, 10*cpu), MemoryMB: between(4*mem, 10*mem), Accelerators: between(1, 2)}
	default:
		size = spec.Resources{MilliCPU: between(4*cpu, 10*cpu), MemoryMB: between(4*mem, 10*mem)}
	}
	ask := batchAsk(fmt.Sprint("job-", index%97), index, size)
	ask.RunTime = 0
	return ask
}
