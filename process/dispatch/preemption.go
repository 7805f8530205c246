package dispatch

import (
	"fmt"
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/process/preemption"
)

// This file stops runs with slack, or runs that have borrowed their capacity, so that a waiting step
// starts in time. Package preemption decides which; this file makes the plans of gangs and carries all
// plans out. Those of steps that are no gangs are made in preemptiontasks.go; preemptionruns.go collects
// what the package needs.
//
// The plan of a gang has two phases. First, capacity is reserved for the gang on each worker of the plan,
// including capacity that is still occupied, and the missing tickets are requested. Then, shortly
// before the tickets arrive, the victims are chosen again among the runs that still occupy
// reserved capacity, and stopped: runs that have ended by themselves meanwhile need no stop. The
// gang then starts like any other. If a worker of the plan fails, further victims on the others
// replace the capacity, within the same bounds.

const (
	// preemptPeriod is between two looks at all workers for the same step, and between two
	// choices of victims for the same plan.
	preemptPeriod = 100 * time.Millisecond
	// examinePause is between two looks at all workers, also for different steps: a choice among
	// a hundred full workers takes half a millisecond (BenchmarkChoose).
	examinePause = 20 * time.Millisecond
	// The bound on stops per second is one for each workersPerStop workers, and at least
	// minStopsPerSecond: a gang of average width needs some 25 stops.
	minStopsPerSecond = 25
	workersPerStop    = 5
	// initialStopTime is how long a stop is assumed to take until one has been observed: workers
	// stop a run within 200 ms, and the end is known with the next report.
	initialStopTime = 250 * time.Millisecond
	// maxStopTime bounds the observed times: a worker that does not answer for longer says
	// nothing about stops.
	maxStopTime = time.Second
	// stopTimeDecay is the weight of the newest stop in the learned time.
	stopTimeDecay = 0.1
	// startMargin is kept between the planned start of a step and its latest one.
	startMargin = 100 * time.Millisecond
	// renewalNames is how many workers a call for the new tickets of a victim's step names.
	renewalNames = 30
	// renewalWait is how long a victim waits for a slot, in addition to the call for a ticket.
	renewalWait = time.Second
	// slipShare is the part of the time a gang has waited that is added to the start expected by
	// its reservation. Reservations are renewed with later starts as runs take longer than
	// expected, so without it a gang looks in time until a plan can no longer help it.
	slipShare = 0.5
	// preemptionPause is the least time from a failed plan to the next one for the same step.
	preemptionPause = time.Second
)

// preempting is the engine's state of preemption.
type preempting struct {
	plans   []*preemptionState
	victims []victim
	budget  preemption.Budget
	// examineAt is the earliest next look at all workers.
	examineAt time.Duration
	// taskExamineAt is the earliest next look at all workers for steps that are no gangs, and
	// ticketsExamineAt that at the workers of which such a step has tickets.
	taskExamineAt, ticketsExamineAt time.Duration
	freed                           map[string]*freedCapacity // by service
	// stopTime and stopDeviation are moving averages of how long stops take, and of how much
	// they deviate from that.
	stopTime, stopDeviation time.Duration
}

// preemptionState is a plan that is being carried out.
type preemptionState struct {
	s     *step
	slots []reservedSlots
	runs  uint64 // for a gang: how often it had started when the plan was made
	// claim is what the plan is for; its Count is the number of tasks that have not started by the plan.
	claim preemption.Claim
	// stopsAt is when the first victims are to be stopped, nextStops the earliest time for more.
	stopsAt, nextStops time.Duration
	// stopsUntil is the latest time for stops after which the step still ends in time.
	stopsUntil time.Duration
	stopped    int // number of runs stopped so far
}

// reservedSlots are the slots of a plan on one worker.
type reservedSlots struct {
	w *worker
	n int
}

// victim is a run that was stopped for other work and has not ended yet.
type victim struct {
	alloc      *allocation
	stopped    time.Duration
	checkpoint string // of its task, when it was stopped
	reclaimed  bool   // it was beyond the entitlement of its account
}

// ended reports whether the run is known to have ended.
func (v *victim) ended() bool { return v.alloc.w.allocs[v.alloc.id()] != v.alloc }

// uses reports whether the plan has slots on a worker.
func (p *preemptionState) uses(w *worker) bool {
	return p != nil && slices.ContainsFunc(p.slots, func(x reservedSlots) bool { return x.w == w && x.n > 0 })
}

// left returns for how many waiting tasks the plan still has slots to use. Tasks of a step that is no
// gang may also start elsewhere, so that fewer tasks may wait than the plan has slots.
func (p *preemptionState) left() int {
	switch {
	case p == nil:
		return 0
	case p.s.spec.Gang:
		return p.claim.Count
	}
	return min(p.claim.Count, len(p.s.pending))
}

