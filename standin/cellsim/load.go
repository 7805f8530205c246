package cellsim

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"fennelshunt.example/fennelshunt/version/work"
)

// LogNormal is a log-normal distribution; values above Max are replaced by Max.
type LogNormal struct {
	Mean  float64
	Sigma float64 // of the logarithm
	Max   float64
}

func (s LogNormal) draw(rng *rand.Rand) float64 {
	v := s.Mean * math.Exp(rng.NormFloat64()*s.Sigma-s.Sigma*s.Sigma/2)
	return min(v, s.Max)
}

// Class describes one class of jobs and its arrival rate.
type Class struct {
	Queue     work.Queue
	PerSecond float64 // mean arrivals
	// Worth is what a job of mean size earns if it is completed within its objective;
	// a late job earns lateShare of it.
	Worth float64
	// Steps is the mean number of steps; they run one after the other.
	Steps  float64
	Width  LogNormal // tasks per step
	CPU    LogNormal // thousandths of a core, per task
	Memory LogNormal // MB, per task
	Work   LogNormal // milliseconds, per task
	Gang   float64   // share of steps that are gangs
	// Allowed is the share of workers that the advice allows for a step.
	Allowed float64
	// FailureRate is the share of runs that fail through the task's own fault.
	FailureRate float64
	Checkpoints float64 // share of steps that write checkpoints
	// Poison is the share of jobs of which every run fails.
	Poison float64
	// EstimateError is the sigma of the log-normal error of run time estimates.
	EstimateError float64
}

const (
	lateShare   = 0.2
	worthFixed  = 0.3 // part of a job's worth that does not depend on its size
	worthMax    = 4
	advisedFree = 30 // workers per step whose advice cost the objective includes
	// lateFactor is the multiple of its objective, counted from its submission, after
	// which a job earns nothing.
	lateFactor = 3
)

// Pattern describes variations of the load and faults. Times count from the start of the load.
type Pattern struct {
	Name string
	// Bursts raise the arrival rates of classes for a while.
	Bursts []Burst
	// Hot accounts submit more than their usual load for a while.
	Hot []HotAccount
	// During SlowStore the store responds after SlowAnswer. During Outage submissions are
	// refused, and other calls of the store get their response after the outage.
	SlowStore, Outage Span
	SlowAnswer        time.Duration
	// LeaderLost is when the leader fails, 0 for never; a successor starts Takeover
	// later.
	LeaderLost, Takeover time.Duration
	// Crashed is the share of the workers that crash at the start of WorkerFaults and do
	// not return. During WorkerFaults, the share Failing of the workers fails all tasks
	// that they start, and the share Slow runs them six times as long.
	Crashed, Failing, Slow float64
	WorkerFaults           Span
	// At each of the times LeaveAt, the share Leaving of the workers gives a notice of length
	// Notice and then leaves.
	Leaving float64
	LeaveAt []time.Duration
	Notice  time.Duration
	// ProxiesLost is the share of the daemons that lose their membership during ProxyFault, and
	// answer nevertheless.
	ProxiesLost float64
	ProxyFault  Span
	// ProxyDelay is added to the way to a daemon that calls the advice service, and to the way back.
	ProxyDelay time.Duration
	// Kinds are the kinds of workers, of different speed; empty means one kind of speed 1.
	Kinds []Kind
	// Long is the share of runs that take longFactor times as long as drawn.
	Long float64
	// EstimateError replaces that of every class if it is above 0.
	EstimateError float64
}

// Kind is a kind of workers: a share of them, with a label and a speed.
type Kind struct {
	Label        string
	Share, Speed float64
}

// longFactor applies to the runs of Pattern.Long.
const longFactor = 7

// Span is the interval from From to before Until; the zero value is empty.
type Span struct{ From, Until time.Duration }

func (s Span) has(t time.Duration) bool { return t >= s.From && t < s.Until }

// Burst multiplies the arrival rate of a class, an index of Options.Classes, by Factor.
type Burst struct {
	Class  int
	Span   Span
	Factor float64
}

// job is one job as its caller sees it.
type job struct {
	id       work.JobID
	class    int
	spec     *work.Job
	runTimes [][]time.Duration // run times by step and task, on a worker of slowdown 1
	worth    float64
	due      time.Duration // objective: time limit from the first submission
	size     int           // tasks of the widest step
	hot      bool          // extra job of a hot account
	// poisoned: every run fails, and the job earns its worth when it is shown as failed.
	poisoned bool

	submitted time.Duration // first submission, from the start of the load
	accepted  time.Duration // from the start of the run, as the next two; 0 if not accepted
	started   time.Duration // first start, 0 for none
	shown     time.Duration // when the final state was shown, 0 for never
	ended     work.State    // the final state
	// awaitedProxy is how long its steps waited for a proxy, 0 if it has not ended.
	awaitedProxy time.Duration
}

