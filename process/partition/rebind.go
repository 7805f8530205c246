package partition

import (
	"slices"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/process/sched/filter"
	"fennelshunt.example/fennelshunt/process/sched/rebind"
	"fennelshunt.example/fennelshunt/process/sched/snapshot"
)

// rebind reserves a task's capacity on another worker than the named one, which
// could not take it, and returns that worker, or nil if the plan does not allow
// it or no worker fits. Shards that decide on the same snapshot choose the same
// best worker; without rebinding, all but the first would be refused and wait
// for the next snapshot.
//
// The worker passes the same checks as one named by a plan.
func (o *owner) rebind(p *plan.Plan, t *task, step *plan.Step) *node {
	if !p.MayRebind || p.Reservation != "" {
		return nil
	}
	n := o.alternative(step, p.NoRebind)
	if n == nil {
		return nil
	}
	if refused := o.reserveCapacity(n, t, step); refused.Outcome != "" {
		o.log.Error().Str("worker", string(n.id)).Str("reason", refused.Reason).Msg("task does not fit the worker chosen in place of the planned one; the step is refused")
		return nil
	}
	o.h.o.Metrics.Rebound.Add(1)
	return n
}

// alternative returns the best worker for a step other than the named one, or
// nil for a step with victims or if no worker has enough free capacity.
func (o *owner) alternative(step *plan.Step, noRebind []worker.ID) *node {
	if len(step.Victims) > 0 {
		return nil
	}
	ask := askOf(step)
	nodes, candidates := o.candidates(step, &ask, noRebind)
	first := o.nodes[step.Worker]
	best := rebind.Choose(&ask, first != nil && first.capacity.Accelerators > 0, candidates)
	if best == rebind.None {
		return nil
	}
	return nodes[best]
}

func askOf(step *plan.Step) snapshot.Ask {
	return snapshot.Ask{
		Task: step.Start.Task, Attempt: step.Start.Attempt, Team: step.Team, Kind: step.Start.Kind, Class: step.Class,
		Size: step.Start.Size, Constraints: step.Constraints, NonIdempotent: step.NonIdempotent, Avoid: step.Avoid,
	}
}

// candidates lists the usable workers of the partition for rebind.Choose.
func (o *owner) candidates(step *plan.Step, ask *snapshot.Ask, noRebind []worker.ID) ([]*node, []rebind.Candidate) {
	nodes := make([]*node, 0, len(o.nodes))
	list := make([]rebind.Candidate, 0, len(o.nodes))
	for _, n := range o.nodes {
		if n.unusable() != "" {
			continue
		}
		capacity, _ := o.ledger.Capacity(n.id)
		tasks := n.tasksOf(step.Start.Task.Job) + o.reservedFor(step.Start.Task.Job, n.id)
		limit := step.Constraints.MaxPerWorker
		excluded := limit > 0 && tasks >= limit || slices.Contains(noRebind, n.id) || o.ineligibleAlternative(n, step, ask)
		nodes = append(nodes, n)
		list = append(list, rebind.Candidate{
			ID: n.id, Capacity: capacity, Free: capacity.Sub(o.ledger.Held(n.id)), Tasks: tasks, Excluded: excluded,
		})
	}
	return nodes, list
}

// ineligibleAlternative reports whether a usable worker must not take a step in
// place of the named one.
func (o *owner) ineligibleAlternative(n *node, step *plan.Step, ask *snapshot.Ask) bool {
	return n.id == step.Worker || o.ineligible(n, step, "").Outcome != "" || n.overshoot.refuses(n, step.Start.Size) != "" ||
		!filter.ZoneAllowed(ask, n.vm.Zone) || !filter.RackAllowed(ask, n.vm.Rack)
}

// reservedFor counts the tasks of a job for which reservations hold capacity on
// a worker.
func (o *owner) reservedFor(job string, id worker.ID) int {
	count := 0
	for _, r := range o.reservations {
		for task, step := range r.steps {
			if task.Job == job && step.Worker == id {
				count++
			}
		}
	}
	return count
}
