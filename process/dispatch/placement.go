package dispatch

import (
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/version/work"
)

// Timing and limits of rounds of placement.
const (
	// busyBacklog is the number of waiting steps from which a round is costly; rounds are then
	// at least busyPause apart. A round over 500 steps takes some 100 µs.
	busyBacklog = 50
	busyPause   = 4 * time.Millisecond
	// idleFactor: after a round the engine only takes events for idleFactor times as long as
	// rounds take on average; maxIdle bounds the resulting time between the starts of rounds.
	//
	// When more steps wait than the leader's processor can place, a round after each event
	// would take all processor time, and reports and pings would queue behind rounds until the
	// leader looks failed.
	idleFactor = 2
	maxIdle    = 60 * time.Millisecond
	// costDecay: a round's time enters the average with weight 1/costDecay.
	costDecay = 4
	// gangPause is between attempts to place one waiting gang, unless it has new advice: an
	// attempt over the tickets for a hundred workers takes some 10 µs, and there are several
	// hundred rounds per second.
	gangPause = 10 * time.Millisecond
	// maxBackoff doublings bound the pause of a gang without reserved capacity at 160 ms: 480
	// waiting gangs are then tried in turn, a dozen every 4 ms.
	maxBackoff = 4
	// maxTried, or one in triedShare workers if that is more, bounds how many waiting gangs
	// are tried in one round.
	maxTried   = 12
	triedShare = 10
)

// scaledByWorkers returns a bound that grows with the number of workers: one for each share of
// them, and at least a minimum.
func (e *Engine) scaledByWorkers(least, share int) int { return max(least, len(e.workerList)/share) }

// RoundTook tells the engine, which has no clock, that the Flush at engine time at took d. It
// has no effect if that Flush ran no round.
func (e *Engine) RoundTook(at, d time.Duration) {
	if e.scheduledAt == at {
		e.roundCost += (d - e.roundCost) / costDecay
	}
}

// roundPause is kept between the starts of two rounds.
func (e *Engine) roundPause() time.Duration {
	pause := min((idleFactor+1)*e.roundCost, maxIdle)
	if len(e.ready) >= busyBacklog {
		pause = max(pause, busyPause)
	}
	return pause
}

// round is the state of one round of placement.
type round struct {
	full     []fullSize
	tried    int // gangs
	reserved int // gangs with reserved capacity
	// lacking is what the tasks need that have found no capacity so far, by service. It is kept only if
	// steps that are no gangs may have plans.
	lacking map[string]work.Resources
}

// fullSize is a size for which no worker of a service had capacity.
type fullSize struct {
	service string
	size    work.Resources
}

// schedule runs a round of placement.
func (e *Engine) schedule() {
	e.scheduledAt = e.now
	steps := e.waiting()
	if e.now >= e.planAt {
		e.planAt = e.now + planPeriod
		e.clearReservations()
		planFactors(steps)
	}
	e.countProxies()
	e.advancePreemptions()
	e.countUnconfirmed()
	e.ledger.ClearWaiting()
	clear(e.keptFree)
	var r round
	if e.o.Policy.plansForTasks() {
		r.lacking = map[string]work.Resources{}
	}
	for _, s := range steps {
		cause := e.blockedBy(s)
		switch {
		case cause != waitNothing:
		case s.spec.Gang:
			e.tryGang(s, &r)
			cause = e.causeOf(s)
		default:
			e.tryTasks(s, &r)
			e.considerTaskPlan(s, r.lacking[s.job.spec.Queue.Service])
			cause = e.causeOf(s)
		}
		e.keepQuota(s)
		if r.lacking != nil && cause != waitQuota && cause != waitMembers && cause != waitTakeover && cause != waitLateStart {
			service := s.job.spec.Queue.Service
			r.lacking[service] = r.lacking[service].Add(s.spec.Need().Scale(len(s.pending) - s.preemption.left()))
		}
		e.noteWait(s, cause)
	}
	e.sendAdviceCalls(steps)
}

// tryGang places a gang, or reserves capacity for it.
func (e *Engine) tryGang(s *step, r *round) {
	e.seekRack(s)
	if e.now >= s.retryAt && r.tried < e.scaledByWorkers(maxTried, triedShare) && e.gangFeasible(s) {
		r.tried++
		if e.placeGang(s) {
			return
		}
		e.backOff(s)
	}
	e.reserveCapacity(s, r)
}

// backOff sets when a gang that found no capacity is tried again: soon if capacity is reserved
// for it, else later each time.
//
// A round tries a bounded number of gangs. Without the backoff the first ones, which wait for
// busy workers, would use up that number in every round, and those behind them would never be
// tried although there are idle workers.
func (e *Engine) backOff(s *step) {
	pause := gangPause
	if !e.hasReserved(s) && s.preemption == nil {
		pause <<= min(s.misses, maxBackoff)
		s.misses++
	}
	s.retryAt = e.now + pause
}

