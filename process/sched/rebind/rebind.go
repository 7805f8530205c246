// Package rebind chooses another worker in the same rack for a task whose chosen
// worker no longer has enough free capacity. Schedulers that decide at the same time
// on the same snapshot choose the same best worker. The owner of the partition can
// only accept the first of them there, but mostly has free capacity for the others
// on other workers of the rack.
//
// Candidates are scored like in the other policies. Decisions that depend on more
// than the state of one rack are not changed: the zone and the rack, and whether a
// task that uses no accelerators is placed on a VM that has them.
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
	// Excluded is set if the worker cannot take the task although it is usable. It
	// still counts towards the demand in the rack.
	Excluded bool
}

// None is returned by Choose if no candidate can take the task.
const None = -1

// Choose returns the index of the best candidate for the ask, or None. If the ask
// is spread, that is the worker with the fewest tasks of its job, then the tightest
// fit, then the lowest ID. accelerators is whether the originally chosen worker has
// accelerators; if it has none, a task that uses none is not moved to a worker with
// accelerators.
func Choose(a *snapshot.Ask, accelerators bool, candidates []Candidate) int {
	rater := score.RaterOf(a, demand(candidates))
	best, found := None, rating{}
	for i := range candidates {
		c := &candidates[i]
		if c.Excluded || !a.Size.Fits(c.Free) || slices.Contains(a.Avoid, c.ID) {
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

// demand returns the demand in the rack.
func demand(candidates []Candidate) score.Demand {
	var free, reference spec.Resources
	for i := range candidates {
		free = free.Add(candidates[i].Free)
		reference = reference.Add(snapshot.Reference(candidates[i].Capacity))
	}
	return score.DemandOf(free, reference)
}

// rating holds the keys by which candidates are ordered.
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
