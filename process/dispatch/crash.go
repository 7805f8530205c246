package dispatch

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/process/crash"
	"fennelshunt.example/fennelshunt/version/work"
)

// Workers that die, and the tasks that may have caused it: package crash judges, this file
// tells it what was lost where, and keeps suspect tasks apart from other work.

// crashedFor is how long an address counts as one whose worker has crashed of late.
const crashedFor = 30 * time.Second

// isolation keeps a worker for one step: nothing else is started there until then, so that a
// death says which task caused it.
type isolation struct {
	s     *step
	until time.Duration
}

func (q isolation) excludes(s *step, now time.Duration) bool { return now < q.until && q.s != s }

// pastCrashWindow reports whether a run is known to have begun and, if its worker lived at some
// time, not to have crashed it.
func (alloc *allocation) pastCrashWindow(at time.Duration) bool {
	return alloc.confirmedAt > 0 && at >= alloc.confirmedAt+crash.Window
}

// noRecentStarts reports whether no run of another job has just begun on the worker, is about to, or
// is on trial there.
func (e *Engine) noRecentStarts(w *worker, s *step) bool {
	for _, alloc := range w.allocs {
		if alloc.s.job != s.job && (!alloc.pastCrashWindow(e.now) || alloc.task().crashes.OnTrial(alloc.run)) {
			return false
		}
	}
	return true
}

// isolate keeps a worker for a step with a suspect task until what has just begun there
// has lived on, unless one is kept for the step.
func (e *Engine) isolate(s *step, w *worker) {
	if k := s.isolates; k != nil && k.isolated.s == s && e.now < k.isolated.until {
		return
	}
	s.isolates = w
	w.isolated = isolation{s, e.now + 2*crash.Window}
}

// isolateGang does so for the workers of a gang with a suspect task, and reports whether
// the gang has to wait for that. It waits for a bounded time only.
func (e *Engine) isolateGang(s *step, slots []gangSlots) (wait bool) {
	if !slices.ContainsFunc(s.tasks, func(t task) bool { return t.crashes.Suspect() }) {
		return false
	}
	for _, x := range slots {
		if !e.noRecentStarts(x.w, s) {
			x.w.isolated = isolation{s, e.now + 2*crash.Window}
			wait = true
		}
	}
	if s.isolationWait < e.now-crash.Window {
		s.isolationWait = e.now + maxIsolationWait
	}
	return wait && e.now < s.isolationWait
}

// maxIsolationWait bounds how long a gang waits for workers on which nothing has just begun.
const maxIsolationWait = 4 * crash.Window

// noteAlive notes that the worker lived at some time.
func (w *worker) noteAlive(at time.Duration) { w.aliveAt = max(w.aliveAt, at) }

// startAnswered notes that the worker lived when a start was sent that it has answered. What
// had lived on by then is cleared at once: no renewal may follow before the worker dies, and
// a successor takes a trial that is open for what crashed it.
func (e *Engine) startAnswered(alloc *allocation) {
	alloc.w.noteAlive(alloc.sent)
	e.settleCrashes(alloc.w, false)
}

// suspects returns the runs that may have crashed the worker, and whether they are of one
// job: those that had not lived on when it was last heard of. Where there are none and
// the worker's life is over, it is all.
func (w *worker) suspects(ended bool) (all []*allocation, sole bool) {
	for _, alloc := range sortedAllocs(w) {
		if alloc.tries > 0 && !alloc.pastCrashWindow(w.aliveAt) {
			all = append(all, alloc)
		}
	}
	if len(all) == 0 && ended {
		all = slices.DeleteFunc(sortedAllocs(w), func(alloc *allocation) bool { return alloc.tries == 0 })
	}
	sole = !slices.ContainsFunc(all, func(alloc *allocation) bool { return alloc.s.job != all[0].s.job })
	return all, sole
}

// suspectRuns returns the same in the form that a successor reads.
func (w *worker) suspectRuns(ended bool) []suspectRun {
	if w.Draining {
		return nil // it leaves as planned
	}
	all := slices.Clone(w.inheritedSuspects)
	suspects, sole := w.suspects(ended)
	for _, alloc := range suspects {
		all = append(all, suspectRun{alloc.id(), alloc.run, sole})
	}
	return all
}

// recordLosses records what was lost with a worker that did not leave as planned, and returns
// the tasks that may have caused it. ended tells that its life is over.
func (e *Engine) recordLosses(w *worker, ended bool) []suspectRun {
	if ended && !w.Draining {
		e.crashedAt[w.Address] = e.now
	}
	suspects := w.suspectRuns(ended)
	for _, x := range suspects {
		s := e.jobs[x.Task.Job].step(x.Task)
		if s == nil || !s.job.active() || s.tasks[x.Task.Index].done {
			continue
		}
		t := &s.tasks[x.Task.Index]
		if alloc := t.alloc; alloc != nil && alloc.w == w {
			alloc.lossRecorded = true
		}
		t.crashes.Lose(x.Run, string(w.ID), x.Sole, ended)
		e.noteCrashRecord(w.ID, x.Task)
		e.markDirty(s.job, false)
		e.stats.Suspected++
		e.decide(Decision{What: "may have crashed its worker", Task: x.Task, Run: x.Run, Worker: w.ID,
			Why: fmt.Sprintf("sole=%v ended=%v suspects=%d records=%d", x.Sole, ended, len(suspects), len(t.crashes)), Age: e.now - w.answered})
	}
	return suspects
}

// noteCrashRecord remembers that a task has a record of a worker.
func (e *Engine) noteCrashRecord(id runner.WorkerID, task work.TaskID) {
	if !slices.Contains(e.tasksByCrash[id], task) {
		e.tasksByCrash[id] = append(e.tasksByCrash[id], task)
	}
}

