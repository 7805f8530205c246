// Package batch places independent tasks as tightly as it can: the worker on
// which the least stays free, with what stays free in balance, so that large
// tasks still find whole VMs.
package batch

import (
	"math"

	"fennelshunt.example/fennelshunt/process/sched/filter"
	"fennelshunt.example/fennelshunt/process/sched/score"
	"fennelshunt.example/fennelshunt/process/sched/snapshot"
	"fennelshunt.example/fennelshunt/version/spec"
)

// SampleSize bounds how many workers of one cell are rated. Up to this number
// the choice is the best; in a cell with more it is the best of so many whose
// free capacity is alike to 1/snapshot.Levels in each dimension.
const SampleSize = 512

// Place returns the best worker for the ask; false when none has room.
func Place(v *snapshot.View, a *snapshot.Ask) (snapshot.Decision, bool) {
	best, found := Best(v, a)
	if !found {
		return snapshot.Decision{}, false
	}
	w := v.Worker(best)
	return snapshot.Decision{Worker: w.ID, Partition: w.Partition}, true
}

// Best returns the position of the best worker.
func Best(v *snapshot.View, a *snapshot.Ask) (snapshot.Index, bool) {
	s := search{
		view: v, ask: a, filters: filter.ForRecord(v, a), rater: score.NewRater(v, a),
		best: -1, score: math.Inf(1),
	}
	for _, c := range v.Classes() {
		if filter.ZoneAllowed(a, c.Zone) {
			s.class(c)
		}
	}
	return s.best, s.best >= 0
}

// search is the state of one decision.
type search struct {
	view    *snapshot.View
	ask     *snapshot.Ask
	filters []filter.Filter
	rater   score.Rater
	best    snapshot.Index
	score   float64
	ref     spec.Resources
	sampled int
}

func (s *search) class(c *snapshot.Class) {
	s.ref = c.Reference
	c.Cells(&s.ask.Size, s.visit, s.scan)
}

// visit skips a cell that can not hold a better worker.
func (s *search) visit(b snapshot.Bounds) bool {
	s.sampled = 0
	return s.rater.Bound(b, &s.ref) < s.score
}

func (s *search) scan(e *snapshot.Entry) bool {
	if !e.Fits(&s.ask.Size) {
		return true
	}
	rating := s.rater.Packing(e, &s.ref) + score.Away(s.view.Home, e.Lane)
	if rating < s.score {
		if !filter.Pass(s.filters, s.view, s.ask, e.Worker) {
			return true // not part of the sample: it says nothing of the others
		}
		s.best, s.score = e.Worker, rating
	}
	s.sampled++
	return s.sampled < SampleSize
}
