package partition

import (
	"slices"

	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/process/sched/filter"
	"fennelshunt.example/fennelshunt/process/sched/rebind"
	"fennelshunt.example/fennelshunt/process/sched/snapshot"
)

// rebind reserves a task's capacity on another worker than the one that could
// not take it, and returns that worker; nil when the plan does not allow it or
// none fits. Shards that decide on the same snapshot choose the same best
// worker; refused, all but the first would wait for the next snapshot.
//
// The worker is checked as the one of a plan is, so whatever holds for a start
// by plan holds for this one.
func (o *owner) rebind(p *plan.Plan, t *task, step *plan.Step) *node {
	if !p.MayRebind || p.Reservation != "" || len(step.Victims) > 0 {
		return nil
	}
	ask := askOf(step)
	nodes, candidates := o.candidates(p, step, &ask)
	first := o.nodes[step.Worker]
	best := rebind.Choose(&ask, first != nil && first.capacity.Accelerators > 0, candidates)
	if best == rebind.None {
		return nil
	}
	n := nodes[best]
	if refused := o.fit(n, t, step); refused.Outcome != "" {
		o.log.Error().Str("worker", string(n.id)).Str("reason", refused.Reason).Msg("rebound task does not fit")
		return nil
	}
	o.h.o.Metrics.Rebound.Add(1)
	return n
}

func askOf(step *plan.Step) snapshot.Ask {
	return snapshot.Ask{
		Task: step.Start.Task, Attempt: step.Start.Attempt, Team: step.Team, Kind: step.Start.Kind, Class: step.Class,
		Size: step.Start.Size, Constraints: step.Constraints, NonIdempotent: step.NonIdempotent, Avoid: step.Avoid,
	}
}

// candidates lists the usable workers of the partition but the step's own.
func (o *owner) candidates(p *plan.Plan, step *plan.Step, ask *snapshot.Ask) ([]*node, []rebind.Candidate) {
	nodes := make([]*node, 0, len(o.nodes))
	list := make([]rebind.Candidate, 0, len(o.nodes))
	for _, n := range o.nodes {
		if n.unusable() != "" {
			continue
		}
		capacity, _ := o.ledger.Capacity(n.id)
		nodes = append(nodes, n)
		list = append(list, rebind.Candidate{
			ID: n.id, Capacity: capacity, Free: capacity.Sub(o.ledger.Held(n.id)),
			Tasks: n.tasksOf(step.Start.Task.Job), Closed: o.closedTo(n, p, step, ask),
		})
	}
	return nodes, list
}

// closedTo reports whether a usable worker must not take a step in place of the
// one that was named.
func (o *owner) closedTo(n *node, p *plan.Plan, step *plan.Step, ask *snapshot.Ask) bool {
	return n.id == step.Worker || slices.Contains(p.Kept, n.id) || o.closed(n, step).Outcome != "" ||
		n.use.refuses(n, step.Start.Size) != "" ||
		!filter.ZoneAllowed(ask, n.vm.Zone) || !filter.RackAllowed(ask, n.vm.Rack)
}
