package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Racks for gangs that ask for one.
//
// Such a gang seeks one rack at a time, and all that is done for it keeps to the workers of that rack: which
// are asked about, whose slots are counted and reserved. Otherwise slots on several racks look like
// enough, and nothing more is asked, while no rack has enough of them.
//
// A rack that cannot hold the gang, or not soon, gives way to the next one, and the wait for a rack ends: a
// gang on several racks runs, if slowly. While most of the cell is idle the wait ends early enough for the gang to start
// within startPromise, whatever the calls for advice cost.

const (
	// idleRackWait is how long a gang of which the caller has given no run time seeks a rack at most.
	idleRackWait = 1500 * time.Millisecond
	// answerGrace is added to the cost of a call for advice to get when its answer is here: for the way to the
	// daemon that makes it and back, and a round of placement.
	answerGrace = 100 * time.Millisecond
	// startGrace is kept between the last moment at which a gang gives up seeking a rack and startPromise, beside
	// the time of a call for tickets: for a round of placement and the starts.
	startGrace = 250 * time.Millisecond
)

// rackSearch is the state of a gang that asks for one rack.
type rackSearch struct {
	rack   string // the one that it seeks
	spread bool   // it may start on several racks now
	since  time.Duration
	next   []string // racks that it may seek after this one and that are free now, the best first
	until  time.Duration
	// roomSince is since when there has been room for the gang on several racks, 0 if there is none.
	roomSince time.Duration
	// gaveUp: there has been room for as long as seeking a rack is worth.
	gaveUp bool
}

// seeks reports whether the step may use a worker, as far as racks are concerned.
func (s *step) seeks(w *worker) bool {
	return !s.seeksOneRack() || w.rack == s.search.rack
}

// seeksOneRack reports whether the step may start on no more than one rack.
func (s *step) seeksOneRack() bool { return s.spec.SameRack && !s.search.spread }

// rackOrder returns the place of a worker's rack among those that the step asks about, from 0 on; -1 for one that it does
// not ask about. All racks are the same to a step that does not seek one.
func (s *step) rackOrder(w *worker) int {
	if s.seeks(w) {
		return 0
	}
	if i := slices.Index(s.search.next, w.rack); i >= 0 {
		return i + 1
	}
	return -1
}

// rackState is what a rack offers a gang, on workers on which there is no bad verdict.
type rackState struct {
	name  string
	whole int // slots once all has ended that ends
	// unknown is on how many of its workers that could start tasks now there is no verdict.
	unknown int
	free    int     // slots now
	good    float64 // the same, less the slots on workers that a verdict is likely to exclude
	// at is when there are expected to be slots for all tasks; forever if that is not known.
	at       time.Duration
	openings []time.Duration
}

// chooseRack returns the racks on which a gang of n tasks can start, the best first: the one on which it is likely
// to start the soonest, and of those that are free now the one with the most slots. Any other rack than the one near
// its data, if it names one, counts as later by penalty.
func chooseRack(racks []rackState, n int, now time.Duration, near string, penalty time.Duration) []rackState {
	var fit []rackState
	for _, r := range racks {
		if r.whole >= n {
			fit = append(fit, r)
		}
	}
	at := func(r *rackState) time.Duration {
		if near != "" && r.name != near {
			return max(r.at, now) + penalty
		}
		return max(r.at, now)
	}
	slices.SortFunc(fit, func(x, y rackState) int {
		return cmp.Or(cmp.Compare(at(&x), at(&y)), cmp.Compare(y.good, x.good), cmp.Compare(x.name, y.name))
	})
	return fit
}

// setAt sets when there are slots for n tasks.
func (r *rackState) setAt(n int) {
	if r.at = forever; len(r.openings) >= n {
		slices.Sort(r.openings)
		r.at = r.openings[n-1]
	}
}

// seekRack chooses the rack that a gang seeks, or that it may start on several.
func (e *Engine) seekRack(s *step) {
	if !s.spec.SameRack || e.now < s.search.until {
		return
	}
	before := s.search
	s.search.until = e.now + feasiblePeriod
	racks, all, idle := e.rackStates(s)
	switch {
	case all.free < s.spec.Count:
		s.search.roomSince, s.search.gaveUp = 0, false
	case s.search.roomSince == 0:
		s.search.roomSince = e.now
	}
	longer := scale(e.estimate(s), e.o.Bounds.spreadFactor()-1)
	if longer <= 0 {
		longer = idleRackWait // the caller has given no run time
	}
	fit := chooseRack(racks, s.spec.Count, e.now, s.spec.DataRack, longer)
	if i := slices.IndexFunc(fit, func(r rackState) bool { return r.name == before.rack }); i > 0 && s.advice != nil && s.advice.inFlight > 0 {
		fit = slices.Insert(slices.Delete(slices.Clone(fit), i, i+1), 0, fit[i]) // its tickets are on their way
	}
	why := e.whySpread(s, fit, all.at, longer, idle)
	s.search.rack, s.search.spread, s.search.next = "", why != "", nil
	if why == "" {
		s.search.rack = fit[0].name
		for _, r := range fit[1:] {
			if r.at <= e.now {
				s.search.next = append(s.search.next, r.name)
			}
		}
		why = fmt.Sprintf("%s has %d slots for %d tasks, of which %d are free", fit[0].name, fit[0].whole, s.spec.Count, fit[0].free)
	}
	if before.since == 0 || before.rack != s.search.rack || before.spread != s.search.spread {
		s.search.since = e.now
		s.reservedAt = 0 // it was made for another rack
		what := "gang seeks a rack"
		if s.search.spread {
			what = "gang may start on several racks"
		}
		e.decide(Decision{What: what, Task: s.id(), Why: why, Age: e.now - s.openedAt})
	}
}

