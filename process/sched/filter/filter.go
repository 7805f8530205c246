// Package filter holds the rules that decide whether a task may run on a worker.
// Each rule is a small function. Policies apply the filters before they score the
// remaining workers.
package filter

import (
	"fennelshunt.example/fennelshunt/process/sched/snapshot"
)

// Filter returns why a worker cannot take a task, or "" if it can.
type Filter func(v *snapshot.View, a *snapshot.Ask, w *snapshot.Worker) snapshot.Reason

// All lists the filters in the order in which they are applied; a rejection has the
// reason of the first that fails. Properties that never change come first, and those
// that change most often last.
var All = []Filter{Zone, Rack, TooSmall, Usable, Avoid, MaxPerWorker, Accelerators, Memory, CPU, Withheld}

// Check returns the first reason why the worker cannot take the task, or "".
func Check(v *snapshot.View, a *snapshot.Ask, w *snapshot.Worker) snapshot.Reason {
	return first(All, v, a, w)
}

// ForRecord returns the filters that are relevant for the ask in addition to those
// that the index covers (zone, usability, free capacity).
func ForRecord(v *snapshot.View, a *snapshot.Ask) []Filter {
	var filters []Filter
	if len(a.Constraints.Racks) > 0 {
		filters = append(filters, Rack)
	}
	if len(a.Avoid) > 0 {
		filters = append(filters, Avoid)
	}
	if a.Constraints.MaxPerWorker > 0 {
		filters = append(filters, MaxPerWorker)
	}
	if v.Withheld != nil {
		filters = append(filters, Withheld)
	}
	return filters
}

// Pass reports whether the worker passes all the filters.
func Pass(filters []Filter, v *snapshot.View, a *snapshot.Ask, i snapshot.Index) bool {
	return len(filters) == 0 || first(filters, v, a, v.Worker(i)) == ""
}

func first(filters []Filter, v *snapshot.View, a *snapshot.Ask, w *snapshot.Worker) snapshot.Reason {
	for _, f := range filters {
		if reason := f(v, a, w); reason != "" {
			return reason
		}
	}
	return ""
}
