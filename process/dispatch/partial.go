package dispatch

import "time"

// Gangs of which an earlier leader started only some members.
//
// This happens when a leader fails, or is replaced because it falls behind, between the starts
// of a gang's members. If the successor left them alone, they would wait for the others until
// their workers end them, would use their capacity meanwhile, and the gang would start seconds
// later than it could.
const (
	// partialShare is the share of Bounds.Gang after which a gang that lacks members is
	// stopped: the missing ones may be on workers that have not answered yet. As long as there
	// are such workers it takes partialSlow times as long.
	partialShare = 0.2
	partialSlow  = 2
)

// stopPartialGangs stops gangs that were taken over without all of their members and have not
// made progress.
func (e *Engine) stopPartialGangs() {
	wait := scale(e.o.Bounds.Gang, partialShare)
	if e.unresolved > 0 {
		wait *= partialSlow
	}
	for _, s := range e.ready {
		if since, partial := s.partialSince(); partial && e.now-since >= wait {
			e.stopGang(s, "some of its members were never started")
		}
	}
}

// partialSince reports whether only some of a gang's members have an allocation and none has
// made progress, which takes all of them, and since when.
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
