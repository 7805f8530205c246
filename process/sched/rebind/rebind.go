// Package rebind chooses another worker of the same rack for a task whose
// worker has no room any more. Schedulers that decide at the same time on the
// same snapshot want the same best worker; the owner of the workers knows all
// but the first to be late, and mostly has room for them beside it.
//
// It rates by the scores of the other policies. What they know and the owner of
// a rack does not, it leaves as it was decided: the zone and the rack, and
// whether work that wants no accelerators goes to a VM that has them.
package rebind

import (
	"cmp"
	"slices"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/sched/score"
	"fennelshunt.example/fennelshunt/process/sched/snapshot"
	"fennelshunt.example/fennelshunt/version/spec"
)

// Candidate is a usable worker of the rack.
type Candidate struct {
	ID       worker.ID
	Capacity spec.Resources
	Free     spec.Resources
	// Tasks counts the tasks of the ask's job on the worker.
	Tasks int
	// Closed says that the worker does not take the task, although it is
	// usable. It still counts for how scarce each dimension is.
	Closed bool
}

// None is the position returned when no candidate takes the task.
const None = -1

// Choose returns the position of the best candidate for the ask: for one that
// is spread the worker with the fewest tasks of its job, then the tightest fit,
// then the lowest id. accelerators says whether the worker that was decided on
// has accelerators; where it has none, an ask without them does not move to a
// worker that has.
func Choose(a *snapshot.Ask, accelerators bool, candidates []Candidate) int {
	rater := score.RaterOf(a, demand(candidates))
	best, found := None, rating{}
	for i := range candidates {
		c := &candidates[i]
		if c.Closed || !a.Size.Fits(c.Free) || slices.Contains(a.Avoid, c.ID) {
			continue
		}
		if !accelerators && a.Size.Accelerators == 0 && c.Capacity.Accelerators > 0 {
			continue
		}
		if r := rate(a, &rater, c); best == None || r.compare(found) < 0 {
			best, found = i, r
		}
	}
	return best
}

// demand weighs the dimensions by the use of the rack.
func demand(candidates []Candidate) score.Demand {
	var free, reference spec.Resources
	for i := range candidates {
		free = free.Add(candidates[i].Free)
		reference = reference.Add(snapshot.Reference(candidates[i].Capacity))
	}
	return score.DemandOf(free, reference)
}

// rating orders candidates, the best first.
type rating struct {
	tasks   int
	packing float64
	id      worker.ID
}

func (r rating) compare(o rating) int {
	return cmp.Or(cmp.Compare(r.tasks, o.tasks), cmp.Compare(r.packing, o.packing), cmp.Compare(r.id, o.id))
}

func rate(a *snapshot.Ask, rater *score.Rater, c *Candidate) rating {
	reference := snapshot.Reference(c.Capacity)
	entry := snapshot.EntryOf(&snapshot.Worker{Capacity: c.Capacity, Reserved: c.Capacity.Sub(c.Free)})
	r := rating{packing: rater.Packing(&entry, &reference), id: c.ID}
	if a.Spreads() {
		r.tasks = c.Tasks
	}
	return r
}
