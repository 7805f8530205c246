package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/connection/runner"
)

// Timing and margins of waiting gangs.
const (
	// feasiblePeriod is how long the result of gangFeasible is kept: workers are added and
	// removed slowly, and verdicts arrive a few times per second.
	feasiblePeriod = 250 * time.Millisecond
	// refreshAhead is kept between the end of a call for tickets and the expiry of the tickets
	// that have to be valid together with the new ones.
	refreshAhead = 200 * time.Millisecond
	// ticketSpare is the factor by which a gang requests tickets for more slots than it needs:
	// other steps may take some during the call.
	ticketSpare = 1.4
)

// gangSlots are free slots for a gang's tasks on one worker.
type gangSlots struct {
	w      *worker
	n      int
	ticket string
}

// placeGang starts all of a gang's tasks if there is capacity for all of them now.
func (e *Engine) placeGang(s *step) bool {
	a := e.adviceOf(s)
	slots, ok := e.chooseSlots(s, e.freeSlots(s, a))
	if !ok {
		if !e.considerPreemption(s) && a != nil {
			e.askForGang(s, a)
		}
		return false
	}
	if e.isolateGang(s, slots) {
		return false
	}
	run, ok := e.newRun(&s.gang.runs, s.id(), "")
	if !ok {
		return false
	}
	s.gang.run = run
	e.unreserve(s)
	e.decide(Decision{What: "gang starts", Task: s.id(), Run: run, Why: fmt.Sprintf("%d tasks on %d workers", s.spec.Count, len(slots)), Age: e.now - s.openedAt})
	i := 0
	for _, x := range slots {
		for range x.n {
			e.start(x.w, s, i, s.gang.run, x.ticket)
			i++
		}
	}
	return true
}

// freeSlots returns the slots that are free for a gang's tasks now, on workers with a ticket
// if the queue needs one.
func (e *Engine) freeSlots(s *step, a *advice) []gangSlots {
	need, limit := s.spec.Need(), s.perWorker(s.spec.Count)
	var all []gangSlots
	consider := func(w *worker, text string) {
		if need.Fits(w.free()) && e.eligible(s, w) {
			if n := e.capacityFor(s, w, need, limit); n > 0 {
				all = append(all, gangSlots{w, n, text})
			}
		}
	}
	if a == nil {
		for _, w := range e.workerList {
			consider(w, "")
		}
		return all
	}
	for i := range a.tickets {
		if t := &a.tickets[i]; t.valid(e.now) {
			consider(t.w, t.text)
		}
	}
	return all
}

// chooseSlots picks a slot for every task of a gang, on one rack if it asks for that and still seeks one.
func (e *Engine) chooseSlots(s *step, all []gangSlots) ([]gangSlots, bool) {
	total := 0
	for _, x := range all {
		total += x.n
	}
	if total < s.spec.Count {
		return nil, false
	}
	if s.spec.SameRack {
		if picked, ok := oneRack(all, s.spec.Count); ok {
			return picked, true
		}
		if !s.search.spread {
			return nil, false
		}
		e.stats.GangsSpread++
	}
	return e.pick(s, all, s.spec.Count), true
}

// pick takes slots for n tasks: near the data, on workers of like speed that are as fast as
// possible, and on as few workers as possible.
func (e *Engine) pick(s *step, all []gangSlots, n int) []gangSlots {
	pace := gangPace(all, n)
	score := func(x gangSlots) float64 {
		v := float64(x.n)/float64(n) + e.speedScore(x.w, pace) + scoreSuspect*x.w.suspicion
		if s.spec.DataRack != "" && s.spec.DataRack == x.w.rack {
			v += scoreNear
		}
		for i := range s.tasks {
			if slices.Contains(s.tasks[i].avoid, x.w.ID) {
				return v + scoreAvoid
			}
		}
		return v
	}
	slices.SortStableFunc(all, func(x, y gangSlots) int { return cmp.Compare(score(y), score(x)) })
	var picked []gangSlots
	for _, x := range all {
		x.n = min(x.n, n)
		n -= x.n
		picked = append(picked, x)
		if n == 0 {
			break
		}
	}
	return picked
}

func oneRack(all []gangSlots, n int) ([]gangSlots, bool) {
	byRack := map[string]int{}
	for _, x := range all {
		byRack[x.w.rack] += x.n
	}
	best := ""
	for rack, slots := range byRack {
		if slots >= n && (best == "" || slots < byRack[best] || (slots == byRack[best] && rack < best)) {
			best = rack
		}
	}
	if best == "" {
		return nil, false
	}
	var picked []gangSlots
	for _, x := range all {
		if x.w.rack != best || n == 0 {
			continue
		}
		x.n = min(x.n, n)
		n -= x.n
		picked = append(picked, x)
	}
	return picked, true
}

// goodFor reports whether there is no bad verdict on the worker for the step.
func (w *worker) goodFor(s *step) bool {
	if s.advice == nil {
		return true
	}
	return s.advice.verdictOf(w) != bad
}

