package snapshot

import (
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/version/spec"
)

// View is a private fork of a snapshot. Changes assumed on it are visible only to
// later decisions on the same view. It is not safe for concurrent use.
type View struct {
	*Table
	// Withheld, when set, returns the capacity of a worker that is withheld from
	// an ask on behalf of a waiting gang; see package gang.
	Withheld func(a *Ask, id worker.ID) spec.Resources
	// Affinity, when set, gives the partitions in which independent tasks are placed
	// first.
	Affinity *Affinity
}

// Change is an assumed change of one worker: tasks that start, and then attempts
// that end.
type Change struct {
	Start []Task
	End   []worker.Ref
}

// Apply applies an assumed change. Ended attempts that are not on the worker are
// ignored. It reports false when the worker is unknown.
func (v *View) Apply(id worker.ID, c Change) bool {
	old := v.Lookup(id)
	if old == nil {
		return false
	}
	w := *old
	w.Tasks = make([]Task, 0, len(old.Tasks)+len(c.Start))
	w.Tasks = append(append(w.Tasks, old.Tasks...), c.Start...)
	for i := range c.Start {
		v.count(&w, &c.Start[i], 1)
	}
	for _, ref := range c.End {
		if at := w.Find(ref); at >= 0 {
			v.count(&w, &w.Tasks[at], -1)
			w.Tasks = slices.Delete(w.Tasks, at, at+1)
		}
	}
	v.replace(&w)
	return true
}

// SetUnusable sets the reason why a worker takes no new tasks; "" makes it usable.
// It reports false when the worker is unknown.
func (v *View) SetUnusable(id worker.ID, reason string) bool {
	old := v.Lookup(id)
	if old == nil {
		return false
	}
	w := *old
	w.Unusable = reason
	v.replace(&w)
	return true
}

// count adds a task to the sums of its worker and job (times 1), or subtracts it
// (times -1).
func (v *View) count(w *Worker, t *Task, times int32) {
	w.Reserved = w.Reserved.Add(t.Size().Times(int64(times)))
	w.addPreemptible(t, int64(times))
	v.countTask(w, t, times)
}

// Start assumes that the ask's task starts on the worker. It reports false when
// the worker is unknown or already has the attempt.
func (v *View) Start(a *Ask, id worker.ID) bool {
	w := v.Lookup(id)
	if w == nil || w.Find(a.Ref()) >= 0 {
		return false
	}
	return v.Apply(id, Change{Start: []Task{TaskFor(a, time.Now())}})
}

// End assumes that an attempt on the worker has ended. It reports false when the
// worker does not have the attempt.
func (v *View) End(ref worker.Ref, id worker.ID) bool {
	w := v.Lookup(id)
	if w == nil || w.Find(ref) < 0 {
		return false
	}
	return v.Apply(id, Change{End: []worker.Ref{ref}})
}
