package partition

import "fennelshunt.example/fennelshunt/version/spec"

// setCapacity sets a worker's capacity in the ledger to the minimum of what the
// VM list and the worker report. Otherwise a VM that was made smaller would be
// filled up to its old capacity until its agent reports the new one. Tasks that
// run there go on; no more fit until enough of them have ended.
func (o *owner) setCapacity(n *node) {
	switch {
	case n.reported.IsZero():
		n.capacity = n.vm.Capacity
	case n.vm.Capacity.IsZero():
		n.capacity = n.reported // from the memo, not in the VM list
	default:
		n.capacity = smaller(n.reported, n.vm.Capacity)
	}
	o.ledger.SetWorker(n.id, n.capacity)
}

// smaller returns the minimum of each resource.
func smaller(a, b spec.Resources) spec.Resources {
	return spec.Resources{
		MilliCPU:     min(a.MilliCPU, b.MilliCPU),
		MemoryMB:     min(a.MemoryMB, b.MemoryMB),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

// resized applies a capacity that changed in the VM list. The worker is fenced
// again, which reads its inventory. Starts that were not sent yet are refused
// if the reserved capacity exceeds the new one.
func (o *owner) resized(n *node) {
	n.fenced = false
	o.setCapacity(n)
	if !o.ledger.Held(n.id).Fits(n.capacity) {
		o.refuseQueued(n, "VM became smaller before the start was sent")
	}
	o.markChanged(n)
}
