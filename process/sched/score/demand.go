package score

import (
	"math"

	"fennelshunt.example/fennelshunt/version/spec"
)

// Demand weighs what it costs to strand a dimension, from 0 to 1: that which is
// in more demand over the whole cell has 1. Where processors run out first,
// memory left over is nothing lost, and to keep both in balance would only
// spread the work over more VMs.
type Demand struct {
	cpu, memory float64
}

const (
	// demandExponent is how fast the weight falls with the use of a dimension.
	demandExponent = 6
	// demandEven is the ratio of the used shares from which both dimensions
	// count as equally scarce.
	demandEven = 0.85
	// demandFloor is added to the used shares, so that the first few tasks of
	// an idle cell decide nothing.
	demandFloor = 0.05
)

// DemandOf returns the weights for a cell with so much free in total, of the
// sum of reference capacities.
func DemandOf(free, reference spec.Resources) Demand {
	cpu := used(free.MilliCPU, reference.MilliCPU) + demandFloor
	mem := used(free.MemoryMB, reference.MemoryMB) + demandFloor
	return Demand{weight(cpu / mem), weight(mem / cpu)}
}

// weight returns the weight of a dimension that is used so many times as much
// as the other.
func weight(ratio float64) float64 {
	return math.Pow(min(1, ratio/demandEven), demandExponent)
}

func used(free, reference int64) float64 {
	if reference == 0 {
		return 0
	}
	return 1 - float64(free)/float64(reference)
}

// imbalance rates what would be stranded on a VM with these free shares.
func (d Demand) imbalance(cpu, mem float64) float64 {
	weight := d.cpu
	if mem > cpu {
		weight = d.memory
	}
	return BalanceWeight * weight * math.Abs(cpu-mem) / (cpu + mem + balanceFloor)
}
