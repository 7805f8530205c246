package filter

import (
	"fennelshunt.example/fennelshunt/process/sched/snapshot"
)

// TooSmall rejects a VM whose whole capacity is less than the task's size.
func TooSmall(_ *snapshot.View, a *snapshot.Ask, w *snapshot.Worker) snapshot.Reason {
	if a.Size.Fits(w.Capacity) {
		return ""
	}
	return snapshot.ReasonTooSmall
}

// Usable rejects a worker that takes no new tasks, with the worker's own reason.
func Usable(_ *snapshot.View, _ *snapshot.Ask, w *snapshot.Worker) snapshot.Reason {
	return snapshot.Reason(w.Unusable)
}

// Accelerators wants enough of them free.
func Accelerators(_ *snapshot.View, a *snapshot.Ask, w *snapshot.Worker) snapshot.Reason {
	if a.Size.Accelerators > w.Free().Accelerators {
		return snapshot.ReasonAccelerators
	}
	return ""
}

// Memory wants enough of it free.
func Memory(_ *snapshot.View, a *snapshot.Ask, w *snapshot.Worker) snapshot.Reason {
	if a.Size.MemoryMB > w.Free().MemoryMB {
		return snapshot.ReasonMemory
	}
	return ""
}

// CPU wants enough processors free.
func CPU(_ *snapshot.View, a *snapshot.Ask, w *snapshot.Worker) snapshot.Reason {
	if a.Size.MilliCPU > w.Free().MilliCPU {
		return snapshot.ReasonCPU
	}
	return ""
}

// Kept keeps off what a waiting gang counts on, unless the task is expected to
// end before the gang can start.
func Kept(v *snapshot.View, a *snapshot.Ask, w *snapshot.Worker) snapshot.Reason {
	if v.Kept == nil {
		return ""
	}
	if a.Size.Fits(w.Free().Sub(v.Kept(a, w.ID))) {
		return ""
	}
	return snapshot.ReasonReserved
}
