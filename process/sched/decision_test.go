package sched

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/process/sched/naive"
	"fennelshunt.example/fennelshunt/version/spec"
)

var cellSizes = []int{48, 500, 2500, 25000}

func size(workers int) string { return fmt.Sprint("workers=", workers) }

// target is the used share of CPU or memory at which a loaded cell is measured.
const target = 0.8

// loaded returns the workers of a cell that is filled to the target with mixed
// tasks, as partitions would report them.
func loaded(s shape) []plan.WorkerState {
	r := rand.New(rand.NewPCG(7, 1))
	p := NewPlanner(cacheOf(s.states(r, true)).Snapshot())
	var used spec.Resources
	for i := 0; s.share(used) < target; i++ {
		a := mixedTask(r, i, s.capacity)
		a.Class, a.NonIdempotent = [...]spec.Class{spec.Low, spec.Normal, spec.High}[i%3], i%10 == 0
		if d := p.Place(a); d.Placed() {
			p.Assume(a, d)
			used = used.Add(a.Size)
		}
	}
	return reported(p, s.states(rand.New(rand.NewPCG(7, 1)), true))
}

// reported converts the assumptions of a planner to worker states.
func reported(p *Planner, states []plan.WorkerState) []plan.WorkerState {
	for i := range states {
		w := p.View().Lookup(states[i].ID)
		states[i].Reserved = w.Reserved
		for j := range w.Tasks {
			g := w.Tasks[j].Group()
			states[i].Tasks = append(states[i].Tasks, plan.RunningTask{
				Ref: w.Tasks[j].Ref(), Size: g.Size, Class: g.Class, Kind: g.Kind, NonIdempotent: g.NonIdempotent,
				StartedMillis: int64(j) * 1000,
			})
		}
	}
	return states
}

// churner keeps a cell at its load: after each placement it ends the oldest task that
// it placed.
type churner struct {
	r       *rand.Rand
	s       shape
	asks    []Ask
	next    int
	running []worker.Ref
}

// churnSize is the number of tasks of a churner that run at the same time.
const churnSize = 64

func newChurner(s shape) *churner {
	c := &churner{r: rand.New(rand.NewPCG(9, 1)), s: s}
	for i := range 4096 {
		c.asks = append(c.asks, mixedTask(c.r, 1_000_000+i, s.capacity))
	}
	return c
}

func (c *churner) ask() Ask {
	a := c.asks[c.next%len(c.asks)]
	a.Attempt = c.next
	c.next++
	return a
}

func (c *churner) step(p *Planner, record func(time.Duration)) {
	a := c.ask()
	began := time.Now()
	d := p.Place(a)
	if d.Placed() {
		p.Assume(a, d)
		c.running = append(c.running, a.Ref())
	}
	record(time.Since(began))
	if len(c.running) > churnSize {
		p.Forget(c.running[0])
		c.running = c.running[1:]
	}
}

// reportTimes adds percentiles and the rate of decisions to a benchmark.
func reportTimes(b *testing.B, times []time.Duration) {
	slices.Sort(times)
	var sum time.Duration
	for _, t := range times {
		sum += t
	}
	b.ReportMetric(float64(times[len(times)/2].Nanoseconds())/1e3, "µs-p50")
	b.ReportMetric(float64(times[len(times)*99/100].Nanoseconds())/1e3, "µs-p99")
	b.ReportMetric(float64(len(times))/sum.Seconds(), "placements/s")
}

// BenchmarkDecision measures sequential placements, each decided and assumed, on one
// core in a cell at 80 % load, while other tasks end.
func BenchmarkDecision(b *testing.B) {
	for _, n := range cellSizes {
		s := authority(n)
		states := loaded(s)
		b.Run("planner/"+size(n), func(b *testing.B) {
			p, c := NewPlanner(cacheOf(states).Snapshot()), newChurner(s)
			var times []time.Duration
			for b.Loop() {
				c.step(p, func(t time.Duration) { times = append(times, t) })
			}
			reportTimes(b, times)
		})
		b.Run("naive/"+size(n), func(b *testing.B) {
			p, c := naive.New(states), newChurner(s)
			var times []time.Duration
			for b.Loop() {
				a := c.ask()
				began := time.Now()
				if id, ok := p.PlaceBatch(&a); ok {
					p.Start(&a, id)
					p.End(a.Ref(), id)
				}
				times = append(times, time.Since(began))
			}
			reportTimes(b, times)
		})
	}
}

// BenchmarkSnapshotMemory reports the memory of a cache per worker, and the cost of
// a snapshot and a planner's fork.
func BenchmarkSnapshotMemory(b *testing.B) {
	for _, n := range cellSizes {
		b.Run(size(n), func(b *testing.B) {
			states := loaded(authority(n))
			tasks := 0
			for i := range states {
				tasks += len(states[i].Tasks)
			}
			before := heap()
			cache := cacheOf(states)
			held := float64(heap() - before)
			touched := states[0]
			for seq := uint64(2); b.Loop(); seq++ {
				cache.Apply(plan.State{Partition: "rack-0", Epoch: 1, Seq: seq, Workers: []plan.WorkerState{touched}})
				cache.Snapshot().View()
			}
			b.ReportMetric(held/float64(n), "B/worker")
			b.ReportMetric(float64(tasks)/float64(n), "tasks/worker")
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
