// Package crash judges tasks by the workers that died while they ran there: some tasks
// crash every worker that starts them, and each crash takes all other work there with it.
//
// Load pattern: a few such tasks among sound ones, and workers that die by themselves. A
// worker's death speaks against the runs that had begun shortly before it, and against
// none that had lived on. It speaks clearly against a task only if no other job had begun
// a run there as recently; so a task under which workers have died before is tried where
// nothing else has just begun. A sound task loses time by that, and is given up only if
// workers die clearly under it again and again.
//
// Guarantees: a task is given up after maxLosses deaths at the latest, and after
// soleLosses only if one of them speaks clearly against it. What is recorded is what a
// successor reads; a trial is recorded before it begins, so that a death in a leader's
// last moments counts as well. A task has maxRecords at the most.
package crash

import (
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/version/work"
)

// Bounds of the judgement. A task may be started twice more after a third worker has
// crashed under it.
const (
	// Window is how soon after its start a task crashes its worker, if it does.
	Window = 500 * time.Millisecond
	// SoundAfter is how long a run must have lived for the deaths before it to say
	// nothing of its task any more.
	SoundAfter = 10 * time.Second

	suspectLosses = 2
	soleLosses    = 3 // of which one is of no other job
	maxLosses     = 4
	// maxRecords bounds those of workers that stay out of reach.
	maxRecords = 16
)

// Records are the deaths of workers under one task, and the trials under way.
type Records []work.Crash

// Suspect reports whether the task is to be tried where nothing else begins.
func (r Records) Suspect() bool {
	return len(r) >= suspectLosses || slices.ContainsFunc(r, func(c work.Crash) bool { return c.Sole && !c.Open })
}

// Guilty reports whether the task is to be given up.
func (r Records) Guilty() bool {
	losses, sole := 0, 0
	for i := range r {
		if r[i].Open {
			continue
		}
		losses++
		if r[i].Sole {
			sole++
		}
	}
	return Guilty(losses, sole)
}

// Guilty reports whether a task is to be given up under which so many workers have died,
// sole of them without another job's run that can be blamed.
func Guilty(losses, sole int) bool {
	return losses >= maxLosses || (losses >= soleLosses && sole > 0)
}

// Begin records a trial: a run of a suspect task that is about to start. sole tells that
// nothing else has just begun there.
func (r *Records) Begin(run uint64, worker string, sole bool) {
	r.add(work.Crash{Run: run, Worker: worker, Sole: sole, Open: true})
}

// add appends a record, in place of the oldest of a worker out of reach if there are many.
func (r *Records) add(c work.Crash) {
	if len(*r) >= maxRecords {
		if i := slices.IndexFunc(*r, func(x work.Crash) bool { return x.Open }); i >= 0 {
			*r = slices.Delete(*r, i, i+1)
		}
	}
	*r = append(*r, c)
}

// Lose records that a run was lost with its worker. ended tells that the worker's life is
// over; else it may only be out of reach, which Settle tells. A run that was on its way to one
// life and may have been carried out by the next crashes one of them at most.
func (r *Records) Lose(run uint64, worker string, sole, ended bool) {
	lost := work.Crash{Run: run, Worker: worker, Sole: sole, Open: !ended}
	i := slices.IndexFunc(*r, func(c work.Crash) bool { return c.Run == run })
	switch {
	case i < 0:
		r.add(lost)
	case (*r)[i].Open || (*r)[i].Worker == worker:
		(*r)[i] = lost
	}
}

// Settle tells what became of a worker: its life has ended, or it lives, so that nothing
// was lost by its death; only the run live may crash it yet. It reports whether anything
// changed.
func (r *Records) Settle(worker string, ended bool, live uint64) bool {
	changed := false
	if ended {
		for i := range *r {
			if c := &(*r)[i]; c.Worker == worker && c.Open {
				c.Open, changed = false, true
			}
		}
		return changed
	}
	before := len(*r)
	*r = slices.DeleteFunc(*r, func(c work.Crash) bool { return c.Worker == worker && c.Run != live })
	return len(*r) != before
}

// Drop forgets the trial of a run that has ended without its worker's death. It reports
// whether there was one.
func (r *Records) Drop(run uint64) bool {
	before := len(*r)
	*r = slices.DeleteFunc(*r, func(c work.Crash) bool { return c.Open && c.Run == run })
	return len(*r) != before
}

// OnTrial reports whether a run may crash its worker yet.
func (r Records) OnTrial(run uint64) bool {
	return slices.ContainsFunc(r, func(c work.Crash) bool { return c.Open && c.Run == run })
}
