package dispatch

import (
	"cmp"
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/process/advicebudget"
	"fennelshunt.example/fennelshunt/version/work"
)

// Limits and estimates of calls for advice.
const (
	// maxWorkersPerCall is how many workers one call may name.
	maxWorkersPerCall = 100
	// maxCalls is how many calls for one gang may be in flight. For a gang that needs most of
	// the workers it is allowed, of several hundred, one call after the other took four
	// seconds until all verdicts were known.
	maxCalls = 4
	// initialGoodShare is the assumed share of workers that are good for a step of a queue
	// without any answers yet.
	initialGoodShare = 0.4
	// goodShareDecay is the weight of the newest answer in the learned share.
	goodShareDecay = 0.1
	// askFactor is how many times as many workers are named as would be enough if the share
	// were exact.
	askFactor = 1.6
	// ticketMargin is kept between a start and the expiry of its ticket, for the way to the
	// worker and a second attempt.
	ticketMargin = 60 * time.Millisecond
	// adviceGrace is added to a call's cost, which is its expected duration, to get its timeout.
	// The calls of one daemon queue up; the timeout of a second one includes the cost of the first.
	adviceGrace = 700 * time.Millisecond
	// slowCall is the cost from which a call counts as slow. Slow calls never use every proxy,
	// so that a step of a quick queue does not wait behind one.
	slowCall = 60 * time.Millisecond
	// advicePause is between calls for a step after one failed.
	advicePause = 100 * time.Millisecond
)

// adviceProxy is a daemon through which the advice service is called. The service answers its
// calls one after the other, so it is sent one at a time, or two quick ones.
type adviceProxy struct {
	member   string
	calls    []adviceCall // in flight, in the order in which they were sent
	state    advicebudget.Proxy
	failedAt time.Duration // when a call failed last, 0 once it has been answered late
	gaveUp   work.TaskID   // the step of the last call that was not answered in time
	lost     bool          // the daemon has lost its membership; state decides whether it is a proxy nevertheless
}

// adviceCall is a call that is in flight.
type adviceCall struct {
	s       *step
	workers []runner.WorkerID
	cost    time.Duration
	sent    time.Duration
	until   time.Duration // when it is given up
	use     proxyUse
	second  bool // it was sent behind another one
}

// advice is what a step has received about the workers that may run it.
type advice struct {
	// verdicts holds the verdict on each worker, by worker.index. Which workers are good for a
	// step never changes; only tickets expire.
	verdicts []verdict
	tickets  []ticket // from the last calls
	// ticketAt is one more than the index in tickets of a worker's ticket, by worker.index; 0
	// for none.
	ticketAt []int32
	inFlight int               // calls
	toAsk    []runner.WorkerID // to be named by the next calls, perCall in each
	perCall  int               // how many workers each of them names
	second   int               // how many of these calls, the last ones, may be sent behind another one
	reserve  gangReserveMode   // which gang reservation to make for the calls
	next     time.Duration     // earliest next call
	budget   stepBudget
}

// verdict is the advice service's answer on whether a worker may run a step.
type verdict uint8

const (
	unknown verdict = iota
	good
	bad
)

// at returns an element of a list that is only as long as the highest index set in it.
func at[T any](list []T, index int) (v T) {
	if index < len(list) {
		return list[index]
	}
	return v
}

// set changes an element of such a list.
func set[T any](list *[]T, index int, v T) {
	if missing := index + 1 - len(*list); missing > 0 {
		*list = append(*list, make([]T, missing)...)
	}
	(*list)[index] = v
}

// verdictOf returns the verdict on a worker. A round of placement calls it for every pair of a
// waiting step and a worker, so it is a single slice lookup.
func (a *advice) verdictOf(w *worker) verdict { return at(a.verdicts, w.index) }

func (a *advice) record(w *worker, v verdict) { set(&a.verdicts, w.index, v) }

type ticket struct {
	w       *worker
	text    string
	expires time.Duration
}

func (a *advice) ticketFor(w *worker) *ticket {
	if i := at(a.ticketAt, w.index); i > 0 {
		return &a.tickets[i-1]
	}
	return nil
}

func (a *advice) expire(w *worker) {
	if t := a.ticketFor(w); t != nil {
		t.expires = 0
	}
}

// valid reports whether the ticket is valid long enough for a start.
func (t *ticket) valid(now time.Duration) bool { return t.expires > now+ticketMargin }

// hasTicket reports whether a worker has a ticket that is valid long enough for a start.
func (a *advice) hasTicket(w *worker, now time.Duration) bool {
	t := a.ticketFor(w)
	return t != nil && t.valid(now)
}

// usable reports whether any ticket is valid.
func (a *advice) usable(now time.Duration) bool {
	for i := range a.tickets {
		if a.tickets[i].valid(now) {
			return true
		}
	}
	return false
}

