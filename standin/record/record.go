// Package record records what ran on the stand-in workers, independently of the system
// under test: how often each task started, whether it ever ran twice at the same
// time, and whether a VM was ever allocated more than its capacity.
package record

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/version/spec"
)

// maxViolations bounds the texts that are kept; further violations are only counted.
const maxViolations = 100

// Recorder records the runs of the stand-in workers. It is safe for concurrent
// use. A nil Recorder records nothing.
type Recorder struct {
	mu         sync.Mutex
	tasks      map[spec.TaskID]*taskRecord
	held       map[worker.ID]spec.Resources
	peak       map[worker.ID]spec.Resources
	capacity   map[worker.ID]spec.Resources
	violations []string
	violated   int
	saved      map[spec.TaskID]float64 // work of the last checkpoint
}

// taskRecord has the counts of one task; running are the current runs by worker.
type taskRecord struct {
	running   map[worker.ID]int
	starts    int
	succeeded int
	first     time.Time // of the first start
}

// New returns an empty recorder.
func New() *Recorder {
	return &Recorder{
		tasks:    map[spec.TaskID]*taskRecord{},
		held:     map[worker.ID]spec.Resources{},
		peak:     map[worker.ID]spec.Resources{},
		capacity: map[worker.ID]spec.Resources{},
		saved:    map[spec.TaskID]float64{},
	}
}

// SetCapacity sets the capacity of a VM.
func (r *Recorder) SetCapacity(id worker.ID, c spec.Resources) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.capacity[id] = c
}

// Started records a start. It is a violation if the task already runs, or if the VM is
// now allocated more than its capacity.
func (r *Recorder) Started(id worker.ID, task spec.TaskID, size spec.Resources) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tasks[task]
	if t == nil {
		t = &taskRecord{running: map[worker.ID]int{}, first: time.Now()}
		r.tasks[task] = t
	}
	t.starts++
	for other, n := range t.running {
		if n > 0 {
			r.violate("task %s started on %s while it runs on %s", task, id, other)
		}
	}
	t.running[id]++
	r.held[id] = r.held[id].Add(size)
	r.peak[id] = maxOf(r.peak[id], r.held[id])
	if c, ok := r.capacity[id]; ok && !r.held[id].Fits(c) {
		r.violate("VM %s holds %+v, more than its %+v", id, r.held[id], c)
	}
}

// Ended records the end of a run.
func (r *Recorder) Ended(id worker.ID, task spec.TaskID, size spec.Resources, state worker.TaskState) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tasks[task]
	if t == nil || t.running[id] == 0 {
		r.violate("task %s ended on %s without a start", task, id)
		return
	}
	t.running[id]--
	if t.running[id] == 0 {
		delete(t.running, id)
	}
	if state == worker.Succeeded {
		t.succeeded++
		if t.succeeded > 1 {
			r.violate("task %s succeeded %d times", task, t.succeeded)
		}
	}
	r.held[id] = r.held[id].Sub(size)
}

// SaveWork records the progress of a checkpoint.
func (r *Recorder) SaveWork(task spec.TaskID, work float64) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.saved[task] = work
}

// SavedWork returns the progress of the last checkpoint, or 0 if there is none.
func (r *Recorder) SavedWork(task spec.TaskID) float64 {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.saved[task]
}

func (r *Recorder) violate(format string, args ...any) {
	r.violated++
	if len(r.violations) < maxViolations {
		r.violations = append(r.violations, fmt.Sprintf(format, args...))
	}
}

func maxOf(a, b spec.Resources) spec.Resources {
	return spec.Resources{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// Report has the counts of a Recorder.
type Report struct {
	Tasks      int      `json:"tasks"`
	Starts     int      `json:"starts"`
	Succeeded  int      `json:"succeeded"`
	Running    int      `json:"running"`
	Violations []string `json:"violations"`
	// ViolationCount includes the violations whose text was not kept.
	ViolationCount int `json:"violation_count"`
	// Peak is the largest allocation of each VM, by declared sizes.
	Peak map[worker.ID]spec.Resources `json:"peak"`
}

// Report returns the counts so far.
func (r *Recorder) Report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	rep := Report{
		Tasks:          len(r.tasks),
		Violations:     append([]string{}, r.violations...),
		ViolationCount: r.violated,
		Peak:           make(map[worker.ID]spec.Resources, len(r.peak)),
	}
	for _, t := range r.tasks {
		rep.Starts += t.starts
		rep.Succeeded += t.succeeded
		rep.Running += len(t.running)
	}
	for id, p := range r.peak {
		rep.Peak[id] = p
	}
	return rep
}

// Starts returns how often the task started.
func (r *Recorder) Starts(task spec.TaskID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.tasks[task]; t != nil {
		return t.starts
	}
	return 0
}

// StartedMoreThanOnce lists the tasks that started more than once, sorted.
func (r *Recorder) StartedMoreThanOnce() []spec.TaskID {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []spec.TaskID
	for id, t := range r.tasks {
		if t.starts > 1 {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i].String() < ids[j].String() })
	return ids
}

// Succeeded returns how many tasks of the job, of any generation, succeeded.
func (r *Recorder) Succeeded(job string) int {
	return r.count(job, func(t *taskRecord) bool { return t.succeeded > 0 })
}

// RunningOf returns how many tasks of the job are running.
func (r *Recorder) RunningOf(job string) int {
	return r.count(job, func(t *taskRecord) bool { return len(t.running) > 0 })
}

func (r *Recorder) count(job string, match func(*taskRecord) bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for id, t := range r.tasks {
		if id.Job == job && match(t) {
			n++
		}
	}
	return n
}

// FirstStarts returns when each task of the job first started.
func (r *Recorder) FirstStarts(job string) map[spec.TaskID]time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[spec.TaskID]time.Time{}
	for id, t := range r.tasks {
		if id.Job == job {
			out[id] = t.first
		}
	}
	return out
}

// Held returns the current allocations and the capacity of all VMs, by declared sizes.
func (r *Recorder) Held() (held, capacity spec.Resources) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, c := range r.capacity {
		held, capacity = held.Add(r.held[id]), capacity.Add(c)
	}
	return held, capacity
}
