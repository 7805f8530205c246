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

// Zone keeps to the availability zones of the constraints.
func Zone(_ *snapshot.View, a *snapshot.Ask, w *snapshot.Worker) snapshot.Reason {
	if ZoneAllowed(a, w.Zone) {
		return ""
	}
	return snapshot.ReasonZone
}

// Rack keeps to the racks of the constraints.
func Rack(_ *snapshot.View, a *snapshot.Ask, w *snapshot.Worker) snapshot.Reason {
	if RackAllowed(a, w.Rack) {
		return ""
	}
	return snapshot.ReasonRack
}

// Avoid keeps off the workers that the ask names.
func Avoid(_ *snapshot.View, a *snapshot.Ask, w *snapshot.Worker) snapshot.Reason {
	if slices.Contains(a.Avoid, w.ID) {
		return snapshot.ReasonAvoid
	}
	return ""
}

// MaxPerWorker bounds the tasks of a job on one worker, those of earlier
// generations included: while a service is replaced, old and new instances
// together may not exceed what the operator allows.
func MaxPerWorker(_ *snapshot.View, a *snapshot.Ask, w *snapshot.Worker) snapshot.Reason {
	limit := a.Constraints.MaxPerWorker
	if limit > 0 && w.CountJob(a.Task.Job) >= limit {
		return snapshot.ReasonMaxPerWorker
	}
	return ""
}