// retryGangs makes the waiting gangs try at once: there are more workers.
func (e *Engine) retryGangs() {
	e.scheduled = false
	for _, s := range e.ready {
		s.retryAt, s.misses, s.search.until, s.feasibleUntil = 0, 0, 0, 0
	}
}

// tryTasks places tasks of a step one by one, unless there is certainly no capacity for them.
func (e *Engine) tryTasks(s *step, r *round) {
	if a := e.adviceOf(s); a != nil && !e.mayAsk(s) && !a.usable(e.now) {
		return // no tickets to use, and no call possible now
	}
	need := s.spec.Need()
	service := s.job.spec.Queue.Service
	if s.preemption == nil && slices.ContainsFunc(r.full, func(t fullSize) bool { return t.service == service && t.size.Fits(need) }) {
		return
	}
	if e.anyCapacity(s, need) {
		e.placeTasks(s)
	} else if len(s.spec.Labels) == 0 && !s.spec.BestEffort && len(r.full) < maxFullSizes {
		r.full = append(r.full, fullSize{service, need})
	}
	if s.spec.LongRunning && len(s.pending) > 0 {
		e.reserveCapacity(s, r)
	}
}

// maxFullSizes bounds the sizes recorded in a round.
const maxFullSizes = 8

// anyCapacity reports whether any worker has capacity for one task.
func (e *Engine) anyCapacity(s *step, need work.Resources) bool {
	for _, w := range e.workerList {
		if need.Fits(w.free()) && e.eligible(s, w) {
			return true
		}
	}
	return false
}

// capacityFor returns how many more of a step's tasks, at most limit, the step may place on a
// worker now. Most workers of a busy cell are full, which the first check finds.
func (e *Engine) capacityFor(s *step, w *worker, need work.Resources, limit int) int {
	if !need.Fits(w.free()) {
		return 0
	}
	if s.spec.MaxPerWorker > 0 {
		limit = min(limit, s.spec.MaxPerWorker-s.liveOn(w))
	}
	return max(need.Times(e.freeFor(s, w), limit), 0)
}

// blockedBy returns why no task of the step may start now on any worker; waitNothing if one may.
func (e *Engine) blockedBy(s *step) waitCause {
	switch {
	case s.gang.stopping || (s.spec.Gang && s.live() > 0):
		return waitMembers
	case s.job.inherited && !e.accountedFor(s):
		return waitTakeover
	case e.heldAll(s):
		return waitLateStart
	case (s.job.spec.Account != "" && !e.capsKnown()) || !e.withinQuota(s):
		e.awaitsQuota(s)
		return waitQuota
	}
	return waitNothing
}

// eligible reports whether a step may run on a worker, apart from capacity and advice.
func (e *Engine) eligible(s *step, w *worker) bool {
	return e.exclusionOf(s, w) == notExcluded && e.suits(s, w)
}

// suits reports whether a worker is of the step's service and has its labels.
func (e *Engine) suits(s *step, w *worker) bool {
	return w.Service == s.job.spec.Queue.Service && w.has(s.spec.Labels)
}

// exclusionOf returns why a worker gets no tasks of a step now.
func (e *Engine) exclusionOf(s *step, w *worker) exclusion {
	if x := w.exclusion(e.now); x != notExcluded {
		return x
	}
	switch {
	case s.spec.Gang && w.probation && e.now < s.gangsFrom(w):
		return excludedProbation
	case s.spec.BestEffort && w.hostsTarget():
		return excludedTarget
	case w.isolated.excludes(s, e.now):
		return excludedIsolated
	}
	return notExcluded
}

// perWorker bounds how many of n tasks may go to one worker.
func (s *step) perWorker(n int) int {
	if s.spec.MaxPerWorker > 0 {
		return min(n, s.spec.MaxPerWorker)
	}
	return n
}

// liveOn returns the number of the step's runs on a worker. Only steps with a MaxPerWorker need
// it; for others it is 0.
func (s *step) liveOn(w *worker) int {
	if s.spec.MaxPerWorker == 0 {
		return 0
	}
	n := 0
	for _, alloc := range w.allocs {
		if alloc.s == s {
			n++
		}
	}
	return n
}

// placeTasks places the tasks of a step one by one.
func (e *Engine) placeTasks(s *step) {
	a := e.adviceOf(s)
	missing := false
	for _, i := range slices.Clone(s.pending) {
		held, pin := e.hold(s, i)
		if e.mayRunUnreported(s, i) || (held != nil && pin == nil) {
			continue
		}
		if !e.withinQuota(s) {
			e.awaitsQuota(s)
			return
		}
		w, ticket := e.bestWorker(s, i, a, pin)
		if w == nil && pin != nil {
			continue // only its own worker will do
		}
		if w == nil {
			missing = true
			if s.tasks[i].crashes.Suspect() {
				continue // it waits for a worker without recent starts, the others need not
			}
			break
		}
		run, ok := e.newRun(&s.tasks[i].runs, s.id(), w.ID)
		if !ok {
			return
		}
		if pin != nil {
			e.stats.LateStartsPinned++
		}
		e.start(w, s, i, run, ticket)
	}
	if n := len(s.pending) - s.preemption.left(); missing && a != nil && n > 0 {
		e.askFor(s, n)
	}
}

