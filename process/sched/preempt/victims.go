package preempt

import (
	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/sched/filter"
	"fennelshunt.example/fennelshunt/process/sched/snapshot"
	"fennelshunt.example/fennelshunt/version/spec"
)

// Weights of lost work, which is measured in seconds of a whole VM.
const (
	// startCost is lost with each victim however young: its start and its wait.
	startCost = 1.0
	// serviceCost is lost with an instance: callers notice at once.
	serviceCost = 600.0
)

// victim is a task that may be ended.
type victim struct {
	task *snapshot.Task
	size spec.Resources
	lost float64
}

func (p *plan) decision() snapshot.Decision {
	refs := make([]worker.Ref, len(p.victims))
	for i := range p.victims {
		refs[i] = p.victims[i].task.Ref()
	}
	return snapshot.Decision{Worker: p.worker.ID, Partition: p.worker.Partition, Victims: refs}
}

// eligible applies the filters that the end of victims does not change.
func eligible(v *snapshot.View, a *snapshot.Ask, w *snapshot.Worker) bool {
	for _, f := range []filter.Filter{filter.Zone, filter.Rack, filter.TooSmall, filter.Usable, filter.Avoid, filter.MaxPerWorker} {
		if f(v, a, w) != "" {
			return false
		}
	}
	return true
}

// victims lists the tasks on a worker up to a class that may be ended. The list
// is only good until the next call.
func (s *search) victims(w *snapshot.Worker, rank int) []victim {
	s.buffer = s.buffer[:0]
	for i := range w.Tasks {
		g := w.Tasks[i].Group()
		if g.Class.Rank() <= rank && g.Preemptible(s.ask.Class) {
			s.buffer = append(s.buffer, victim{&w.Tasks[i], g.Size, s.lost(&w.Tasks[i], &g, w)})
		}
	}
	return s.buffer
}

// lost is the work that ends with a task: its share of the VM times its age.
// A gang makes no progress without any one of its tasks, so that the work of
// all is taken to be lost.
func (s *search) lost(t *snapshot.Task, g *snapshot.Group, w *snapshot.Worker) float64 {
	cost := dominantShare(g.Size, w.Capacity) * t.Age(s.now).Seconds()
	switch g.Kind {
	case spec.Gang:
		cost *= float64(s.gangSize(g.Job))
	case spec.Service:
		cost += serviceCost
	}
	return startCost + cost
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

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
