package partition

import (
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/version/spec"
)

// authorize refuses an author whose epoch is fenced.
func (o *owner) authorize(a plan.Authorship) error {
	if o.h.fences.raise(a.Shard, a.Epoch, 0) {
		return nil
	}
	o.h.o.Metrics.Stale.Add(1)
	return &peer.RemoteError{Code: CodeStale, Message: "the shard was taken over"}
}

// find returns the task and its worker, or nil.
func (o *owner) find(ref worker.Ref) (*node, *task) {
	for _, t := range []*task{o.live[ref.Task], o.results[ref.Task]} {
		if t != nil && t.ref == ref && o.nodes[t.workerID] != nil {
			return o.nodes[t.workerID], t
		}
	}
	return nil, nil
}

// stopTasks ends tasks on behalf of their shard.
func (o *owner) stopTasks(req plan.Stop) error {
	if err := o.authorize(req.Author); err != nil {
		return err
	}
	drain := time.Duration(req.DrainMillis) * time.Millisecond
	for _, ref := range req.Tasks {
		n, t := o.find(ref)
		if t == nil {
			o.stopUnknown(req.Author.Shard, ref)
			continue
		}
		t.shard = req.Author.Shard
		o.stopTask(n, t, req.Mode, drain)
	}
	return nil
}

// stopUnknown reports a task that is not recorded here as lost, in answer to a
// request to stop it. It does nothing while a worker is not fenced, because the
// task may still be found there.
func (o *owner) stopUnknown(shard plan.Shard, ref worker.Ref) {
	for _, n := range o.nodes {
		if !n.everFenced && !n.accounted {
			return
		}
	}
	o.emitTo(shard, plan.Event{
		Task: ref.Task, Attempt: ref.Attempt, State: worker.Stopped, Lost: true,
		Message: "the task is not at any worker of the partition",
	})
}

func (o *owner) stopTask(n *node, t *task, mode plan.StopMode, drain time.Duration) {
	switch {
	case t.phase == ended:
	case t.phase == waiting || t.phase == queued:
		o.markNotStarted(n, t, "stopped before the start was sent")
	case t.start.Kind == spec.Service && drain > 0:
		o.drainEndpoint(t, drain)
	case mode == plan.StopCheckpoint && t.phase == running:
		t.checkpointWanted = true
	default:
		t.stopWanted = true
	}
	o.markDirty(n)
}

// drainEndpoint marks a service instance as leaving and has it stopped after
// drain, so that its requests can finish. If a drain that ends earlier is in
// progress, that end is kept.
func (o *owner) drainEndpoint(t *task, drain time.Duration) {
	at := time.Now().Add(drain)
	if t.stopAt.IsZero() || at.Before(t.stopAt) {
		t.stopAt = at
	}
	if !t.leaving {
		t.leaving = true
		o.endpointsChanged(t)
	}
}

// startDraining ends the work on a VM that is leaving.
func (o *owner) startDraining(n *node) {
	n.draining = true
	o.log.Info().Str("worker", string(n.id)).Msg("VM is leaving; draining its tasks")
	o.markChanged(n)
	for _, t := range n.tasks {
		if t.phase == queued || t.phase == waiting {
			o.markNotStarted(n, t, "VM is leaving")
		} else if t.live() {
			o.drainTask(t)
		}
	}
}

// drainTask ends a task on a leaving VM so that the least work is lost. A
// non-idempotent task is left to finish.
func (o *owner) drainTask(t *task) {
	switch {
	case t.start.Kind == spec.Service:
		o.drainEndpoint(t, o.t.VMDrain)
	case !t.nonIdempotent && t.phase == running:
		t.checkpointWanted = true
	}
}

// ack has workers drop results that are durable in the shard's progress.
func (o *owner) ack(req plan.Ack) error {
	if err := o.authorize(req.Author); err != nil {
		return err
	}
	for _, ref := range req.Tasks {
		held := o.results[ref.Task]
		if held == nil || held.ref != ref || held.acked {
			continue
		}
		held.acked = true
		if n := o.nodes[held.workerID]; n != nil {
			n.acks = append(n.acks, ref)
		}
	}
	return nil
}

