package filter

import (
	"fennelshunt.example/fennelshunt/process/sched/snapshot"
)

// TooSmall rejects a worker whose total capacity is less than the task's size.
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

// Accelerators rejects a worker without enough free accelerators.
func Accelerators(_ *snapshot.View, a *snapshot.Ask, w *snapshot.Worker) snapshot.Reason {
	if a.Size.Accelerators > w.Free().Accelerators {
		return snapshot.ReasonAccelerators
	}
	return ""
}

// Memory rejects a worker without enough free memory.
func Memory(_ *snapshot.View, a *snapshot.Ask, w *snapshot.Worker) snapshot.Reason {
	if a.Size.MemoryMB > w.Free().MemoryMB {
		return snapshot.ReasonMemory
	}
	return ""
}

// CPU rejects a worker without enough free CPU.
func CPU(_ *snapshot.View, a *snapshot.Ask, w *snapshot.Worker) snapshot.Reason {
	if a.Size.MilliCPU > w.Free().MilliCPU {
		return snapshot.ReasonCPU
	}
	return ""
}

// Withheld rejects a worker whose free capacity is reserved for a waiting gang,
// unless the task is expected to end before the gang can start.
func Withheld(v *snapshot.View, a *snapshot.Ask, w *snapshot.Worker) snapshot.Reason {
	if v.Withheld == nil {
		return ""
	}
	if a.Size.Fits(w.Free().Sub(v.Withheld(a, w.ID))) {
		return ""
	}
	return snapshot.ReasonReserved
}
