// Package score scores the workers that pass the filters. A lower score is better.
package score

import (
	"fennelshunt.example/fennelshunt/process/sched/snapshot"
	"fennelshunt.example/fennelshunt/version/spec"
)

// Weights of the packing score. docs/PLACEMENT.md has the measurements.
const (
	// BalanceWeight is the weight of the difference between the free shares of CPU
	// and memory after the placement, relative to their sum: a VM with free memory
	// but no free CPU cannot be used by any task.
	BalanceWeight = 4
	// balanceFloor keeps the ratio defined and stable on an almost full VM.
	balanceFloor = 0.02
	// IdlePenalty avoids idle VMs while there is a similar alternative, so that at
	// low load whole VMs stay free for large tasks.
	IdlePenalty = 0.75
	// AcceleratorPenalty keeps tasks that use no accelerators off VMs that have them,
	// as long as they fit on any other VM.
	AcceleratorPenalty = 10
	// LocalityPenalty keeps tasks in the scheduler's preferred partitions. Without
	// it, schedulers that decide at the same time on the same snapshot would all
	// choose the same best worker, and all but one would be refused there. A higher
	// penalty means fewer refusals and looser packing.
	LocalityPenalty = 3
)

// Locality scores a worker by the distance of its partition from the scheduler.
func Locality(affinity *snapshot.Affinity, partition snapshot.PartitionHash) float64 {
	if affinity == nil {
		return 0
	}
	return LocalityPenalty * affinity[partition]
}

// Rater scores workers for one ask.
type Rater struct {
	size   spec.Resources
	demand Demand
}

// NewRater returns a rater for an ask, given the current demand in the cell.
func NewRater(v *snapshot.View, a *snapshot.Ask) Rater {
	free, reference := v.Totals()
	return RaterOf(a, DemandOf(free, reference))
}

// RaterOf returns a rater for an ask and a demand.
func RaterOf(a *snapshot.Ask, d Demand) Rater { return Rater{a.Size, d} }

// Packing scores a worker by what would stay free on it: the sum of the free shares
// of CPU, memory and accelerators, the imbalance of the first two, and IdlePenalty and
// AcceleratorPenalty where they apply. ref is the reference capacity of the worker's
// class.
func (r *Rater) Packing(e *snapshot.Entry, ref *spec.Resources) float64 {
	cpu := float64(e.CPU-r.size.MilliCPU) / float64(ref.MilliCPU)
	mem := float64(e.Memory-r.size.MemoryMB) / float64(ref.MemoryMB)
	s := cpu + mem + r.demand.imbalance(cpu, mem) + accelerators(&r.size, int64(e.Accel), ref)
	if e.Idle {
		s += IdlePenalty
	}
	return s
}

// Bound returns a lower bound of Packing over the workers of a bucket. The imbalance
// grows with the larger share and falls with the smaller one, so its minimum is at a
// corner of the bucket, or 0 where the shares can be equal.
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

// accelerators scores the accelerators that would stay free, as a share.
func accelerators(size *spec.Resources, free int64, ref *spec.Resources) float64 {
	if ref.Accelerators == 0 {
		return 0
	}
	if size.Accelerators == 0 {
		return AcceleratorPenalty
	}
	return float64(free-size.Accelerators) / float64(ref.Accelerators)
}

// Worker returns the packing score of a worker, given its record.
func (r *Rater) Worker(v *snapshot.View, w *snapshot.Worker) float64 {
	e := snapshot.EntryOf(w)
	return r.Packing(&e, v.Reference(w))
}
