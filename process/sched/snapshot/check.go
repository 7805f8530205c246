package snapshot

import (
	"errors"
	"fmt"

	"fennelshunt.example/fennelshunt/version/spec"
)

// ErrInvariant is wrapped by each error of Check.
var ErrInvariant = errors.New("snapshot: invariant violated")

// Check verifies the index against the records: every usable worker is only in
// the bucket of its free capacity, with its current free amounts, no other worker
// is in any bucket, and the tasks counted per job are those listed by the workers.
// Its cost is linear in workers and tasks; tests and long runs call it.
func (t *Table) Check() error {
	indexed := 0
	var err error
	t.All(func(w *Worker) bool {
		if t.slot(w.index).position >= 0 {
			indexed++
		}
		err = t.checkWorker(w)
		return err == nil
	})
	if err != nil {
		return err
	}
	return errors.Join(t.checkBuckets(indexed), t.checkJobs())
}

func (t *Table) checkWorker(w *Worker) error {
	s := t.slot(w.index)
	if (w.Unusable == "") != (s.position >= 0) {
		return fmt.Errorf("%w: worker %s: unusable %q, position %d", ErrInvariant, w.ID, w.Unusable, s.position)
	}
	fresh := *w
	if fresh.countPreemptible(); fresh.preemptible != w.preemptible {
		return fmt.Errorf("%w: worker %s: preemptible %+v, tasks hold %+v", ErrInvariant, w.ID, w.preemptible, fresh.preemptible)
	}
	if s.position < 0 {
		return nil
	}
	c := t.classes[w.class]
	if want := c.bucketOf(w.Free()); want != s.bucket {
		return fmt.Errorf("%w: worker %s in bucket %d, want %d", ErrInvariant, w.ID, s.bucket, want)
	}
	e := c.bucket(s.bucket).pages[s.position/pageSize].entries[s.position%pageSize]
	if e != EntryOf(w) {
		return fmt.Errorf("%w: worker %s: entry %+v, free %+v", ErrInvariant, w.ID, e, w.Free())
	}
	return nil
}

func (t *Table) checkBuckets(want int) error {
	n := 0
	for _, c := range t.classes {
		var free spec.Resources
		for at := range int32(Levels * Levels) {
			size := 0
			if b := c.bucket(at); b != nil {
				for _, p := range b.pages {
					size += len(p.entries)
					for i := range p.entries {
						free = free.Add(p.entries[i].free())
					}
				}
			}
			if occupied := c.occupied[at/Levels]&(1<<(at%Levels)) != 0; occupied != (size > 0) {
				return fmt.Errorf("%w: bucket %d has %d workers, occupied bit is %v", ErrInvariant, at, size, occupied)
			}
			n += size
		}
		if free != c.free {
			return fmt.Errorf("%w: entries of class have %+v free, recorded sum is %+v", ErrInvariant, free, c.free)
		}
	}
	if n != want {
		return fmt.Errorf("%w: %d entries, %d usable workers", ErrInvariant, n, want)
	}
	return nil
}

func (t *Table) checkJobs() error {
	fresh := &Table{owner: new(owner), jobs: newJobIndex(), dir: t.dir}
	t.All(func(w *Worker) bool { fresh.countTasks(w, 1); return true })
	if fresh.jobs.tree.Len() != t.jobs.tree.Len() {
		return fmt.Errorf("%w: %d counts per job and rack, want %d", ErrInvariant, t.jobs.tree.Len(), fresh.jobs.tree.Len())
	}
	var err error
	fresh.jobs.tree.Ascend(func(want jobCount) bool {
		if got, _ := t.jobs.tree.Get(want); got != want {
			err = fmt.Errorf("%w: job %s: rack %d counted %d, want %d", ErrInvariant, want.job, want.rack, got.tasks, want.tasks)
		}
		return err == nil
	})
	return err
}
