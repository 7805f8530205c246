// Package gang places tasks that only make progress when all of them run: every
// task gets a worker or none does, near each other when possible.
package gang

import (
	"fennelshunt.example/fennelshunt/process/sched/batch"
	"fennelshunt.example/fennelshunt/process/sched/snapshot"
)

// Place decides on all asks. It assumes them on the view while it looks and
// leaves the view as it was.
func Place(v *snapshot.View, asks []snapshot.Ask) snapshot.GangDecision {
	decisions := make([]snapshot.Decision, 0, len(asks))
	defer func() {
		for i := range decisions {
			v.End(asks[i].Ref(), decisions[i].Worker)
		}
	}()
	for i := range asks {
		d := batch.Place(v, &asks[i])
		if !d.Placed() {
			return snapshot.GangDecision{Fit: i, Rejections: d.Rejections, Infeasible: d.Infeasible}
		}
		v.Start(&asks[i], d.Worker)
		decisions = append(decisions, d)
	}
	return snapshot.GangDecision{Placed: true, Decisions: decisions, Fit: len(asks)}
}
