package sched

import (
	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/sched/snapshot"
)

// Move takes an assumption to another worker: the owner of the workers has put
// the task there. It changes nothing when the attempt is not in flight. Only a
// decision without victims may be moved.
func (p *Planner) Move(ref worker.Ref, id worker.ID) {
	as, ok := p.inFlight.assumed[ref]
	if !ok || as.worker == id {
		return
	}
	p.Forget(ref)
	w := p.view.Lookup(id)
	if w == nil || w.Find(ref) >= 0 {
		return // gone, or the snapshot shows the task already
	}
	as.worker, as.victims = id, nil
	p.inFlight.add(ref, as)
	p.view.Apply(id, snapshot.Change{Start: []snapshot.Task{as.task}})
}
