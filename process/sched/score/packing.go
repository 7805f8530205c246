// Package score rates the workers that the filters left over. A lower score is
// better.
package score

import (
	"fennelshunt.example/fennelshunt/process/sched/snapshot"
	"fennelshunt.example/fennelshunt/version/spec"
)

// Weights of the packing score, chosen by measurement: docs/PLACEMENT.md.
const (
	// BalanceWeight rates how unlike the free shares of processors and memory
	// are after the placement, relative to their sum: a VM with memory and no
	// processors left is lost to everybody.
	BalanceWeight = 4
	// balanceFloor keeps the relation defined, and calm, on a VM nearly full.
	balanceFloor = 0.02
	// IdlePenalty keeps work off an idle VM while another will do, so that at
	// low load whole VMs stay free for large tasks.
	IdlePenalty = 0.75
	// AcceleratorPenalty keeps work without accelerators off VMs that have
	// them while any other VM has room.
	AcceleratorPenalty = 10
	// AwayPenalty keeps work in the scheduler's home partitions: schedulers
	// that decide at the same time on the same snapshot would else all choose
	// the same best worker, and all but one be refused there. More of it means
	// fewer refusals and looser packing.
	AwayPenalty = 3
)

// Away rates a worker by how far its partition is from the scheduler.
func Away(home *snapshot.Home, lane snapshot.Lane) float64 {
	if home == nil {
		return 0
	}
	return AwayPenalty * home[lane]
}

// Rater rates workers for one ask.
type Rater struct {
	size   spec.Resources
	demand Demand
}

// NewRater returns a rater for an ask in the present state of the cell.
func NewRater(v *snapshot.View, a *snapshot.Ask) Rater {
	free, reference := v.Totals()
	return RaterOf(a, DemandOf(free, reference))
}

// RaterOf returns a rater for an ask and a demand.
func RaterOf(a *snapshot.Ask, d Demand) Rater { return Rater{a.Size, d} }

// Packing rates a worker by what would stay free on it: the sum of the shares
// of processors and memory, and their imbalance. ref is the reference capacity
// of the worker's class.
func (r *Rater) Packing(e *snapshot.Entry, ref *spec.Resources) float64 {
	cpu := float64(e.CPU-r.size.MilliCPU) / float64(ref.MilliCPU)
	mem := float64(e.Memory-r.size.MemoryMB) / float64(ref.MemoryMB)
	s := cpu + mem + r.demand.imbalance(cpu, mem) + accelerators(&r.size, int64(e.Accel), ref)
	if e.Idle {
		s += IdlePenalty
	}
	return s
}

// Bound returns a lower bound of Packing over a cell. The imbalance grows with
// the larger share and falls with the smaller one, so it is least at a corner,
// or nothing where the shares can be equal.
func (r *Rater) Bound(b snapshot.Bounds, ref *spec.Resources) float64 {
	loCPU := float64(max(0, b.MinCPU-r.size.MilliCPU)) / float64(ref.MilliCPU)
	hiCPU := float64(b.MaxCPU-r.size.MilliCPU) / float64(ref.MilliCPU)
	loMem := float64(max(0, b.MinMemory-r.size.MemoryMB)) / float64(ref.MemoryMB)
	hiMem := float64(b.MaxMemory-r.size.MemoryMB) / float64(ref.MemoryMB)
	s := loCPU + loMem + accelerators(&r.size, r.size.Accelerators, ref)
	switch {
	case loCPU > hiMem:
		s += r.demand.imbalance(loCPU, hiMem)
	case loMem > hiCPU:
		s += r.demand.imbalance(hiCPU, loMem)
	}
	return s
}

// accelerators rates what stays free of them, as a share.
func accelerators(size *spec.Resources, free int64, ref *spec.Resources) float64 {
	if ref.Accelerators == 0 {
		return 0
	}
	if size.Accelerators == 0 {
		return AcceleratorPenalty
	}
	return float64(free-size.Accelerators) / float64(ref.Accelerators)
}

// Worker rates a worker by its record.
func (r *Rater) Worker(v *snapshot.View, w *snapshot.Worker) float64 {
	e := snapshot.EntryOf(w)
	return r.Packing(&e, v.Reference(w))
}
