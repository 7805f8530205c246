package partition

import (
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/version/spec"
)

// workStep is the minimum progress of a task that is published in the state;
// with smaller steps every heartbeat would cause a delta.
const workStep = 0.1

// applyInventory reconciles the recorded tasks with the inventory of a worker. It
// is called when all leases of others are revoked, so a task that is not listed
// does not run.
func (o *owner) applyInventory(n *node, inv worker.Inventory) {
	if !inv.Capacity.IsZero() {
		n.reported = inv.Capacity
		o.setCapacity(n)
	}
	if inv.Draining && !n.draining {
		o.startDraining(n)
	}
	listed := make(map[worker.Ref]bool, len(inv.Tasks))
	for _, report := range inv.Tasks {
		report.Lease = n.lease
		listed[worker.Ref{Task: report.Task, Attempt: report.Attempt}] = true
		o.applyReport(n, report)
	}
	var crashed suspects
	if n.restarted(func(t *task) bool { return listed[t.ref] }) {
		crashed = suspectsOn(n)
	}
	for ref, t := range n.tasks {
		switch {
		case listed[ref]:
		case t.mayRun():
			// The worker restarted, or the start never arrived and cannot
			// take effect any more. The task may have run, so its result is
			// unknown.
			o.markLost(n, t, "worker does not know the task after its lease was revoked", crashed)
		case t.phase == ended:
			o.dropResult(n, t)
		}
	}
	o.markChanged(n)
}

// applyReport processes a worker's report of one task.
func (o *owner) applyReport(n *node, report worker.Task) {
	ref := worker.Ref{Task: report.Task, Attempt: report.Attempt}
	t := n.tasks[ref]
	if t == nil {
		t = o.adopt(n, ref, report)
	}
	if t.phase == ended {
		return
	}
	if report.Lease != "" && report.Lease != n.lease && !report.State.Ended() {
		n.fenced = false // another daemon moved the task to its lease
	}
	old := t.report
	t.report = report
	if report.State.Ended() {
		o.finish(n, t)
		return
	}
	if t.phase != running {
		o.markRunning(n, t)
		return
	}
	if old.Address != report.Address || old.State != report.State {
		o.emit(t, o.event(n, t))
		o.endpointsChanged(t)
	}
	if report.Work-old.Work >= workStep {
		o.markTaskChanged(n, t)
	} else {
		t.report.Work = old.Work + min(0, report.Work-old.Work)
	}
}

// adopt adds a task that this owner did not start.
func (o *owner) adopt(n *node, ref worker.Ref, report worker.Task) *task {
	t := &task{
		ref:      ref,
		workerID: n.id,
		started:  time.Now(),
		report:   report,
	}
	t.start = worker.Start{Task: ref.Task, Attempt: ref.Attempt, Size: report.Size}
	o.resolveJob(t, o.h.o.Config.Current())
	n.tasks[ref] = t
	t.enter(unknown)
	if report.State.Ended() {
		return t
	}
	if other := o.live[ref.Task]; other != nil {
		o.h.o.Metrics.DoubleRuns.Add(1)
		o.log.Error().Stringer("task", ref.Task).Str("worker", string(n.id)).Msg("task found live in two attempts; the one found last will be told to stop")
		t.stopWanted = true
	} else {
		o.live[ref.Task] = t
	}
	if err := o.ledger.Adopt(n.id, t.holder(), report.Size); err != nil {
		o.log.Error().Err(err).Stringer("task", ref.Task).Msg("adopted task not counted in the ledger; its worker may be given more tasks than it has room for")
	}
	return t
}

func (o *owner) markRunning(n *node, t *task) {
	if t.report.State == "" {
		t.report = worker.Task{Task: t.ref.Task, Attempt: t.ref.Attempt, State: worker.Running, Size: t.start.Size}
	}
	if t.started.IsZero() {
		t.started = time.Now()
	}
	t.enter(running)
	o.emit(t, o.event(n, t))
	o.endpointsChanged(t)
	o.markTaskChanged(n, t)
	if n.draining {
		o.drainTask(t)
	}
}

// finish processes the result of a task: the worker confirms that it does not
// run any more.
func (o *owner) finish(n *node, t *task) {
	o.free(n, t)
	t.enter(ended)
	if held := o.results[t.ref.Task]; held == nil || held.ref.Attempt < t.ref.Attempt {
		o.results[t.ref.Task] = t
	}
	o.emit(t, o.event(n, t))
	o.endpointsChanged(t)
	o.markChanged(n)
	n.ended.add(t.ref, n.changed)
	switch t.report.State {
	case worker.Failed:
		o.recordFailure(n, t.ref.Task.Job)
	case worker.Succeeded:
		o.recordSuccess(n)
	}
	if t.preempted {
		o.h.o.Metrics.Preempted.Add(1)
	}
	o.victimStopped(n, t)
}

// free frees the capacity of a task that is known not to run.
func (o *owner) free(n *node, t *task) {
	o.ledger.Free(n.id, t.holder())
	if o.live[t.ref.Task] == t {
		delete(o.live, t.ref.Task)
	}
}

// dropResult drops the record of a result that the worker no longer holds.
func (o *owner) dropResult(n *node, t *task) {
	delete(n.tasks, t.ref)
	if o.results[t.ref.Task] == t {
		delete(o.results, t.ref.Task)
	}
}

// markNotStarted ends a task whose start was refused or never sent.
func (o *owner) markNotStarted(n *node, t *task, reason string) {
	o.h.o.Metrics.NotStarted.Add(1)
	o.endWithoutResult(n, t, plan.Event{NotStarted: true, Message: reason})
}

// markLost ends a task that certainly does not run and whose result is unknown. If its
// worker crashed, crashed holds the tasks that may have caused it.
func (o *owner) markLost(n *node, t *task, reason string, crashed suspects) {
	o.h.o.Metrics.Lost.Add(1)
	suspect := slices.Contains(crashed.tasks, t)
	o.log.Info().Stringer("task", t.ref.Task).Int("attempt", t.ref.Attempt).Str("worker", string(n.id)).Str("why", reason).
		Bool("suspect", suspect).Bool("sole", crashed.sole).Msg("task lost")
	o.endWithoutResult(n, t, plan.Event{Lost: true, Suspect: suspect, Sole: suspect && crashed.sole, Message: reason})
}

// endWithoutResult ends a task of which its worker holds no result.
func (o *owner) endWithoutResult(n *node, t *task, e plan.Event) {
	o.free(n, t)
	t.enter(ended)
	delete(n.tasks, t.ref)
	e.Task, e.Attempt, e.Worker, e.State = t.ref.Task, t.ref.Attempt, n.id, worker.Stopped
	o.emit(t, e)
	o.endpointsChanged(t)
	o.markChanged(n)
	n.ended.add(t.ref, n.changed)
	o.victimStopped(n, t)
}

// event returns the event that reports the task's state to its shard.
func (o *owner) event(n *node, t *task) plan.Event {
	r := t.report
	return plan.Event{
		Task:         t.ref.Task,
		Attempt:      t.ref.Attempt,
		Worker:       n.id,
		State:        r.State,
		Usage:        r.Usage,
		Address:      r.Address,
		Message:      r.Message,
		Work:         r.Work,
		Checkpointed: r.State == worker.Stopped && t.checkpointed,
		Preempted:    r.State == worker.Stopped && t.preempted,
	}
}

func (o *owner) endpointsChanged(t *task) {
	if t.start.Kind == spec.Service {
		o.state.endpointsDirty = true
	}
}
