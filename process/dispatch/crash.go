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

// Workers that crash, and the tasks that may have caused it: package crash decides, this file
// records there what was lost on which worker, and keeps suspect tasks apart from other work.

// crashedFor is for how long after a crash an address counts as one whose worker crashed
// recently.
const crashedFor = 30 * time.Second

// isolation reserves a worker for one step: no other step starts there until it expires, so
// that a crash can be attributed to one task.
type isolation struct {
	s     *step
	until time.Duration
}

func (iso isolation) excludes(s *step, now time.Duration) bool { return now < iso.until && iso.s != s }

// survived reports whether a run is known to have started at least crash.Window before t. If its
// worker was still running at t, the run has not crashed it.
func (a *allocation) survived(t time.Duration) bool { return a.ackAt > 0 && t >= a.ackAt+crash.Window }

// noRecentStarts reports whether no run of another job has just started on the worker, is
// about to, or is on trial there.
func (e *Engine) noRecentStarts(w *worker, s *step) bool {
	for _, alloc := range w.allocs {
		if alloc.s.job != s.job && (!alloc.survived(e.now) || alloc.task().crashes.OnTrial(alloc.run)) {
			return false
		}
	}
	return true
}

// isolate isolates a worker for a step with a suspect task until the runs that have just
// started there are past the crash window, unless one is isolated for the step already.
func (e *Engine) isolate(s *step, w *worker) {
	if k := s.isolates; k != nil && k.isolated.s == s && e.now < k.isolated.until {
		return
	}
	s.isolates = w
	w.isolated = isolation{s, e.now + 2*crash.Window}
}

// isolateGang isolates the workers of a gang with a suspect task, and reports whether the gang
// has to wait for that. It waits for a bounded time only.
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

// maxIsolationWait bounds how long a gang waits for workers without recent starts.
const maxIsolationWait = 4 * crash.Window

// noteAlive records that the worker was running at some time.
func (w *worker) noteAlive(at time.Duration) { w.aliveAt = max(w.aliveAt, at) }

// startAnswered records that the worker was running when a start was sent that it has
// answered. Runs that are past the crash window by then are cleared at once: if the worker
// crashes before its next renewal, a successor would take an undecided trial for the cause.
func (e *Engine) startAnswered(alloc *allocation) {
	alloc.w.noteAlive(alloc.sent)
	e.settleCrashes(alloc.w, false)
}

// suspects returns the runs that may have crashed the worker, and whether they are all of one
// job: the runs that were not past the crash window when the worker was last known to be
// running. If there are none and the incarnation has ended, all its runs are suspect.
func (w *worker) suspects(ended bool) (all []*allocation, sole bool) {
	for _, alloc := range sortedAllocs(w) {
		if alloc.tries > 0 && !alloc.survived(w.aliveAt) {
			all = append(all, alloc)
		}
	}
	if len(all) == 0 && ended {
		all = slices.DeleteFunc(sortedAllocs(w), func(alloc *allocation) bool { return alloc.tries == 0 })
	}
	sole = !slices.ContainsFunc(all, func(alloc *allocation) bool { return alloc.s.job != all[0].s.job })
	return all, sole
}

// suspectRuns returns the suspects in the form that is stored for a successor.
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

// recordLosses records the loss of a worker that did not leave as planned in the crash records
// of the tasks that may have caused it, and returns their runs. ended means that the worker's
// incarnation has ended.
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
		t.crashes.AddLoss(x.Run, string(w.ID), x.Sole, ended)
		e.noteCrashRecord(w.ID, x.Task)
		e.markDirty(s.job, false)
		e.stats.Suspected++
		e.decide(Decision{What: "task may have crashed its worker", Task: x.Task, Run: x.Run, Worker: w.ID,
			Why: fmt.Sprintf("sole=%v ended=%v suspects=%d records=%d", x.Sole, ended, len(suspects), len(t.crashes)), Age: e.now - w.answered})
	}
	return suspects
}

// noteCrashRecord indexes a task by the worker that one of its crash records names.
func (e *Engine) noteCrashRecord(id runner.WorkerID, task work.TaskID) {
	if !slices.Contains(e.tasksByCrash[id], task) {
		e.tasksByCrash[id] = append(e.tasksByCrash[id], task)
	}
}

// failAtCrashLimit fails the job of a task that has reached the limit of crashed workers.
func (e *Engine) failAtCrashLimit(id work.TaskID) {
	s := e.jobs[id.Job].step(id)
	if s == nil || !s.job.active() {
		return
	}
	t := &s.tasks[id.Index]
	if t.done || !t.crashes.LimitReached() {
		return
	}
	e.stats.GivenUp++
	e.end(s.job, work.Failed, fmt.Sprintf("%d workers crashed under task %s", len(t.crashes), id))
}

// settleCrashes updates the tasks with crash records of a worker: its incarnation has ended,
// or it has just answered.
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

// settleCrash does this for one task, and reports whether a record of the worker remains.
func (e *Engine) settleCrash(s *step, id work.TaskID, w *worker, ended bool) bool {
	t := &s.tasks[id.Index]
	var live uint64 // a trial that may still crash the worker
	if alloc := t.alloc; alloc != nil && alloc.w == w && !alloc.survived(w.aliveAt) {
		live = alloc.run
	}
	if t.crashes.Settle(string(w.ID), ended && !w.Draining, live) {
		e.markDirty(s.job, false)
	}
	e.failAtCrashLimit(id)
	return slices.ContainsFunc(t.crashes, func(c work.Crash) bool { return c.Worker == string(w.ID) })
}

// loadCrashes indexes the crash records of a job's tasks. A worker that is not among those in
// use was removed by an earlier leader: its incarnation has ended.
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
					e.failAtCrashLimit(id)
				}
			}
		}
	}
}

// pruneCrashes drops the index of jobs that have ended, and crashes older than crashedFor.
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

// beginTrial records the start of a suspect task; the start is sent once the record is stored.
// A successor that finds neither the run nor its completion then has the record of the
// worker's crash.
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
var errUnusable = errors.New("the worker cannot be used any more")

// sendTrials sends the trials of a job whose records are stored.
func (e *Engine) sendTrials(j *job) {
	waiting := j.trials
	j.trials = nil
	for _, alloc := range waiting {
		w := alloc.w
		switch {
		case alloc.task().alloc != alloc || alloc.state != starting: // released meanwhile
		case alloc.awaitsVersion > j.saved:
			j.trials = append(j.trials, alloc)
		case w.Draining || w.cordoned || w.misses > 0 || w.overbooked():
			e.release(alloc)
			e.memberNotStarted(alloc, errUnusable)
		default:
			w.isolated = isolation{alloc.s, e.now + crash.Window}
			e.sendStart(alloc)
		}
	}
}

// endTrial drops the trial record of a run that was not lost with its worker.
func (e *Engine) endTrial(s *step, i int, run uint64) {
	if s.tasks[i].crashes.Drop(run) {
		e.markDirty(s.job, false)
	}
}

// noteHealthy drops the crash records of a task of which a run has been running for
// crash.HealthyAfter.
func (e *Engine) noteHealthy(alloc *allocation) {
	t := alloc.task()
	if len(t.crashes) == 0 || alloc.state != running || e.now-alloc.ackAt < crash.HealthyAfter {
		return
	}
	t.crashes = nil
	e.markDirty(alloc.s.job, false)
}
