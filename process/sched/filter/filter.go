// Package filter holds the rules that tell whether a task may run on a worker.
// Each rule is one small function in its own file; a policy applies them before
// it scores what is left.
package filter

import (
	"fennelshunt.example/fennelshunt/process/sched/snapshot"
)

// Filter returns why the worker does not take the task, or "" when it does.
type Filter func(v *snapshot.View, a *snapshot.Ask, w *snapshot.Worker) snapshot.Reason

// All lists every filter in the order in which a rejection is told: what never
// changes first, what changes most often last.
var All = []Filter{Zone, Rack, TooSmall, Usable, Avoid, MaxPerWorker, Accelerators, Memory, CPU, Kept}

// Check returns the first reason against the worker, or "".
func Check(v *snapshot.View, a *snapshot.Ask, w *snapshot.Worker) snapshot.Reason {
	return first(All, v, a, w)
}

// ForRecord lists the filters that matter for the ask beyond what the index
// answers by itself (zone, usability, free capacity).
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
	if v.Kept != nil {
		filters = append(filters, Kept)
	}
	return filters
}

// Pass reports whether none of the filters objects to the worker.
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
