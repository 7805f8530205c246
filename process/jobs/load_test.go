package jobs

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/version/spec"
)

// arrival is one job of the load.
type arrival struct {
	at    time.Duration
	job   spec.Job
	times []time.Duration // real run time of each task
}

// runTimeError is the maximum factor by which declared run times are too long or too
// short.
const runTimeError = 3.0

// makeLoad generates jobs whose real work is the given share of the capacity.
func makeLoad(seed uint64, load float64, cores int, length time.Duration) []arrival {
	rng := rand.New(rand.NewPCG(seed, 7))
	var all []arrival
	work, wanted := 0.0, load*float64(cores)*length.Seconds()
	for i := 0; work < wanted; i++ {
		a := drawJob(rng, i)
		a.at = time.Duration(rng.Float64() * float64(length))
		for range a.job.Count {
			off := math.Exp((2*rng.Float64() - 1) * math.Log(runTimeError))
			run := time.Duration(off * float64(a.job.RunTime))
			a.times = append(a.times, run)
			work += run.Seconds() * float64(a.job.Size.MilliCPU) / 1000
		}
		all = append(all, a)
	}
	slices.SortFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	return all
}

func drawJob(rng *rand.Rand, i int) arrival {
	j := batch(fmt.Sprintf("j%04d", i), fmt.Sprintf("t%d", rng.IntN(5)), 5+rng.IntN(40), time.Duration(1+rng.IntN(15))*time.Second)
	j.Size = core.Times(int64(1 + rng.IntN(3)))
	switch k := rng.IntN(20); {
	case k < 4:
		j.Class, j.Count, j.Size = spec.Urgent, 1+rng.IntN(3), core
		j.RunTime = spec.Duration(time.Duration(1+rng.IntN(4)) * time.Second)
	case k < 7:
		j.Kind, j.Count, j.Size = spec.Gang, 8+rng.IntN(24), core
	}
	return arrival{job: j}
}

func kindOf(j *spec.Job) string {
	if j.Class == spec.Urgent {
		return "urgent"
	}
	return string(j.Kind)
}

// naiveFIFO starts tasks strictly in order of arrival on the first worker with enough
// capacity, without preemption or backfill, and returns the waiting times by kind.
func naiveFIFO(load []arrival, workers, cores int) map[string][]time.Duration {
	n := naive{free: slices.Repeat([]int{cores}, workers), waits: map[string][]time.Duration{}}
	for i := range load {
		a := &load[i]
		n.advance(a.at)
		size := int(a.job.Size.MilliCPU / 1000)
		for a.job.Kind == spec.Gang && n.freeSlots(size) < a.job.Count {
			n.nextEnd()
		}
		for _, run := range a.times {
			for n.freeSlots(size) < 1 {
				n.nextEnd()
			}
			n.start(a, size, run)
		}
	}
	return n.waits
}

type naive struct {
	now   time.Duration
	free  []int
	ends  []pendingEnd
	waits map[string][]time.Duration
}

type pendingEnd struct {
	at            time.Duration
	worker, cores int
}

func (n *naive) nextEnd() {
	end := n.ends[0]
	n.ends = n.ends[1:]
	n.now = max(n.now, end.at)
	n.free[end.worker] += end.cores
}

func (n *naive) advance(to time.Duration) {
	n.now = max(n.now, to)
	for len(n.ends) > 0 && n.ends[0].at <= n.now {
		n.nextEnd()
	}
}

func (n *naive) freeSlots(size int) (slots int) {
	for _, free := range n.free {
		slots += free / size
	}
	return slots
}

func (n *naive) start(a *arrival, size int, run time.Duration) {
	at := slices.IndexFunc(n.free, func(free int) bool { return free >= size })
	n.free[at] -= size
	n.ends = append(n.ends, pendingEnd{n.now + run, at, size})
	slices.SortFunc(n.ends, func(x, y pendingEnd) int { return int(x.at - y.at) })
	n.waits[kindOf(&a.job)] = append(n.waits[kindOf(&a.job)], n.now-a.at)
}

func quantile(waits []time.Duration, q float64) time.Duration {
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	return waits[int(q*float64(len(waits)-1))]
}

// runLoad runs the load in virtual time and returns the waiting times from the apply
// to the first start on a worker.
func runLoad(t *testing.T, load []arrival, length time.Duration) map[string][]time.Duration {
	waits := map[string][]time.Duration{}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		c := newCell(t, 1)
		c.net.SetDelay(time.Millisecond)
		times := map[string][]time.Duration{}
		applied := map[string]time.Time{}
		for _, a := range load {
			times[a.job.Name] = a.times
		}
		c.runTime = func(s worker.Start) (time.Duration, worker.TaskState) {
			return times[s.Task.Job][s.Task.Index], worker.Succeeded
		}
		for i := range 6 {
			c.addRack(ctx, fmt.Sprintf("r%d", i), fmt.Sprintf("z%d", i%3), 4, core.Times(8))
		}
		go c.publish(ctx, 20*time.Millisecond)
		c.startDaemon(ctx, "d1").own(0)
		begin := time.Now()
		var jobs []spec.Job
		for i := range load {
			time.Sleep(load[i].at - time.Since(begin))
			jobs = append(jobs, load[i].job)
			applied[load[i].job.Name] = time.Now()
			c.apply(nil, jobs...)
		}
		c.await(20*length, "all work done", func() bool {
			for _, a := range load {
				if c.succeeded(a.job.Name) < a.job.Count {
					return false
				}
			}
			return true
		})
		for id, r := range c.runs {
			for i := range load {
				if load[i].job.Name == id.Job {
					kind := kindOf(&load[i].job)
					waits[kind] = append(waits[kind], r.firstStart.Sub(applied[id.Job]))
				}
			}
		}
		c.check()
	})
	return waits
}

// TestWaitingTimes compares waiting times by class with those of a naive FIFO scheduler
// under the same load. Run it with -v for the table.
func TestWaitingTimes(t *testing.T) {
	length := 90 * time.Second
	if os.Getenv("FENNEL_LONG") != "" {
		length = 10 * time.Minute
	}
	const workers, cores = 6 * 4, 8
	for _, percent := range []int{80, 95, 110} {
		t.Run(fmt.Sprintf("load %d", percent), func(t *testing.T) {
			load := makeLoad(uint64(percent), float64(percent)/100, workers*cores, length)
			waits, naive := runLoad(t, load, length), naiveFIFO(load, workers, cores)
			for _, kind := range []string{"urgent", "batch", "gang"} {
				t.Logf("%-7s p50 %8v p99 %8v   naive p50 %8v p99 %8v   (%d tasks)", kind,
					quantile(waits[kind], 0.5).Round(time.Millisecond), quantile(waits[kind], 0.99).Round(time.Millisecond),
					quantile(naive[kind], 0.5).Round(time.Millisecond), quantile(naive[kind], 0.99).Round(time.Millisecond), len(waits[kind]))
			}
			if p99 := quantile(waits["urgent"], 0.99); p99 >= 3*time.Second {
				t.Errorf("urgent p99 is %v", p99)
			}
		})
	}
}