// askForGang requests tickets for the workers on which a gang can start: those known to be
// good with free capacity now; unknown ones if these are not enough; and, while there is no
// capacity, those on which capacity is reserved, in time for when it becomes free.
//
// All missing tickets are requested while the others are still valid. Otherwise there would
// never be a moment at which enough of them are valid, and the gang would wait beside idle
// workers.
func (e *Engine) askForGang(s *step, a *advice) {
	if !e.mayAsk(s) {
		return
	}
	e.examine(s)
	have, rest := e.gangCandidates(s, a)
	missing := int(float64(s.spec.Count)*ticketSpare) - have
	var ids []runner.WorkerID
	for _, c := range rest {
		if missing <= 0 || c.fits == 0 || len(ids) == maxWorkersPerCall {
			break
		}
		ids = append(ids, c.w.ID)
		have += c.fits
		missing -= c.fits
	}
	switch {
	case have >= s.spec.Count:
		if e.requestAdvice(s, ids) && !e.o.Policy.NoGangReservations {
			a.reserve = reserveAll
		}
	case e.anyUnknown(s, a):
		e.askFor(s, s.spec.Count)
	default:
		e.askAhead(s, a)
	}
}

// askAhead requests tickets for a gang's reserved slots once most of these are free, so that
// the tickets arrive when the last slot becomes free; the free ones are reserved for the gang
// meanwhile.
//
// A gang that needs half of the workers it is allowed and asked only once its last slot is
// free would keep all slots empty for the duration of a call.
func (e *Engine) askAhead(s *step, a *advice) {
	if s.gangReserved {
		return
	}
	need := s.spec.Need()
	var ids []runner.WorkerID
	from := time.Duration(0)
	reserved, open := 0, 0
	for _, w := range e.workerList {
		n := 0
		for _, r := range w.reserved {
			if r.s == s {
				n++
				from = max(from, r.from)
			}
		}
		if n == 0 {
			continue
		}
		reserved += n
		open += e.capacityFor(s, w, need, n)
		if t := a.ticketFor(w); (t == nil || !t.valid(e.now+aheadTicket)) && len(ids) < maxWorkersPerCall {
			ids = append(ids, w.ID)
		}
	}
	if reserved < s.spec.Count || float64(open) < aheadShare*float64(reserved) || from-e.now > s.job.spec.Queue.Advice.Cost(len(ids)) {
		return
	}
	if e.requestAdvice(s, ids) && !e.o.Policy.NoGangReservations {
		a.reserve = reserveAhead
	}
}

const (
	// aheadShare of a gang's slots must be free for its tickets to be requested.
	aheadShare = 0.7
	// aheadTicket is how long a ticket must still be valid not to be requested again.
	aheadTicket = 700 * time.Millisecond
)

// candidate is a worker that is good for a gang, with the number of the gang's tasks that fit
// there now.
type candidate struct {
	w    *worker
	fits int
}

// gangFeasible reports whether the workers that may be good for a gang could run it if they
// were empty.
//
// Gangs too wide for the workers that their advice allows wait forever. They come first since
// they are the oldest, and without this check would use up the gangs that a round tries and
// reserves capacity for.
func (e *Engine) gangFeasible(s *step) bool {
	if e.now < s.feasibleUntil {
		return s.feasible
	}
	s.feasibleUntil = e.now + feasiblePeriod
	slots, sound := 0, 0
	for _, w := range e.workerList {
		if w.removed || !w.mayBeUsed() || !w.listed || !e.suits(s, w) || !w.goodFor(s) {
			continue
		}
		n := s.spec.Need().Times(w.Capacity, s.perWorker(s.spec.Count))
		slots += n
		if !w.probation && !w.out(e.now) {
			sound += n
		}
	}
	s.feasible, s.feasibleSound = slots >= s.spec.Count, sound >= s.spec.Count
	return s.feasible
}

// gangCandidates counts the slots on workers whose tickets outlast a call, and returns the
// other good workers, those with the most free capacity first.
func (e *Engine) gangCandidates(s *step, a *advice) (have int, rest []candidate) {
	need, limit := s.spec.Need(), s.perWorker(s.spec.Count)
	until := e.now + s.job.spec.Queue.Advice.Cost(0) + refreshAhead
	for _, w := range e.workerList {
		if a.verdictOf(w) != good || !s.seeks(w) || !e.eligible(s, w) {
			continue
		}
		fits := e.capacityFor(s, w, need, limit)
		if t := a.ticketFor(w); t != nil && t.valid(until) {
			have += fits
			continue
		}
		rest = append(rest, candidate{w, fits})
	}
	slices.SortStableFunc(rest, func(x, y candidate) int { return cmp.Compare(y.fits, x.fits) })
	return have, rest
}

// anyUnknown reports whether there is no verdict yet on a worker that could run the step.
func (e *Engine) anyUnknown(s *step, a *advice) bool {
	return slices.ContainsFunc(e.workerList, func(w *worker) bool {
		return a.verdictOf(w) == unknown && s.seeks(w) && e.eligible(s, w)
	})
}
