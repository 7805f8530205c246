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

// Planner makes many decisions in a row on one snapshot. What it assumes stays
// reserved over Rebase until a snapshot shows the task or Forget is called. It
// is not safe for concurrent use.
type Planner struct {
	base     *Snapshot
	view     *snapshot.View
	inFlight inFlight
	failed   map[failure]Decision
	shadow   *gang.Shadow
	home     *snapshot.Home
	blocked  map[worker.ID]string
}

// NewPlanner returns a planner on a snapshot.
func NewPlanner(snap *Snapshot) *Planner {
	p := &Planner{inFlight: newInFlight(), blocked: map[worker.ID]string{}}
	p.Rebase(snap)
	return p
}

// Rebase moves the planner to a newer snapshot. Assumptions that the snapshot
// shows, or whose worker it no longer has, are dropped; the others are applied
// to it. Its cost is that of what is in flight, and nothing when the snapshot
// is the same.
func (p *Planner) Rebase(snap *Snapshot) {
	if snap == p.base {
		return
	}
	p.base, p.view = snap, snap.View()
	p.failed = map[failure]Decision{}
	p.keep()
	p.view.Home = p.home
	p.block()
	p.inFlight.apply(p.view)
}

// Place decides on one task. It changes nothing: see Assume.
func (p *Planner) Place(ask Ask) Decision {
	key, keep := failureOf(&ask)
	if d, ok := p.failed[key]; ok && keep {
		return d
	}
	d := p.place(&ask)
	if keep && !d.Placed() {
		p.failed[key] = d
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

// policy chooses how an ask is placed.
func policy(ask *Ask) func(*snapshot.View, *Ask) (Decision, bool) {
	if ask.Spreads() {
		return service.Place
	}
	return batch.Place
}

// PlaceGang decides on all tasks of a gang, or none. It changes nothing.
func (p *Planner) PlaceGang(asks []Ask) GangDecision { return gang.Place(p.view, asks) }

// Assume takes a decision as made: its task holds capacity, and its victims do
// not, for all later decisions. It reports false when the decision has no
// worker, the worker is gone, or the attempt is there already.
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
		clear(p.failed) // more may have been freed than was asked for
	}
	return true
}

// Forget drops an assumption: the start was refused, or the task has ended.
func (p *Planner) Forget(ref worker.Ref) {
	as, ok := p.inFlight.remove(ref)
	if !ok {
		return
	}
	clear(p.failed)
	change := snapshot.Change{End: []worker.Ref{ref}}
	for _, victim := range as.victims {
		if t, ok := p.task(victim, as.worker); ok {
			change.Start = append(change.Start, t)
		}
	}
	p.view.Apply(as.worker, change)
}

// task returns a task that the snapshot shows or that is in flight.
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

// PlanGang looks for the earliest time at which a gang that has no room now is
// expected to fit; remaining tells when running tasks end. False when no end is
// known that would make room. It changes nothing: see Protect.
func (p *Planner) PlanGang(asks []Ask, remaining gang.Remaining) (gang.Shadow, bool) {
	return gang.Plan(p.view, asks, time.Now(), remaining)
}

// Protect keeps a waiting gang's capacity from all other asks but those of
// preemption, over Rebase, until it is called again. Only one gang is
// protected; nil protects none.
func (p *Planner) Protect(s *gang.Shadow) {
	p.shadow = s
	clear(p.failed)
	p.keep()
}

func (p *Planner) keep() {
	p.view.Kept = nil
	if p.shadow != nil {
		p.view.Kept = p.shadow.Kept
	}
}

// Prefer names the scheduler and the partitions where its independent tasks go
// first, over Rebase. Give each scheduler others, best those that its own daemon
// owns: schedulers that decide at the same time then seldom choose the same
// worker. An empty name prefers none.
func (p *Planner) Prefer(scheduler string, partitions []string) {
	p.home = nil
	if scheduler != "" {
		p.home = snapshot.NewHome(scheduler, partitions)
	}
	p.view.Home = p.home
}

// InFlight returns how many assumptions no snapshot has shown yet.
func (p *Planner) InFlight() int { return len(p.inFlight.assumed) }

// View returns the state on which the planner decides, for reading.
func (p *Planner) View() *snapshot.View { return p.view }
