package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/connection/runner"
)

// Waiting of gangs.
const (
	// feasiblePeriod is how long it is remembered whether a gang could be held:
	// workers come and go slowly, and verdicts come a few a second.
	feasiblePeriod = 250 * time.Millisecond
	// refreshAhead is kept between the end of a call for tickets and the end of
	// those that are to hold as well.
	refreshAhead = 200 * time.Millisecond
	// ticketSpare is how many more seats than needed a gang asks tickets for,
	// as a factor: others may take some during the call.
	ticketSpare = 1.4
)

// gangSlots is room for some of a gang's tasks on a worker.
type gangSlots struct {
	w      *worker
	n      int
	ticket string // the ticket
}

// placeGang starts all of a gang's tasks if there is room for all now.
func (e *Engine) placeGang(s *step) bool {
	a := e.adviceOf(s)
	slots, ok := e.chooseSlots(s, e.freeSlots(s, a))
	if !ok {
		if a != nil {
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

// freeSlots returns the room for a gang's tasks now, on workers with a ticket
// where the queue needs one.
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

// chooseSlots picks room for every task of a gang, on one rack if it asks for that
// and any could hold it.
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
		if e.rackFeasible(s) {
			return nil, false
		}
	}
	return pick(s, all, s.spec.Count), true
}

// pick takes seats for n tasks: near the data, on fast workers, with the least
// workers used.
func pick(s *step, all []gangSlots, n int) []gangSlots {
	score := func(x gangSlots) float64 {
		v := float64(x.n)/float64(n) - x.w.slowdown + scoreSuspect*x.w.suspicion
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
	for rack, room := range byRack {
		if room >= n && (best == "" || room < byRack[best] || (room == byRack[best] && rack < best)) {
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

// rackFeasible reports whether an empty rack would hold the whole gang.
func (e *Engine) rackFeasible(s *step) bool {
	room := map[string]int{}
	for _, w := range e.workerList {
		if w.Service != s.job.spec.Queue.Service || !w.has(s.spec.Labels) || w.removed || !w.goodFor(s) {
			continue
		}
		room[w.rack] += s.spec.Need().Times(w.Capacity, s.perWorker(s.spec.Count))
	}
	for _, n := range room {
		if n >= s.spec.Count {
			return true
		}
	}
	return false
}

// goodFor reports whether the worker is not known to be bad for the step.
func (w *worker) goodFor(s *step) bool {
	if s.advice == nil {
		return true
	}
	return s.advice.verdictOf(w) != bad
}

// askForGang asks for the workers on which a gang can start: known good ones
// with room now, unknown ones if these do not do, and, while there is no room,
// those on which room is reserved, in time for when it is there.
//
// What goes wrong if part of the tickets holds and the rest is not asked for
// until they have run out: there is never a moment at which enough of them
// hold, and the gang waits beside free workers.
func (e *Engine) askForGang(s *step, a *advice) {
	if !e.mayAsk(s) {
		return
	}
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
		if e.requestAdvice(s, ids) && !e.o.Policy.NoHolds {
			a.reserve = reserveAll
		}
	case e.anyUnknown(s, a):
		e.askFor(s, s.spec.Count)
	default:
		e.askAhead(s, a)
	}
}

// askAhead asks for tickets for reserved seats of which most are open, so that the
// tickets come with the last seat; the open ones are held meanwhile.
//
// Load pattern: as for holds, with gangs that need half of the workers they are
// allowed. A gang that asks only when its last seat is open keeps all of them empty
// for the length of a call.
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
	if e.requestAdvice(s, ids) && !e.o.Policy.NoHolds {
		a.reserve = reserveAhead
	}
}

const (
	// aheadShare of a gang's seats must be open for its tickets to be asked for.
	aheadShare = 0.7
	// aheadTicket is how long a ticket at hand must hold to be left as it is.
	aheadTicket = 700 * time.Millisecond
)

// candidate is a worker that is good for a gang, with the number of its tasks
// that fit there now.
type candidate struct {
	w    *worker
	fits int
}

// gangFeasible reports whether the workers that may be good for a gang would hold
// it if they were empty.
//
// What goes wrong without it: gangs too wide for the workers that their advice
// allows wait for good, come first since they are the oldest, and take the
// places of those that a round tries and reserves room for.
func (e *Engine) gangFeasible(s *step) bool {
	if e.now < s.feasibleUntil {
		return s.feasible
	}
	s.feasibleUntil = e.now + feasiblePeriod
	slots := 0
	for _, w := range e.workerList {
		if !w.removed && w.listed && w.Service == s.job.spec.Queue.Service && w.has(s.spec.Labels) && w.goodFor(s) {
			slots += s.spec.Need().Times(w.Capacity, s.perWorker(s.spec.Count))
		}
	}
	s.feasible = slots >= s.spec.Count
	return s.feasible
}

// gangCandidates counts the seats on workers whose tickets outlast a call, and
// returns the other good workers, those with most room first.
func (e *Engine) gangCandidates(s *step, a *advice) (have int, rest []candidate) {
	need, limit := s.spec.Need(), s.perWorker(s.spec.Count)
	until := e.now + s.job.spec.Queue.Advice.Cost(0) + refreshAhead
	for _, w := range e.workerList {
		if a.verdictOf(w) != good || !e.eligible(s, w) {
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

// anyUnknown reports whether a worker that could run the step has not been
// asked about.
func (e *Engine) anyUnknown(s *step, a *advice) bool {
	return slices.ContainsFunc(e.workerList, func(w *worker) bool {
		return a.verdictOf(w) == unknown && e.eligible(s, w)
	})
}
