package dispatch

import (
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/process/advicebudget"
	"fennelshunt.example/fennelshunt/version/work"
)

// This file connects the engine with package advicebudget, which decides which waiting steps may
// use a proxy for slow calls.

const (
	// scarcePeriod is how long the budget stays in force after proxies were last scarce: the
	// lifetime of a ticket, so that the calls that it has postponed do not all follow at once.
	scarcePeriod = 2 * time.Second
	// unusedGrantPause is between two looks at the workers for a step that was allowed to ask and
	// had nothing to ask about.
	unusedGrantPause = 100 * time.Millisecond
	// budgetLogPeriod is between two log lines about scarce proxies.
	budgetLogPeriod = 10 * time.Second
)

// proxyUse is what a call counts as: a quick one, or a slow one for a kind of step.
type proxyUse uint8

const (
	useQuick proxyUse = iota
	useGang
	useOthers
	useLate
)

// stepBudget is what the budget has decided for a step.
type stepBudget struct {
	grant    advicebudget.Grant // in this round
	examined bool               // in this round: it has looked for workers to ask about
	late     bool               // it comes after the steps that can be in time
	asked    time.Duration      // when its last call was sent
}

// countProxies counts the proxies that are idle, how many slow calls may be sent and how many
// proxies quick calls leave to them, and decides which steps may send slow calls.
//
// There are two counts because, with a single one, steps whose slow calls cannot be sent now would
// use it up in every round, and the quick steps behind them would request no advice although
// proxies are idle.
func (e *Engine) countProxies() {
	slowWaiting := e.noteQuickDemand()
	counts := e.proxyCounts()
	e.notePostponedForQuick(counts, slowWaiting)
	e.keptFromQuick = counts.KeptFromQuick(slowWaiting)
	e.proxyCount, e.quickTaken, e.secondTaken = counts, 0, 0
	e.idleProxies, e.idleForSlow = counts.Idle, counts.Slow()-counts.BusyWithSlow()
	if !e.o.Policy.NoAdviceBudget {
		e.allotProxies(counts)
	}
}

// proxyCounts counts the proxies by what they do.
func (e *Engine) proxyCounts() advicebudget.Proxies {
	p := advicebudget.Proxies{All: len(e.proxyNames), Quick: e.quick.Proxies(e.now)}
	for _, name := range e.proxyNames {
		proxy := e.proxies[name]
		switch {
		case e.usableProxy(proxy):
			p.Idle++
		case e.takesSecond(proxy):
			p.OneQuick++
		case len(proxy.calls) > 1:
			p.TwoQuick++
		}
	}
	for _, proxy := range e.proxies {
		for _, call := range proxy.calls {
			switch call.use {
			case useGang:
				p.Gangs++
			case useOthers:
				p.Others++
			case useLate:
				p.Late++
			}
		}
	}
	return p
}

// takesSecond reports whether a quick call may be sent behind the call that a proxy has in flight.
func (e *Engine) takesSecond(proxy *adviceProxy) bool {
	return !e.o.Policy.NoQuickProxies && len(proxy.calls) == 1 && proxy.calls[0].use == useQuick && proxy.state.Usable(e.now)
}

// pickProxyFor picks the proxy for the next call for a step, and reports whether the call is to be
// sent behind another one.
func (e *Engine) pickProxyFor(s *step, slow bool) (proxy *adviceProxy, behind bool) {
	a := s.advice
	if slow || callCount(len(a.toAsk), a.perCall) > a.second {
		return e.pickProxy(slow), false
	}
	a.second--
	return e.pickBehind(s), true
}

// pickBehind picks the proxy whose only call, a quick one, is likely to be answered first. That call
// must be for another step, because answers are assigned to the calls of a proxy by their step.
func (e *Engine) pickBehind(s *step) (found *adviceProxy) {
	for _, name := range e.proxyNames {
		proxy := e.proxies[name]
		if e.takesSecond(proxy) && proxy.calls[0].s != s && (found == nil || proxy.calls[0].until < found.calls[0].until) {
			found = proxy
		}
	}
	return found
}

// noteQuickDemand counts the quick steps that waited for a proxy in the last round, and returns how
// many steps waited for one for a slow call.
func (e *Engine) noteQuickDemand() (slowWaiting int) {
	if e.o.Policy.NoQuickProxies {
		return 0
	}
	quickWaiting := 0
	for _, s := range e.ready {
		switch {
		case s.waitsFor != waitProxy:
		case s.needsSlowCalls():
			slowWaiting++
		default:
			quickWaiting++
		}
	}
	e.quick.Waiting(e.now, quickWaiting)
	return slowWaiting
}

// notePostponedForQuick counts the slow calls that are not sent in this round because quick calls
// need more proxies than the usual share of slow calls leaves to them.
func (e *Engine) notePostponedForQuick(counts advicebudget.Proxies, slowWaiting int) {
	usual := counts
	usual.Quick = 0
	n := min(slowWaiting, usual.FreeForSlow()-counts.FreeForSlow())
	e.stats.SlowPostponed += uint64(n)
	if n > 0 && e.now-e.quickLoggedAt >= budgetLogPeriod {
		e.quickLoggedAt = e.now
		e.decide(Decision{What: "fewer slow calls for advice are sent", Why: "quick steps wait for a proxy"})
	}
}