// Classes returns three classes of jobs for a number of workers of 32 cores: wide
// gangs of large tasks, steps of many small tasks, and quick jobs of two or three
// tasks. load is the share of the cores that they need, not counting failures.
func Classes(workers int, load float64) []Class {
	scale := float64(workers) / refWorkers
	growth := math.Sqrt(scale) // of both the widths and the rates of wide and many
	classes := []Class{
		{Queue: queue("wide", 1, 2.2, time.Second, 4, advice(442*time.Millisecond, 6370*time.Microsecond)), PerSecond: 5.96, Worth: 7.12, Steps: 1.2,
			Width: LogNormal{20 * growth, 0.7, 120 * growth}, CPU: LogNormal{9000, 0.38, 15000}, Memory: LogNormal{18000, 0.47, 37000}, Work: LogNormal{4000, 0.47, 10000},
			Gang: 1, Allowed: 0.25, FailureRate: 0.002, Checkpoints: 0.5, EstimateError: 0.3},
		{Queue: queue("many", 2, 4, 3*time.Second, 4, advice(130*time.Millisecond, 1820*time.Microsecond)), PerSecond: 9.86, Worth: 2.69, Steps: 1.5,
			Width: LogNormal{25 * growth, 0.7, 150 * growth}, CPU: LogNormal{3500, 0.43, 10000}, Memory: LogNormal{7100, 0.55, 21000}, Work: LogNormal{2700, 0.47, 6800},
			Allowed: 0.45, FailureRate: 0.05, Checkpoints: 0.8, EstimateError: 0.6},
		{Queue: queue("quick", 0, 1.5, 250*time.Millisecond, 3, advice(24*time.Millisecond, 340*time.Microsecond)), PerSecond: 88.3, Worth: 0.421, Steps: 1,
			Width: LogNormal{3, 0.6, 12}, CPU: LogNormal{5000, 0.43, 15000}, Memory: LogNormal{10000, 0.55, 31000}, Work: LogNormal{1000, 0.47, 2500},
			Gang: 0.3, Allowed: 0.7, FailureRate: 0.02, EstimateError: 0.3},
	}
	demand := 0.0 // cores
	for i := range classes {
		c := &classes[i]
		if c.Queue.Name == "quick" {
			c.PerSecond *= scale
		} else {
			c.PerSecond *= scale / growth
		}
		demand += c.PerSecond * c.Steps * c.Width.Mean * c.CPU.Mean / 1000 * c.Work.Mean / 1000
	}
	for i := range classes {
		classes[i].PerSecond *= load * float64(workers*workerCores) / demand
	}
	return classes
}

// refWorkers is the number of workers to which the parameters of Classes refer.
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

// drawJobs draws all jobs of a run, in steps of loadStep.
func drawJobs(o *Options, rng *rand.Rand) []*job {
	var all []*job
	for t := time.Duration(0); t < o.Length; t += loadStep {
		add := func(c int, by *Account) {
			j := drawJob(&o.Classes[c], by, cmp.Or(o.Pattern.EstimateError, o.Classes[c].EstimateError), rng)
			j.class, j.submitted = c, t+time.Duration(rng.Int64N(int64(loadStep)))
			j.id = work.JobID(fmt.Sprintf("%016x", len(all)+1))
			all = append(all, j)
		}
		for c := range o.Classes {
			rate := o.Classes[c].PerSecond
			for _, b := range o.Pattern.Bursts {
				if b.Class == c && b.Span.has(t) {
					rate *= b.Factor
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

// loadStep is the length of the intervals for which arrivals are drawn.
const loadStep = 50 * time.Millisecond

func poisson(rng *rand.Rand, mean float64) int {
	n, p := 0, rng.ExpFloat64()
	for p < mean {
		n++
		p += rng.ExpFloat64()
	}
	return n
}

// drawJob draws a job that the account by submits, or one without an account if by is nil, with
// a sigma of the error of its estimates.
func drawJob(c *Class, by *Account, estimateError float64, rng *rand.Rand) *job {
	j := &job{spec: &work.Job{Queue: c.Queue, Spec: "x"}}
	if by != nil {
		j.spec.Account = by.Name
	}
	j.poisoned = c.Poison > 0 && rng.Float64() < c.Poison
	steps := 1 + poisson(rng, c.Steps-1)
	demand, path := 0.0, time.Duration(0)
	for i := range steps {
		s := work.Step{Count: max(1, int(c.Width.draw(rng)+0.5)),
			Size: work.Resources{CPU: int(c.CPU.draw(rng)), Memory: int(c.Memory.draw(rng))},
			Gang: rng.Float64() < c.Gang, Checkpoints: rng.Float64() < c.Checkpoints}
		if i > 0 {
			s.After = []int{i - 1}
		}
		if by != nil && s.Gang {
			s.Count = max(1, min(s.Count, by.maxGang(s.Size)))
		}
		runTime := time.Duration(c.Work.draw(rng)) * time.Millisecond
		s.Estimate = time.Duration(float64(runTime) * math.Exp(rng.NormFloat64()*estimateError))
		runTimes := make([]time.Duration, s.Count)
		longest := time.Duration(0)
		for k := range runTimes {
			runTimes[k] = time.Duration(float64(runTime) * (1 + 0.3*(rng.Float64()-0.5)))
			longest = max(longest, runTimes[k])
		}
		demand += float64(s.Count) * float64(s.Size.CPU) / 1000 * runTime.Seconds()
		path += longest + c.Queue.Advice.Cost(advisedFree)
		j.size = max(j.size, s.Count)
		j.runTimes = append(j.runTimes, runTimes)
		j.spec.Steps = append(j.spec.Steps, s)
	}
	mean := c.Steps * c.Width.Mean * c.CPU.Mean / 1000 * c.Work.Mean / 1000
	j.worth = c.Worth * min(worthMax, worthFixed+(1-worthFixed)*demand/mean)
	if j.poisoned {
		path *= time.Duration(c.Queue.Attempts) // the objective allows for all failed attempts
	}
	j.due = time.Duration(float64(path)*c.Queue.Slack) + c.Queue.Allowance
	return j
}
