package snapshot

import (
	"strings"

	"github.com/google/btree"
)

// jobCount is the number of tasks of one generation of a job in a rack.
type jobCount struct {
	job        string
	generation uint64
	rack       int32
	tasks      int32
}

func jobLess(a, b jobCount) bool {
	if c := strings.Compare(a.job, b.job); c != 0 {
		return c < 0
	}
	if a.generation != b.generation {
		return a.generation < b.generation
	}
	return a.rack < b.rack
}

// jobIndex counts tasks per job and rack. It is one tree for all jobs rather than
// a map per job: a fork that changes a job copies one path of the tree instead of
// the job's whole map, which has up to one entry per rack of the cell.
type jobIndex struct {
	tree *btree.BTreeG[jobCount]
}

// jobTreeDegree is the degree of the B-tree.
const jobTreeDegree = 16

func newJobIndex() *jobIndex { return &jobIndex{btree.NewG(jobTreeDegree, jobLess)} }

func (x *jobIndex) clone() *jobIndex { return &jobIndex{x.tree.Clone()} }

// add changes the count of a job's tasks in a rack.
func (x *jobIndex) add(key jobCount, delta int32) {
	if old, ok := x.tree.Get(key); ok {
		key.tasks = old.tasks
	}
	key.tasks += delta
	if key.tasks == 0 {
		x.tree.Delete(key)
		return
	}
	x.tree.ReplaceOrInsert(key)
}

// JobRacks calls f with the number of tasks in each rack for each generation of
// a job, where there are any.
func (t *Table) JobRacks(job string, f func(generation uint64, rack, tasks int32)) {
	t.jobs.tree.AscendGreaterOrEqual(jobCount{job: job}, func(c jobCount) bool {
		if c.job != job {
			return false
		}
		f(c.generation, c.rack, c.tasks)
		return true
	})
}

// JobTasks returns the number of tasks of a job over all generations.
func (t *Table) JobTasks(job string) int {
	n := 0
	t.JobRacks(job, func(_ uint64, _, tasks int32) { n += int(tasks) })
	return n
}

func (t *Table) countTasks(w *Worker, delta int32) {
	for i := range w.Tasks {
		t.countTask(w, &w.Tasks[i], delta)
	}
}

func (t *Table) countTask(w *Worker, task *Task, delta int32) {
	g := task.group.Value()
	t.jobs.add(jobCount{job: g.Job, generation: g.Generation, rack: w.rack}, delta)
}
