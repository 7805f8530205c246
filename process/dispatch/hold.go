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
	// holdSpare is how many more seats than needed are held, as a factor: a worker
	// may drain or stop answering during the call.
	holdSpare = 1.05
	// holdGrace is kept after the end of a call: the way to the daemon that makes
	// it and back, and a round of placement.
	holdGrace = 150 * time.Millisecond
	// aheadGrace is kept as well where seats were not all open when the call began:
	// less than a ticket is valid for.
	aheadGrace = 500 * time.Millisecond
)

// holdKind tells what is held during a call for a gang's tickets.
type holdKind uint8

const (
	holdNothing holdKind = iota
	holdAll              // there must be room for every task
	holdAhead            // what is open; the rest is about to open
)

// hold is room on a worker that only one step may take.
type hold struct {
	s    *step
	room work.Resources
}

// holdSeats holds room for a gang on workers with a ticket that outlasts the call,
// and on those that are to be named in it. It returns false, and holds nothing, if
// there has to be room for all tasks and is not.
func (e *Engine) holdSeats(s *step, a *advice, cost time.Duration) bool {
	need, limit := s.spec.Need(), s.perWorker(s.spec.Count)
	want := int(float64(s.spec.Count) * holdSpare)
	until := e.now + cost + holdGrace
	if a.hold == holdAhead {
		until += aheadGrace
	}
	total := 0
	var seats []seat
	for _, w := range e.order {
		if t := a.find(w); !slices.Contains(a.wanted, w.ID) && (t == nil || !t.valid(until)) {
			continue
		}
		if !e.eligible(s, w) {
			continue
		}
		if n := e.room(s, w, need, limit); n > 0 {
			seats = append(seats, seat{w: w, n: n})
			total += n
		}
	}
	if a.hold == holdAll && total < s.spec.Count {
		return false
	}
	e.dropHold(s)
	slices.SortStableFunc(seats, func(x, y seat) int { return y.n - x.n })
	for _, x := range seats {
		n := min(x.n, want)
		if n == 0 {
			break
		}
		want -= n
		x.w.holds = append(x.w.holds, hold{s, need.Scale(n)})
	}
	s.heldSeats, s.holdUntil = true, until
	e.stats.Holds++
	return true
}

// dropHold frees what is held for a step.
func (e *Engine) dropHold(s *step) {
	if !s.heldSeats {
		return
	}
	s.heldSeats = false
	for _, w := range e.order {
		w.holds = slices.DeleteFunc(w.holds, func(h hold) bool { return h.s == s })
	}
	e.scheduled = false
}

// expireHolds frees what is held for steps whose call has not brought what they
// need in time.
func (e *Engine) expireHolds() {
	for _, s := range e.ready {
		if s.heldSeats && e.now > s.holdUntil {
			e.dropHold(s)
		}
	}
}
