package dispatch

import (
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/version/work"
)

// Holding seats for a gang while its tickets are asked for.
//
// Load pattern: many gangs wait, each allowed on a quarter of the workers, and a
// call for tickets takes half a second and more. There is room for a gang, but
// when its tickets come others have taken part of it; it asks again for what is
// missing, and so on until the load ends, beside a quarter of the processors idle.
// A hold keeps the room from everybody else for the length of the call.

const (
	// gangReserveSpare is how many more seats than needed are held, as a factor: a worker
	// may drain or stop answering during the call.
	gangReserveSpare = 1.05
	// gangReserveGrace is kept after the end of a call: the way to the daemon that makes
	// it and back, and a round of placement.
	gangReserveGrace = 150 * time.Millisecond
	// reserveAheadGrace is kept as well where seats were not all open when the call began:
	// less than a ticket is valid for.
	reserveAheadGrace = 500 * time.Millisecond
)

// gangReserveMode tells what is held during a call for a gang's tickets.
type gangReserveMode uint8

const (
	reserveNone  gangReserveMode = iota
	reserveAll                   // there must be room for every task
	reserveAhead                 // what is open; the rest is about to open
)

// gangReservation is room on a worker that only one step may take.
type gangReservation struct {
	s        *step
	capacity work.Resources
}

// reserveGang holds room for a gang on workers with a ticket that outlasts the call,
// and on those that are to be named in it. It returns false, and holds nothing, if
// there has to be room for all tasks and is not.
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
		if !e.eligible(s, w) {
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
	e.stats.Holds++
	return true
}

// dropGangReservation frees what is held for a step.
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

// expireGangReservations frees what is held for steps whose call has not brought what they
// need in time.
func (e *Engine) expireGangReservations() {
	for _, s := range e.ready {
		if s.gangReserved && e.now > s.gangReservedUntil {
			e.dropGangReservation(s)
		}
	}
}
