package dispatch

import (
	"iter"
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/version/work"
)

// occurrence is one occurrence of a job: each of its steps, once. A job that is not timed has
// one.
type occurrence struct {
	job    *job
	number int
	// opens is when its tasks may start, from is when its objective starts to count, and due
	// is when the objective ends; all in engine time.
	opens, from, due time.Duration
	steps            []*step
}

// repeat returns how often the job's steps run.
func (j *job) repeat() int { return max(1, j.spec.Repeat) }

// newOccurrence returns the occurrence with that number, with nothing done.
func (j *job) newOccurrence(number int) *occurrence {
	o := &occurrence{job: j, number: number, from: j.accepted, opens: j.opensAt(number)}
	if j.spec.Repeat > 0 {
		o.from = o.opens
	}
	o.due = o.from + j.spec.Objective()
	o.steps = make([]*step, len(j.spec.Steps))
	for i := range j.spec.Steps {
		o.steps[i] = o.newStep(i)
	}
	return o
}

func (o *occurrence) newStep(number int) *step {
	spec := &o.job.spec.Steps[number]
	s := &step{job: o.job, occurrence: o, number: number, spec: spec, left: spec.Count}
	s.work.Init(o.job.speeds, spec.Estimate)
	s.tasks = make([]task, s.left)
	s.pending = make([]int, s.left)
	for k := range s.pending {
		s.pending[k] = k
	}
	for _, a := range spec.After {
		s.after = append(s.after, o.steps[a])
		o.steps[a].next = append(o.steps[a].next, s)
	}
	return s
}

// occurrence returns an occurrence; nil for one that is done and pruned, or that the job does
// not have.
//
// One that is not due yet is created: a run of it that a worker reports was started by an
// earlier leader whose time of day was ahead. Otherwise its completion would be acknowledged
// as that of an untracked run, and the task would run a second time when it comes due here.
func (j *job) occurrence(number int) *occurrence {
	if j.trimmed || number < j.doneBefore || number >= j.repeat() {
		return nil
	}
	i, found := slices.BinarySearchFunc(j.occurrences, number, func(o *occurrence, n int) int { return o.number - n })
	if !found {
		j.occurrences = slices.Insert(j.occurrences, i, j.newOccurrence(number))
	}
	return j.occurrences[i]
}

// steps iterates over the steps of every occurrence in memory.
func (j *job) steps() iter.Seq[*step] {
	return func(yield func(*step) bool) {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if !yield(s) {
					return
				}
			}
		}
	}
}

// step finds a task's step; nil for an unknown job, occurrence, step or task.
func (j *job) step(id work.TaskID) *step {
	if j == nil {
		return nil
	}
	o := j.occurrence(id.Occurrence)
	if o == nil || id.Step >= len(o.steps) || id.Index >= len(o.steps[id.Step].tasks) {
		return nil
	}
	return o.steps[id.Step]
}

// done reports whether every task of the occurrence is done.
func (o *occurrence) done() bool {
	return !slices.ContainsFunc(o.steps, func(s *step) bool { return s.left > 0 })
}

// idle reports whether no run of the occurrence uses a worker's resources.
func (o *occurrence) idle() bool {
	return !slices.ContainsFunc(o.steps, func(s *step) bool { return s.live() > 0 })
}

// prune drops the occurrences that are done, up to the first that is not, so that a job with
// many occurrences stays small, in memory and in the store.
func (j *job) prune() {
	for len(j.occurrences) > 0 && j.occurrences[0].number == j.doneBefore && j.occurrences[0].done() && j.occurrences[0].idle() {
		j.occurrences = slices.Delete(j.occurrences, 0, 1)
		j.doneBefore++
	}
	j.nextDue = max(j.nextDue, j.doneBefore)
}

// trim drops everything of a job whose end is stored except what is needed to answer queries
// of its state and to charge runs of it that are still reported. It waits until none of its
// runs uses a worker's resources and none can be unreported. The spec and the tasks of a job
// take some kilobytes.
func (e *Engine) trim(j *job) {
	if j.trimmed || (j.inherited && e.unresolved > 0) || slices.ContainsFunc(j.occurrences, func(o *occurrence) bool { return !o.idle() }) {
		return
	}
	j.trimmed = true
	j.occurrences = nil
	for i := range j.spec.Steps {
		j.sizes = append(j.sizes, sizeOf(j.spec.Steps[i].Size))
	}
	j.spec = &work.Job{Queue: j.spec.Queue, Account: j.spec.Account, SpecStored: j.spec.SpecStored}
}

// mayOpen reports whether the job may have one more occurrence in memory. Each is kept with all
// of its tasks; together they may have as many tasks as one occurrence may have.
func (j *job) mayOpen() bool {
	return len(j.occurrences) == 0 || (len(j.occurrences)+1)*j.spec.Tasks() <= work.MaxTasks
}

// openDue lists the steps of occurrences that have come due as ready.
func (e *Engine) openDue(j *job) {
	for j.active() && j.nextDue < j.repeat() && j.opensAt(j.nextDue) <= e.now && j.mayOpen() {
		o := j.occurrence(j.nextDue)
		j.nextDue++
		for _, s := range o.steps {
			e.open(s)
		}
	}
}

// opensAt returns when the tasks of an occurrence may start.
func (j *job) opensAt(number int) time.Duration {
	if j.spec.Repeat == 0 {
		return 0
	}
	return j.start + time.Duration(number)*j.spec.Interval
}

// openTimed opens the occurrences that have come due, and drops jobs without further ones from
// the list of timed jobs.
func (e *Engine) openTimed() {
	e.timed = slices.DeleteFunc(e.timed, func(j *job) bool {
		if !j.active() {
			return true
		}
		j.prune()
		e.openDue(j)
		return j.nextDue == j.repeat()
	})
}
