// Package preempt frees capacity for a task by preempting tasks of lower classes:
// of the lowest classes that suffice, and among those the tasks that lose the
// least work. Tasks of the same or a higher class are never preempted, nor are
// non-idempotent tasks, which cannot be started again and would be lost.
//
// How a victim ends is decided by the owner of the partition, which checkpoints it if
// possible and otherwise stops it. Throttling is no alternative, as it does not
// free reserved capacity.
package preempt

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"fennelshunt.example/fennelshunt/process/sched/snapshot"
	"fennelshunt.example/fennelshunt/version/spec"
)

// SampleSize limits how many workers on which preemption is possible are compared.
// If the cell has no more of them, the choice is optimal; otherwise it is the best
// of a sample, which starts at an index derived from the task, so that urgent tasks
// of several schedulers do not all choose the same workers.
const SampleSize = 512

// Place chooses a worker and the victims there. It returns false when no worker can
// be freed for the ask.
func Place(v *snapshot.View, a *snapshot.Ask) (snapshot.Decision, bool) {
	s := search{view: v, ask: a, now: time.Now(), gangs: map[string]int{}}
	v.AllFrom(xxhash.Sum64String(a.Task.String()), func(w *snapshot.Worker) bool {
		s.consider(w)
		return s.compared < SampleSize
	})
	if s.best.worker == nil {
		return snapshot.Decision{}, false
	}
	return s.best.decision(), true
}

// plan is a set of victims that frees enough on one worker.
type plan struct {
	worker  *snapshot.Worker
	victims []victim
	rank    int // of the highest class among the victims
	cost    float64
}

// compare orders plans by the rank of the victims and then by the work lost.
func (p *plan) compare(o *plan) int {
	return cmp.Or(cmp.Compare(p.rank, o.rank), cmp.Compare(p.cost, o.cost))
}

// search is the state of one decision.
type search struct {
	view     *snapshot.View
	ask      *snapshot.Ask
	now      time.Time
	gangs    map[string]int // cached number of tasks per gang
	compared int
	best     plan
	buffer   []victim // reused for each worker
	ordered  []victim // reused for each worker
}

// consider computes a worker's plan and records it if it is the best so far.
func (s *search) consider(w *snapshot.Worker) {
	missing := s.ask.Size.Sub(w.Free())
	rank, ok := s.lowestRank(w, missing)
	if !ok || !eligible(s.view, s.ask, w) {
		return
	}
	s.compared++
	if s.best.worker != nil && rank > s.best.rank {
		return
	}
	candidates := s.victims(w, rank)
	if s.best.worker != nil && rank == s.best.rank && lowerBound(candidates, missing) >= s.best.cost {
		return
	}
	chosen := s.choose(candidates, missing)
	p := plan{worker: w, rank: rank, cost: totalCost(chosen)}
	if s.best.worker == nil || p.compare(&s.best) < 0 {
		p.victims = slices.Clone(chosen)
		s.best = p
	}
}

// lowestRank returns the lowest rank such that preempting tasks up to it frees
// enough, or false if preempting all preemptible tasks does not.
func (s *search) lowestRank(w *snapshot.Worker, missing spec.Resources) (int, bool) {
	for _, by := range []spec.Class{spec.Normal, spec.High, spec.Urgent} {
		if by.Rank() <= s.ask.Class.Rank() && missing.Fits(w.Preemptible(by)) {
			return by.Rank() - 1, true
		}
	}
	return 0, missing.Fits(spec.Resources{})
}
