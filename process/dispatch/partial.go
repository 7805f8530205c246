package dispatch

import "time"

// Gangs of which an earlier leader started a part only.
//
// Load pattern: a leader is lost, or replaced because it falls behind, between the
// starts of a gang's members. What goes wrong without it: those that are there wait for
// the others until the workers end them, with their room taken, and the gang begins
// seconds later than it could.
const (
	// partialShare of the time for which members wait for each other may pass until a
	// gang that lacks members is stopped: they may be on workers that have not
	// answered yet, which takes partialSlow as long while some have not.
	partialShare = 0.2
	partialSlow  = 2
)

// stopPartialGangs stops gangs that were taken over without all of their members, and have
// not begun to work.
func (e *Engine) stopPartialGangs() {
	wait := scale(e.o.Bounds.Gang, partialShare)
	if e.unresolved > 0 {
		wait *= partialSlow
	}
	for _, s := range e.ready {
		if since, partial := s.partialSince(); partial && e.now-since >= wait {
			e.stopGang(s, "members of it were never started")
		}
	}
}

// partialSince reports whether only some of a gang's members are there and none has
// begun to work, which takes all of them, and since when.
func (s *step) partialSince() (since time.Duration, partial bool) {
	if !s.spec.Gang || s.gang.stopping || len(s.pending) == 0 {
		return 0, false
	}
	for i := range s.tasks {
		alloc := s.tasks[i].alloc
		if alloc == nil {
			continue
		}
		if alloc.percent > 0 {
			return 0, false
		}
		if !partial || alloc.sent < since {
			since = alloc.sent
		}
		partial = true
	}
	return since, partial
}
