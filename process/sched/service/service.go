// Package service places long-running instances so that the loss of a zone, a
// rack or a VM takes away as few of them as possible: first the zone with the
// fewest instances of the job, then the rack, then the worker, then the tightest
// fit. Only instances of the ask's generation count at first: during a rolling
// replacement the earlier ones are about to go, and spreading around them would
// leave the new ones lopsided. They decide between equals.
package service

import (
	"cmp"
	"slices"

	"fennelshunt.example/fennelshunt/process/sched/filter"
	"fennelshunt.example/fennelshunt/process/sched/score"
	"fennelshunt.example/fennelshunt/process/sched/snapshot"
	"fennelshunt.example/fennelshunt/version/spec"
)

// Place returns the best worker for the ask; false when none has room.
func Place(v *snapshot.View, a *snapshot.Ask) (snapshot.Decision, bool) {
	s := newSearch(v, a)
	for _, group := range s.domains() {
		if w := s.best(group); w != nil {
			return snapshot.Decision{Worker: w.ID, Partition: w.Partition}, true
		}
	}
	return snapshot.Decision{}, false
}

// SampleSize bounds how many feasible workers are rated among the racks that
// have equally few instances. Beyond it the spread is still exact and only the
// fit may be worse than the best.
const SampleSize = 512

// search is the state of one decision.
type search struct {
	view  *snapshot.View
	ask   *snapshot.Ask
	count Counts
}

func newSearch(v *snapshot.View, a *snapshot.Ask) *search {
	return &search{view: v, ask: a, count: Count(v, a.Task)}
}

// domain is a rack with how loaded it and its zone are.
type domain struct {
	rack int32
	load Load
}

// domains returns the racks that the constraints allow in groups of equal
// load, the least loaded first.
func (s *search) domains() [][]domain {
	var all []domain
	for i, rack := range s.view.Racks() {
		if filter.ZoneAllowed(s.ask, rack.Zone) && filter.RackAllowed(s.ask, rack.Name) {
			load := s.count.Rack(int32(i), rack.Zone)
			if s.ask.Constraints.Spread == spec.SpreadRack {
				load.ZoneTasks, load.ZoneOld = 0, 0
			}
			all = append(all, domain{int32(i), load})
		}
	}
	slices.SortStableFunc(all, func(a, b domain) int { return a.load.Compare(b.load) })
	return grouped(all)
}

func grouped(all []domain) [][]domain {
	var groups [][]domain
	for start := 0; start < len(all); {
		end := start + 1
		for end < len(all) && all[end].load == all[start].load {
			end++
		}
		groups = append(groups, all[start:end])
		start = end
	}
	return groups
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
func (s *search) best(group []domain) *snapshot.Worker {
	var best candidate
	seen := 0
	for _, d := range group {
		for _, i := range s.view.Racks()[d.rack].Workers {
			w := s.view.Worker(i)
			if !s.fits(w) {
				continue
			}
			c := s.rate(w)
			if best.worker == nil || c.compare(best) < 0 {
				best = c
			}
			seen++
		}
		if seen >= SampleSize {
			break
		}
	}
	return best.worker
}

// fits checks room before the other filters, as most workers fail by it.
func (s *search) fits(w *snapshot.Worker) bool {
	return s.ask.Size.Fits(w.Free()) && filter.Check(s.view, s.ask, w) == ""
}

func (s *search) rate(w *snapshot.Worker) candidate {
	return candidate{w, w.CountJob(s.ask.Task.Job), score.PackingWorker(s.view, s.ask, w)}
}
