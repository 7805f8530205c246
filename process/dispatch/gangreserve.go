package dispatch

import (
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/version/work"
)

// Gang reservations: capacity reserved for a gang while its tickets are requested.
//
// When many gangs wait, each allowed on a quarter of the workers, and a call for tickets takes
// half a second or more, other steps take part of a gang's capacity before its tickets arrive.
// It asks again for what is missing, and so on until the load ends, while a quarter of the
// processors is idle. A gang reservation keeps the capacity from all other steps for the
// duration of the call.

const (
	// gangReserveSpare is the factor by which more slots are reserved than the gang needs: a
	// worker may drain or stop answering during the call.
	gangReserveSpare = 1.05
	// gangReserveGrace is added to the duration of a call, for the way to the daemon that
	// makes it and back, and a round of placement.
	gangReserveGrace = 150 * time.Millisecond
	// reserveAheadGrace is added as well if not all slots were free when the call began: less
	// than a ticket is valid for.
	reserveAheadGrace = 500 * time.Millisecond
)

// gangReserveMode is what to reserve during a call for a gang's tickets.
type gangReserveMode uint8

const (
	reserveNone  gangReserveMode = iota
	reserveAll                   // there must be capacity for every task
	reserveAhead                 // what is free; the rest is about to become free
)

// gangReservation is capacity on a worker that only one step may use.
type gangReservation struct {
	s        *step
	capacity work.Resources
}

// reserveGang reserves capacity for a gang on workers with a ticket that outlasts the call,
// and on those that the call is going to name. It returns false, and reserves nothing, if
// a.reserve is reserveAll and there is not enough capacity for all tasks.
func (e *Engine) reserveGang(s *step, a *advice, cost time.Duration) bool {
	need, limit := s.spec.Need(), s.perWorker(s.spec.Count)
	want := int(float64(s.spec.Count) * gangReserveSpare)
	until := e.now + cost + gangReserveGrace
	if a.reserve == reserveAhead {
		until += reserveAheadGrace
	}
	total := 0
	var slots []gangSlots
	for _, w := range e.workerList {
		if t := a.ticketFor(w); !slices.Contains(a.toAsk, w.ID) && (t == nil || !t.valid(until)) {
			continue
		}
		if !s.seeks(w) || !e.eligible(s, w) {
			continue
		}
		if n := e.capacityFor(s, w, need, limit); n > 0 {
			slots = append(slots, gangSlots{w: w, n: n})
			total += n
		}
	}
	if a.reserve == reserveAll && total < s.spec.Count {
		return false
	}
	e.dropGangReservation(s)
	slices.SortStableFunc(slots, func(x, y gangSlots) int { return y.n - x.n })
	for _, x := range slots {
		n := min(x.n, want)
		if n == 0 {
			break
		}
		want -= n
		x.w.gangReservations = append(x.w.gangReservations, gangReservation{s, need.Scale(n)})
	}
	s.gangReserved, s.gangReservedUntil = true, until
	e.stats.GangReservations++
	return true
}

// dropGangReservation releases what is reserved for a step.
func (e *Engine) dropGangReservation(s *step) {
	if !s.gangReserved {
		return
	}
	s.gangReserved = false
	for _, w := range e.workerList {
		w.gangReservations = slices.DeleteFunc(w.gangReservations, func(r gangReservation) bool { return r.s == s })
	}
	e.scheduled = false
}

// expireGangReservations releases the reservations of steps whose call has not brought enough
// tickets in time.
func (e *Engine) expireGangReservations() {
	for _, s := range e.ready {
		if s.gangReserved && e.now > s.gangReservedUntil {
			e.dropGangReservation(s)
		}
	}
}
