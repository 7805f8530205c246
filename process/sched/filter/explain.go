package filter

import (
	"cmp"
	"slices"

	"fennelshunt.example/fennelshunt/process/sched/snapshot"
)

// Explain counts the reasons why workers cannot take the task. Its cost is linear in
// workers, so policies call it only when they found no worker, and a planner caches
// the result.
func Explain(v *snapshot.View, a *snapshot.Ask) (rejections []snapshot.Rejection, infeasible string) {
	counts := map[snapshot.Reason]int{}
	possible := v.Len() == 0
	v.All(func(w *snapshot.Worker) bool {
		reason := Check(v, a, w)
		if reason != "" {
			counts[reason]++
		}
		possible = possible || !permanent(reason)
		return true
	})
	rejections = Sorted(counts)
	if !possible {
		infeasible = infeasibility(a, rejections)
	}
	return rejections, infeasible
}

// permanent reports whether a reason remains whichever tasks end.
func permanent(reason snapshot.Reason) bool {
	switch reason {
	case snapshot.ReasonZone, snapshot.ReasonRack, snapshot.ReasonTooSmall:
		return true
	}
	return false
}

// infeasibility describes why no worker can ever take the task.
func infeasibility(a *snapshot.Ask, rejections []snapshot.Rejection) string {
	for _, r := range rejections {
		if r.Reason == snapshot.ReasonTooSmall {
			return "larger than any VM that the constraints allow"
		}
	}
	if len(a.Constraints.Racks) > 0 {
		return "no worker in the racks (and zones) of the constraints"
	}
	return "no worker in the availability zones of the constraints"
}

// Sorted returns the counted reasons, most frequent first.
func Sorted(counts map[snapshot.Reason]int) []snapshot.Rejection {
	out := make([]snapshot.Rejection, 0, len(counts))
	for reason, n := range counts {
		out = append(out, snapshot.Rejection{Reason: reason, Workers: n})
	}
	slices.SortFunc(out, func(a, b snapshot.Rejection) int {
		return cmp.Or(cmp.Compare(b.Workers, a.Workers), cmp.Compare(a.Reason, b.Reason))
	})
	return out
}
