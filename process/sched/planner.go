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
	"fennelshunt.example/fennelshunt/version/spec"
)

// Planner makes many decisions in a row on one snapshot. What it assumes stays
// reserved over Rebase until a snapshot shows the task or Forget is called. It
// is not safe for concurrent use.
type Planner struct {
	view    *snapshot.View
	assumed map[worker.Ref]assumption
	failed  map[failure]Decision
	shadow  *gang.Shadow
}

// assumption is a placement that no snapshot has shown yet.
type assumption struct {
	ask     Ask
	worker  worker.ID
	victims []worker.Ref
	ended   []snapshot.Task // the victims taken out of the view
	started bool            // the task is in the view by our doing
}

// NewPlanner returns a planner on a snapshot.
func NewPlanner(snap *Snapshot) *Planner {
	p := &Planner{assumed: map[worker.Ref]assumption{}}
	p.Rebase(snap)
	return p
}

// Rebase moves the planner to a newer snapshot. Assumptions that the snapshot
// shows are dropped; the others are applied to it.
func (p *Planner) Rebase(snap *Snapshot) {
	p.view = snap.View()
	p.failed = map[failure]Decision{}
	p.keep()
	for ref, as := range p.assumed {
		if w := snap.Lookup(as.worker); w == nil || w.Find(ref) >= 0 {
			delete(p.assumed, ref)
			continue
		}
		p.apply(ref, as)
	}
}

// apply puts an assumption into the view.
func (p *Planner) apply(ref worker.Ref, as assumption) {
	as.ended = nil
	for _, victim := range as.victims {
		if t, ok := p.view.End(victim, as.worker); ok {
			as.ended = append(as.ended, t)
		}
	}
	as.started = p.view.Start(&as.ask, as.worker)
	p.assumed[ref] = as
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

// policy chooses by kind; a batch task that wants to be spread is placed like
// an instance, and a service that does not is packed.
func policy(ask *Ask) func(*snapshot.View, *Ask) (Decision, bool) {
	switch ask.Constraints.Spread {
	case spec.SpreadNone:
		return batch.Place
	case spec.SpreadRack, spec.SpreadZone:
		return service.Place
	}
	if ask.Kind == spec.Service {
		return service.Place
	}
	return batch.Place
}

// PlaceGang decides on all tasks of a gang, or none. It changes nothing.
func (p *Planner) PlaceGang(asks []Ask) GangDecision { return gang.Place(p.view, asks) }

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

// Assume takes a decision as made: its task holds capacity, and its victims do
// not, for all later decisions. It reports false when the worker is gone or
// the attempt is there already.
func (p *Planner) Assume(ask Ask, d Decision) bool {
	ref := ask.Ref()
	if _, ok := p.assumed[ref]; ok || p.view.Lookup(d.Worker) == nil {
		return false
	}
	p.apply(ref, assumption{ask: ask, worker: d.Worker, victims: d.Victims})
	if !p.assumed[ref].started {
		p.Forget(ref)
		return false
	}
	if len(d.Victims) > 0 {
		clear(p.failed) // more may have been freed than was asked for
	}
	return true
}

// Forget drops an assumption: the start was refused, or the task has ended.
func (p *Planner) Forget(ref worker.Ref) {
	as, ok := p.assumed[ref]
	if !ok {
		return
	}
	delete(p.assumed, ref)
	clear(p.failed)
	if as.started {
		p.view.End(ref, as.worker)
	}
	for _, t := range as.ended {
		p.view.Restore(t, as.worker)
	}
}

// InFlight returns how many assumptions no snapshot has shown yet.
func (p *Planner) InFlight() int { return len(p.assumed) }

// View returns the state on which the planner decides, for reading.
func (p *Planner) View() *snapshot.View { return p.view }
