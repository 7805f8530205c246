package snapshot

import (
	"errors"
	"fmt"

	"fennelshunt.example/fennelshunt/version/spec"
)

// ErrInvariant is wrapped by each error of Check.
var ErrInvariant = errors.New("snapshot: invariant violated")

// Check verifies the index against the records: every usable worker is in
// exactly the cell of its free capacity with its present free amounts, nothing
// else is in any cell, and the jobs are counted as the workers list them. Its
// cost is linear; tests and long runs call it.
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
	return errors.Join(t.checkCells(indexed), t.checkJobs())
}

func (t *Table) checkWorker(w *Worker) error {
	s := t.slot(w.index)
	if (w.Unusable == "") != (s.position >= 0) {
		return fmt.Errorf("%w: worker %s: unusable %q, position %d", ErrInvariant, w.ID, w.Unusable, s.position)
	}
	fresh := *w
	if fresh.countPreemptible(); fresh.below != w.below {
		return fmt.Errorf("%w: worker %s: preemptible %+v, tasks hold %+v", ErrInvariant, w.ID, w.below, fresh.below)
	}
	if s.position < 0 {
		return nil
	}
	c := t.classes[w.class]
	if want := c.cellOf(w.Free()); want != s.cell {
		return fmt.Errorf("%w: worker %s in cell %d, want %d", ErrInvariant, w.ID, s.cell, want)
	}
	e := c.cell(s.cell).pages[s.position/pageSize].entries[s.position%pageSize]
	if e != EntryOf(w) {
		return fmt.Errorf("%w: worker %s: entry %+v, free %+v", ErrInvariant, w.ID, e, w.Free())
	}
	return nil
}

func (t *Table) checkCells(want int) error {
	n := 0
	for _, c := range t.classes {
		var free spec.Resources
		for at := range int32(Levels * Levels) {
			size := 0
			if cell := c.cell(at); cell != nil {
				for _, p := range cell.pages {
					size += len(p.entries)
					for i := range p.entries {
						free = free.Add(p.entries[i].free())
					}
				}
			}
			if used := c.rows[at/Levels]&(1<<(at%Levels)) != 0; used != (size > 0) {
				return fmt.Errorf("%w: cell %d has %d workers, bitmap says %v", ErrInvariant, at, size, used)
			}
			n += size
		}
		if free != c.free {
			return fmt.Errorf("%w: class has %+v free, sum says %+v", ErrInvariant, free, c.free)
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
		return fmt.Errorf("%w: %d jobs and racks counted, want %d", ErrInvariant, t.jobs.tree.Len(), fresh.jobs.tree.Len())
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
