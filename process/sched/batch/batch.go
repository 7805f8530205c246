// Package batch places independent tasks by best fit: on the worker that is left
// with the least free capacity, and with free CPU and memory in balance, so that
// whole VMs stay free for large tasks.
package batch

import (
	"math"

	"fennelshunt.example/fennelshunt/process/sched/filter"
	"fennelshunt.example/fennelshunt/process/sched/score"
	"fennelshunt.example/fennelshunt/process/sched/snapshot"
	"fennelshunt.example/fennelshunt/version/spec"
)

// SampleSize limits how many workers of one bucket of the index are scored. Up to
// this number the choice is optimal. In a larger bucket it is the best of a sample
// of workers whose free capacity differs by at most 1/snapshot.Levels in each
// dimension.
const SampleSize = 512

// Place returns the best worker for the ask, or false if it fits on none.
func Place(v *snapshot.View, a *snapshot.Ask) (snapshot.Decision, bool) {
	best, found := Best(v, a)
	if !found {
		return snapshot.Decision{}, false
	}
	w := v.Worker(best)
	return snapshot.Decision{Worker: w.ID, Partition: w.Partition}, true
}

// Best returns the index of the best worker, or false if the ask fits on none.
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

func (s *search) class(c *snapshot.WorkerClass) {
	s.ref = c.Reference
	c.Buckets(&s.ask.Size, s.visit, s.scan)
}

// visit reports whether a bucket may contain a better worker than the best so far.
func (s *search) visit(b snapshot.Bounds) bool {
	s.sampled = 0
	return s.rater.Bound(b, &s.ref) < s.score
}

func (s *search) scan(e *snapshot.Entry) bool {
	if !e.Fits(&s.ask.Size) {
		return true
	}
	rating := s.rater.Packing(e, &s.ref) + score.Locality(s.view.Affinity, e.Partition)
	if rating < s.score {
		if !filter.Pass(s.filters, s.view, s.ask, e.Worker) {
			return true // ruled out by a filter, so not part of the sample
		}
		s.best, s.score = e.Worker, rating
	}
	s.sampled++
	return s.sampled < SampleSize
}
