package partition

import "fennelshunt.example/fennelshunt/version/spec"

// setCapacity books a worker with what both the VM list and the worker itself
// allow. What goes wrong otherwise: a VM that was made smaller is filled up to
// its old capacity, as long as its agent does not tell or is out of reach. What
// runs there goes on; nothing more fits until enough has ended.
func (o *owner) setCapacity(n *node) {
	switch {
	case n.reported.IsZero():
		n.capacity = n.vm.Capacity
	case n.vm.Capacity.IsZero():
		n.capacity = n.reported // of the memo, not listed
	default:
		n.capacity = smaller(n.reported, n.vm.Capacity)
	}
	o.ledger.SetWorker(n.id, n.capacity)
}

// smaller returns the smaller of each resource.
func smaller(a, b spec.Resources) spec.Resources {
	return spec.Resources{
		MilliCPU:     min(a.MilliCPU, b.MilliCPU),
		MemoryMB:     min(a.MemoryMB, b.MemoryMB),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

// resized takes a capacity that the VM list changed. The inventory is read
// anew; starts that were not sent yet and may not fit any more are refused.
func (o *owner) resized(n *node) {
	n.fenced = false
	o.setCapacity(n)
	if !o.ledger.Held(n.id).Fits(n.capacity) {
		o.refuseQueued(n, "VM became smaller before the start was sent")
	}
	o.markChanged(n)
}
