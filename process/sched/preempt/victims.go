package preempt

import (
	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/sched/filter"
	"fennelshunt.example/fennelshunt/process/sched/snapshot"
	"fennelshunt.example/fennelshunt/version/spec"
)

// Costs of a victim in addition to its lost work, in seconds of a whole VM.
const (
	// startCost is the cost of any victim however young: its start and its wait.
	startCost = 1.0
	// serviceCost is the additional cost of an instance of a service, whose loss
	// callers notice immediately.
	serviceCost = 600.0
)

// victim is a task that may be preempted.
type victim struct {
	task *snapshot.Task
	size spec.Resources
	cost float64
}

func (p *plan) decision() snapshot.Decision {
	refs := make([]worker.Ref, len(p.victims))
	for i := range p.victims {
		refs[i] = p.victims[i].task.Ref()
	}
	return snapshot.Decision{Worker: p.worker.ID, Partition: p.worker.Partition, Victims: refs}
}

// eligible applies the filters whose result does not depend on the victims.
func eligible(v *snapshot.View, a *snapshot.Ask, w *snapshot.Worker) bool {
	for _, f := range []filter.Filter{filter.Zone, filter.Rack, filter.TooSmall, filter.Usable, filter.Avoid, filter.MaxPerWorker} {
		if f(v, a, w) != "" {
			return false
		}
	}
	return true
}

// victims returns the preemptible tasks on a worker up to a rank. The slice is valid
// only until the next call.
func (s *search) victims(w *snapshot.Worker, rank int) []victim {
	s.buffer = s.buffer[:0]
	for i := range w.Tasks {
		g := w.Tasks[i].Group()
		if g.Class.Rank() <= rank && g.Preemptible(s.ask.Class) {
			s.buffer = append(s.buffer, victim{&w.Tasks[i], g.Size, s.cost(&w.Tasks[i], &g, w)})
		}
	}
	return s.buffer
}

// cost returns the work that is lost with a task: its share of the VM times its
// age. A gang makes no progress if any one of its tasks is missing, so the work of
// all its tasks counts as lost.
func (s *search) cost(t *snapshot.Task, g *snapshot.Group, w *snapshot.Worker) float64 {
	work := dominantShare(g.Size, w.Capacity) * t.Age(s.now).Seconds()
	switch g.Kind {
	case spec.Gang:
		work *= float64(s.gangSize(g.Job))
	case spec.Service:
		work += serviceCost
	}
	return startCost + work
}

func (s *search) gangSize(job string) int {
	n, ok := s.gangs[job]
	if !ok {
		n = s.view.JobTasks(job)
		s.gangs[job] = n
	}
	return n
}

func dominantShare(size, capacity spec.Resources) float64 {
	return max(share(size.MilliCPU, capacity.MilliCPU), share(size.MemoryMB, capacity.MemoryMB),
		share(size.Accelerators, capacity.Accelerators))
}

func share(amount, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(amount) / float64(whole)
}
