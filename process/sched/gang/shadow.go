package gang

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/sched/filter"
	"fennelshunt.example/fennelshunt/process/sched/snapshot"
	"fennelshunt.example/fennelshunt/version/spec"
)

// Remaining returns how much longer a running task is expected to run. It returns
// false if that is unknown or the task does not end, like an instance of a service.
type Remaining func(t *snapshot.Task) (time.Duration, bool)

// Shadow is the reservation of a gang that has to wait. The zero value reserves
// nothing.
type Shadow struct {
	// Job is the gang's job. Nothing is withheld from its own tasks.
	Job string
	// Start is the earliest time at which all tasks are expected to fit.
	Start    time.Time
	withheld map[worker.ID]spec.Resources
}

// Plan computes the earliest time at which the gang fits, given when running tasks
// are expected to end, and the capacity to reserve for it. It returns false when
// the tasks with a known end do not free enough. All asks must be interchangeable.
//
// Capacity should be reserved only for the oldest waiting gang: it then starts no
// later than planned, and other work loses no more than that gang's capacity.
func Plan(v *snapshot.View, asks []snapshot.Ask, now time.Time, remaining Remaining) (Shadow, bool) {
	if len(asks) == 0 {
		return Shadow{}, false
	}
	p := planner{ask: &asks[0]}
	p.collect(v, remaining)
	after, ok := p.earliest(len(asks))
	if !ok {
		return Shadow{}, false
	}
	return Shadow{Job: asks[0].Task.Job, Start: now.Add(after), withheld: p.withhold(len(asks))}, true
}

// Withheld returns the capacity of a worker that is withheld from an ask. Nothing
// is withheld from a task that is expected to end before the gang starts. From any
// other task it withholds what the gang needs on the worker beyond the capacity
// that running tasks are expected to free by then.
func (s *Shadow) Withheld(a *snapshot.Ask, id worker.ID) spec.Resources {
	withheld, ok := s.withheld[id]
	if !ok || a.Task.Job == s.Job {
		return spec.Resources{}
	}
	if a.RunTime > 0 && !time.Now().Add(a.RunTime).After(s.Start) {
		return spec.Resources{}
	}
	return withheld
}

// Workers returns the number of workers with reserved capacity.
func (s *Shadow) Workers() int { return len(s.withheld) }

// IDs returns the workers with reserved capacity, sorted.
func (s *Shadow) IDs() []worker.ID { return slices.Sorted(maps.Keys(s.withheld)) }

// projection is the expected state of a worker at the time being considered.
type projection struct {
	worker *snapshot.Worker
	free   spec.Resources // now
	freed  spec.Resources // by tasks that will have ended
	tasks  int            // number of the gang's tasks that will fit
	// completions[first:last] are those of the worker's tasks.
	first, last int
}

// completion is the expected end of a running task.
type completion struct {
	after time.Duration // from now, rounded up to resolution
	size  spec.Resources
}

// resolution is the granularity of expected completions; the estimates are far
// coarser.
const resolution = time.Second

type planner struct {
	ask         *snapshot.Ask
	workers     []projection
	completions []completion
}

// collect gathers the eligible workers and the expected completions of their tasks.
func (p *planner) collect(v *snapshot.View, remaining Remaining) {
	v.All(func(w *snapshot.Worker) bool {
		if !eligible(v, p.ask, w) {
			return true
		}
		pw := projection{worker: w, free: w.Free(), first: len(p.completions)}
		for i := range w.Tasks {
			if left, ok := remaining(&w.Tasks[i]); ok {
				p.completions = append(p.completions, completion{roundUp(left), w.Tasks[i].Size()})
			}
		}
		pw.last = len(p.completions)
		p.workers = append(p.workers, pw)
		return true
	})
}

// eligible applies the filters whose result does not depend on which tasks run.
func eligible(v *snapshot.View, a *snapshot.Ask, w *snapshot.Worker) bool {
	for _, f := range []filter.Filter{filter.Zone, filter.Rack, filter.TooSmall, filter.Usable, filter.Avoid} {
		if f(v, a, w) != "" {
			return false
		}
	}
	return true
}

// project computes the expected state of the workers after a time and returns how
// many tasks fit then.
func (p *planner) project(after time.Duration) int {
	n := 0
	for i := range p.workers {
		w := &p.workers[i]
		w.freed = spec.Resources{}
		for j := w.first; j < w.last; j++ {
			if p.completions[j].after <= after {
				w.freed = w.freed.Add(p.completions[j].size)
			}
		}
		w.tasks = limited(p.ask, w.worker, times(p.ask.Size, w.free.Add(w.freed)))
		n += w.tasks
	}
	return n
}

// earliest returns the earliest time after which n tasks fit. It uses binary
// search: the number of tasks that fit only grows with time, and a dozen passes
// over the completions cost less than sorting them.
func (p *planner) earliest(n int) (time.Duration, bool) {
	var most time.Duration
	for i := range p.completions {
		most = max(most, p.completions[i].after)
	}
	if p.project(most) < n {
		return 0, false
	}
	steps := sort.Search(int(most/resolution), func(t int) bool { return p.project(time.Duration(t)*resolution) >= n })
	after := time.Duration(steps) * resolution
	p.project(after)
	return after, true
}

func roundUp(d time.Duration) time.Duration {
	return (max(0, d) + resolution - 1) / resolution * resolution
}

// withhold returns the capacity to withhold per worker. It chooses the workers on
// which the most tasks fit, so that few workers are affected.
func (p *planner) withhold(n int) map[worker.ID]spec.Resources {
	slices.SortFunc(p.workers, func(a, b projection) int {
		return cmp.Or(cmp.Compare(b.tasks, a.tasks), strings.Compare(string(a.worker.ID), string(b.worker.ID)))
	})
	withheld := map[worker.ID]spec.Resources{}
	for i := 0; i < len(p.workers) && n > 0; i++ {
		w := &p.workers[i]
		used := min(n, w.tasks)
		n -= used
		withheld[w.worker.ID] = positive(p.ask.Size.Times(int64(used)).Sub(w.freed))
	}
	return withheld
}

// positive returns r with negative dimensions set to zero.
func positive(r spec.Resources) spec.Resources {
	return spec.Resources{
		MilliCPU: max(0, r.MilliCPU), MemoryMB: max(0, r.MemoryMB), Accelerators: max(0, r.Accelerators),
	}
}
