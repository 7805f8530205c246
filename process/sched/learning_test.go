package sched

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/sched/usage"
	"fennelshunt.example/fennelshunt/version/spec"
)

// misdeclared is a job whose tasks use up to three times more or less than declared,
// in each dimension.
type misdeclared struct {
	name           string
	declared, used spec.Resources
}

func misdeclaredJobs(r *rand.Rand, n int) []misdeclared {
	jobs := make([]misdeclared, n)
	for i := range jobs {
		size := mixedTask(r, i, guild.capacity).Size
		size.Accelerators = 0
		used := spec.Resources{
			MilliCPU: scaleBy(size.MilliCPU, factor(r), guild.capacity.MilliCPU),
			MemoryMB: scaleBy(size.MemoryMB, factor(r), guild.capacity.MemoryMB),
		}
		jobs[i] = misdeclared{fmt.Sprint("job-", i), size, used}
	}
	return jobs
}

// factor returns a random factor from 1/3 to 3, as likely below as above 1.
func factor(r *rand.Rand) float64 { return math.Pow(3, 2*r.Float64()-1) }

func scaleBy(v int64, f float64, limit int64) int64 { return min(int64(float64(v)*f), limit) }

// vary returns the usage of one task: that of the job plus or minus up to a quarter, and
// for one task in fifty plus up to half.
func (j *misdeclared) vary(r *rand.Rand) spec.Resources {
	f := 0.75 + 0.5*r.Float64()
	if r.IntN(50) == 0 {
		f += 0.25
	}
	return spec.Resources{
		MilliCPU: scaleBy(j.used.MilliCPU, f, guild.capacity.MilliCPU),
		MemoryMB: scaleBy(j.used.MemoryMB, f, guild.capacity.MemoryMB),
	}
}

// BenchmarkLearnedSizes fills a cell of shape guild with misdeclared tasks, sized as
// declared or as learned from 20 tasks per job. It reports how much of the scarcer
// resource is actually used, and how many of the 48 VMs exceed their CPU (tasks are
// throttled) or memory (tasks are ended).
func BenchmarkLearnedSizes(b *testing.B) {
	const seeds = 20
	for _, learned := range []bool{false, true} {
		b.Run(fmt.Sprint("learned=", learned), func(b *testing.B) {
			var share, overCPU, overMemory float64
			for b.Loop() {
				share, overCPU, overMemory = 0, 0, 0
				for seed := range uint64(seeds) {
					s, c, m := fillMisdeclared(seed, learned)
					share, overCPU, overMemory = share+s, overCPU+c, overMemory+m
				}
			}
			b.ReportMetric(100*share/seeds, "%used")
			b.ReportMetric(overCPU/seeds, "VMs-over-CPU")
			b.ReportMetric(overMemory/seeds, "VMs-over-memory")
		})
	}
}

// maxMisfits is the number of tasks that do not fit after which a cell counts as full.
// Some tasks need a whole VM.
const maxMisfits = 100

func fillMisdeclared(seed uint64, learned bool) (share, overCPU, overMemory float64) {
	r := rand.New(rand.NewPCG(seed, 3))
	jobs := misdeclaredJobs(r, 50)
	learner := learnerFor(r, jobs, learned)
	p := NewPlanner(cacheOf(guild.states(nil, false)).Snapshot())
	used := map[worker.ID]spec.Resources{}
	for i, misfits := 0, 0; misfits < maxMisfits; i++ {
		job := &jobs[r.IntN(len(jobs))]
		a := batchAsk(job.name, i, learner.Size(job.name, guild.capacity))
		d := p.Place(a)
		if !p.Assume(a, d) {
			misfits++
			continue
		}
		used[d.Worker] = used[d.Worker].Add(job.vary(r))
	}
	var sum spec.Resources
	for _, u := range used {
		sum = sum.Add(spec.Resources{
			MilliCPU: min(u.MilliCPU, guild.capacity.MilliCPU), MemoryMB: min(u.MemoryMB, guild.capacity.MemoryMB),
		})
		if u.MilliCPU > guild.capacity.MilliCPU {
			overCPU++
		}
		if u.MemoryMB > guild.capacity.MemoryMB {
			overMemory++
		}
	}
	return guild.share(sum), overCPU, overMemory
}

// learnerFor returns a learner of the declared jobs and, if learned is set, of 20 tasks
// of each.
func learnerFor(r *rand.Rand, jobs []misdeclared, learned bool) *usage.Learner {
	l := usage.New()
	for i := range jobs {
		l.Declare(jobs[i].name, jobs[i].declared, 0)
		for n := 0; learned && n < 20; n++ {
			ref := worker.Ref{Task: spec.TaskID{Job: jobs[i].name, Index: n}}
			l.Observe(ref, jobs[i].vary(r))
			l.Ended(ref, time.Second, true)
		}
	}
	return l
}
