// Package score rates the workers that the filters left over. A lower score is
// better.
package score

import (
	"math"

	"fennelshunt.example/fennelshunt/process/sched/snapshot"
	"fennelshunt.example/fennelshunt/version/spec"
)

// Weights of the packing score.
const (
	// BalanceWeight rates how unlike the free shares of processors and memory
	// are after the placement: a VM with memory and no processors left is lost.
	BalanceWeight = 0.5
	// AcceleratorPenalty keeps work without accelerators off VMs that have
	// them while any other VM has room.
	AcceleratorPenalty = 10
)

// Packing rates a worker by the share of it that would stay free: the sum over
// both dimensions, and their difference. ref is the class's reference capacity.
func Packing(size *spec.Resources, e *snapshot.Entry, ref *spec.Resources) float64 {
	cpu := float64(e.CPU-size.MilliCPU) / float64(ref.MilliCPU)
	mem := float64(e.Memory-size.MemoryMB) / float64(ref.MemoryMB)
	s := cpu + mem + BalanceWeight*math.Abs(cpu-mem)
	return s + accelerators(size, int64(e.Accel), ref)
}

// PackingBound returns a lower bound of Packing over a cell.
func PackingBound(size *spec.Resources, b snapshot.Bounds, ref *spec.Resources) float64 {
	loCPU := float64(max(0, b.MinCPU-size.MilliCPU)) / float64(ref.MilliCPU)
	hiCPU := float64(b.MaxCPU-size.MilliCPU) / float64(ref.MilliCPU)
	loMem := float64(max(0, b.MinMemory-size.MemoryMB)) / float64(ref.MemoryMB)
	hiMem := float64(b.MaxMemory-size.MemoryMB) / float64(ref.MemoryMB)
	s := loCPU + loMem + BalanceWeight*max(0, loCPU-hiMem, loMem-hiCPU)
	return s + accelerators(size, size.Accelerators, ref)
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

// PackingWorker rates a worker by its record.
func PackingWorker(v *snapshot.View, a *snapshot.Ask, w *snapshot.Worker) float64 {
	free := w.Free()
	e := snapshot.Entry{CPU: free.MilliCPU, Memory: free.MemoryMB, Accel: int32(free.Accelerators)}
	return Packing(&a.Size, &e, v.Reference(w))
}
