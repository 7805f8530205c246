package dispatch

import (
	"cmp"
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/version/work"
)

// Capacity reserved ahead of time for waiting steps: gangs, and long-running tasks.
const (
	// planPeriod is how long reservations are kept before they are planned again.
	planPeriod = 100 * time.Millisecond
	// maxReserved, or one in defaultReservedShare workers if that is more, bounds how many
	// waiting steps have reservations at a time.
	maxReserved          = 3
	defaultReservedShare = 30
)

// reservation reserves capacity on a worker for a task of a step from some time on.
type reservation struct {
	s    *step
	need work.Resources
	from time.Duration // when the step's tasks are expected to start
}

// hasReserved reports whether a step's reservation of an earlier round is still there: it was
// made after the last clearReservations.
func (e *Engine) hasReserved(s *step) bool {
	return s.reservedAt > 0 && s.reservedAt >= e.planAt-planPeriod
}

// reserveCapacity reserves capacity for a step that found none, if the round may reserve for
// another one and the workers could run it.
func (e *Engine) reserveCapacity(s *step, r *round) {
	if e.o.Policy.FirstCome || s.preemption != nil {
		return
	}
	if r.reserved >= e.scaledByWorkers(maxReserved, e.o.Policy.ReservedShare) || (s.spec.Gang && !e.gangFeasible(s)) {
		return
	}
	if e.hasReserved(s) || e.reserveFor(s) {
		r.reserved++
	}
}

// tasksNeeded is the number of tasks that a step needs capacity for: for a gang all of them.
func (s *step) tasksNeeded() int {
	if s.spec.Gang {
		return s.spec.Count
	}
	return len(s.pending)
}

// reserveFor reserves capacity for a waiting gang or for long-running tasks, on the workers
// where it can start the soonest. There, steps that come after it start only if they end
// before that time or leave enough capacity.
//
// Without reservations small tasks would fill every gap as it opens, and a gang, which needs
// many gaps at once, or a large long-running task would wait until there is no more small
// work.
func (e *Engine) reserveFor(s *step) bool {
	s.reservedAt, s.startsAt = e.now, 0
	a := e.adviceOf(s)
	need, needed := s.spec.Need(), s.tasksNeeded()
	type opening struct {
		at time.Duration
		w  *worker
	}
	var openings []opening
	for _, w := range e.workerList {
		if !s.seeks(w) || !e.eligible(s, w) || (a != nil && a.verdictOf(w) != good) {
			continue
		}
		for _, at := range e.openingsOn(s, w, s.perWorker(needed)-s.liveOn(w)) {
			openings = append(openings, opening{at, w})
		}
	}
	if len(openings) < needed {
		return false
	}
	slices.SortStableFunc(openings, func(x, y opening) int {
		if x.at != y.at || a == nil {
			return cmp.Compare(x.at, y.at)
		}
		return cmp.Compare(ticketEnd(a, y.w), ticketEnd(a, x.w)) // those with tickets first
	})
	openings = openings[:needed]
	from := openings[len(openings)-1].at
	s.startsAt = from
	for _, o := range openings {
		o.w.reserved = append(o.w.reserved, reservation{s, need, from})
	}
	return true
}

// openingsOn returns when slots for tasks of a step, at most limit, are expected to be free on a worker. What tasks hold
// that last is never free.
func (e *Engine) openingsOn(s *step, w *worker, limit int) (all []time.Duration) {
	need, free := s.spec.Need(), e.freeFor(s, w)
	for range need.Times(free, limit) {
		all = append(all, e.now)
	}
	for _, alloc := range e.byEnd(w) {
		left := e.remaining(alloc)
		if len(all) >= limit || left >= forever {
			break
		}
		free = free.Add(alloc.need)
		for n := need.Times(free, limit); len(all) < n; {
			all = append(all, e.now+left)
		}
	}
	return all
}

// ticketEnd returns when the step's ticket for a worker expires, 0 for none.
func ticketEnd(a *advice, w *worker) time.Duration {
	if t := a.ticketFor(w); t != nil {
		return t.expires
	}
	return 0
}

// byEnd returns a worker's runs, ordered by when they are expected to end.
func (e *Engine) byEnd(w *worker) []*allocation {
	all := sortedAllocs(w)
	slices.SortStableFunc(all, func(x, y *allocation) int { return cmp.Compare(e.remaining(x), e.remaining(y)) })
	return all
}

// freeFor returns the capacity of a worker that a step may use now: what is free, less gang
// reservations of other steps, and less reservations of steps that come before it and are to
// start before its task would end. The latter do not count where runs are stopped for the step.
func (e *Engine) freeFor(s *step, w *worker) work.Resources {
	free := w.free()
	for i := range w.gangReservations {
		if w.gangReservations[i].s != s {
			free = free.Sub(w.gangReservations[i].capacity)
		}
	}
	if len(w.reserved) == 0 || s.preemption.uses(w) {
		return free
	}
	ends := e.now + e.plannedOn(s, w)
	var held work.Resources
	for _, r := range w.reserved {
		if r.s != s && ends > r.from && compareSteps(s, r.s) > 0 {
			held = held.Add(r.need)
		}
	}
	if held == (work.Resources{}) {
		return free
	}
	// What ends before the reservation starts is available to it as well.
	later := free
	from := w.reserved[0].from
	for _, alloc := range w.allocs {
		if e.now+e.remaining(alloc) <= from {
			later = later.Add(alloc.need)
		}
	}
	rest := later.Sub(held)
	return work.Resources{CPU: min(free.CPU, rest.CPU), Memory: min(free.Memory, rest.Memory), GPU: min(free.GPU, rest.GPU)}
}

// clearReservations drops all reservations before they are planned again.
func (e *Engine) clearReservations() {
	for _, w := range e.workerList {
		w.reserved = w.reserved[:0]
	}
}

func (e *Engine) unreserve(s *step) {
	e.dropGangReservation(s)
	for _, w := range e.workerList {
		w.reserved = slices.DeleteFunc(w.reserved, func(r reservation) bool { return r.s == s })
	}
}