// usableProxy reports whether a proxy is idle and none of its calls has failed recently.
func (e *Engine) usableProxy(proxy *adviceProxy) bool {
	return len(proxy.calls) == 0 && proxy.state.Usable(e.now)
}

// needsSlowCalls reports whether even the shortest call for the step is slow.
func (s *step) needsSlowCalls() bool { return s.job.spec.Queue.Advice.Base >= slowCall }

// allotProxies decides which waiting steps may use a proxy for slow calls in this round.
func (e *Engine) allotProxies(counts advicebudget.Proxies) {
	e.guaranteed = 0
	var steps []*step
	var all []advicebudget.Step
	for _, s := range e.ready {
		a := e.adviceOf(s)
		if a == nil || !s.needsSlowCalls() {
			continue
		}
		a.budget.examined, a.budget.grant = false, advicebudget.Offered
		if a.inFlight > 0 || s.waitsFor == waitTakeover || s.waitsFor == waitMembers || s.waitsFor == waitQuota {
			continue
		}
		x := e.budgetStep(s)
		a.budget.late = x.Slack < 0 || x.Yields
		steps, all = append(steps, s), append(all, x)
	}
	if advicebudget.Scarce(all, counts) {
		e.proxiesScarceUntil = e.now + scarcePeriod
	}
	if e.now >= e.proxiesScarceUntil {
		return
	}
	for i, grant := range advicebudget.Allot(all, counts) {
		steps[i].advice.budget.grant = grant
		switch {
		case grant == advicebudget.Guaranteed:
			e.guaranteed++
		case grant == advicebudget.Postponed && all[i].Ready:
			e.stats.AdvicePostponed++
		}
	}
	if e.now-e.budgetLoggedAt >= budgetLogPeriod {
		e.budgetLoggedAt = e.now
		e.decide(Decision{What: "advice proxies are scarce", Why: "slow calls go to the steps with the most at stake"})
	}
}

// budgetStep describes a waiting step to the budget.
func (e *Engine) budgetStep(s *step) advicebudget.Step {
	a := s.advice
	call := s.callCost(maxWorkersPerCall / 2) // a typical call: it is not known yet how many it names
	return advicebudget.Step{
		Gang:   s.spec.Gang,
		Ready:  e.now >= a.next && (!s.spec.Gang || e.now >= s.retryAt),
		Value:  s.job.coreSeconds,
		Cost:   call,
		Slack:  s.occurrence.due - e.leftToRun(s) - call - e.now,
		Yields: s.rank >= rankOverEntitled,
		Waited: e.now - max(s.openedAt, a.budget.asked),
	}
}

// mayAsk reports whether a call for the step could be sent in this round.
func (e *Engine) mayAsk(s *step) bool {
	a := s.advice
	postponed := a.budget.grant == advicebudget.Postponed && !e.o.Policy.NoAdviceBudget
	if s.needsSlowCalls() && (postponed || e.freeProxies(s) <= 0) {
		return false
	}
	return a.inFlight == 0 && e.now >= a.next && (s.needsSlowCalls() || e.freeForQuick() > 0)
}

// idleForQuick returns how many idle proxies may take quick calls: those that are neither kept for slow
// calls in general nor guaranteed to a step.
func (e *Engine) idleForQuick() int {
	guaranteed := e.proxyCount.GuaranteedFromQuick(e.guaranteed, e.now-e.slowSentAt)
	return max(0, e.idleProxies-max(e.keptFromQuick, guaranteed))
}

// freeForQuick returns how many more quick calls may be sent, those behind others included.
func (e *Engine) freeForQuick() int {
	idle := e.idleForQuick()
	if e.o.Policy.NoQuickProxies {
		return idle
	}
	return idle + max(0, e.proxyCount.SecondCalls(e.quickTaken+idle)-e.secondTaken)
}

// freeProxies returns how many proxies are free for slow calls of the step. For a postponed gang
// these are the proxies that are kept for no other step: mayAsk refuses the gang's usual calls, but
// a call that a preemption plan needs is sent.
func (e *Engine) freeProxies(s *step) int {
	b := &s.advice.budget
	free := min(e.idleForSlow, e.idleProxies)
	switch {
	case e.o.Policy.NoAdviceBudget:
		return free
	case b.grant == advicebudget.Postponed && s.needsSlowCalls() && !s.spec.Gang:
		return 0
	case b.grant == advicebudget.Guaranteed && !b.examined:
		return free - e.guaranteed + 1
	}
	return free - e.guaranteed
}

// examine records that a step that may ask looks for workers to ask about. The proxy that was
// guaranteed to it is no longer counted as kept.
func (e *Engine) examine(s *step) {
	b := &s.advice.budget
	if b.grant == advicebudget.Guaranteed && !b.examined {
		e.guaranteed--
	}
	b.examined = true
}

