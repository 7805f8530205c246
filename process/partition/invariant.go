package partition

import (
	"fmt"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/ownership"
	"fennelshunt.example/fennelshunt/version/spec"
)

// checkInvariants verifies one worker per call, in turn, because a check takes
// time proportional to the worker's tasks and runs with every tick. A violation
// is a bug in this program, so it panics: the daemon restarts as a new
// incarnation, which rebuilds its state from the workers' inventories. Going on
// could exceed the capacity of a VM or run a task twice.
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
	if err := o.checkLedger(n); err != nil {
		return err
	}
	for _, t := range n.tasks {
		if t.phase == sent && !n.everFenced {
			return fmt.Errorf("partition: start of %s sent to %s before it was fenced", t.ref.Task, n.id)
		}
		if t.live() && !o.inMemo[n.id] && t.phase != unknown && t.phase != running {
			return fmt.Errorf("partition: task %s placed on %s, which the stored memo does not name", t.ref.Task, n.id)
		}
	}
	return nil
}

// checkLedger compares the ledger's sum for a worker with the sizes of its tasks
// and reservations.
func (o *owner) checkLedger(n *node) error {
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

// reservedAt returns the capacity that a reservation holds at one worker.
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

// checkGrant verifies that the epoch of a partition only increases in this process.
func checkGrant(old *owner, g ownership.Grant) error {
	if old != nil && old.claim.Epoch >= g.Epoch {
		return fmt.Errorf("partition: %s granted in epoch %d after epoch %d", g.Resource, g.Epoch, old.claim.Epoch)
	}
	return nil
}
