// Package usage estimates what to reserve for the next task of a job, and how long
// it will run, from the usage and the run times of the job's earlier tasks.
//
// Declared sizes and run times are off by up to a factor of three either way. A
// learned size applies only to later starts. The reservation of a running task is
// never reduced: its usage is reported with a lag, and if other work were admitted
// on the difference, the VM would exceed its capacity as soon as the task used
// what it had reserved. The tasks of a job are many and alike, so the unused
// capacity is reclaimed with the next starts.
//
// CPU can be redistributed at any time, as a throttled task only takes longer, but
// memory cannot. Therefore CPU is sized by a high percentile and memory by the
// maximum observed, both with a margin that shrinks as more tasks have ended.
// Accelerators are whole and exclusive; they are reserved as declared.
//
// A Learner is not safe for concurrent use. Its state is not persistent: after a
// takeover it starts again from the declared values.
package usage

import (
	"time"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/version/spec"
)

// Parameters of the size estimate.
const (
	// Window is the number of most recently ended tasks of a job that are used.
	Window = 64
	// MinEnded is the number of tasks that must have ended before less than the
	// declared size is reserved. More than declared is reserved from the first
	// report on.
	MinEnded = 5
	// Floor is the least fraction of the declared size that is reserved. Declared
	// sizes are off by a factor of three; usage below a quarter of them is
	// considered a reporting error.
	Floor = 0.25
	// cpuPercentile is the percentile of the CPU peaks that is reserved.
	cpuPercentile = 95
	// baseMargin and sampleMargin give the factor applied to the observed peak:
	// baseMargin + sampleMargin/sqrt(n) after n tasks have ended.
	baseMargin   = 1.05
	sampleMargin = 0.3
)

// Learner holds the usage history of each job.
type Learner struct {
	jobs map[string]*history
	// running holds the peak usage reported so far of tasks that have not ended.
	running map[worker.Ref]spec.Resources
}

// history is the usage history of one job.
type history struct {
	declared spec.Resources
	runTime  time.Duration
	cpu      ring
	memory   ring
	runs     ring
	// live is the peak usage reported of any task since the last reset, which is
	// done every Window ended tasks. It lets a size grow before a task has ended.
	live      spec.Resources
	liveEnded int // tasks that have ended since live was reset
}

// New returns a learner without any history.
func New() *Learner {
	return &Learner{jobs: map[string]*history{}, running: map[worker.Ref]spec.Resources{}}
}

// Declare sets the declared size and run time of a job; runTime may be 0. The
// history is kept across generations of the job. It is dropped when the declared
// size changes, because the new declaration is then the better information.
func (l *Learner) Declare(job string, size spec.Resources, runTime time.Duration) {
	h := l.jobs[job]
	if h == nil || h.declared != size {
		h = &history{declared: size}
		l.jobs[job] = h
	}
	h.runTime = runTime
}

// Remove removes a job that is no longer declared.
func (l *Learner) Remove(job string) { delete(l.jobs, job) }

// Observe records a report of the recent usage of a running task.
func (l *Learner) Observe(ref worker.Ref, used spec.Resources) {
	h := l.jobs[ref.Task.Job]
	if h == nil || used.IsZero() {
		return
	}
	l.running[ref] = largest(l.running[ref], used)
	h.live = largest(h.live, used)
}

// Reported returns the number of tasks with a usage report that have not ended.
func (l *Learner) Reported() int { return len(l.running) }

// Ended records the end of a task. The run time is used only if the task
// succeeded, and its usage only if there was a report.
func (l *Learner) Ended(ref worker.Ref, ran time.Duration, succeeded bool) {
	peak, reported := l.running[ref]
	delete(l.running, ref)
	h := l.jobs[ref.Task.Job]
	if h == nil {
		return
	}
	if reported {
		h.addPeak(peak)
	}
	if succeeded && ran > 0 {
		h.runs.add(int64(ran))
	}
}

func (h *history) addPeak(peak spec.Resources) {
	h.cpu.add(peak.MilliCPU)
	h.memory.add(peak.MemoryMB)
	h.liveEnded++
	if h.liveEnded >= Window {
		h.live, h.liveEnded = spec.Resources{}, 0
	}
}

func largest(a, b spec.Resources) spec.Resources {
	return spec.Resources{
		MilliCPU: max(a.MilliCPU, b.MilliCPU), MemoryMB: max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