// failIfGuilty ends the job of a task that crashes its workers.
func (e *Engine) failIfGuilty(id work.TaskID) {
	s := e.jobs[id.Job].step(id)
	if s == nil || !s.job.active() {
		return
	}
	t := &s.tasks[id.Index]
	if t.done || !t.crashes.Guilty() {
		return
	}
	e.stats.GivenUp++
	e.end(s.job, work.Failed, fmt.Sprintf("%d workers crashed under task %s", len(t.crashes), id))
}

// settleCrashes tells the tasks with records of a worker what has become of it: its life
// has ended, or it has just answered.
func (e *Engine) settleCrashes(w *worker, ended bool) {
	tasks := e.tasksByCrash[w.ID]
	if len(tasks) == 0 {
		return
	}
	kept := tasks[:0]
	for _, id := range tasks {
		if s := e.jobs[id.Job].step(id); s != nil && s.job.active() && e.settleCrash(s, id, w, ended) {
			kept = append(kept, id)
		}
	}
	if len(kept) == 0 {
		delete(e.tasksByCrash, w.ID)
		return
	}
	e.tasksByCrash[w.ID] = kept
}

// settleCrash does so for one task, and reports whether a record of the worker is left.
func (e *Engine) settleCrash(s *step, id work.TaskID, w *worker, ended bool) bool {
	t := &s.tasks[id.Index]
	var live uint64 // a trial that may crash the worker yet
	if alloc := t.alloc; alloc != nil && alloc.w == w && !alloc.pastCrashWindow(w.aliveAt) {
		live = alloc.run
	}
	if t.crashes.Settle(string(w.ID), ended && !w.Draining, live) {
		e.markDirty(s.job, false)
	}
	e.failIfGuilty(id)
	return slices.ContainsFunc(t.crashes, func(c work.Crash) bool { return c.Worker == string(w.ID) })
}

// loadCrashes takes over the records of a job's tasks. A worker that is not among those
// in use was found to be gone by an earlier leader.
func (e *Engine) loadCrashes(j *job) {
	if !j.active() {
		return
	}
	for s := range j.steps() {
		for i := range s.tasks {
			for _, c := range slices.Clone(s.tasks[i].crashes) {
				id := s.taskID(i)
				e.noteCrashRecord(runner.WorkerID(c.Worker), id)
				if e.workers[runner.WorkerID(c.Worker)] == nil && s.tasks[i].crashes.Settle(c.Worker, true, 0) {
					e.markDirty(j, false)
					e.failIfGuilty(id)
				}
			}
		}
	}
}

// pruneCrashes drops what concerns jobs that have ended and crashes long past.
func (e *Engine) pruneCrashes() {
	for id, tasks := range e.tasksByCrash {
		tasks = slices.DeleteFunc(tasks, func(t work.TaskID) bool { return e.jobs[t.Job] == nil || !e.jobs[t.Job].active() })
		if e.tasksByCrash[id] = tasks; len(tasks) == 0 {
			delete(e.tasksByCrash, id)
		}
	}
	for address, at := range e.crashedAt {
		if e.now-at > crashedFor {
			delete(e.crashedAt, address)
		}
	}
}

func (e *Engine) crashedRecently(w *worker) bool {
	at, known := e.crashedAt[w.Address]
	return known && e.now-at <= crashedFor
}

// beginTrial records the start of a suspect task; it is sent once the store has that. A
// successor that finds neither the run nor its end then knows of the worker's death.
func (e *Engine) beginTrial(alloc *allocation) {
	sole := e.noRecentStarts(alloc.w, alloc.s)
	alloc.task().crashes.Begin(alloc.run, string(alloc.w.ID), sole)
	e.noteCrashRecord(alloc.w.ID, alloc.id())
	e.markDirty(alloc.s.job, true)
	alloc.awaitsVersion = alloc.s.job.version
	alloc.s.job.trials = append(alloc.s.job.trials, alloc)
	alloc.w.isolated = isolation{alloc.s, e.now + 2*crash.Window}
	e.stats.Trials++
	e.decide(Decision{What: "trial of a suspect task", Task: alloc.id(), Run: alloc.run, Worker: alloc.w.ID, Why: fmt.Sprintf("sole=%v records=%d", sole, len(alloc.task().crashes))})
}

// errUnusable is why a trial is not sent.
var errUnusable = errors.New("the worker can not be used any more")

// sendTrials sends the trials of a job that the store has on record.
func (e *Engine) sendTrials(j *job) {
	waiting := j.trials
	j.trials = nil
	for _, alloc := range waiting {
		w := alloc.w
		switch {
		case alloc.task().alloc != alloc || alloc.state != starting: // given up meanwhile
		case alloc.awaitsVersion > j.saved:
			j.trials = append(j.trials, alloc)
		case w.Draining || w.cordoned || w.misses > 0 || w.over():
			e.release(alloc)
			e.memberNotStarted(alloc, errUnusable)
		default:
			w.isolated = isolation{alloc.s, e.now + crash.Window}
			e.sendStart(alloc)
		}
	}
}

// endTrial forgets the trial of a run that was not lost with its worker.
func (e *Engine) endTrial(s *step, i int, run uint64) {
	if s.tasks[i].crashes.Drop(run) {
		e.markDirty(s.job, false)
	}
}

// noteHealthy forgets the crashes under a task of which a run has lived for long.
func (e *Engine) noteHealthy(alloc *allocation) {
	t := alloc.task()
	if len(t.crashes) == 0 || alloc.state != running || e.now-alloc.confirmedAt < crash.SoundAfter {
		return
	}
	t.crashes = nil
	e.markDirty(alloc.s.job, false)
}