// started reports whether the step has started by its plan.
func (p *preemptionState) started() bool {
	if p.s.spec.Gang {
		return p.s.gang.runs > p.runs
	}
	return p.left() == 0
}

// stopLead is how long before the tickets arrive the victims are stopped.
func (e *Engine) stopLead() time.Duration {
	p := &e.preempting
	if p.stopTime == 0 {
		return initialStopTime
	}
	return min(p.stopTime+2*p.stopDeviation, maxStopTime)
}

// preempts reports whether runs may be stopped for waiting steps. Plans need gang reservations, and
// without an order by due times there is nothing to be in time for.
func (p *Policy) preempts() bool { return !p.NoPreemption && !p.FirstCome && !p.NoGangReservations }

// considerPreemption makes a plan for a gang that would be late by its reservation, if there is a
// worthwhile one. It reports whether the gang is to request no other advice now, because it has a
// plan or is about to be examined for one.
func (e *Engine) considerPreemption(s *step) bool {
	switch {
	case !e.o.Policy.preempts():
		return false
	case s.preemption != nil:
		return true
	case s.gangReserved || (e.now < s.preemptAt && (s.preemptAsked || !e.mayAskNow(s))):
		return false
	case len(s.pending) == 0 || s.rank != rankInTime || s.startsAt == 0 || !e.hasReserved(s):
		return false
	case s.spec.SameRack || slices.ContainsFunc(s.tasks, func(t task) bool { return len(t.crashes) > 0 }):
		return false // the plan would have to keep to racks, or to isolated workers
	}
	c := preemption.Claim{Need: s.spec.Need(), Count: s.spec.Count, Priority: s.job.spec.Queue.Priority,
		Borrows: s.job.overEntitled, Reclaims: e.mayReclaim(s),
		Now: e.now, Due: s.occurrence.due - e.following(s) - startMargin, Estimate: e.leftToRun(s),
		Without: e.startWithout(s), With: e.now + e.stopLead()}
	mayAsk := e.mayAskNow(s)
	switch {
	case !c.Qualifies():
		return false
	case mayAsk && e.now < e.preempting.examineAt:
		return true // a call for other advice now would leave no time for a plan
	case !mayAsk && e.now < e.preempting.examineAt+examinePause:
		return false // the longer pause leaves the next look to gangs that can request tickets
	}
	e.preempting.examineAt = e.now + examinePause
	s.preemptAt, s.preemptAsked = e.now+preemptPeriod, mayAsk
	workers := e.preemptable(s, mayAsk, false)
	plan, ok := preemption.Choose(c, workers)
	if !ok || plan.Victims > e.preempting.budgetLeft(e) || !plan.Worthwhile(e.coreSeconds(s, s.spec.Count)) {
		return false
	}
	return e.beginPreemption(s, c, plan)
}

// mayAskNow reports whether a call for tickets could be requested for the step in this round.
func (e *Engine) mayAskNow(s *step) bool {
	a := e.adviceOf(s)
	return a != nil && len(a.toAsk) == 0 && e.mayAsk(s)
}

// startWithout returns when the step is expected to start if nothing is stopped for it: the start
// by its reservation, and the time of a call for tickets. A part of the time it has waited is added
// because a reservation assumes that every run ends when expected and that no other work takes the
// slots.
func (e *Engine) startWithout(s *step) time.Duration {
	at := s.startsAt + scale(e.now-s.openedAt, slipShare)
	if q := s.job.spec.Queue.Advice; q != nil {
		at += q.Cost(renewalNames)
	}
	return at
}

// budgetLeft returns how many runs may be stopped now.
func (p *preempting) budgetLeft(e *Engine) int {
	p.budget.Rate = e.scaledByWorkers(minStopsPerSecond, workersPerStop)
	return p.budget.Left(e.now)
}

// following returns how long the steps after s are likely to take. It is computed once per step: the
// learned factors of a queue change little over the life of a job.
func (e *Engine) following(s *step) time.Duration {
	if len(s.next) > 0 && !s.followsKnown {
		s.follows, s.followsKnown = e.longestAfter(s, e.following), true
	}
	return s.follows
}

// followingNow returns the same by what is known now, and keeps no result in the steps. Within a call,
// each step is visited once: the number of paths may be exponential in the number of steps.
func (e *Engine) followingNow(s *step) time.Duration {
	if len(s.next) == 0 {
		return 0
	}
	known := map[*step]time.Duration{}
	var following func(*step) time.Duration
	following = func(n *step) time.Duration {
		d, ok := known[n]
		if !ok {
			d = e.longestAfter(n, following)
			known[n] = d
		}
		return d
	}
	return e.longestAfter(s, following)
}

