package cellsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"fennelshunt.example/fennelshunt/version/work"
)

// Spread is a size that is drawn anew for each job: log-normal around its mean.
type Spread struct {
	Mean  float64
	Sigma float64 // of the logarithm
	Max   float64
}

func (s Spread) draw(rng *rand.Rand) float64 {
	v := s.Mean * math.Exp(rng.NormFloat64()*s.Sigma-s.Sigma*s.Sigma/2)
	return min(v, s.Max)
}

// Class is a kind of job.
type Class struct {
	Queue     work.Queue
	PerSecond float64
	// Worth of a job of mean size that is completed within its objective; a late
	// one earns lateShare of it.
	Worth float64
	// Steps is the mean number of steps, which follow each other.
	Steps  float64
	Width  Spread // tasks of a step
	CPU    Spread // thousandths of a core, of a task
	Memory Spread // MB, of a task
	Work   Spread // milliseconds, of a task
	Gang   float64
	// Good is the share of workers that the advice allows for a step.
	Good float64
	// Fails is the share of runs that fail by their own fault.
	Fails float64
	Saves float64 // share of steps that keep checkpoints
	// Poison is the share of jobs of which every run fails.
	Poison float64
	// Estimate is the sigma of the estimate's error.
	Estimate float64
}

const (
	lateShare   = 0.2
	worthFixed  = 0.3 // of a job's worth, whatever its size
	worthMax    = 4
	advisedFree = 30 // workers of advice that an objective allows a step
	// lateFactor objectives after its hand-in a job earns nothing.
	lateFactor = 3
)

// Pattern is a load and the faults beside it. Times count from the start.
type Pattern struct {
	Name string
	// Bursts multiply the rate of a class for a while.
	Bursts []Burst
	// Hot accounts hand in more than their usual.
	Hot []HotAccount
	// SlowStore answers in SlowAnswer; Outage answers nothing.
	SlowStore, Outage Span
	SlowAnswer        time.Duration
	// LeaderLost is when the leader is lost, 0 for never; another one leads after
	// Takeover.
	LeaderLost, Takeover time.Duration
	// Crashed, Failing and Slow are shares of the workers that are lost for good,
	// fail what they start, or take six times as long, while Troubled.
	Crashed, Failing, Slow float64
	Troubled               Span
}

// Span is a time from one moment to another; the zero value is none.
type Span struct{ From, Until time.Duration }

func (s Span) has(t time.Duration) bool { return t >= s.From && t < s.Until }

// Burst multiplies the rate of the class with that place in Options.Classes.
type Burst struct {
	Class int
	Span  Span
	Times float64
}

// Job is one job as the caller knows it.
type job struct {
	id    work.JobID
	class int
	spec  *work.Job
	takes [][]time.Duration // by step and task, on a worker of usual speed
	worth float64
	due   time.Duration // objective
	size  int           // tasks of the widest step
	hot   bool          // handed in by an account beyond its usual
	// poisoned: every run fails, and the job is done once it is shown as failed.
	poisoned bool

	sent     time.Duration // first hand-in
	accepted time.Duration // 0: not yet
	begun    time.Duration
	shown    time.Duration
	ended    work.State
}

// Classes returns three kinds of jobs for a number of workers of 32 cores: wide
// gangs of large tasks, steps of many small tasks, and quick jobs of two or three
// tasks. Load is the share of the processors that they ask for, without failures.
func Classes(workers int, load float64) []Class {
	scale := float64(workers) / refWorkers
	grow := math.Sqrt(scale) // wider and more jobs alike
	classes := []Class{
		{Queue: queue("wide", 1, 2.2, time.Second, 4, advice(442*time.Millisecond, 6370*time.Microsecond)), PerSecond: 5.96, Worth: 7.12, Steps: 1.2,
			Width: Spread{20 * grow, 0.7, 120 * grow}, CPU: Spread{9000, 0.38, 15000}, Memory: Spread{18000, 0.47, 37000}, Work: Spread{4000, 0.47, 10000},
			Gang: 1, Good: 0.25, Fails: 0.002, Saves: 0.5, Estimate: 0.3},
		{Queue: queue("many", 2, 4, 3*time.Second, 4, advice(130*time.Millisecond, 1820*time.Microsecond)), PerSecond: 9.86, Worth: 2.69, Steps: 1.5,
			Width: Spread{25 * grow, 0.7, 150 * grow}, CPU: Spread{3500, 0.43, 10000}, Memory: Spread{7100, 0.55, 21000}, Work: Spread{2700, 0.47, 6800},
			Good: 0.45, Fails: 0.05, Saves: 0.8, Estimate: 0.6},
		{Queue: queue("quick", 0, 1.5, 250*time.Millisecond, 3, advice(24*time.Millisecond, 340*time.Microsecond)), PerSecond: 88.3, Worth: 0.421, Steps: 1,
			Width: Spread{3, 0.6, 12}, CPU: Spread{5000, 0.43, 15000}, Memory: Spread{10000, 0.55, 31000}, Work: Spread{1000, 0.47, 2500},
			Gang: 0.3, Good: 0.7, Fails: 0.02, Estimate: 0.3},
	}
	asked := 0.0 // cores
	for i := range classes {
		c := &classes[i]
		if c.Queue.Name == "quick" {
			c.PerSecond *= scale
		} else {
			c.PerSecond *= scale / grow
		}
		asked += c.PerSecond * c.Steps * c.Width.Mean * c.CPU.Mean / 1000 * c.Work.Mean / 1000
	}
	for i := range classes {
		classes[i].PerSecond *= load * float64(workers*workerCores) / asked
	}
	return classes
}

