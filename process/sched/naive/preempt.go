package naive

import (
	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/process/sched/snapshot"
	"fennelshunt.example/fennelshunt/version/spec"
)

// Loss is the cost of a set of victims: the rank of the highest class among them,
// and the work lost, in seconds of a whole VM.
type Loss struct {
	Rank int
	Work float64
}

// Less reports whether l is the lower loss.
func (l Loss) Less(o Loss) bool {
	return l.Rank < o.Rank || (l.Rank == o.Rank && l.Work < o.Work)
}

// Preempt returns the lowest loss with which the ask can be placed, trying every set
// of victims on every worker, or false if no set suffices.
func (s *Scheduler) Preempt(a *snapshot.Ask) (Loss, bool) {
	var best Loss
	found := false
	for i := range s.Workers {
		w := &s.Workers[i]
		for set := 0; set < 1<<len(w.Tasks); set++ {
			loss, ok := s.without(a, w, func(t int) bool { return set&(1<<t) != 0 })
			if ok && (!found || loss.Less(best)) {
				best, found = loss, true
			}
		}
	}
	return best, found
}

// LossOf returns the loss of the given victims on a worker, or false if they must not
// be preempted or do not free enough.
func (s *Scheduler) LossOf(a *snapshot.Ask, id worker.ID, victims []worker.Ref) (Loss, bool) {
	w := s.Worker(id)
	found := 0
	loss, ok := s.without(a, w, func(t int) bool {
		for _, v := range victims {
			if w.Tasks[t].Ref == v {
				found++
				return true
			}
		}
		return false
	})
	return loss, ok && found == len(victims)
}

func (s *Scheduler) without(a *snapshot.Ask, w *plan.WorkerState, victim func(int) bool) (Loss, bool) {
	var loss Loss
	after := *w
	for t := range w.Tasks {
		task := &w.Tasks[t]
		if !victim(t) {
			continue
		}
		if task.NonIdempotent || task.Class.Rank() >= a.Class.Rank() {
			return loss, false
		}
		loss.Rank = max(loss.Rank, task.Class.Rank())
		loss.Work += s.work(task, w)
		after.Reserved = after.Reserved.Sub(task.Size)
	}
	return loss, s.Fits(a, &after)
}

// work returns the work that is lost with a task: one second for the start, plus its
// age times its dominant share of the VM. For a gang the latter is multiplied by the
// number of its tasks; for an instance of a service ten minutes are added.
func (s *Scheduler) work(t *plan.RunningTask, w *plan.WorkerState) float64 {
	share := max(float64(t.Size.MilliCPU)/float64(w.Capacity.MilliCPU), float64(t.Size.MemoryMB)/float64(w.Capacity.MemoryMB))
	if w.Capacity.Accelerators > 0 {
		share = max(share, float64(t.Size.Accelerators)/float64(w.Capacity.Accelerators))
	}
	work := share * float64(t.StartedMillis) / 1000
	switch t.Kind {
	case spec.Gang:
		n := 0
		for i := range s.Workers {
			n += countJob(&s.Workers[i], t.Ref.Task.Job)
		}
		work *= float64(n)
	case spec.Service:
		work += 600
	}
	return work + 1
}
