package snapshot

import (
	"time"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/version/spec"
)

// View is a private fork of a snapshot. What it assumes is seen by its own
// later decisions and by nobody else. It is not safe for concurrent use.
type View struct {
	*Table
	// Kept, when set, returns what a worker keeps from an ask for a waiting
	// gang; see package gang.
	Kept func(a *Ask, id worker.ID) spec.Resources
}

// Start assumes that the ask's task starts on the worker. It reports false
// when the worker is not known or already holds the attempt.
func (v *View) Start(a *Ask, id worker.ID) bool {
	old := v.Lookup(id)
	if old == nil || old.Find(a.Ref()) >= 0 {
		return false
	}
	return v.Restore(taskFor(a, time.Now()), id)
}

// End assumes that an attempt on the worker has ended and returns its task. It
// reports false when the attempt is not there.
func (v *View) End(ref worker.Ref, id worker.ID) (Task, bool) {
	old := v.Lookup(id)
	if old == nil {
		return Task{}, false
	}
	at := old.Find(ref)
	if at < 0 {
		return Task{}, false
	}
	ended := old.Tasks[at]
	w := *old
	w.Reserved = old.Reserved.Sub(ended.Size())
	w.Tasks = make([]Task, 0, len(old.Tasks)-1)
	w.Tasks = append(append(w.Tasks, old.Tasks[:at]...), old.Tasks[at+1:]...)
	w.addPreemptible(&ended, -1)
	v.replace(&w)
	v.countTask(&w, &ended, -1)
	return ended, true
}

// Restore takes back an End.
func (v *View) Restore(t Task, id worker.ID) bool {
	old := v.Lookup(id)
	if old == nil || old.Find(t.Ref()) >= 0 {
		return false
	}
	w := *old
	w.Reserved = old.Reserved.Add(t.Size())
	w.Tasks = append(old.Tasks[:len(old.Tasks):len(old.Tasks)], t)
	w.addPreemptible(&t, 1)
	v.replace(&w)
	v.countTask(&w, &t, 1)
	return true
}