// add stores a ticket. It reports whether it has replaced an earlier one for the worker.
func (a *advice) add(t ticket) (replaced bool) {
	if old := a.ticketFor(t.w); old != nil {
		*old = t
		return true
	}
	a.tickets = append(a.tickets, t)
	set(&a.ticketAt, t.w.index, int32(len(a.tickets)))
	return false
}

// callCost returns how long a call that names n workers takes; at most maxWorkersPerCall of
// them count.
func (s *step) callCost(n int) time.Duration {
	return s.job.spec.Queue.Advice.Cost(min(n, maxWorkersPerCall))
}

// callCount returns how many calls name n workers.
func callCount(n, perCall int) int { return (n + perCall - 1) / perCall }

// adviceOf returns the step's advice, nil if its queue needs none.
func (e *Engine) adviceOf(s *step) *advice {
	if s.job.spec.Queue.Advice == nil {
		return nil
	}
	if s.advice == nil {
		s.advice = &advice{}
	}
	return s.advice
}

// askFor names workers to ask about for a step that needs n more tasks placed: those known to
// be good whose ticket is missing, and as many unknown ones as are likely to be enough.
//
// A gang that seeks a rack names those of as many racks as make the expected time until one of them is known to hold it
// the shortest.
//
// Gangs name the workers with the most free capacity first, other steps those with the least:
// if small tasks went where most is free, a quarter of all processors could be free while no
// worker could run a large task. Workers that are slow or failed their last runs come last,
// since slow workers are usually full.
func (e *Engine) askFor(s *step, n int) {
	a := s.advice
	n = s.job.account.FitCount(s.charge(), n)
	if n <= 0 || !e.mayAsk(s) {
		return
	}
	e.examine(s)
	need := s.spec.Need()
	var all []asked
	for _, w := range e.workerList {
		known, rack := a.verdictOf(w) == good, s.rackOrder(w)
		if rack < 0 || a.verdictOf(w) == bad || !e.eligible(s, w) || a.hasTicket(w, e.now) {
			continue
		}
		fits := e.capacityFor(s, w, need, s.perWorker(n))
		if fits == 0 && (known || !s.spec.Gang) {
			continue
		}
		all = append(all, asked{w.ID, rack, fits, known, w.weak()})
	}
	slices.SortStableFunc(all, func(x, y asked) int {
		if x.rack != y.rack {
			return cmp.Compare(x.rack, y.rack)
		}
		if x.known != y.known {
			if x.known {
				return -1
			}
			return 1
		}
		if !s.spec.Gang && !e.o.Policy.NoPacking {
			return cmp.Or(cmp.Compare(x.weak, y.weak), cmp.Compare(x.fits, y.fits))
		}
		return cmp.Compare(y.fits, x.fits)
	})
	share := e.goodShare(s.job.spec.Queue.Name)
	if s.seeksOneRack() {
		e.askAboutRacks(s, all, n, share)
		return
	}
	most := maxWorkersPerCall
	if s.spec.Gang && !e.o.Policy.NoParallelAdvice {
		most *= maxCalls
	}
	var ids []runner.WorkerID
	wanted, expected := float64(n)*askFactor, 0.0
	for _, c := range all {
		if expected >= wanted || len(ids) == most {
			break
		}
		ids = append(ids, c.id)
		expected += c.expected(share)
	}
	e.requestAdvice(s, ids)
}

// asked is a worker that a call for advice may name.
type asked struct {
	id    runner.WorkerID
	rack  int // its order among the racks that the step seeks
	fits  int // tasks that fit there
	known bool
	weak  int
}

// expected is how many tasks the worker is expected to take, if a share of those without a verdict is good.
func (c *asked) expected(share float64) float64 {
	if c.known {
		return float64(c.fits)
	}
	return float64(max(c.fits, 1)) * share
}

func (e *Engine) goodShare(queue string) float64 {
	if v, ok := e.goodShares[queue]; ok {
		return v
	}
	return initialGoodShare
}

// expireAdviceCalls gives up calls that were not answered in time.
func (e *Engine) expireAdviceCalls() {
	e.expireUnregistered()
	for _, proxy := range e.proxies {
		for i := 0; i < len(proxy.calls); {
			if e.now > proxy.calls[i].until {
				e.adviceFailed(proxy, i)
				continue
			}
			i++
		}
	}
}

// adviceFailed removes the i-th call of a proxy, which has failed or was not answered in time.
func (e *Engine) adviceFailed(proxy *adviceProxy, i int) {
	call := proxy.take(i)
	s := call.s
	e.proxyFailed(proxy, call)
	if s.advice != nil {
		s.advice.inFlight--
		s.advice.next = e.now + advicePause
	}
	e.scheduled = false
}

