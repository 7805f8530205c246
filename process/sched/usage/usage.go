// Package usage learns from what tasks really use, and for how long they really
// run, what to reserve for the next task of the same job.
//
// Declared sizes and run times are off by a factor of three either way. The
// learned size only applies to later starts. What a running task has reserved
// is never taken back: its usage is reported with a lag, and work that was let
// in on the difference would push the VM over its capacity as soon as the task
// uses what it was promised. A job's tasks are alike and many, so the room is
// won with the next starts.
//
// Processors can be shared out anew at any moment (a throttled task is late,
// not dead), memory can not: so processors are sized by a high percentile and
// memory by the highest value seen, both with a margin that shrinks as more
// tasks have ended. Accelerators are whole and exclusive; they stay as declared.
//
// A Learner belongs to one goroutine; it is not safe for concurrent use. It is
// memory only: after a takeover it starts again from the declared values.
package usage

import (
	"time"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/version/spec"
)

// Limits of what is learned.
const (
	// Window is how many ended tasks of a job count.
	Window = 64
	// MinEnded is how many tasks have to end before less than the declared
	// size is reserved. More than declared is reserved at the first report.
	MinEnded = 5
	// Floor is the least share of the declared size that is reserved. Sizes
	// are off by three; less than a quarter is a report that can not be true.
	Floor = 0.25
	// cpuPercentile of the peaks is reserved of processors.
	cpuPercentile = 95
	// baseMargin and doubt make the factor on what was seen: with n tasks
	// ended it is baseMargin + doubt/sqrt(n).
	baseMargin = 1.05
	doubt      = 0.3
)

// Learner holds what is known of each job.
type Learner struct {
	jobs map[string]*history
	// running holds the highest usage reported of tasks that have not ended.
	running map[worker.Ref]spec.Resources
}

// history is what is known of one job.
type history struct {
	declared spec.Resources
	runTime  time.Duration
	cpu      ring
	memory   ring
	runs     ring
	// live is the highest usage reported of any task since the last ended
	// one left the window; it lets a size grow before a task has ended.
	live      spec.Resources
	liveUntil int // ended tasks until live is taken down
}

// New returns a learner that knows nothing.
func New() *Learner {
	return &Learner{jobs: map[string]*history{}, running: map[worker.Ref]spec.Resources{}}
}

// Declare tells what the operator declares for a job; runTime may be 0. What
// was learned stays over new generations of the job, and is dropped when the
// declared size changes, as the operator then knows better.
func (l *Learner) Declare(job string, size spec.Resources, runTime time.Duration) {
	h := l.jobs[job]
	if h == nil || h.declared != size {
		h = &history{declared: size}
		l.jobs[job] = h
	}
	h.runTime = runTime
}

// Forget drops a job that is no longer declared.
func (l *Learner) Forget(job string) { delete(l.jobs, job) }

// Observe takes a report of what a running task used lately.
func (l *Learner) Observe(ref worker.Ref, used spec.Resources) {
	h := l.jobs[ref.Task.Job]
	if h == nil || used.IsZero() {
		return
	}
	l.running[ref] = largest(l.running[ref], used)
	h.live = largest(h.live, used)
}

// Reported returns the number of tasks with a report whose end was not told.
func (l *Learner) Reported() int { return len(l.running) }

// Ended takes the end of a task. Only a task that succeeded tells anything of
// run times, and one that never had a report nothing of sizes.
func (l *Learner) Ended(ref worker.Ref, ran time.Duration, succeeded bool) {
	peak, reported := l.running[ref]
	delete(l.running, ref)
	h := l.jobs[ref.Task.Job]
	if h == nil {
		return
	}
	if reported {
		h.ended(peak)
	}
	if succeeded && ran > 0 {
		h.runs.add(int64(ran))
	}
}

func (h *history) ended(peak spec.Resources) {
	h.cpu.add(peak.MilliCPU)
	h.memory.add(peak.MemoryMB)
	h.liveUntil++
	if h.liveUntil >= Window {
		h.live, h.liveUntil = spec.Resources{}, 0
	}
}

func largest(a, b spec.Resources) spec.Resources {
	return spec.Resources{
		MilliCPU: max(a.MilliCPU, b.MilliCPU), MemoryMB: max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
