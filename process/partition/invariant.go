package partition

import (
	"fmt"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/ownership"
	"fennelshunt.example/fennelshunt/version/spec"
)

// checkInvariants verifies one worker, the next one each time: it costs the
// number of its tasks and is called with every tick. A violation means that
// this program is wrong, so it panics: the daemon starts anew as another life,
// which learns the truth from the workers; going on could put more on a VM
// than it carries or run a task twice.
func (o *owner) checkInvariants() {
	if len(o.checkQueue) == 0 {
		for id := range o.nodes {
			o.checkQueue = append(o.checkQueue, id)
		}
	}
	if len(o.checkQueue) == 0 {
		return
	}
	id := o.checkQueue[0]
	o.checkQueue = o.checkQueue[1:]
	if n := o.nodes[id]; n != nil {
		if err := o.checkNode(n); err != nil {
			panic(err)
		}
	}
}

func (o *owner) checkNode(n *node) error {
	if err := o.checkBooks(n); err != nil {
		return err
	}
	for _, t := range n.tasks {
		if t.phase == sent && !n.everFenced {
			return fmt.Errorf("partition: start of %s sent to %s before it was fenced", t.ref.Task, n.id)
		}
		if t.live() && !o.inMemo[n.id] && t.phase != unknown && t.phase != running {
			return fmt.Errorf("partition: task %s placed on %s, which is not written down", t.ref.Task, n.id)
		}
	}
	return nil
}

// checkBooks compares the ledger of a worker with its tasks and reservations.
func (o *owner) checkBooks(n *node) error {
	var sum spec.Resources
	for _, t := range n.tasks {
		if t.live() {
			size, _ := o.ledger.Holds(n.id, t.holder())
			sum = sum.Add(size)
		}
	}
	for id, r := range o.reservations {
		sum = sum.Add(o.reservedAt(id, r, n.id))
	}
	if held := o.ledger.Held(n.id); sum != held {
		return fmt.Errorf("partition: worker %s: tasks and reservations hold %+v, ledger says %+v", n.id, sum, held)
	}
	return nil
}

// reservedAt returns what a reservation holds at one worker.
func (o *owner) reservedAt(id string, r *reservation, at worker.ID) spec.Resources {
	var sum spec.Resources
	for task, step := range r.steps {
		if step.Worker == at {
			size, _ := o.ledger.Holds(at, r.key(id, task))
			sum = sum.Add(size)
		}
	}
	return sum
}

// checkGrant verifies that the epoch of a partition only rises in this process.
func checkGrant(old *owner, g ownership.Grant) error {
	if old != nil && old.claim.Epoch >= g.Epoch {
		return fmt.Errorf("partition: %s granted in epoch %d after epoch %d", g.Resource, g.Epoch, old.claim.Epoch)
	}
	return nil
}
