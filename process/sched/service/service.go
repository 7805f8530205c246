// Package service places long-running instances so that the loss of a zone, a
// rack or a VM takes away as few of them as possible: first the zone with the
// fewest instances of the job, then the rack, then the worker, then the tightest
// fit. Only instances of the ask's generation count at first: during a rolling
// replacement the earlier ones are about to go, and spreading around them would
// leave the new ones lopsided. They decide between equals.
package service

import (
	"cmp"

	"fennelshunt.example/fennelshunt/process/sched/filter"
	"fennelshunt.example/fennelshunt/process/sched/score"
	"fennelshunt.example/fennelshunt/process/sched/snapshot"
)

// SampleSize bounds how many feasible workers are rated among racks that are
// equally loaded. Beyond it the spread is still exact and only the fit may be
// worse than the best.
const SampleSize = 512

// Place returns the best worker for the ask; false when none has room.
func Place(v *snapshot.View, a *snapshot.Ask) (snapshot.Decision, bool) {
	s := search{view: v, ask: a, count: countOf(v, a), rater: score.NewRater(v, a)}
	for _, g := range s.groups() {
		if w := s.best(g); w != nil {
			return snapshot.Decision{Worker: w.ID, Partition: w.Partition}, true
		}
	}
	return snapshot.Decision{}, false
}

// search is the state of one decision.
type search struct {
	view *snapshot.View
	ask  *snapshot.Ask
	count
	rater score.Rater
}

// candidate is a feasible worker with what decides between them.
type candidate struct {
	worker  *snapshot.Worker
	tasks   int
	packing float64
}

func (c candidate) compare(o candidate) int {
	return cmp.Or(cmp.Compare(c.tasks, o.tasks), cmp.Compare(c.packing, o.packing),
		cmp.Compare(c.worker.ID, o.worker.ID))
}

// best returns the best feasible worker of racks that are equally loaded.
func (s *search) best(g *group) *snapshot.Worker {
	var best candidate
	seen := 0
	s.each(g, func(rack int32) bool {
		for _, i := range s.view.Racks()[rack].Workers {
			w := s.view.Worker(i)
			if !s.fits(w) {
				continue
			}
			seen++
			if c := s.rate(w); best.worker == nil || c.compare(best) < 0 {
				best = c
			}
		}
		return seen < SampleSize
	})
	return best.worker
}

// fits checks room before the other filters, as most workers fail by it.
func (s *search) fits(w *snapshot.Worker) bool {
	return s.ask.Size.Fits(w.Free()) && filter.Check(s.view, s.ask, w) == ""
}

func (s *search) rate(w *snapshot.Worker) candidate {
	return candidate{w, w.CountJob(s.ask.Task.Job), s.rater.Worker(s.view, w)}
}