// scored is a worker with its score for a task.
type scored struct {
	w      *worker
	score  float64
	ticket string
}

// update takes the worker if it is better than the best one so far.
func (b *scored) update(w *worker, score float64, text string) {
	if b.w == nil || score > b.score {
		*b = scored{w, score, text}
	}
}

// bestWorker filters the workers and returns the one with the best score, with its ticket. A
// suspect task waits for a worker without recent starts. With a pin, only that worker will do, unless a run of the task
// has failed there: its attempts are worth more than the time until it may start elsewhere.
func (e *Engine) bestWorker(s *step, i int, a *advice, pin *worker) (best *worker, text string) {
	suspect := s.tasks[i].crashes.Suspect()
	var now, later scored
	consider := func(w *worker, text string) {
		switch {
		case pin != nil && (w != pin || slices.Contains(s.tasks[i].avoid, w.ID)):
		case !e.mayPlace(s, i, w):
		case suspect && !e.noRecentStarts(w, s):
			later.update(w, e.score(s, i, w), text)
		default:
			now.update(w, e.score(s, i, w), text)
		}
	}
	if a != nil {
		for k := range a.tickets {
			if t := &a.tickets[k]; t.valid(e.now) {
				consider(t.w, t.text)
			}
		}
	} else {
		for _, w := range e.workerList {
			consider(w, "")
		}
	}
	if now.w == nil && later.w != nil {
		e.isolate(s, later.w)
	}
	return now.w, now.ticket
}

// mayPlace reports whether a task may start on a worker now, apart from advice.
func (e *Engine) mayPlace(s *step, i int, w *worker) bool {
	need := s.spec.Need()
	if !need.Fits(w.free()) || !e.eligible(s, w) || !need.Fits(e.freeFor(s, w)) {
		return false
	}
	if s.spec.MaxPerWorker > 0 && s.liveOn(w) >= s.spec.MaxPerWorker {
		return false
	}
	t := &s.tasks[i]
	return e.now >= t.avoidUntil || !slices.Contains(t.avoid, w.ID)
}

// avoidTimeout is how long a task that failed on a worker waits for another one: long enough
// to request advice on others, short relative to an objective. Otherwise, if the only ticket
// is for the worker where it has just failed, a second attempt there would fail a job whose
// queue allows two.
const avoidTimeout = time.Second

// avoidWorker keeps a task away from a worker where it failed or stalled.
func (t *task) avoidWorker(id runner.WorkerID, now time.Duration) {
	t.avoidUntil = now + avoidTimeout
	if !slices.Contains(t.avoid, id) {
		t.avoid = append(t.avoid, id)
	}
}

// Weights of a worker's score for a task.
const (
	// scoreAvoid: a task that failed on a worker goes to any other worker first.
	scoreAvoid = -100
	// scoreSuspect: workers on which runs failed recently come after those on which none did;
	// it counts for each point of suspicion.
	scoreSuspect = -2.5
	// scoreNear: near its data a task takes a third of the time.
	scoreNear = 20
	// scoreSpeed: a faster worker completes sooner; worth as much as perfect packing.
	scoreSpeed = 1.0
	// scoreFull: workers that are nearly full come first, so that large tasks find workers
	// with much free capacity.
	scoreFull = 1.0
	// scoreCrashed: a task under which workers crashed avoids workers that crashed recently,
	// whatever the cause.
	scoreCrashed = -50
	// scoreMakeWay is for each best-effort task that would have to make way for a task with a response time target,
	// scoreNoWay for each that may not be interrupted now, and so would stay beside it.
	scoreMakeWay = -5
	scoreNoWay   = -200
	// scoreAtRisk: such a task goes where the least other work is lost if the worker crashes.
	scoreAtRisk = -10
)

func (e *Engine) score(s *step, i int, w *worker) float64 {
	score := scoreSpeed/w.speed.Factor + scoreSuspect*w.suspicion
	if slices.Contains(s.tasks[i].avoid, w.ID) {
		score += scoreAvoid
	}
	if s.spec.DataRack != "" && s.spec.DataRack == w.rack {
		score += scoreNear
	}
	if hasTarget(s.spec) {
		all, kept := bestEffortOn(w)
		score += scoreMakeWay*float64(all) + scoreNoWay*float64(kept)
	}
	full := fullness(w, s.spec.Need())
	if len(s.tasks[i].crashes) > 0 {
		if e.crashedRecently(w) {
			score += scoreCrashed
		}
		return score + scoreAtRisk*full
	}
	return score + scoreFull*full
}

// fullness is the used share of the worker's scarcest resource once need is placed there.
func fullness(w *worker, need work.Resources) float64 {
	used := w.used.Add(need)
	return max(ratio(used.CPU, w.Capacity.CPU), ratio(used.Memory, w.Capacity.Memory))
}

func ratio(a, b int) float64 {
	if b <= 0 {
		return 0
	}
	return float64(a) / float64(b)
}
