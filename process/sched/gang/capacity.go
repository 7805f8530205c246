package gang

import (
	"math"

	"fennelshunt.example/fennelshunt/process/sched/filter"
	"fennelshunt.example/fennelshunt/process/sched/snapshot"
	"fennelshunt.example/fennelshunt/version/spec"
)

// candidate is a worker and the number of the gang's tasks that fit on it.
type candidate struct {
	worker *snapshot.Worker
	tasks  int
}

// rackCapacity is the capacity of a rack for a gang.
type rackCapacity struct {
	zone       string
	candidates []candidate
	tasks      int // number of the gang's tasks that fit
	// wastesAccelerators is set when the rack has accelerators and the gang does
	// not use any.
	wastesAccelerators bool
}

// racks lists the racks on which at least one task fits.
type racks []rackCapacity

// feasibleRacks counts how many tasks like the ask fit on each worker now. Its cost
// is linear in workers and does not depend on the number of tasks.
func feasibleRacks(v *snapshot.View, a *snapshot.Ask) racks {
	var out racks
	for _, rack := range v.Racks() {
		if !filter.ZoneAllowed(a, rack.Zone) || !filter.RackAllowed(a, rack.Name) {
			continue
		}
		if r := rackCapacityOf(v, a, &rack); r.tasks > 0 {
			out = append(out, r)
		}
	}
	return out
}

func rackCapacityOf(v *snapshot.View, a *snapshot.Ask, rack *snapshot.Rack) rackCapacity {
	r := rackCapacity{zone: rack.Zone}
	for _, i := range rack.Workers {
		w := v.Worker(i)
		free := w.Free()
		if !a.Size.Fits(free) || filter.Check(v, a, w) != "" {
			continue
		}
		if v.Withheld != nil {
			free = free.Sub(v.Withheld(a, w.ID))
		}
		c := candidate{w, limited(a, w, times(a.Size, free))}
		r.candidates = append(r.candidates, c)
		r.tasks += c.tasks
		r.wastesAccelerators = r.wastesAccelerators || (a.Size.Accelerators == 0 && w.Capacity.Accelerators > 0)
	}
	return r
}

// maxTasks counts how many tasks like the ask the allowed workers could run if they
// were empty.
func maxTasks(v *snapshot.View, a *snapshot.Ask) int {
	n := 0
	v.All(func(w *snapshot.Worker) bool {
		if filter.ZoneAllowed(a, w.Zone) && filter.RackAllowed(a, w.Rack) {
			fit := times(a.Size, w.Capacity)
			if limit := a.Constraints.MaxPerWorker; limit > 0 {
				fit = min(fit, limit)
			}
			n += fit
		}
		return true
	})
	return n
}

// limited applies max_per_worker to the number of tasks that fit on a worker.
func limited(a *snapshot.Ask, w *snapshot.Worker, fit int) int {
	if limit := a.Constraints.MaxPerWorker; limit > 0 {
		return max(0, min(fit, limit-w.CountJob(a.Task.Job)))
	}
	return fit
}

// times returns how many tasks of a size fit into the free capacity.
func times(size, free spec.Resources) int {
	n := int64(math.MaxInt32)
	for _, d := range [3][2]int64{
		{size.MilliCPU, free.MilliCPU}, {size.MemoryMB, free.MemoryMB}, {size.Accelerators, free.Accelerators},
	} {
		if d[0] > 0 {
			n = min(n, max(0, d[1])/d[0])
		}
	}
	return int(n)
}

// tasks returns the number of tasks that fit on all racks together.
func (r racks) tasks() int {
	n := 0
	for i := range r {
		n += r[i].tasks
	}
	return n
}