// whySpread returns why a gang is to start on several racks, where there are slots for it from anywhere on; "" if it is to
// seek the first of the racks that fit it. longer is how much longer it takes on several.
func (e *Engine) whySpread(s *step, fit []rackState, anywhere, longer time.Duration, idle bool) string {
	room := s.search.roomSince > 0
	switch {
	case len(fit) == 0:
		return "no rack can hold it"
	case room && (s.search.gaveUp || e.now-s.search.roomSince >= longer):
		s.search.gaveUp = true
		return "it has waited for a rack for as long as that is worth"
	case room && idle && e.rackIsLate(s, &fit[0]):
		s.search.gaveUp = true
		return "the next answer about a rack would come too late"
	case !room && fit[0].at < forever && fit[0].at-anywhere > longer:
		return "no rack is expected to have room in time"
	}
	return ""
}

// rackIsLate reports whether a gang that could start on several racks of an idle cell has to, so that it starts within
// startPromise: whether its rack has room, or the next answer about it is expected, only after the moment at which tickets
// for several racks have to be requested.
func (e *Engine) rackIsLate(s *step, r *rackState) bool {
	last := s.search.roomSince + startPromise - startGrace
	next := e.now
	if r.at < forever {
		next = max(next, r.at)
	}
	if s.job.spec.Queue.Advice != nil {
		last -= s.callCost(s.spec.Count)
		next = max(next, e.nextAnswer(s, r))
	}
	return next > last
}

// nextAnswer returns when the step's calls for advice are expected to be answered, or, if there are none, one that it could
// send now about a rack.
func (e *Engine) nextAnswer(s *step, r *rackState) (at time.Duration) {
	if s.advice == nil || s.advice.inFlight == 0 {
		return e.now + s.callCost(r.unknown) + answerGrace
	}
	for _, proxy := range e.proxies {
		for _, call := range proxy.calls {
			if call.s == s {
				at = max(at, call.sent+call.cost+answerGrace)
			}
		}
	}
	return at
}

// rackStates returns what each rack, and all of them together, offer a gang, and whether most of its service is idle,
// with room for the gang twice over.
func (e *Engine) rackStates(s *step) (racks []rackState, all rackState, idle bool) {
	need, limit, share := s.spec.Need(), s.perWorker(s.spec.Count), e.goodShare(s.job.spec.Queue.Name)
	for _, w := range e.workerList {
		if !w.mayBeUsed() || !e.suits(s, w) || !w.goodFor(s) || w.leftForLong(e.now, leaseBound(e.o.Bounds.Lease)) {
			continue
		}
		i := slices.IndexFunc(racks, func(r rackState) bool { return r.name == w.rack })
		if i < 0 {
			i = len(racks)
			racks = append(racks, rackState{name: w.rack})
		}
		r := &racks[i]
		r.whole += need.Times(w.Capacity.Sub(w.lasting()), limit)
		if !e.eligible(s, w) {
			continue
		}
		free := e.capacityFor(s, w, need, limit)
		good := float64(free)
		if s.advice != nil && s.advice.verdictOf(w) == unknown {
			good *= share
			r.unknown++
		}
		openings := e.openingsOn(s, w, limit)
		for _, x := range []*rackState{r, &all} {
			x.free += free
			x.good += good
			x.openings = append(x.openings, openings...)
		}
	}
	for i := range racks {
		racks[i].setAt(s.spec.Count)
	}
	all.setAt(s.spec.Count)
	return racks, all, all.free >= 2*s.spec.Count && e.mostlyIdle(s.job.spec.Queue.Service)
}

// leftForLong reports whether a worker gets no runs for long: it leaves, or has been silent for longer than a lease.
func (w *worker) leftForLong(now, lease time.Duration) bool {
	return w.removed || w.Draining || (w.misses > 0 && now-w.answered > lease)
}