// Advised handles the outcome of an AskAdvice.
func (e *Engine) Advised(now time.Duration, member string, id work.TaskID, allowed []runner.Ticket, err error) {
	e.now = now
	proxy := e.proxies[member]
	i := -1
	if proxy != nil {
		i = slices.IndexFunc(proxy.calls, func(c adviceCall) bool { return c.s.id() == id })
	}
	if i < 0 {
		e.answeredLate(proxy, id, err)
		return // timed out before
	}
	if err != nil {
		e.decide(Decision{What: "advice call failed", Task: id, Why: member + ": " + err.Error(), Age: now - proxy.calls[i].sent})
		e.adviceFailed(proxy, i)
		return
	}
	call := proxy.take(i)
	s := call.s
	e.proxyAnswered(proxy, call)
	e.stats.Advised++
	e.scheduled = false
	a := s.advice
	if a == nil {
		return
	}
	a.inFlight--
	s.feasibleUntil, s.search.until, s.retryAt, s.misses = 0, 0, 0, 0
	queue := &s.job.spec.Queue
	fresh, freshGood := 0, 0
	for _, id := range call.workers {
		if w := e.workers[id]; w != nil && a.verdictOf(w) == unknown {
			fresh++
			a.record(w, bad)
		}
	}
	for _, t := range allowed {
		w := e.workers[t.Worker]
		if w == nil {
			continue // its incarnation has ended
		}
		if a.verdictOf(w) != good {
			freshGood++
			a.record(w, good)
		}
		// The ticket is valid from when the service issued it, which is when it answered; the
		// answer took some milliseconds to get here.
		if replaced := a.add(ticket{w, t.Ticket, now + queue.Advice.Valid - ticketMargin}); replaced {
			e.stats.TicketsUnused++
		}
	}
	if fresh > 0 {
		share := float64(freshGood) / float64(fresh)
		e.goodShares[queue.Name] = e.goodShare(queue.Name)*(1-goodShareDecay) + share*goodShareDecay
	}
}

// sendAdviceCalls sends the requested calls through idle proxies, or behind quick calls, in the order
// of the steps.
func (e *Engine) sendAdviceCalls(steps []*step) {
	if len(e.proxyNames) == 0 {
		return
	}
	counts := e.proxyCounts()
	slow, maxSlow := counts.BusyWithSlow(), counts.Slow()
	noneIdle := false
	for _, s := range steps {
		a := s.advice
		if a == nil || len(a.toAsk) == 0 || a.inFlight > 0 || !s.job.active() || (noneIdle && a.second == 0) {
			continue
		}
		cost := s.callCost(len(a.toAsk))
		if a.reserve != reserveNone && !e.reserveGang(s, a, cost) {
			a.toAsk = nil // other steps have taken the capacity in this round
			continue
		}
		for len(a.toAsk) > 0 {
			isSlow := s.callCost(len(a.toAsk)) >= slowCall
			if isSlow && slow >= maxSlow {
				break
			}
			proxy, behind := e.pickProxyFor(s, isSlow)
			if proxy == nil {
				if behind {
					a.toAsk = nil // the step asks again once its other calls are answered
				} else {
					noneIdle = true
				}
				break
			}
			if isSlow {
				slow++
			}
			e.sendAdviceCall(s, proxy)
		}
	}
	if !noneIdle {
		e.noteUnused(steps)
	}
}

// sendAdviceCall sends the next call for a step through a proxy.
func (e *Engine) sendAdviceCall(s *step, proxy *adviceProxy) {
	a := s.advice
	n := min(len(a.toAsk), a.perCall)
	call := adviceCall{s: s, workers: a.toAsk[:n:n], cost: s.callCost(n), sent: e.now, second: len(proxy.calls) > 0}
	timeout := call.cost + adviceGrace
	for _, before := range proxy.calls {
		timeout += before.cost
	}
	call.until = e.now + timeout
	a.inFlight++
	a.toAsk = a.toAsk[n:]
	e.noteCall(&call, proxy)
	proxy.calls = append(proxy.calls, call)
	e.effects = append(e.effects, AskAdvice{Member: proxy.member, Step: s.id(), Workers: call.workers, Timeout: timeout})
}

// take removes the i-th call and returns it.
func (p *adviceProxy) take(i int) adviceCall {
	call := p.calls[i]
	p.calls = slices.Delete(p.calls, i, i+1)
	return call
}

// pickProxy picks the proxy for a call. Quick and slow calls use idle proxies from opposite
// ends of the list of members, so that slow ones rarely occupy every proxy.
func (e *Engine) pickProxy(slow bool) *adviceProxy {
	var found *adviceProxy
	for _, name := range e.proxyNames {
		proxy := e.proxies[name]
		if !e.usableProxy(proxy) {
			continue
		}
		if found == nil || (slow && !proxy.state.Slow()) {
			found = proxy
		}
		if !slow && !proxy.state.Slow() {
			return proxy
		}
	}
	return found
}