// longestAfter returns the longest time of a step after s, with that of the steps after it.
func (e *Engine) longestAfter(s *step, following func(*step) time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, n := range s.next {
		d := e.estimate(n) + following(n)
		if q := n.job.spec.Queue.Advice; q != nil {
			d += q.Cost(renewalNames)
		}
		longest = max(longest, d)
	}
	return longest
}

// beginPreemption requests the missing tickets of a plan and reserves its capacity. It reports whether
// the plan is carried out.
func (e *Engine) beginPreemption(s *step, c preemption.Claim, plan preemption.Plan) bool {
	ids := e.planWithoutTickets(plan)
	if len(ids) > maxWorkersPerCall {
		return false
	}
	lead, call := e.stopLead(), time.Duration(0)
	if len(ids) > 0 {
		call = s.callCost(len(ids))
	}
	c.With = e.now + max(lead, call)
	if !c.Qualifies() {
		return false
	}
	if len(ids) > 0 && !e.requestPlanTickets(s, plan, ids, c.With+lead) {
		return false
	}
	e.decide(Decision{What: "preemption planned", Task: s.id(), Age: e.now - s.openedAt,
		Why: fmt.Sprintf("%d runs on %d workers, %.0f core-seconds lost; start in %d ms, not %d; due in %d ms",
			plan.Victims, len(plan.Slots), plan.Loss,
			(c.With - e.now).Milliseconds(), (c.Without - e.now).Milliseconds(), (c.Due - e.now).Milliseconds())})
	e.carryOut(s, c, plan, c.With-lead, c.With+gangReserveGrace+max(reserveAheadGrace, lead))
	return true
}

// carryOut reserves the capacity of a plan until a time and stops its victims from stopsAt on.
func (e *Engine) carryOut(s *step, c preemption.Claim, plan preemption.Plan, stopsAt, until time.Duration) {
	e.unreserve(s)
	p := &preemptionState{s: s, runs: s.gang.runs, claim: c, stopsAt: stopsAt, stopsUntil: c.Due - c.Estimate - e.stopLead()}
	for _, x := range plan.Slots {
		w := e.workerList[x.Worker.ID]
		p.slots = append(p.slots, reservedSlots{w, x.N})
		w.gangReservations = append(w.gangReservations, gangReservation{s, c.Need.Scale(x.N)})
	}
	s.preemption = p
	s.gangReserved, s.gangReservedUntil = true, until
	e.preempting.plans = append(e.preempting.plans, p)
	e.stopVictims(p)
}

// planWithoutTickets returns the workers of a plan for which the step has no ticket.
func (e *Engine) planWithoutTickets(plan preemption.Plan) []runner.WorkerID {
	var ids []runner.WorkerID
	for _, x := range plan.Slots {
		if x.Worker.NoTicket {
			ids = append(ids, e.workerList[x.Worker.ID].ID)
		}
	}
	return ids
}

// requestPlanTickets requests tickets for the given workers of a plan, and for those of its workers
// whose tickets expire before a time: the tickets that the step has must last until the others
// arrive. It reports whether one call is enough for all and can be sent.
func (e *Engine) requestPlanTickets(s *step, plan preemption.Plan, ids []runner.WorkerID, until time.Duration) bool {
	a := e.adviceOf(s)
	for _, x := range plan.Slots {
		if t := a.ticketFor(e.workerList[x.Worker.ID]); !x.Worker.NoTicket && !t.valid(until) {
			if len(ids) == maxWorkersPerCall {
				return false
			}
			ids = append(ids, e.workerList[x.Worker.ID].ID)
		}
	}
	return e.requestAdvice(s, ids)
}

// keepQuota reserves, in this round, the part of the account's cap that a step with a plan needs, so
// that the account's steps after it do not use it.
func (e *Engine) keepQuota(s *step) {
	if s.preemption != nil {
		a := s.job.account
		e.keptFree[a] = e.keptFree[a].Max(s.charge().Times(s.preemption.left()))
	}
}

