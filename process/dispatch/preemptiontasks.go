package dispatch

import (
	"fmt"
	"math"
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/process/preemption"
	"fennelshunt.example/fennelshunt/version/work"
)

// This file makes plans of preemption for steps that are no gangs. Their tasks start one by one, so a
// plan has only as many slots as the step lacks: those that are not expected to become free in time by
// themselves.
//
// Tickets come first. A step without tickets for enough slots requests advice on the workers whose
// runs are best to stop, and nothing is stopped until it has tickets: it knows of few workers whether
// they are good, because advice on full ones is not requested otherwise.

const (
	// taskExaminePause is between two looks at all workers for the workers to request advice on.
	taskExaminePause = 100 * time.Millisecond
	// planAhead is how long before the latest start of a step a plan is made at the earliest, in addition to
	// the time that the plan takes. Earlier, runs that end by themselves usually suffice.
	planAhead = time.Second
	// freedPeriod is between two computations of the capacity that becomes free, and the unit of time
	// in which it is kept, for freedSlots units ahead.
	freedPeriod = 100 * time.Millisecond
	freedSlots  = 50
)

// freedCapacity is the capacity that becomes free by itself on the workers of a service, since at.
type freedCapacity struct {
	at    time.Duration
	known bool
	by    [freedSlots]work.Resources // until the end of each unit of time
}

// plansForTasks reports whether steps that are no gangs may have plans of preemption.
func (p *Policy) plansForTasks() bool {
	return (p.UrgentPreemption || p.Reclaim) && p.preempts()
}

// considerTaskPlan makes a plan for a step that is no gang if it can be in time only by stops, or
// requests the advice that such a plan needs. ahead is what the steps of its service before it in the
// round lack.
func (e *Engine) considerTaskPlan(s *step, ahead work.Resources) {
	c, ok := e.taskClaim(s)
	if !ok {
		return
	}
	a, lead := e.adviceOf(s), e.stopLead()
	call := time.Duration(0)
	if a != nil {
		call = s.callCost(renewalNames)
	}
	latest := c.Due - c.Estimate
	if c.With = e.now + lead; latest < c.With || latest > e.now+call+lead+planAhead {
		return
	}
	n := len(s.pending) - e.freedFor(s, latest-call, ahead)
	if c.Count = s.job.account.FitCount(s.charge(), n); n <= 0 || c.Count < n {
		return
	}
	// With tickets, or if none are needed, the plan is made at once. A step without enough of them, or
	// whose tickets are for workers that cannot be used, asks about workers with victims below.
	if a == nil || a.usable(e.now+2*lead) {
		if e.now < e.preempting.ticketsExamineAt {
			return
		}
		e.preempting.ticketsExamineAt = e.now + examinePause
		s.preemptAt = e.now + preemptPeriod
		plan, ok := preemption.Choose(c, e.preemptable(s, false, false))
		if ok {
			e.beginTaskPlan(s, c, plan)
			return
		}
	}
	if a == nil || c.With+call > latest || e.now < e.preempting.taskExamineAt || !e.mayAskNow(s) {
		return
	}
	e.preempting.taskExamineAt = e.now + taskExaminePause
	s.preemptAt = e.now + preemptPeriod
	e.requestVictimAdvice(s, c)
}

// taskClaim returns the claim of a step, without the number of tasks; false if it can have no plan.
func (e *Engine) taskClaim(s *step) (c preemption.Claim, ok bool) {
	policy := &e.o.Policy
	reclaims := e.mayReclaim(s)
	switch {
	case !policy.plansForTasks() || (!policy.UrgentPreemption && !reclaims):
		return c, false
	case s.preemption != nil || s.gangReserved || e.now < s.preemptAt || len(s.pending) == 0:
		return c, false
	case s.spec.LongRunning || s.spec.BestEffort || s.rank != rankInTime:
		return c, false
	case slices.ContainsFunc(s.tasks, func(t task) bool { return len(t.crashes) > 0 }):
		return c, false
	}
	// following would keep its first result, which is that of the time just after the submission.
	return preemption.Claim{Need: s.spec.Need(), Priority: s.job.spec.Queue.Priority, Now: e.now,
		Borrows: s.job.overEntitled, Reclaims: reclaims, OnlyReclaims: !policy.UrgentPreemption,
		Due: s.occurrence.due - e.followingNow(s) - startMargin, Estimate: e.estimate(s)}, true
}

