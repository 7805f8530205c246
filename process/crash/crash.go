// Package crash decides which tasks crash the workers that run them. Such a task crashes every
// worker that starts it, and each crash ends all other work there.
//
// Workers also crash for other reasons. The crash of a worker therefore counts only against
// the runs that had started shortly before it (Window), not against those that had been
// running for longer. It is attributed to one task alone only if no other job had started a
// run there as recently, so a suspect task, under which workers have crashed before, is tried
// on a worker where nothing else has just started. A healthy task loses time by that, and is
// given up only if workers crash under it again and again.
//
// Guarantees: a task is given up after maxLosses crashes at the latest, and after soleLosses
// only if one of them is attributed to it alone. The records are stored for a successor; a
// trial is recorded before it starts, so that a crash just before the leader fails counts as
// well. A task has at most maxRecords records.
package crash

import (
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/version/work"
)

// Limits of crashes. At most two starts of a task are allowed after a third worker has crashed
// under it.
const (
	// Window is how soon after its start a task crashes its worker, if it does.
	Window = 500 * time.Millisecond
	// HealthyAfter is how long a run must have been running for earlier crashes no longer to
	// count against its task.
	HealthyAfter = 10 * time.Second

	suspectLosses = 2
	soleLosses    = 3 // of which at least one is attributed to the task alone
	maxLosses     = 4
	// maxRecords bounds the records of workers that stay unreachable.
	maxRecords = 16
)

// Records are the crashes of workers under one task, and its trials and losses of which it is
// undecided whether they were crashes.
type Records []work.Crash

// Suspect reports whether the task may only be started where nothing else has just started.
func (r Records) Suspect() bool {
	return len(r) >= suspectLosses || slices.ContainsFunc(r, func(c work.Crash) bool { return c.Sole && !c.Undecided })
}

// LimitReached reports whether the task is to be given up.
func (r Records) LimitReached() bool {
	losses, sole := 0, 0
	for i := range r {
		if r[i].Undecided {
			continue
		}
		losses++
		if r[i].Sole {
			sole++
		}
	}
	return LimitReached(losses, sole)
}

// LimitReached reports whether a task is to be given up. losses is the number of worker crashes
// in which a run of the task was suspect, sole the number of those without a suspect run of
// another job.
func LimitReached(losses, sole int) bool {
	return losses >= maxLosses || (losses >= soleLosses && sole > 0)
}

// Begin records a trial: a run of a suspect task that is about to start. sole means that
// nothing else has just started on the worker.
func (r *Records) Begin(run uint64, worker string, sole bool) {
	r.add(work.Crash{Run: run, Worker: worker, Sole: sole, Undecided: true})
}

// add appends a record. If there are maxRecords already, it first drops the oldest undecided
// one, never a crash.
func (r *Records) add(c work.Crash) {
	if len(*r) >= maxRecords {
		if i := slices.IndexFunc(*r, func(x work.Crash) bool { return x.Undecided }); i >= 0 {
			*r = slices.Delete(*r, i, i+1)
		}
	}
	*r = append(*r, c)
}

// AddLoss records that a run was lost with its worker. ended means that the worker's incarnation
// has ended; otherwise it may only be unreachable, which Settle decides. A run that was in
// flight to one incarnation and may have been started by the next one crashes at most one of
// them.
func (r *Records) AddLoss(run uint64, worker string, sole, ended bool) {
	lost := work.Crash{Run: run, Worker: worker, Sole: sole, Undecided: !ended}
	i := slices.IndexFunc(*r, func(c work.Crash) bool { return c.Run == run })
	switch {
	case i < 0:
		r.add(lost)
	case (*r)[i].Undecided || (*r)[i].Worker == worker:
		(*r)[i] = lost
	}
}

// Settle decides the records of a worker. If its incarnation has ended, the undecided ones count
// as crashes. Otherwise it has answered, so that it has not crashed, and all are dropped but
// that of the run live, which may still crash it. Settle reports whether anything changed.
func (r *Records) Settle(worker string, ended bool, live uint64) bool {
	changed := false
	if ended {
		for i := range *r {
			if c := &(*r)[i]; c.Worker == worker && c.Undecided {
				c.Undecided, changed = false, true
			}
		}
		return changed
	}
	before := len(*r)
	*r = slices.DeleteFunc(*r, func(c work.Crash) bool { return c.Worker == worker && c.Run != live })
	return len(*r) != before
}

// Drop removes the trial of a run that has ended without a crash of its worker. It reports
// whether there was one.
func (r *Records) Drop(run uint64) bool {
	before := len(*r)
	*r = slices.DeleteFunc(*r, func(c work.Crash) bool { return c.Undecided && c.Run == run })
	return len(*r) != before
}

// OnTrial reports whether the run has an undecided record: it may still crash its worker.
func (r Records) OnTrial(run uint64) bool {
	return slices.ContainsFunc(r, func(c work.Crash) bool { return c.Undecided && c.Run == run })
}
