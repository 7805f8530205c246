package score

import (
	"math"

	"fennelshunt.example/fennelshunt/version/spec"
)

// Demand holds the cost of stranding free CPU or memory on a VM, from 0 to 1. It
// is 1 for the dimension that is in higher demand in the whole cell. Where CPU is
// exhausted first, leftover memory costs nothing, and keeping both in balance would
// only spread the tasks over more VMs.
type Demand struct {
	cpu, memory float64
}

const (
	// demandExponent determines how fast the weight falls as a dimension is used
	// less than the other.
	demandExponent = 6
	// demandEven is the lowest ratio of the used shares at which both dimensions
	// count as equally scarce.
	demandEven = 0.85
	// demandFloor is added to the used shares, so that the first few tasks in an idle
	// cell have little influence.
	demandFloor = 0.05
)

// DemandOf returns the weights for a cell, given its total free capacity and the
// sum of its reference capacities.
func DemandOf(free, reference spec.Resources) Demand {
	cpu := used(free.MilliCPU, reference.MilliCPU) + demandFloor
	mem := used(free.MemoryMB, reference.MemoryMB) + demandFloor
	return Demand{weight(cpu / mem), weight(mem / cpu)}
}

// weight returns the weight of a dimension, given the ratio of its used share to
// that of the other.
func weight(ratio float64) float64 {
	return math.Pow(min(1, ratio/demandEven), demandExponent)
}

func used(free, reference int64) float64 {
	if reference == 0 {
		return 0
	}
	return 1 - float64(free)/float64(reference)
}

// imbalance scores the capacity that would be stranded on a VM with these free
// shares.
func (d Demand) imbalance(cpu, mem float64) float64 {
	weight := d.cpu
	if mem > cpu {
		weight = d.memory
	}
	return BalanceWeight * weight * math.Abs(cpu-mem) / (cpu + mem + balanceFloor)
}