// freedFor returns how many tasks of the step can start until a time in capacity that becomes free by
// itself, after the steps before it have taken what they lack. Of the workers with that capacity, only
// a share is good for the step.
func (e *Engine) freedFor(s *step, until time.Duration, ahead work.Resources) int {
	if until < e.now {
		return 0
	}
	f := e.freed(s.job.spec.Queue.Service)
	free := f.by[min(int((until-f.at)/freedPeriod), freedSlots-1)].Sub(ahead)
	n := s.spec.Need().Times(free, math.MaxInt32)
	if e.adviceOf(s) != nil {
		n = int(float64(n) * e.goodShare(s.job.spec.Queue.Name))
	}
	return n
}

// freed returns the capacity that becomes free by itself on the workers of a service.
func (e *Engine) freed(service string) *freedCapacity {
	f := e.preempting.freed[service]
	if f == nil {
		f = &freedCapacity{}
		if e.preempting.freed == nil {
			e.preempting.freed = map[string]*freedCapacity{}
		}
		e.preempting.freed[service] = f
	}
	if f.known && e.now < f.at+freedPeriod {
		return f
	}
	*f = freedCapacity{at: e.now, known: true}
	for _, w := range e.workerList {
		if w.Service != service || !w.usable(e.now) {
			continue
		}
		for _, alloc := range w.allocs {
			if i := int(e.remaining(alloc) / freedPeriod); i < freedSlots {
				f.by[i] = f.by[i].Add(alloc.need)
			}
		}
	}
	for i := 1; i < freedSlots; i++ {
		f.by[i] = f.by[i].Add(f.by[i-1])
	}
	return f
}

// requestVictimAdvice requests advice on the workers whose runs are best to stop for a step: on more
// of them than it needs, since not all are good.
func (e *Engine) requestVictimAdvice(s *step, c preemption.Claim) {
	workers := e.preemptable(s, true, true)
	missing := c.Count
	c.Count = int(math.Ceil(float64(missing) * askFactor / e.goodShare(s.job.spec.Queue.Name)))
	plan, ok := preemption.Choose(c, workers)
	if !ok {
		c.Count = missing
		plan, ok = preemption.Choose(c, workers)
	}
	if !ok || plan.Loss*float64(missing)/float64(c.Count) >= preemption.Gain(e.coreSeconds(s, s.spec.Count)) {
		return
	}
	var ids []runner.WorkerID
	for _, x := range plan.Slots {
		if x.Worker.NoTicket && len(ids) < maxWorkersPerCall {
			ids = append(ids, e.workerList[x.Worker.ID].ID)
		}
	}
	if c.With += s.callCost(len(ids)); c.With+c.Estimate > c.Due || len(ids) == 0 {
		return
	}
	e.examine(s)
	if e.requestAdvice(s, ids) {
		e.decide(Decision{What: "advice for a preemption", Task: s.id(), Age: e.now - s.openedAt,
			Why: fmt.Sprintf("%d tasks lack slots, %d workers asked about; due in %d ms", missing, len(ids), (c.Due - e.now).Milliseconds())})
	}
}

// beginTaskPlan reserves the capacity of a plan for a step that is no gang, and stops its victims.
func (e *Engine) beginTaskPlan(s *step, c preemption.Claim, plan preemption.Plan) {
	if plan.Victims > e.preempting.budgetLeft(e) || !plan.Worthwhile(e.coreSeconds(s, s.spec.Count)) {
		return
	}
	lead := e.stopLead()
	e.decide(Decision{What: "preemption planned", Task: s.id(), Age: e.now - s.openedAt,
		Why: fmt.Sprintf("%d runs for %d tasks, %.0f core-seconds lost; due in %d ms",
			plan.Victims, c.Count, plan.Loss, (c.Due - e.now).Milliseconds())})
	e.carryOut(s, c, plan, e.now, e.now+lead+gangReserveGrace+max(reserveAheadGrace, lead))
}

// noteTaskStart takes a start of a step's task on a worker out of its plan.
func (p *preemptionState) noteTaskStart(w *worker) {
	i := slices.IndexFunc(p.slots, func(x reservedSlots) bool { return x.w == w && x.n > 0 })
	if i < 0 {
		return
	}
	p.slots[i].n--
	p.claim.Count--
	for k := range w.gangReservations {
		if r := &w.gangReservations[k]; r.s == p.s {
			r.capacity = r.capacity.Sub(p.claim.Need)
		}
	}
}
