package sched

import (
	"time"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/sched/batch"
	"fennelshunt.example/fennelshunt/process/sched/filter"
	"fennelshunt.example/fennelshunt/process/sched/gang"
	"fennelshunt.example/fennelshunt/process/sched/preempt"
	"fennelshunt.example/fennelshunt/process/sched/service"
	"fennelshunt.example/fennelshunt/process/sched/snapshot"
)

// Planner makes a series of decisions on one snapshot. Assumed placements stay
// reserved across Rebase until a snapshot shows the task or Forget is called. A
// Planner is not safe for concurrent use.
type Planner struct {
	base     *Snapshot
	view     *snapshot.View
	inFlight inFlight
	failures map[failureKey]Decision
	shadow   *gang.Shadow
	affinity *snapshot.Affinity
	blocked  map[worker.ID]string
}

// NewPlanner returns a planner on a snapshot.
func NewPlanner(snap *Snapshot) *Planner {
	p := &Planner{inFlight: newInFlight(), blocked: map[worker.ID]string{}}
	p.Rebase(snap)
	return p
}

// Rebase switches the planner to a newer snapshot. Assumptions that the snapshot
// shows, or whose worker it no longer has, are dropped; the others are applied to
// it. The cost is proportional to the assumptions in flight, and none if the
// snapshot is unchanged.
func (p *Planner) Rebase(snap *Snapshot) {
	if snap == p.base {
		return
	}
	p.base, p.view = snap, snap.View()
	p.failures = map[failureKey]Decision{}
	p.applyShadow()
	p.view.Affinity = p.affinity
	p.applyBlocked()
	p.inFlight.apply(p.view)
}

// Place decides on one task. It does not reserve anything; see Assume.
func (p *Planner) Place(ask Ask) Decision {
	key, cacheable := failureKeyOf(&ask)
	if d, ok := p.failures[key]; ok && cacheable {
		return d
	}
	d := p.place(&ask)
	if cacheable && !d.Placed() {
		p.failures[key] = d
	}
	return d
}

func (p *Planner) place(ask *Ask) Decision {
	if d, ok := policy(ask)(p.view, ask); ok {
		return d
	}
	if ask.Preempt {
		if d, ok := preempt.Place(p.view, ask); ok {
			return d
		}
	}
	rejections, infeasible := filter.Explain(p.view, ask)
	return Decision{Rejections: rejections, Infeasible: infeasible}
}

// policy returns the placement policy for an ask.
func policy(ask *Ask) func(*snapshot.View, *Ask) (Decision, bool) {
	if ask.Spreads() {
		return service.Place
	}
	return batch.Place
}

// PlaceGang places all tasks of a gang, or none. It does not reserve anything; see
// Assume.
func (p *Planner) PlaceGang(asks []Ask) GangDecision { return gang.Place(p.view, asks) }

// Assume applies a decision to all later ones: its task holds capacity and its
// victims no longer do. It reports false when the decision has no worker, the
// worker has been removed, or the attempt is already placed.
func (p *Planner) Assume(ask Ask, d Decision) bool {
	ref := ask.Ref()
	w := p.view.Lookup(d.Worker)
	if w == nil || w.Find(ref) >= 0 || p.inFlight.has(ref) {
		return false
	}
	task := snapshot.TaskFor(&ask, time.Now())
	p.inFlight.add(ref, assumption{task, d.Worker, d.Victims})
	p.view.Apply(d.Worker, snapshot.Change{Start: []snapshot.Task{task}, End: d.Victims})
	if len(d.Victims) > 0 {
		clear(p.failures) // the victims may have freed more than the ask needs
	}
	return true
}

// Forget drops an assumption, after the start was refused or the task has ended.
func (p *Planner) Forget(ref worker.Ref) {
	as, ok := p.inFlight.remove(ref)
	if !ok {
		return
	}
	clear(p.failures)
	change := snapshot.Change{End: []worker.Ref{ref}}
	for _, victim := range as.victims {
		if t, ok := p.task(victim, as.worker); ok {
			change.Start = append(change.Start, t)
		}
	}
	p.view.Apply(as.worker, change)
}

// task returns a task that is in flight or in the snapshot.
func (p *Planner) task(ref worker.Ref, id worker.ID) (snapshot.Task, bool) {
	if as, ok := p.inFlight.assumed[ref]; ok {
		return as.task, true
	}
	if w := p.base.Lookup(id); w != nil {
		if at := w.Find(ref); at >= 0 {
			return w.Tasks[at], true
		}
	}
	return snapshot.Task{}, false
}

// PlanGang computes the earliest time at which a gang that cannot be placed now is
// expected to fit, given the remaining run times of running tasks. It returns
// false when the tasks with a known end do not free enough. It does not reserve
// anything; see Protect.
func (p *Planner) PlanGang(asks []Ask, remaining gang.Remaining) (gang.Shadow, bool) {
	return gang.Plan(p.view, asks, time.Now(), remaining)
}

// Protect withholds the capacity that is reserved for a waiting gang from all
// asks except those that preempt. It stays in effect across Rebase until it is
// called again. Only one gang is protected at a time; nil protects none.
func (p *Planner) Protect(s *gang.Shadow) {
	p.shadow = s
	clear(p.failures)
	p.applyShadow()
}

func (p *Planner) applyShadow() {
	p.view.Withheld = nil
	if p.shadow != nil {
		p.view.Withheld = p.shadow.Withheld
	}
}

// Prefer sets the name of the scheduler and the partitions that it prefers for
// independent tasks, also across Rebase. Schedulers should prefer disjoint
// partitions, ideally those that their own daemon owns, so that schedulers that
// decide at the same time seldom choose the same worker. With an empty name no
// partition is preferred.
func (p *Planner) Prefer(scheduler string, partitions []string) {
	p.affinity = nil
	if scheduler != "" {
		p.affinity = snapshot.NewAffinity(scheduler, partitions)
	}
	p.view.Affinity = p.affinity
}

// InFlight returns the number of assumptions that no snapshot shows yet.
func (p *Planner) InFlight() int { return len(p.inFlight.assumed) }

// View returns the state on which the planner decides. The caller must not modify
// it.
func (p *Planner) View() *snapshot.View { return p.view }
