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

// Remaining returns for how long a running task is expected to go on; false
// when nothing is known or it runs without end, as an instance does.
type Remaining func(t *snapshot.Task) (time.Duration, bool)

// Shadow is the reservation of a gang that has to wait. The zero value keeps
// nothing.
type Shadow struct {
	// Job is the gang's; its own tasks are not kept off.
	Job string
	// Start is the earliest time at which all tasks are expected to fit.
	Start time.Time
	kept  map[worker.ID]spec.Resources
}

// Plan looks for the earliest time at which the gang fits, given when running
// tasks are expected to end, and keeps capacity for it. It reports false when
// the tasks whose end is known do not make enough room. The asks must be alike.
//
// Only the oldest waiting gang should be kept capacity for: it then starts no
// later than planned, and small work loses no more than that gang's share.
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
	return Shadow{Job: asks[0].Task.Job, Start: now.Add(after), kept: p.keep(len(asks))}, true
}

// Kept returns what the worker keeps from an ask. A task that is expected to
// end before the gang starts is kept off nothing. Any other may only use what
// the gang will not need beyond what ends by then.
func (s *Shadow) Kept(a *snapshot.Ask, id worker.ID) spec.Resources {
	kept, ok := s.kept[id]
	if !ok || a.Task.Job == s.Job {
		return spec.Resources{}
	}
	if a.RunTime > 0 && !time.Now().Add(a.RunTime).After(s.Start) {
		return spec.Resources{}
	}
	return kept
}

// Workers returns how many workers keep capacity.
func (s *Shadow) Workers() int { return len(s.kept) }

// IDs lists the workers that keep capacity, in order.
func (s *Shadow) IDs() []worker.ID { return slices.Sorted(maps.Keys(s.kept)) }

// planned is a worker as it is expected to be at the time looked at.
type planned struct {
	worker *snapshot.Worker
	free   spec.Resources // now
	ended  spec.Resources // what has ended since now
	places int
	// endings[first:last] are those of the worker's tasks.
	first, last int
}

// ending is the expected end of a task, after now.
type ending struct {
	after time.Duration // rounded up to resolution
	size  spec.Resources
}

// resolution of expected ends; estimates are far coarser.
const resolution = time.Second

type planner struct {
	ask     *snapshot.Ask
	workers []planned
	endings []ending
}

// collect takes in the allowed workers and the expected ends of their tasks.
func (p *planner) collect(v *snapshot.View, remaining Remaining) {
	v.All(func(w *snapshot.Worker) bool {
		if !lasting(v, p.ask, w) {
			return true
		}
		pw := planned{worker: w, free: w.Free(), first: len(p.endings)}
		for i := range w.Tasks {
			if left, ok := remaining(&w.Tasks[i]); ok {
				p.endings = append(p.endings, ending{roundUp(left), w.Tasks[i].Size()})
			}
		}
		pw.last = len(p.endings)
		p.workers = append(p.workers, pw)
		return true
	})
}

// lasting applies the filters that the end of tasks does not change.
func lasting(v *snapshot.View, a *snapshot.Ask, w *snapshot.Worker) bool {
	for _, f := range []filter.Filter{filter.Zone, filter.Rack, filter.TooSmall, filter.Usable, filter.Avoid} {
		if f(v, a, w) != "" {
			return false
		}
	}
	return true
}

// places returns how many tasks fit after a time. It leaves the workers as they
// are expected to be then.
func (p *planner) places(after time.Duration) int {
	n := 0
	for i := range p.workers {
		w := &p.workers[i]
		w.ended = spec.Resources{}
		for j := w.first; j < w.last; j++ {
			if p.endings[j].after <= after {
				w.ended = w.ended.Add(p.endings[j].size)
			}
		}
		w.places = limited(p.ask, w.worker, times(p.ask.Size, w.free.Add(w.ended)))
		n += w.places
	}
	return n
}

// earliest returns the least time after which n tasks fit. It bisects: the
// number of places only grows with time, and a dozen passes over the endings
// cost less than sorting them.
func (p *planner) earliest(n int) (time.Duration, bool) {
	var most time.Duration
	for i := range p.endings {
		most = max(most, p.endings[i].after)
	}
	if p.places(most) < n {
		return 0, false
	}
	steps := sort.Search(int(most/resolution), func(t int) bool { return p.places(time.Duration(t)*resolution) >= n })
	after := time.Duration(steps) * resolution
	p.places(after)
	return after, true
}

func roundUp(d time.Duration) time.Duration {
	return (max(0, d) + resolution - 1) / resolution * resolution
}

// keep takes the workers with the most places, so that few keep anything.
func (p *planner) keep(n int) map[worker.ID]spec.Resources {
	slices.SortFunc(p.workers, func(a, b planned) int {
		return cmp.Or(cmp.Compare(b.places, a.places), strings.Compare(string(a.worker.ID), string(b.worker.ID)))
	})
	kept := map[worker.ID]spec.Resources{}
	for i := 0; i < len(p.workers) && n > 0; i++ {
		w := &p.workers[i]
		used := min(n, w.places)
		n -= used
		kept[w.worker.ID] = positive(p.ask.Size.Times(int64(used)).Sub(w.ended))
	}
	return kept
}

// positive replaces negative dimensions by zero.
func positive(r spec.Resources) spec.Resources {
	return spec.Resources{
		MilliCPU: max(0, r.MilliCPU), MemoryMB: max(0, r.MemoryMB), Accelerators: max(0, r.Accelerators),
	}
}
