package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/process/sched/naive"
	"fennelshunt.example/fennelshunt/process/sched/rebind"
	"fennelshunt.example/fennelshunt/version/spec"
)

// contest is a cell in which several schedulers decide at the same time, each on
// the last snapshot and independently of the others.
type contest struct {
	r          *rand.Rand
	truth      *naive.Scheduler
	cache      *Cache
	schedulers int
	affinity   bool // schedulers prefer different partitions
	rebinds    bool // owners may place a task on another worker of the rack
	seq        uint64
	index      int
	running    []worker.Ref
	at         map[worker.Ref]worker.ID
	used       spec.Resources
	refused    int
	placed     int
	rebound    int // included in placed
	waiting    int // did not fit in the snapshot
}

func newContest(seed uint64, schedulers int, affinity, rebinds bool) *contest {
	states := guild.states(nil, false)
	return &contest{
		r: rand.New(rand.NewPCG(seed, 5)), truth: naive.New(states), cache: cacheOf(states),
		schedulers: schedulers, affinity: affinity, rebinds: rebinds, seq: 1, at: map[worker.Ref]worker.ID{},
	}
}

// round lets each scheduler place tasks on one snapshot, ends tasks until the load
// is reached, and publishes the resulting state.
func (c *contest) round(each int, load float64) {
	snap := c.cache.Snapshot()
	for i := range c.schedulers {
		p := NewPlanner(snap)
		if c.affinity {
			p.Prefer(fmt.Sprint("scheduler-", i), preferred(i, c.schedulers))
		}
		for range each {
			c.place(p)
		}
	}
	for guild.share(c.used) > load {
		c.end(c.r.IntN(len(c.running)))
	}
	c.seq++
	for i := range c.truth.Workers {
		w := c.truth.Workers[i]
		c.cache.Apply(plan.State{
			Partition: w.Rack, Epoch: 1, Seq: c.seq*uint64(guild.workers) + uint64(i), Workers: []plan.WorkerState{w},
		})
	}
}

func (c *contest) place(p *Planner) {
	a := mixedTask(c.r, c.index, guild.capacity)
	c.index++
	d := p.Place(a)
	if !p.Assume(a, d) {
		c.waiting++
		return
	}
	if id, ok := c.commit(&a, d.Worker); ok {
		c.start(&a, id)
	} else {
		c.refused++
	}
}

// commit returns the worker on which the owner of the partition commits a proposal,
// or false if it refuses.
func (c *contest) commit(a *Ask, id worker.ID) (worker.ID, bool) {
	first := c.truth.Worker(id)
	if c.truth.Fits(a, first) {
		return id, true
	}
	if !c.rebinds {
		return "", false
	}
	var candidates []rebind.Candidate
	for i := range c.truth.Workers {
		if w := &c.truth.Workers[i]; w.Rack == first.Rack {
			candidates = append(candidates, rebind.Candidate{
				ID: w.ID, Capacity: w.Capacity, Free: w.Capacity.Sub(w.Reserved), Excluded: !c.truth.Fits(a, w),
			})
		}
	}
	best := rebind.Choose(a, first.Capacity.Accelerators > 0, candidates)
	if best == rebind.None {
		return "", false
	}
	c.rebound++
	return candidates[best].ID, true
}

func (c *contest) start(a *Ask, id worker.ID) {
	c.truth.Start(a, id)
	c.running, c.at[a.Ref()] = append(c.running, a.Ref()), id
	c.used = c.used.Add(a.Size)
	c.placed++
}

func (c *contest) end(i int) {
	ref := c.running[i]
	c.running[i] = c.running[len(c.running)-1]
	c.running = c.running[:len(c.running)-1]
	w := c.truth.Worker(c.at[ref])
	before := w.Reserved
	c.truth.End(ref, w.ID)
	c.used = c.used.Sub(before.Sub(w.Reserved))
}

// preferred returns the racks that a scheduler prefers; each rack is preferred by one
// scheduler.
func preferred(scheduler, schedulers int) []string {
	var racks []string
	for rack := scheduler; rack < guild.workers/guild.rackSize; rack += schedulers {
		racks = append(racks, fmt.Sprint("rack-", rack))
	}
	return racks
}

// BenchmarkConflicts reports how many placements the owners of the partitions
// refuse, with and without preferred partitions and with and without rebinding, in
// a cell of shape guild at a constant load. At 1,600 starts a second and a snapshot every
// 50 ms, 6 schedulers place 13 tasks each on one snapshot.
func BenchmarkConflicts(b *testing.B) {
	for _, load := range []float64{0.6, 0.8} {
		for _, each := range []int{1, 4, 13} {
			for _, mode := range []struct{ affinity, rebinds bool }{{false, false}, {true, false}, {false, true}, {true, true}} {
				b.Run(fmt.Sprintf("load=%v/each=%d/affinity=%v/rebinds=%v", load, each, mode.affinity, mode.rebinds), func(b *testing.B) {
					benchmarkConflicts(b, load, each, mode.affinity, mode.rebinds)
				})
			}
		}
	}
}

func benchmarkConflicts(b *testing.B, load float64, each int, affinity, rebinds bool) {
	const rounds = 100
	var c *contest
	for b.Loop() {
		c = newContest(1, 6, affinity, rebinds)
		for guild.share(c.used) < load*0.95 {
			c.round(1, load)
		}
		c.refused, c.placed, c.rebound, c.waiting = 0, 0, 0, 0
		for range rounds {
			c.round(each, load)
		}
	}
	tried := float64(c.refused + c.placed + c.waiting)
	b.ReportMetric(100*float64(c.refused)/tried, "%refused")
	b.ReportMetric(100*float64(c.rebound)/tried, "%rebound")
	b.ReportMetric(100*float64(c.waiting)/tried, "%no-room")
}