// preempt stops the victims on the worker to free capacity for t. The start of t is
// sent once the worker has confirmed the stop of the last victim.
func (o *owner) preempt(n *node, t *task, victims []worker.Ref) plan.StepResult {
	capacity, _ := o.ledger.Capacity(n.id)
	free := capacity.Sub(o.ledger.Held(n.id))
	t.victims = make(map[worker.Ref]bool, len(victims))
	for _, ref := range victims {
		v := n.tasks[ref]
		if v == nil || !v.live() {
			continue // its capacity is free already
		}
		if reason := mayPreempt(n, t, v); reason != "" {
			return reject(plan.NoCapacity, reason)
		}
		t.victims[ref] = true
		size, _ := o.ledger.Holds(n.id, v.holder())
		free = free.Add(size)
	}
	if len(t.victims) == 0 || !t.start.Size.Fits(free) {
		return reject(plan.NoCapacity, "the victims do not make enough room")
	}
	t.enter(waiting)
	t.workerID = n.id
	n.tasks[t.ref] = t // before the victims are stopped: some stop at once
	o.live[t.ref.Task] = t
	o.reserveFree(n, t)
	for ref := range t.victims {
		o.preemptTask(n, n.tasks[ref])
	}
	return plan.StepResult{}
}

// mayPreempt returns why v cannot be a victim of t, or "".
func mayPreempt(n *node, t, v *task) string {
	if v.class.Rank() >= t.class.Rank() {
		return "a victim is not of a lower class"
	}
	if v.nonIdempotent && v.mayRun() {
		return "a victim must not start twice"
	}
	for _, other := range n.tasks {
		if other.phase == waiting && other.victims[v.ref] {
			return "a victim makes room for another task"
		}
	}
	return ""
}

// reserveFree reserves for t as much of its size as is free now, so that no
// other task takes that capacity while the victims stop.
func (o *owner) reserveFree(n *node, t *task) {
	o.ledger.Free(n.id, t.holder())
	capacity, _ := o.ledger.Capacity(n.id)
	free := capacity.Sub(o.ledger.Held(n.id))
	available := spec.Resources{
		MilliCPU:     max(0, min(free.MilliCPU, t.start.Size.MilliCPU)),
		MemoryMB:     max(0, min(free.MemoryMB, t.start.Size.MemoryMB)),
		Accelerators: max(0, min(free.Accelerators, t.start.Size.Accelerators)),
	}
	if available.IsZero() {
		return
	}
	if err := o.ledger.Reserve(n.id, t.holder(), available); err != nil {
		o.log.Error().Err(err).Stringer("task", t.ref.Task).Msg("reserving free capacity for a preempting task failed; other tasks may take it, and the task may not start")
	}
}

func (o *owner) preemptTask(n *node, v *task) {
	v.preempted = true
	switch {
	case v.phase == queued || v.phase == waiting:
		o.markNotStarted(n, v, "preempted before the start was sent")
	case v.start.Kind == spec.Service:
		o.drainEndpoint(v, o.t.PreemptDrain)
	case v.phase == running:
		v.checkpointWanted = true
	default:
		v.stopWanted = true
	}
}

// victimStopped gives the capacity of v to the tasks that wait for it, and
// queues those that wait for no other victim.
func (o *owner) victimStopped(n *node, v *task) {
	for _, t := range n.tasks {
		if t.phase != waiting || !t.victims[v.ref] {
			continue
		}
		delete(t.victims, v.ref)
		o.reserveFree(n, t)
		if len(t.victims) > 0 {
			continue
		}
		if held, _ := o.ledger.Holds(n.id, t.holder()); held != t.start.Size {
			o.markNotStarted(n, t, "the victims' place was not enough")
			continue
		}
		t.victims = nil
		t.enter(queued)
		o.markChanged(n)
	}
}
