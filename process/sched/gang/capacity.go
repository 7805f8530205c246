package gang

import (
	"math"

	"fennelshunt.example/fennelshunt/process/sched/filter"
	"fennelshunt.example/fennelshunt/process/sched/snapshot"
	"fennelshunt.example/fennelshunt/version/spec"
)

// spot is a worker with the number of the gang's tasks that fit there.
type spot struct {
	worker *snapshot.Worker
	places int
}

// rackRoom is what a rack offers to a gang.
type rackRoom struct {
	zone   string
	spots  []spot
	places int
	// keep is set when the rack has accelerators that the gang does not want.
	keep bool
}

// racks lists the racks that have any room.
type racks []rackRoom

// room counts how many tasks like the ask fit on each worker now. Its cost is
// linear in workers, and does not depend on the number of tasks.
func room(v *snapshot.View, a *snapshot.Ask) racks {
	var out racks
	for _, rack := range v.Racks() {
		if !filter.ZoneAllowed(a, rack.Zone) || !filter.RackAllowed(a, rack.Name) {
			continue
		}
		if r := rackRoomOf(v, a, &rack); r.places > 0 {
			out = append(out, r)
		}
	}
	return out
}

func rackRoomOf(v *snapshot.View, a *snapshot.Ask, rack *snapshot.Rack) rackRoom {
	r := rackRoom{zone: rack.Zone}
	for _, i := range rack.Workers {
		w := v.Worker(i)
		free := w.Free()
		if !a.Size.Fits(free) || filter.Check(v, a, w) != "" {
			continue
		}
		if v.Kept != nil {
			free = free.Sub(v.Kept(a, w.ID))
		}
		s := spot{w, limited(a, w, times(a.Size, free))}
		r.spots = append(r.spots, s)
		r.places += s.places
		r.keep = r.keep || (a.Size.Accelerators == 0 && w.Capacity.Accelerators > 0)
	}
	return r
}

// capacity counts how many tasks like the ask the allowed workers could run if
// they ran nothing else.
func capacity(v *snapshot.View, a *snapshot.Ask) int {
	n := 0
	v.All(func(w *snapshot.Worker) bool {
		if filter.ZoneAllowed(a, w.Zone) && filter.RackAllowed(a, w.Rack) {
			places := times(a.Size, w.Capacity)
			if limit := a.Constraints.MaxPerWorker; limit > 0 {
				places = min(places, limit)
			}
			n += places
		}
		return true
	})
	return n
}

// limited applies max_per_worker.
func limited(a *snapshot.Ask, w *snapshot.Worker, places int) int {
	if limit := a.Constraints.MaxPerWorker; limit > 0 {
		return max(0, min(places, limit-w.CountJob(a.Task.Job)))
	}
	return places
}

// times returns how often a size fits into what is free.
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

func (r racks) places() int {
	n := 0
	for i := range r {
		n += r[i].places
	}
	return n
}
