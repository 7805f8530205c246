package snapshot

import (
	"strings"

	"github.com/google/btree"
)

// jobKey names one generation of a job.
type jobKey struct {
	job        string
	generation uint64
}

// jobCount counts the tasks of one generation of a job per rack.
type jobCount struct {
	key   jobKey
	owner *owner
	racks map[int32]int32
}

func jobLess(a, b *jobCount) bool {
	if c := strings.Compare(a.key.job, b.key.job); c != 0 {
		return c < 0
	}
	return a.key.generation < b.key.generation
}

// jobIndex counts tasks per job and rack. Its clones share what is not written.
type jobIndex struct {
	tree *btree.BTreeG[*jobCount]
}

// jobTreeDegree is the fan-out of the tree of jobs.
const jobTreeDegree = 16

func newJobIndex() *jobIndex { return &jobIndex{btree.NewG(jobTreeDegree, jobLess)} }

func (x *jobIndex) clone() *jobIndex { return &jobIndex{x.tree.Clone()} }

// add changes the count of a job's tasks in a rack.
func (x *jobIndex) add(o *owner, key jobKey, rack, delta int32) {
	c, ok := x.tree.Get(&jobCount{key: key})
	if !ok || c.owner != o {
		n := &jobCount{key: key, owner: o, racks: map[int32]int32{}}
		if ok {
			for r, count := range c.racks {
				n.racks[r] = count
			}
		}
		c = n
		x.tree.ReplaceOrInsert(c)
	}
	c.racks[rack] += delta
	if c.racks[rack] != 0 {
		return
	}
	delete(c.racks, rack)
	if len(c.racks) == 0 {
		x.tree.Delete(c)
	}
}

// JobRacks calls f with the number of tasks per rack for each generation of a
// job that has any. f must not keep or change the map.
func (t *Table) JobRacks(job string, f func(generation uint64, racks map[int32]int32)) {
	from := &jobCount{key: jobKey{job: job}}
	t.jobs.tree.AscendGreaterOrEqual(from, func(c *jobCount) bool {
		if c.key.job != job {
			return false
		}
		f(c.key.generation, c.racks)
		return true
	})
}

// JobTasks returns how many tasks of any generation of a job are known.
func (t *Table) JobTasks(job string) int {
	n := 0
	t.JobRacks(job, func(_ uint64, racks map[int32]int32) {
		for _, count := range racks {
			n += int(count)
		}
	})
	return n
}

func (t *Table) countTasks(w *Worker, delta int32) {
	for i := range w.Tasks {
		t.countTask(w, &w.Tasks[i], delta)
	}
}

func (t *Table) countTask(w *Worker, task *Task, delta int32) {
	g := task.group.Value()
	t.jobs.add(t.owner, jobKey{g.Job, g.Generation}, w.rack, delta)
}
