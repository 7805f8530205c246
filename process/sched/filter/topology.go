package filter

import (
	"slices"

	"fennelshunt.example/fennelshunt/process/sched/snapshot"
)

// ZoneAllowed reports whether the ask's constraints allow a zone.
func ZoneAllowed(a *snapshot.Ask, zone string) bool {
	zones := a.Constraints.Zones
	return len(zones) == 0 || slices.Contains(zones, zone)
}

// RackAllowed reports whether the ask's constraints allow a rack.
func RackAllowed(a *snapshot.Ask, rack string) bool {
	racks := a.Constraints.Racks
	return len(racks) == 0 || slices.Contains(racks, rack)
}

// Zone rejects a worker outside the availability zones of the constraints.
func Zone(_ *snapshot.View, a *snapshot.Ask, w *snapshot.Worker) snapshot.Reason {
	if ZoneAllowed(a, w.Zone) {
		return ""
	}
	return snapshot.ReasonZone
}

// Rack rejects a worker outside the racks of the constraints.
func Rack(_ *snapshot.View, a *snapshot.Ask, w *snapshot.Worker) snapshot.Reason {
	if RackAllowed(a, w.Rack) {
		return ""
	}
	return snapshot.ReasonRack
}

// Avoid rejects the workers that the ask lists in Avoid.
func Avoid(_ *snapshot.View, a *snapshot.Ask, w *snapshot.Worker) snapshot.Reason {
	if slices.Contains(a.Avoid, w.ID) {
		return snapshot.ReasonAvoid
	}
	return ""
}

// MaxPerWorker limits the tasks of a job on one worker, including those of earlier
// generations: while a service is being replaced, its old and new instances together
// must not exceed what the operator allows.
func MaxPerWorker(_ *snapshot.View, a *snapshot.Ask, w *snapshot.Worker) snapshot.Reason {
	limit := a.Constraints.MaxPerWorker
	if limit > 0 && w.CountJob(a.Task.Job) >= limit {
		return snapshot.ReasonMaxPerWorker
	}
	return ""
}