// refWorkers is the number of workers for which the widths above hold.
const (
	refWorkers  = 350
	workerCores = 32
)

func queue(name string, priority int, slack float64, allowance time.Duration, attempts int, a *work.Advice) work.Queue {
	return work.Queue{Name: name, Service: service, Priority: priority, Slack: slack, Allowance: allowance, Attempts: attempts, Advice: a}
}

func advice(base, perWorker time.Duration) *work.Advice {
	return &work.Advice{Base: base, PerWorker: perWorker, Valid: 1500 * time.Millisecond}
}

// drawJobs draws all jobs of a run, in the order of their hand-ins.
func drawJobs(o *Options, rng *rand.Rand) []*job {
	var all []*job
	for t := time.Duration(0); t < o.Length; t += loadStep {
		add := func(c int, by *Account) {
			j := drawJob(&o.Classes[c], by, rng)
			j.class, j.sent = c, t+time.Duration(rng.Int64N(int64(loadStep)))
			j.id = work.JobID(fmt.Sprintf("%016x", len(all)+1))
			all = append(all, j)
		}
		for c := range o.Classes {
			rate := o.Classes[c].PerSecond
			for _, b := range o.Pattern.Bursts {
				if b.Class == c && b.Span.has(t) {
					rate *= b.Times
				}
			}
			for range poisson(rng, rate*loadStep.Seconds()) {
				add(c, drawAccount(o, rng))
			}
		}
		drawHot(o, t, rng, func(c int, by *Account) {
			add(c, by)
			all[len(all)-1].hot = true
		})
	}
	return all
}

// loadStep is the length of time for which arrivals are drawn together.
const loadStep = 50 * time.Millisecond

func poisson(rng *rand.Rand, mean float64) int {
	n, p := 0, rng.ExpFloat64()
	for p < mean {
		n++
		p += rng.ExpFloat64()
	}
	return n
}

// drawJob draws a job of an account, nil for none.
func drawJob(c *Class, by *Account, rng *rand.Rand) *job {
	j := &job{spec: &work.Job{Queue: c.Queue, Spec: "x"}}
	if by != nil {
		j.spec.Account = by.Name
	}
	j.poisoned = c.Poison > 0 && rng.Float64() < c.Poison
	steps := 1 + poisson(rng, c.Steps-1)
	asked, chain := 0.0, time.Duration(0)
	for i := range steps {
		s := work.Step{Count: max(1, int(c.Width.draw(rng)+0.5)),
			Size: work.Resources{CPU: int(c.CPU.draw(rng)), Memory: int(c.Memory.draw(rng))},
			Gang: rng.Float64() < c.Gang, Checkpoints: rng.Float64() < c.Saves}
		if i > 0 {
			s.After = []int{i - 1}
		}
		if by != nil && s.Gang {
			s.Count = max(1, min(s.Count, by.holds(s.Size)))
		}
		usual := time.Duration(c.Work.draw(rng)) * time.Millisecond
		s.Estimate = time.Duration(float64(usual) * math.Exp(rng.NormFloat64()*c.Estimate))
		takes := make([]time.Duration, s.Count)
		longest := time.Duration(0)
		for k := range takes {
			takes[k] = time.Duration(float64(usual) * (1 + 0.3*(rng.Float64()-0.5)))
			longest = max(longest, takes[k])
		}
		asked += float64(s.Count) * float64(s.Size.CPU) / 1000 * usual.Seconds()
		chain += longest + c.Queue.Advice.Cost(advisedFree)
		j.size = max(j.size, s.Count)
		j.takes = append(j.takes, takes)
		j.spec.Steps = append(j.spec.Steps, s)
	}
	mean := c.Steps * c.Width.Mean * c.CPU.Mean / 1000 * c.Work.Mean / 1000
	j.worth = c.Worth * min(worthMax, worthFixed+(1-worthFixed)*asked/mean)
	if j.poisoned {
		chain *= time.Duration(c.Queue.Attempts) // each run fails, and is in time
	}
	j.due = time.Duration(float64(chain)*c.Queue.Slack) + c.Queue.Allowance
	return j
}