// advancePreemptions ends the plans whose step has started or that have failed, and stops the
// victims of the others when it is time.
func (e *Engine) advancePreemptions() {
	e.settleVictims()
	e.preempting.plans = slices.DeleteFunc(e.preempting.plans, func(p *preemptionState) bool {
		s := p.s
		switch {
		case p.started():
			e.dropGangReservation(s)
			if p.stopped > 0 {
				e.stats.Preemptions++
			}
		case !s.job.active(), !s.gangReserved, e.withoutTickets(p):
			e.dropGangReservation(s)
			if s.advice != nil && s.advice.inFlight == 0 {
				s.advice.toAsk = nil
			}
			s.reservedAt = 0 // carryOut has released its reservation; it may reserve again at once
			s.preemptAt = e.now + preemptionPause
			if p.stopped > 0 {
				e.stats.PreemptionWasted++
				e.decide(Decision{What: "preemption wasted", Task: s.id(),
					Why: fmt.Sprintf("%d runs were stopped, and %d tasks did not start", p.stopped, p.left())})
			}
		default:
			e.stopVictims(p)
			return false
		}
		s.preemption = nil
		return true
	})
}

// stopVictims stops the runs that occupy the capacity reserved by a plan, if it is time.
func (e *Engine) stopVictims(p *preemptionState) {
	s := p.s
	if e.now < max(p.stopsAt, p.nextStops) || e.now > p.stopsUntil {
		return
	}
	p.nextStops = e.now + preemptPeriod
	var workers []preemption.Worker
	for i, x := range p.slots {
		if x.n == 0 || !e.eligible(s, x.w) || !e.willHaveTicket(s, x.w) {
			continue
		}
		workers = append(workers, preemption.Worker{ID: i, Free: e.unclaimed(s, x.w), Limit: x.n, Runs: e.stoppable(x.w)})
	}
	c := p.claim
	c.Count = min(c.Count, len(s.pending))
	plan, ok := preemption.Choose(c, workers)
	if !ok || plan.Victims == 0 || plan.Victims > e.preempting.budgetLeft(e) {
		return
	}
	e.preempting.budget.Spend(e.now, plan.Victims)
	reclaimed := 0
	for _, x := range plan.Slots {
		w := p.slots[x.Worker.ID].w
		allocs := sortedAllocs(w)
		for _, r := range x.Victims {
			reclaims := c.MayReclaim(&r)
			e.preemptRun(allocs[r.ID], s, reclaims)
			if reclaims {
				reclaimed++
			}
		}
	}
	p.stopped += plan.Victims
	e.decide(Decision{What: "preemption", Task: s.id(), Age: e.now - s.openedAt,
		Why: fmt.Sprintf("%d runs stopped on %d workers, of which %d were beyond the entitlement of their accounts",
			plan.Victims, len(plan.Slots), reclaimed)})
}

// withoutTickets reports whether the call for the plan's tickets has failed: tickets for its
// slots are missing, and none are requested.
func (e *Engine) withoutTickets(p *preemptionState) bool {
	a := e.adviceOf(p.s)
	if a == nil || a.inFlight > 0 || len(a.toAsk) > 0 {
		return false
	}
	n := 0
	for _, x := range p.slots {
		if a.hasTicket(x.w, e.now) {
			n += x.n
		}
	}
	return n < p.left()
}

// willHaveTicket reports whether the step has a ticket for the worker, or a call for tickets is in
// flight.
func (e *Engine) willHaveTicket(s *step, w *worker) bool {
	a := e.adviceOf(s)
	return a == nil || a.hasTicket(w, e.now) || a.inFlight > 0
}

// preemptRun stops a run for a step. reclaimed: it is beyond the entitlement of its account.
func (e *Engine) preemptRun(alloc *allocation, by *step, reclaimed bool) {
	alloc.task().preempted++
	e.stats.Preempted++
	why := "preempted for "
	if reclaimed {
		e.stats.Reclaimed++
		why = "capacity reclaimed for "
	}
	e.preempting.victims = append(e.preempting.victims, victim{alloc: alloc, stopped: e.now, checkpoint: alloc.task().checkpoint, reclaimed: reclaimed})
	e.stop(alloc, why+by.id().String())
}

// settleVictims adds up the lost work of victims whose end is known, and learns how long stops take.
func (e *Engine) settleVictims() {
	p := &e.preempting
	p.victims = slices.DeleteFunc(p.victims, func(v victim) bool {
		if !v.ended() {
			return false
		}
		took := min(e.now-v.stopped, maxStopTime)
		if p.stopTime == 0 {
			p.stopTime, p.stopDeviation = initialStopTime, initialStopTime/4
		}
		deviation := max(took-p.stopTime, p.stopTime-took)
		p.stopTime += scale(took-p.stopTime, stopTimeDecay)
		p.stopDeviation += scale(deviation-p.stopDeviation, stopTimeDecay)
		lost := e.lostBy(v)
		e.stats.PreemptedCoreSeconds += lost
		if v.reclaimed {
			e.stats.ReclaimedCoreSeconds += lost
		}
		return true
	})
}
