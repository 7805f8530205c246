package sched

import (
	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/sched/snapshot"
)

// Move moves an assumption to another worker, on which the owner of the partition
// has placed the task instead. It does nothing when the attempt is not in flight.
// Only decisions without victims may be moved.
func (p *Planner) Move(ref worker.Ref, id worker.ID) {
	as, ok := p.inFlight.assumed[ref]
	if !ok || as.worker == id {
		return
	}
	p.Forget(ref)
	w := p.view.Lookup(id)
	if w == nil || w.Find(ref) >= 0 {
		return // the worker was removed, or the snapshot already shows the task
	}
	as.worker, as.victims = id, nil
	p.inFlight.add(ref, as)
	p.view.Apply(id, snapshot.Change{Start: []snapshot.Task{as.task}})
}
