// Package preempt makes room for urgent work by ending tasks of lower classes:
// the lowest class that will do, and of that the tasks with the least work to
// lose. Never chosen are tasks of the same or a higher class, and tasks that
// must not start twice, whose end would lose them for good.
//
// How a victim ends is up to the owner of its worker, which checkpoints where
// it can and stops where it can not; throttling frees no reserved capacity and
// so makes no room.
package preempt

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"fennelshunt.example/fennelshunt/process/sched/snapshot"
	"fennelshunt.example/fennelshunt/version/spec"
)

// SampleSize bounds how many workers with room to make are compared. Up to this
// number the choice is the best of the cell; beyond it is the best of as many
// workers, which start at a place drawn from the ask, so that urgent tasks of
// several schedulers do not all fall on the same ones.
const SampleSize = 512

// Place chooses a worker and the victims there; false when nothing can be freed.
func Place(v *snapshot.View, a *snapshot.Ask) (snapshot.Decision, bool) {
	s := search{view: v, ask: a, now: time.Now(), gangs: map[string]int{}}
	v.AllFrom(xxhash.Sum64String(a.Task.String()), func(w *snapshot.Worker) bool {
		s.consider(w)
		return s.seen < SampleSize
	})
	if s.best.worker == nil {
		return snapshot.Decision{}, false
	}
	return s.best.decision(), true
}

// plan is a way to make room on one worker.
type plan struct {
	worker  *snapshot.Worker
	victims []victim
	rank    int // the highest class among the victims
	lost    float64
}

// compare orders plans: the lower class first, then the less work lost.
func (p *plan) compare(o *plan) int {
	return cmp.Or(cmp.Compare(p.rank, o.rank), cmp.Compare(p.lost, o.lost))
}

// search is the state of one decision.
type search struct {
	view    *snapshot.View
	ask     *snapshot.Ask
	now     time.Time
	gangs   map[string]int // tasks of each gang met
	seen    int
	best    plan
	buffer  []victim // used for each worker in turn
	ordered []victim // likewise
}

// consider takes a worker's plan if it is better than the best so far.
func (s *search) consider(w *snapshot.Worker) {
	missing := s.ask.Size.Sub(w.Free())
	rank, ok := s.lowestRank(w, missing)
	if !ok || !eligible(s.view, s.ask, w) {
		return
	}
	s.seen++
	if s.best.worker != nil && rank > s.best.rank {
		return
	}
	candidates := s.victims(w, rank)
	if s.best.worker != nil && rank == s.best.rank && bound(candidates, missing) >= s.best.lost {
		return
	}
	chosen := s.choose(candidates, missing)
	p := plan{worker: w, rank: rank, lost: total(chosen)}
	if s.best.worker == nil || p.compare(&s.best) < 0 {
		p.victims = slices.Clone(chosen)
		s.best = p
	}
}

// lowestRank returns the lowest class up to which tasks have to end; false when
// ending all that may be ended is not enough.
func (s *search) lowestRank(w *snapshot.Worker, missing spec.Resources) (int, bool) {
	for _, by := range []spec.Class{spec.Normal, spec.High, spec.Urgent} {
		if by.Rank() <= s.ask.Class.Rank() && missing.Fits(w.Preemptible(by)) {
			return by.Rank() - 1, true
		}
	}
	return 0, missing.Fits(spec.Resources{})
}
