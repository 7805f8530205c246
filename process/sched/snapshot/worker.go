package snapshot

import (
	"time"
	"unique"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/version/spec"
)

// Index is a worker's position in a Table. It stays the same while the worker
// is known and may be used again after the worker is gone.
type Index int32

// Worker is an immutable record of one worker; a change makes a new record.
type Worker struct {
	ID        worker.ID
	Zone      string
	Rack      string
	Partition string
	Capacity  spec.Resources
	// Reserved is what running, starting and assumed tasks hold.
	Reserved spec.Resources
	// Unusable is a readable reason why nothing may start here; empty if it may.
	Unusable string
	Tasks    []Task

	index Index
	class int32
	rack  int32
	lane  Lane
	// below is what the tasks hold that each rank of class may end.
	below [ranks]spec.Resources
}

// ranks is the number of classes.
const ranks = 4

// Free returns what is not reserved; a dimension may be negative.
func (w *Worker) Free() spec.Resources { return w.Capacity.Sub(w.Reserved) }

// Preemptible returns what tasks hold that work of a class may end.
func (w *Worker) Preemptible(by spec.Class) spec.Resources { return w.below[by.Rank()] }

// countPreemptible sets below from the tasks.
func (w *Worker) countPreemptible() {
	w.below = [ranks]spec.Resources{}
	for i := range w.Tasks {
		w.addPreemptible(&w.Tasks[i], 1)
	}
}

func (w *Worker) addPreemptible(t *Task, times int64) {
	g := t.group.Value()
	if g.NonIdempotent {
		return
	}
	for rank := g.Class.Rank() + 1; rank < ranks; rank++ {
		w.below[rank] = w.below[rank].Add(g.Size.Times(times))
	}
}

// CountJob returns how many tasks of the job, of any generation, are here.
func (w *Worker) CountJob(job string) int {
	n := 0
	for i := range w.Tasks {
		if w.Tasks[i].group.Value().Job == job {
			n++
		}
	}
	return n
}

// Find returns the position of an attempt among Tasks, or -1.
func (w *Worker) Find(ref worker.Ref) int {
	for i := range w.Tasks {
		if w.Tasks[i].Is(ref) {
			return i
		}
	}
	return -1
}

// Group is what the tasks of one job have in common. Groups are interned: a
// worker's record holds one pointer per task in place of four strings, which
// at 25,000 workers is the difference between 70 and 20 MB.
type Group struct {
	Job           string
	Generation    uint64
	Class         spec.Class
	Team          string
	Kind          spec.Kind
	NonIdempotent bool
	Size          spec.Resources
}

// Preemptible reports whether work of a class may end such a task: one of a
// lower class that may start again.
func (g *Group) Preemptible(by spec.Class) bool {
	return !g.NonIdempotent && g.Class.Rank() < by.Rank()
}

// Task is one task on a worker.
type Task struct {
	group unique.Handle[Group]
	// started is the start in Unix milliseconds.
	started int64
	index   int32
	attempt int32
	work    float32
}

// Group returns what the task shares with the others of its job.
func (t *Task) Group() Group { return t.group.Value() }

// Size returns what the task holds.
func (t *Task) Size() spec.Resources { return t.group.Value().Size }

// Ref returns the attempt's name.
func (t *Task) Ref() worker.Ref {
	g := t.group.Value()
	id := spec.TaskID{Job: g.Job, Generation: g.Generation, Index: int(t.index)}
	return worker.Ref{Task: id, Attempt: int(t.attempt)}
}

// Is reports whether the task is this attempt.
func (t *Task) Is(ref worker.Ref) bool {
	if int(t.index) != ref.Task.Index || int(t.attempt) != ref.Attempt {
		return false
	}
	g := t.group.Value()
	return g.Job == ref.Task.Job && g.Generation == ref.Task.Generation
}

// Age returns for how long the task has run at a time.
func (t *Task) Age(now time.Time) time.Duration {
	return max(0, time.Duration(now.UnixMilli()-t.started)*time.Millisecond)
}

// Work returns the fraction done, 0 to 1; 0 also means not known.
func (t *Task) Work() float64 { return float64(t.work) }

// taskOf converts a task of a partition's state.
func taskOf(r *plan.RunningTask, now time.Time) Task {
	g := Group{
		Job: r.Ref.Task.Job, Generation: r.Ref.Task.Generation, Class: r.Class, Team: r.Team,
		Kind: r.Kind, NonIdempotent: r.NonIdempotent, Size: r.Size,
	}
	return Task{
		group: unique.Make(g), started: now.UnixMilli() - r.StartedMillis,
		index: int32(r.Ref.Task.Index), attempt: int32(r.Ref.Attempt), work: float32(r.Work),
	}
}

// TaskFor makes the task that an ask would start.
func TaskFor(a *Ask, now time.Time) Task {
	g := Group{
		Job: a.Task.Job, Generation: a.Task.Generation, Class: a.Class, Team: a.Team,
		Kind: a.Kind, NonIdempotent: a.NonIdempotent, Size: a.Size,
	}
	return Task{
		group: unique.Make(g), started: now.UnixMilli(),
		index: int32(a.Task.Index), attempt: int32(a.Attempt),
	}
}
