package dispatch

import (
	"fennelshunt.example/fennelshunt/process/preemption"
	"fennelshunt.example/fennelshunt/version/work"
)

// This file collects what package preemption needs: the workers that a plan may use, with what is free
// there and the runs that may be stopped.

// mayReclaim reports whether runs beyond the entitlement of their accounts may be stopped for the
// step.
func (e *Engine) mayReclaim(s *step) bool {
	return e.o.Policy.Reclaim && s.job.spec.Account != "" && !s.job.overEntitled
}

// preemptable returns the workers that a plan for the step may use, with their runs. If the step
// cannot ask for tickets now, these are the workers with a ticket that outlasts the stops. Workers
// of which the verdict is unknown are included if the step asks about them.
func (e *Engine) preemptable(s *step, mayAsk, unknownToo bool) []preemption.Worker {
	a := e.adviceOf(s)
	lead := e.stopLead()
	limit := s.perWorker(s.spec.Count)
	var all []preemption.Worker
	for i, w := range e.workerList {
		if a != nil && a.verdictOf(w) != good && (!unknownToo || a.verdictOf(w) == bad) {
			continue
		}
		if !e.eligible(s, w) {
			continue
		}
		noTicket := false
		if a != nil {
			t := a.ticketFor(w)
			// Without a call, a ticket has to outlast the stops. With one, beginPreemption renews
			// those that expire before the answer.
			noTicket = t == nil || !t.valid(e.now+2*lead)
			if noTicket && !mayAsk {
				continue
			}
		}
		x := preemption.Worker{ID: i, Free: e.unclaimed(s, w), Limit: limit - s.liveOn(w), NoTicket: noTicket}
		if !s.spec.Need().Fits(w.Capacity) || x.Limit <= 0 {
			continue
		}
		x.Runs = e.stoppable(w)
		all = append(all, x)
	}
	return all
}

// unclaimed returns the capacity of a worker that is free or being freed, and that is not
// reserved for another gang or for a step that comes before s.
func (e *Engine) unclaimed(s *step, w *worker) work.Resources {
	free := w.free()
	for _, alloc := range w.allocs {
		if alloc.state == stopping {
			free = free.Add(alloc.need)
		}
	}
	for i := range w.gangReservations {
		if w.gangReservations[i].s != s {
			free = free.Sub(w.gangReservations[i].capacity)
		}
	}
	if s.preemption.uses(w) {
		return free
	}
	for _, r := range w.reserved {
		if r.s != s && compareSteps(s, r.s) > 0 {
			free = free.Sub(r.need)
		}
	}
	return free
}

// stoppable returns the runs on a worker that write checkpoints, are no members of gangs and are
// not being stopped. Their ID is the index in sortedAllocs.
func (e *Engine) stoppable(w *worker) []preemption.Run {
	var runs []preemption.Run
	for i, alloc := range sortedAllocs(w) {
		v := alloc.s
		if alloc.state != running || !v.spec.Checkpoints || v.spec.Gang {
			continue
		}
		x := preemption.Run{ID: i, Size: alloc.need, Priority: v.job.spec.Queue.Priority, Checkpoints: true,
			Borrowed:  v.job.overEntitled,
			Protected: v.spec.LongRunning || len(alloc.task().crashes) > 0 || !v.job.active() || e.heldIfStopped(alloc),
			Stopped:   alloc.task().preempted,
			Age:       e.now - alloc.ackAt, Remaining: e.remaining(alloc), Renewal: renewalWait}
		x.Slack = v.occurrence.due - e.now - x.Remaining - e.following(v)
		if q := v.job.spec.Queue.Advice; q != nil {
			x.Renewal += q.Cost(renewalNames)
		}
		runs = append(runs, x)
	}
	return runs
}
