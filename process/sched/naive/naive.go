// Package naive is the reference scheduler against which package sched is tested
// and benchmarked. It scans every worker for every decision, recomputes everything
// each time, and has neither an index nor a cache. It defines the policies in their
// simplest form, so its choice is optimal by definition.
package naive

import (
	"math"
	"slices"
	"strings"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/process/sched/score"
	"fennelshunt.example/fennelshunt/process/sched/snapshot"
	"fennelshunt.example/fennelshunt/version/spec"
)

// Scheduler decides on the workers as they were last reported.
type Scheduler struct {
	Workers []plan.WorkerState
	// Locality, when set, is added to the packing score of a worker. It does not
	// affect services.
	Locality func(w *plan.WorkerState) float64
}

// New returns a scheduler on a copy of the workers.
func New(workers []plan.WorkerState) *Scheduler {
	s := &Scheduler{Workers: slices.Clone(workers)}
	for i := range s.Workers {
		s.Workers[i].Tasks = slices.Clone(workers[i].Tasks)
	}
	return s
}

// Fits reports whether the ask may run on a worker now.
func (s *Scheduler) Fits(a *snapshot.Ask, w *plan.WorkerState) bool {
	c := &a.Constraints
	switch {
	case w.Unusable != "", w.Removed:
		return false
	case len(c.Zones) > 0 && !slices.Contains(c.Zones, w.Zone):
		return false
	case len(c.Racks) > 0 && !slices.Contains(c.Racks, w.Rack):
		return false
	case slices.Contains(a.Avoid, w.ID):
		return false
	case c.MaxPerWorker > 0 && countJob(w, a.Task.Job) >= c.MaxPerWorker:
		return false
	}
	return a.Size.Fits(w.Capacity.Sub(w.Reserved))
}

func countJob(w *plan.WorkerState, job string) int {
	n := 0
	for i := range w.Tasks {
		if w.Tasks[i].Ref.Task.Job == job {
			n++
		}
	}
	return n
}

// Rater returns the function by which the batch policy scores workers for an ask; lower
// is better.
func (s *Scheduler) Rater(a *snapshot.Ask) func(w *plan.WorkerState) float64 {
	packing := s.packing(a)
	return func(w *plan.WorkerState) float64 {
		rating := packing(w)
		if s.Locality != nil {
			rating += s.Locality(w)
		}
		return rating
	}
}

func (s *Scheduler) packing(a *snapshot.Ask) func(w *plan.WorkerState) float64 {
	rater := score.RaterOf(a, s.demand())
	return func(w *plan.WorkerState) float64 {
		free := w.Capacity.Sub(w.Reserved)
		ref := snapshot.Reference(w.Capacity)
		e := snapshot.Entry{
			CPU: free.MilliCPU, Memory: free.MemoryMB, Accel: int16(free.Accelerators), Idle: w.Reserved.IsZero(),
		}
		return rater.Packing(&e, &ref)
	}
}

// demand returns the demand over all usable workers.
func (s *Scheduler) demand() score.Demand {
	var free, reference spec.Resources
	for i := range s.Workers {
		if w := &s.Workers[i]; w.Unusable == "" {
			free = free.Add(w.Capacity.Sub(w.Reserved))
			reference = reference.Add(snapshot.Reference(w.Capacity))
		}
	}
	return score.DemandOf(free, reference)
}

// PlaceBatch returns the feasible worker with the lowest score.
func (s *Scheduler) PlaceBatch(a *snapshot.Ask) (worker.ID, bool) {
	best, rating, rate := -1, math.Inf(1), s.Rater(a)
	for i := range s.Workers {
		if !s.Fits(a, &s.Workers[i]) {
			continue
		}
		if r := rate(&s.Workers[i]); r < rating {
			best, rating = i, r
		}
	}
	if best < 0 {
		return "", false
	}
	return s.Workers[best].ID, true
}

// Spread scores a worker like the service policy: instances of the ask's generation
// and then of other generations in its zone, the same in its rack, and then tasks of
// the job on the worker. Scores are compared element by element; lower is better.
func (s *Scheduler) Spread(a *snapshot.Ask, w *plan.WorkerState) [5]int {
	var counts [5]int
	for i := range s.Workers {
		other := &s.Workers[i]
		if other.Zone != w.Zone {
			continue
		}
		for j := range other.Tasks {
			task := other.Tasks[j].Ref.Task
			if task.Job != a.Task.Job {
				continue
			}
			old := 0
			if task.Generation != a.Task.Generation {
				old = 1
			}
			if a.Constraints.Spread != spec.SpreadRack {
				counts[old]++
			}
			if other.Rack == w.Rack {
				counts[2+old]++
			}
		}
	}
	counts[4] = countJob(w, a.Task.Job)
	return counts
}

// PlaceService returns the feasible worker with the lowest spread score, then the
// lowest packing score, then the lowest ID.
func (s *Scheduler) PlaceService(a *snapshot.Ask) (worker.ID, bool) {
	best, rate := -1, s.packing(a)
	for i := range s.Workers {
		if s.Fits(a, &s.Workers[i]) && (best < 0 || s.better(a, rate, i, best)) {
			best = i
		}
	}
	if best < 0 {
		return "", false
	}
	return s.Workers[best].ID, true
}

func (s *Scheduler) better(a *snapshot.Ask, rate func(*plan.WorkerState) float64, i, best int) bool {
	w, b := &s.Workers[i], &s.Workers[best]
	x, y := s.Spread(a, w), s.Spread(a, b)
	if c := slices.Compare(x[:], y[:]); c != 0 {
		return c < 0
	}
	if p, q := rate(w), rate(b); p != q {
		return p < q
	}
	return strings.Compare(string(w.ID), string(b.ID)) < 0
}

// PlaceGang places one task after the other on the best worker, on a copy of the
// workers. It returns false if one of them does not fit.
func (s *Scheduler) PlaceGang(asks []snapshot.Ask) ([]worker.ID, bool) {
	trial := New(s.Workers)
	var ids []worker.ID
	for i := range asks {
		id, ok := trial.PlaceBatch(&asks[i])
		if !ok {
			return nil, false
		}
		trial.Start(&asks[i], id)
		ids = append(ids, id)
	}
	return ids, true
}

// Worker returns a worker by its id.
func (s *Scheduler) Worker(id worker.ID) *plan.WorkerState {
	for i := range s.Workers {
		if s.Workers[i].ID == id {
			return &s.Workers[i]
		}
	}
	return nil
}

// Start records that a task has started.
func (s *Scheduler) Start(a *snapshot.Ask, id worker.ID) {
	w := s.Worker(id)
	w.Reserved = w.Reserved.Add(a.Size)
	w.Tasks = append(w.Tasks, plan.RunningTask{
		Ref: a.Ref(), Size: a.Size, Class: a.Class, Team: a.Team, Kind: a.Kind, NonIdempotent: a.NonIdempotent,
	})
}

// End records that a task has ended.
func (s *Scheduler) End(ref worker.Ref, id worker.ID) {
	w := s.Worker(id)
	w.Tasks = slices.DeleteFunc(w.Tasks, func(t plan.RunningTask) bool {
		if t.Ref != ref {
			return false
		}
		w.Reserved = w.Reserved.Sub(t.Size)
		return true
	})
}
