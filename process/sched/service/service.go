// Package service places long-running instances so that the failure of a zone, a
// rack or a VM affects as few of them as possible. It chooses the zone with the
// fewest instances of the job, then the rack, then the worker, and then the
// tightest fit. Instances of other generations only break ties: during a rolling
// replacement the old instances are about to be stopped, and spreading around them
// would leave the new ones unevenly distributed.
package service

import (
	"cmp"

	"fennelshunt.example/fennelshunt/process/sched/filter"
	"fennelshunt.example/fennelshunt/process/sched/score"
	"fennelshunt.example/fennelshunt/process/sched/snapshot"
)

// SampleSize limits how many feasible workers are scored among equally loaded
// racks. If there are more, the spread over zones and racks is still optimal, and
// only the choice of the worker may not be.
const SampleSize = 512

// Place returns the best worker for the ask, or false if it fits on none.
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

// candidate is a feasible worker with the keys by which candidates are ordered.
type candidate struct {
	worker  *snapshot.Worker
	tasks   int
	packing float64
}

func (c candidate) compare(o candidate) int {
	return cmp.Or(cmp.Compare(c.tasks, o.tasks), cmp.Compare(c.packing, o.packing),
		cmp.Compare(c.worker.ID, o.worker.ID))
}

// best returns the best feasible worker in a group of equally loaded racks, or nil.
func (s *search) best(g *group) *snapshot.Worker {
	var best candidate
	scored := 0
	s.each(g, func(rack int32) bool {
		for _, i := range s.view.Racks()[rack].Workers {
			w := s.view.Worker(i)
			if !s.fits(w) {
				continue
			}
			scored++
			if c := s.rate(w); best.worker == nil || c.compare(best) < 0 {
				best = c
			}
		}
		return scored < SampleSize
	})
	return best.worker
}

// fits checks the free capacity before the other filters, as it rules out most
// workers.
func (s *search) fits(w *snapshot.Worker) bool {
	return s.ask.Size.Fits(w.Free()) && filter.Check(s.view, s.ask, w) == ""
}

func (s *search) rate(w *snapshot.Worker) candidate {
	return candidate{w, w.CountJob(s.ask.Task.Job), s.rater.Worker(s.view, w)}
}