// requestAdvice requests advice on workers for a step, as far as calls for it may be sent in this
// round, and reports whether any may. sendAdviceCalls sends them at the end of the round.
func (e *Engine) requestAdvice(s *step, ids []runner.WorkerID) bool {
	return e.requestCalls(s, ids, maxWorkersPerCall)
}

// requestCalls is requestAdvice with the number of workers that each call names.
func (e *Engine) requestCalls(s *step, ids []runner.WorkerID, perCall int) bool {
	a := s.advice
	if len(ids) == 0 {
		return false
	}
	if !e.o.Policy.NoAdviceBudget && s.needsSlowCalls() && e.now < e.proxiesScarceUntil {
		ids = ids[:advicebudget.Names(len(ids), maxWorkersPerCall)]
	}
	calls, second := callCount(len(ids), perCall), 0
	if s.callCost(len(ids)) >= slowCall {
		calls = max(0, min(calls, e.freeProxies(s)))
		e.idleForSlow -= calls
		e.keptFromQuick = max(0, e.keptFromQuick-calls)
	} else {
		calls = min(calls, e.freeForQuick())
		second = max(0, calls-e.idleForQuick())
		e.quickTaken += calls - second
	}
	if calls <= 0 {
		return false
	}
	a.toAsk, a.perCall, a.reserve = ids[:min(len(ids), calls*perCall)], perCall, reserveNone
	a.second = second
	e.secondTaken += second
	e.idleProxies -= calls - second
	return true
}

// noteUnused postpones the next look at the workers for steps that were allowed to ask and had
// nothing to ask about, so that the proxy is offered to others.
func (e *Engine) noteUnused(steps []*step) {
	if e.now >= e.proxiesScarceUntil || e.o.Policy.NoAdviceBudget {
		return
	}
	for _, s := range steps {
		a := s.advice
		if a == nil || !s.needsSlowCalls() || a.inFlight > 0 || len(a.toAsk) > 0 {
			continue
		}
		if a.budget.couldAsk() {
			a.next = max(a.next, e.now+unusedGrantPause)
		}
	}
}

// couldAsk reports whether the step could have asked in this round: it looked for workers to ask
// about, or a proxy was kept for it.
func (b *stepBudget) couldAsk() bool { return b.examined || b.grant == advicebudget.Guaranteed }

// noteCall counts a call that is sent through a proxy.
func (e *Engine) noteCall(call *adviceCall, proxy *adviceProxy) {
	s := call.s
	e.stats.AdviceCalls++
	e.stats.AdviceNames += uint64(len(call.workers))
	if call.second {
		e.stats.SecondCalls++
	}
	if s.spec.Gang {
		e.stats.GangAdviceCalls++
	}
	if proxy.lost {
		e.stats.UnregisteredCalls++
	}
	s.advice.budget.asked = e.now
	if call.cost >= slowCall {
		e.slowSentAt = e.now
	}
	switch {
	case call.cost < slowCall:
		call.use = useQuick
		e.quick.Sent(e.now)
	case s.advice.budget.late:
		call.use = useLate
	case s.spec.Gang:
		call.use = useGang
	default:
		call.use = useOthers
	}
}

// proxyAnswered records that a proxy's call was answered. How long a second call took is not learned
// from, since it waited for the first one.
func (e *Engine) proxyAnswered(proxy *adviceProxy, call adviceCall) {
	took := e.now - call.sent
	if call.second {
		proxy.state.Answered(e.now, 0, 0)
		return
	}
	if call.use == useQuick {
		e.quick.Answered(took)
	}
	proxy.state.Answered(e.now, took, call.cost)
}

// proxyFailed records that a proxy's call failed or was not answered in time. Without
// the budget, each failure counts as the first one, so that all pauses are equally long. Two calls
// that were in flight at the same time count once, unless the proxy has answered late in between.
func (e *Engine) proxyFailed(proxy *adviceProxy, call adviceCall) {
	e.stats.AdviceFailed++
	if e.o.Policy.NoAdviceBudget {
		proxy.state.Forget()
	}
	if call.sent >= proxy.failedAt {
		proxy.state.Failed(e.now)
	}
	proxy.failedAt, proxy.gaveUp = e.now, call.s.id()
	if proxy.lost && slices.Contains(e.proxyNames, proxy.member) {
		e.decide(Decision{What: "advice proxy without membership is not used any more", Why: proxy.member + " has failed a call"})
		e.updateProxies()
	}
}

// answeredLate handles the outcome of a call that was given up. Its tickets are ignored, but a proxy
// that has answered may be used again at once.
func (e *Engine) answeredLate(proxy *adviceProxy, id work.TaskID, err error) {
	if proxy == nil || err != nil || proxy.gaveUp != id || e.o.Policy.NoAdviceBudget {
		return
	}
	proxy.state.AnsweredLate(e.now)
	proxy.failedAt = 0
	e.scheduled = false
}
