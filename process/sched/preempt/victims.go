package preempt

import (
	"cmp"
	"slices"
	"time"

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

// victim is a task that may be stopped.
type victim struct {
	task *snapshot.Task
	size spec.Resources
	rank int
	lost float64
}

// plan is a way to make room on one worker.
type plan struct {
	worker  *snapshot.Worker
	victims []victim
	lost    float64
}

func (p *plan) decision() snapshot.Decision {
	refs := make([]worker.Ref, len(p.victims))
	for i := range p.victims {
		refs[i] = p.victims[i].task.Ref()
	}
	return snapshot.Decision{Worker: p.worker.ID, Partition: p.worker.Partition, Victims: refs}
}

// consider looks for the victims on one worker whose end makes room.
func consider(v *snapshot.View, a *snapshot.Ask, w *snapshot.Worker) (plan, bool) {
	if !eligible(v, a, w) {
		return plan{}, false
	}
	candidates := victims(v, a, w)
	chosen, ok := choose(candidates, a.Size.Sub(w.Free()))
	if !ok {
		return plan{}, false
	}
	p := plan{worker: w, victims: chosen}
	for i := range chosen {
		p.lost += chosen[i].lost
	}
	return p, true
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

// victims lists the tasks that may be stopped, cheapest first: a lower class,
// and never one that must not start twice, as stopping it would lose it.
func victims(_ *snapshot.View, a *snapshot.Ask, w *snapshot.Worker) []victim {
	now := time.Now()
	var out []victim
	for i := range w.Tasks {
		t := &w.Tasks[i]
		g := t.Group()
		if g.NonIdempotent || g.Class.Rank() >= a.Class.Rank() {
			continue
		}
		out = append(out, victim{t, g.Size, g.Class.Rank(), lost(t, &g, w, now)})
	}
	slices.SortFunc(out, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.lost, b.lost))
	})
	return out
}

// lost is the work that ends with a task: its share of the VM times its age.
func lost(t *snapshot.Task, g *snapshot.Group, w *snapshot.Worker, now time.Time) float64 {
	share := dominantShare(g.Size, w.Capacity)
	cost := startCost + share*t.Age(now).Seconds()
	if g.Kind == spec.Service {
		cost += serviceCost
	}
	return cost
}

func dominantShare(size, capacity spec.Resources) float64 {
	share := 0.0
	for _, d := range [][2]int64{
		{size.MilliCPU, capacity.MilliCPU}, {size.MemoryMB, capacity.MemoryMB},
		{size.Accelerators, capacity.Accelerators},
	} {
		if d[1] > 0 {
			share = max(share, float64(d[0])/float64(d[1]))
		}
	}
	return share
}

// choose takes victims, cheapest first, until what is missing is freed, and
// then spares the dearest ones that turned out not to be needed.
func choose(candidates []victim, missing spec.Resources) ([]victim, bool) {
	var freed spec.Resources
	n := 0
	for n < len(candidates) && !missing.Fits(freed) {
		freed = freed.Add(candidates[n].size)
		n++
	}
	if !missing.Fits(freed) {
		return nil, false
	}
	chosen := slices.Clone(candidates[:n])
	for i := len(chosen) - 1; i >= 0; i-- {
		if without := freed.Sub(chosen[i].size); missing.Fits(without) {
			freed = without
			chosen = slices.Delete(chosen, i, i+1)
		}
	}
	return chosen, true
}
