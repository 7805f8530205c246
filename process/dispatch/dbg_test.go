package dispatch

import (
	"fmt"
	"time"
)

func (h *Host) dump() {
	done := make(chan struct{})
	h.post(h.term.Context(), func(e *Engine, now time.Duration) {
		defer close(done)
		fmt.Println("now", now, "ready", len(e.ready), "dirty", len(e.dirty), "writing", e.writing != nil, "unresolved", e.unresolved, "members", e.members, "stats", e.stats)
		for _, j := range e.jobs {
			if j.visible.Final() {
				continue
			}
			fmt.Println(j.id, j.state, j.visible, "dirty", j.dirty, j.version, j.saved)
			for _, s := range j.steps {
				fmt.Println("  step", s.number, "left", s.left, "pending", s.pending, "opened", s.opened, "live", s.live(), "gang", s.spec.Gang, s.gang, s.spec.Count, s.spec.Size)
				if s.advice != nil {
					fmt.Println("   advice", len(s.advice.good), len(s.advice.tickets), s.advice.asking, s.advice.wanted, s.advice.next)
				}
				for i := range s.tasks {
					if p := s.tasks[i].place; p != nil {
						fmt.Println("   place", i, *p)
					}
				}
			}
		}
		for _, w := range e.order {
			fmt.Println(w.ID, w.listed, w.kept, w.fenced, w.misses, w.asideUntil, w.trial, len(w.places), w.used, "seen", w.seen, "ack", w.ack, len(w.waiting), w.renewing, w.nextRenew)
		}
		for _, l := range e.lanes {
			fmt.Println("lane", l.member, l.busy != nil, l.failed)
		}
	})
	<-done
}
