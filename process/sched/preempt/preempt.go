// Package preempt makes room for urgent work by stopping tasks of lower
// classes, those with the least work to lose.
package preempt

import "fennelshunt.example/fennelshunt/process/sched/snapshot"

// Place chooses a worker and victims there; false when nothing can be freed.
func Place(v *snapshot.View, a *snapshot.Ask) (snapshot.Decision, bool) {
	var best plan
	v.All(func(w *snapshot.Worker) bool {
		if p, ok := consider(v, a, w); ok && (best.worker == nil || p.lost < best.lost) {
			best = p
		}
		return true
	})
	if best.worker == nil {
		return snapshot.Decision{}, false
	}
	return best.decision(), true
}
