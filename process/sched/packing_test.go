package sched

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/process/sched/naive"
	"fennelshunt.example/fennelshunt/process/sched/snapshot"
	"fennelshunt.example/fennelshunt/version/spec"
)

// packer places tasks one by one until one does not fit.
type packer interface {
	put(a Ask) bool
	inUse() int // VMs with any task
}

type plannerPacker struct{ *Planner }

func (p plannerPacker) put(a Ask) bool {
	d := p.Place(a)
	return d.Placed() && p.Assume(a, d)
}

func (p plannerPacker) inUse() int {
	n := 0
	p.View().All(func(w *snapshot.Worker) bool {
		if !w.Reserved.IsZero() {
			n++
		}
		return true
	})
	return n
}

// scanPacker chooses the first feasible worker with the lowest rate.
type scanPacker struct {
	*naive.Scheduler
	rate func(a *Ask, w *plan.WorkerState) float64
}

func (p scanPacker) put(a Ask) bool {
	var best *plan.WorkerState
	var rating float64
	for i := range p.Workers {
		w := &p.Workers[i]
		if !p.Fits(&a, w) {
			continue
		}
		if r := p.rate(&a, w); best == nil || r < rating {
			best, rating = w, r
		}
	}
	if best == nil {
		return false
	}
	p.Start(&a, best.ID)
	return true
}

func (p scanPacker) inUse() int {
	n := 0
	for i := range p.Workers {
		if !p.Workers[i].Reserved.IsZero() {
			n++
		}
	}
	return n
}

// naivePacker places tasks with the naive scheduler.
type naivePacker struct{ scanPacker }

func (p naivePacker) put(a Ask) bool {
	id, ok := p.PlaceBatch(&a)
	if ok {
		p.Start(&a, id)
	}
	return ok
}

func firstFit(*Ask, *plan.WorkerState) float64 { return 0 }

// avoidingAccelerators makes tasks that use no accelerators avoid VMs that have them.
func avoidingAccelerators(rate func(*Ask, *plan.WorkerState) float64) func(*Ask, *plan.WorkerState) float64 {
	return func(a *Ask, w *plan.WorkerState) float64 {
		if a.Size.Accelerators == 0 && w.Capacity.Accelerators > 0 {
			return 100 + rate(a, w)
		}
		return rate(a, w)
	}
}

// bestFit is the textbook variant: the least free share left, summed over dimensions.
func bestFit(a *Ask, w *plan.WorkerState) float64 {
	left := w.Capacity.Sub(w.Reserved).Sub(a.Size)
	return float64(left.MilliCPU)/float64(w.Capacity.MilliCPU) + float64(left.MemoryMB)/float64(w.Capacity.MemoryMB)
}

// filled is the result of one run.
type filled struct {
	share float64 // used share of the binding resource at the first task that does not fit
	bound int     // lower bound of the VMs needed for the same tasks
	half  int     // VMs in use when half of the binding resource was used
}

// fill places mixed tasks until one does not fit.
func fill(p packer, s shape, m mix, seed uint64) filled {
	r := rand.New(rand.NewPCG(seed, 1))
	var used spec.Resources
	var out filled
	for i := 0; ; i++ {
		a := mixedTask(r, i, s.capacity)
		a.Size.MilliCPU = a.Size.MilliCPU * m.cpu / 100
		a.Size.MemoryMB = a.Size.MemoryMB * m.memory / 100
		if !p.put(a) {
			break
		}
		used = used.Add(a.Size)
		out.share = s.share(used)
		if out.half == 0 && out.share >= 0.5 {
			out.half = p.inUse()
		}
	}
	out.bound = int(math.Ceil(out.share * float64(s.workers)))
	return out
}

// share returns the used share of CPU or memory, whichever is larger.
func (s shape) share(used spec.Resources) float64 {
	n := float64(s.workers)
	return max(float64(used.MilliCPU)/float64(s.capacity.MilliCPU)/n, float64(used.MemoryMB)/float64(s.capacity.MemoryMB)/n)
}

var packers = []struct {
	name string
	make func(workers []plan.WorkerState) packer
}{
	{"fennelshunt", func(w []plan.WorkerState) packer { return plannerPacker{NewPlanner(cacheOf(w).Snapshot())} }},
	{"naive", func(w []plan.WorkerState) packer { return naivePacker{scanPacker{naive.New(w), nil}} }},
	{"first-fit", func(w []plan.WorkerState) packer { return scanPacker{naive.New(w), firstFit} }},
	{"best-fit", func(w []plan.WorkerState) packer { return scanPacker{naive.New(w), bestFit} }},
	{"first-fit-avoiding-accelerators", func(w []plan.WorkerState) packer { return scanPacker{naive.New(w), avoidingAccelerators(firstFit)} }},
	{"best-fit-avoiding-accelerators", func(w []plan.WorkerState) packer { return scanPacker{naive.New(w), avoidingAccelerators(bestFit)} }},
}

// mix scales the sizes of the mixed tasks, in percent.
type mix struct {
	name        string
	cpu, memory int64
}

var mixes = []mix{{"balanced", 100, 100}, {"processors", 100, 60}, {"memory", 60, 100}}

// BenchmarkPacking reports how full a cell of shape guild is when the first task does not
// fit, over fixed seeds: the mean and the worst used share of the binding resource,
// and the lower bound of the VMs needed for the same tasks.
func BenchmarkPacking(b *testing.B) {
	const seeds = 40
	for _, m := range mixes {
		for _, p := range packers {
			b.Run(m.name+"/"+p.name, func(b *testing.B) {
				var sum, worst, bound, half float64
				for b.Loop() {
					sum, worst, bound, half = 0, 1, 0, 0
					for seed := range uint64(seeds) {
						f := fill(p.make(guild.states(nil, false)), guild, m, seed)
						sum, worst = sum+f.share, min(worst, f.share)
						bound, half = bound+float64(f.bound), half+float64(f.half)
					}
				}
				b.ReportMetric(100*sum/seeds, "%mean")
				b.ReportMetric(100*worst, "%worst")
				b.ReportMetric(bound/seeds, "VMs-bound")
				b.ReportMetric(half/seeds, "VMs-at-half")
			})
		}
	}
}

// TestPackingFillsTheBindingResource checks a lower bound of the used share, based on
// BenchmarkPacking, on a few seeds.
func TestPackingFillsTheBindingResource(t *testing.T) {
	for _, m := range mixes {
		for seed := range uint64(5) {
			p := plannerPacker{NewPlanner(cacheOf(guild.states(nil, false)).Snapshot())}
			require.GreaterOrEqual(t, fill(p, guild, m, seed).share, 0.95, "%s, seed %d", m.name, seed)
		}
	}
}
