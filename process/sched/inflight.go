package sched

import (
	"maps"
	"slices"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/sched/snapshot"
)

// assumption is a placement that is not yet visible in a snapshot.
type assumption struct {
	task    snapshot.Task
	worker  worker.ID
	victims []worker.Ref
}

// inFlight holds the assumptions of a planner, per worker in the order in which
// they were made, so that they are applied to a new snapshot with one change per
// worker and always in the same order.
type inFlight struct {
	assumed  map[worker.Ref]assumption
	byWorker map[worker.ID][]worker.Ref
}

func newInFlight() inFlight {
	return inFlight{assumed: map[worker.Ref]assumption{}, byWorker: map[worker.ID][]worker.Ref{}}
}

func (f *inFlight) has(ref worker.Ref) bool {
	_, ok := f.assumed[ref]
	return ok
}

func (f *inFlight) add(ref worker.Ref, as assumption) {
	f.assumed[ref] = as
	f.byWorker[as.worker] = append(f.byWorker[as.worker], ref)
}

func (f *inFlight) remove(ref worker.Ref) (assumption, bool) {
	as, ok := f.assumed[ref]
	if !ok {
		return as, false
	}
	delete(f.assumed, ref)
	refs := f.byWorker[as.worker]
	f.setRefs(as.worker, slices.Delete(refs, slices.Index(refs, ref), slices.Index(refs, ref)+1))
	return as, true
}

func (f *inFlight) setRefs(id worker.ID, refs []worker.Ref) {
	if len(refs) == 0 {
		delete(f.byWorker, id)
		return
	}
	f.byWorker[id] = refs
}

// apply applies the assumptions to a view. It drops those that the view already
// shows and those whose worker is not in the view.
func (f *inFlight) apply(v *snapshot.View) {
	for _, id := range slices.Sorted(maps.Keys(f.byWorker)) {
		var change snapshot.Change
		w := v.Lookup(id)
		pending := slices.DeleteFunc(f.byWorker[id], func(ref worker.Ref) bool {
			if w == nil || w.Find(ref) >= 0 {
				delete(f.assumed, ref)
				return true
			}
			as := f.assumed[ref]
			change.Start = append(change.Start, as.task)
			change.End = append(change.End, as.victims...)
			return false
		})
		f.setRefs(id, pending)
		if len(pending) > 0 {
			v.Apply(id, change)
		}
	}
}
