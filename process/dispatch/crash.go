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

// quiet keeps a worker for one step: nothing else is started there until then, so that a
// death says which task caused it.
type quiet struct {
	s     *step
	until time.Duration
}

func (q quiet) from(s *step, now time.Duration) bool { return now < q.until && q.s != s }

// livedOn reports whether a run is known to have begun and, if its worker lived at some
// time, not to have crashed it.
func (p *place) livedOn(at time.Duration) bool { return p.begun > 0 && at >= p.begun+crash.Window }

// quietFor reports whether no run of another job has just begun on the worker, is about to, or
// is on trial there.
func (e *Engine) quietFor(w *worker, s *step) bool {
	for _, p := range w.places {
		if p.s.job != s.job && (!p.livedOn(e.now) || p.task().crashes.OnTrial(p.run)) {
			return false
		}
	}
	return true
}

// keepQuiet keeps a worker for a step with a suspect task until what has just begun there
// has lived on, unless one is kept for the step.
func (e *Engine) keepQuiet(s *step, w *worker) {
	if k := s.keeps; k != nil && k.quiet.s == s && e.now < k.quiet.until {
		return
	}
	s.keeps = w
	w.quiet = quiet{s, e.now + 2*crash.Window}
}

// keepSeatsQuiet does so for the workers of a gang with a suspect task, and reports whether
// the gang has to wait for that. It waits for a bounded time only.
func (e *Engine) keepSeatsQuiet(s *step, seats []seat) (wait bool) {
	if !slices.ContainsFunc(s.tasks, func(t task) bool { return t.crashes.Suspect() }) {
		return false
	}
	for _, x := range seats {
		if !e.quietFor(x.w, s) {
			x.w.quiet = quiet{s, e.now + 2*crash.Window}
			wait = true
		}
	}
	if s.quietWait < e.now-crash.Window {
		s.quietWait = e.now + maxQuietWait
	}
	return wait && e.now < s.quietWait
}

// maxQuietWait bounds how long a gang waits for workers on which nothing has just begun.
const maxQuietWait = 4 * crash.Window

// noteHeard notes that the worker lived at some time.
func (w *worker) noteHeard(at time.Duration) { w.heard = max(w.heard, at) }

// startHeard notes that the worker lived when a start was sent that it has answered. What
// had lived on by then is cleared at once: no renewal may follow before the worker dies, and
// a successor takes a trial that is open for what crashed it.
func (e *Engine) startHeard(p *place) {
	p.w.noteHeard(p.sent)
	e.settleCrashes(p.w, false)
}

// suspects returns the runs that may have crashed the worker, and whether they are of one
// job: those that had not lived on when it was last heard of. Where there are none and
// the worker's life is over, it is all.
func (w *worker) suspects(ended bool) (all []*place, sole bool) {
	for _, p := range places(w) {
		if p.tries > 0 && !p.livedOn(w.heard) {
			all = append(all, p)
		}
	}
	if len(all) == 0 && ended {
		all = slices.DeleteFunc(places(w), func(p *place) bool { return p.tries == 0 })
	}
	sole = !slices.ContainsFunc(all, func(p *place) bool { return p.s.job != all[0].s.job })
	return all, sole
}

// suspectRuns returns the same in the form that a successor reads.
func (w *worker) suspectRuns(ended bool) []suspectRun {
	if w.Draining {
		return nil // it leaves as planned
	}
	all := slices.Clone(w.inheritedSuspects)
	suspects, sole := w.suspects(ended)
	for _, p := range suspects {
		all = append(all, suspectRun{p.id(), p.run, sole})
	}
	return all
}

// blame records what was lost with a worker that did not leave as planned, and returns
// the tasks that may have caused it. ended tells that its life is over.
func (e *Engine) blame(w *worker, ended bool) []suspectRun {
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
		if p := t.place; p != nil && p.w == w {
			p.blamed = true
		}
		t.crashes.Lose(x.Run, string(w.ID), x.Sole, ended)
		e.noteUnder(w.ID, x.Task)
		e.mark(s.job, false)
		e.stats.Suspected++
		e.decide(Decision{What: "may have crashed its worker", Task: x.Task, Run: x.Run, Worker: w.ID,
			Why: fmt.Sprintf("sole=%v ended=%v suspects=%d records=%d", x.Sole, ended, len(suspects), len(t.crashes)), Age: e.now - w.answered})
	}
	return suspects
}

// noteUnder remembers that a task has a record of a worker.
func (e *Engine) noteUnder(id runner.WorkerID, task work.TaskID) {
	if !slices.Contains(e.underCrashes[id], task) {
		e.underCrashes[id] = append(e.underCrashes[id], task)
	}
}

// judge ends the job of a task that crashes its workers.
func (e *Engine) judge(id work.TaskID) {
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
	tasks := e.underCrashes[w.ID]
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
		delete(e.underCrashes, w.ID)
		return
	}
	e.underCrashes[w.ID] = kept
}

// settleCrash does so for one task, and reports whether a record of the worker is left.
func (e *Engine) settleCrash(s *step, id work.TaskID, w *worker, ended bool) bool {
	t := &s.tasks[id.Index]
	var live uint64 // a trial that may crash the worker yet
	if p := t.place; p != nil && p.w == w && !p.livedOn(w.heard) {
		live = p.run
	}
	if t.crashes.Settle(string(w.ID), ended && !w.Draining, live) {
		e.mark(s.job, false)
	}
	e.judge(id)
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
				e.noteUnder(runner.WorkerID(c.Worker), id)
				if e.workers[runner.WorkerID(c.Worker)] == nil && s.tasks[i].crashes.Settle(c.Worker, true, 0) {
					e.mark(j, false)
					e.judge(id)
				}
			}
		}
	}
}

// forgetCrashes drops what concerns jobs that have ended and crashes long past.
func (e *Engine) forgetCrashes() {
	for id, tasks := range e.underCrashes {
		tasks = slices.DeleteFunc(tasks, func(t work.TaskID) bool { return e.jobs[t.Job] == nil || !e.jobs[t.Job].active() })
		if e.underCrashes[id] = tasks; len(tasks) == 0 {
			delete(e.underCrashes, id)
		}
	}
	for address, at := range e.crashedAt {
		if e.now-at > crashedFor {
			delete(e.crashedAt, address)
		}
	}
}

func (e *Engine) crashedLately(w *worker) bool {
	at, known := e.crashedAt[w.Address]
	return known && e.now-at <= crashedFor
}

// beginTrial records the start of a suspect task; it is sent once the store has that. A
// successor that finds neither the run nor its end then knows of the worker's death.
func (e *Engine) beginTrial(p *place) {
	sole := e.quietFor(p.w, p.s)
	p.task().crashes.Begin(p.run, string(p.w.ID), sole)
	e.noteUnder(p.w.ID, p.id())
	e.mark(p.s.job, true)
	p.awaits = p.s.job.version
	p.s.job.trials = append(p.s.job.trials, p)
	p.w.quiet = quiet{p.s, e.now + 2*crash.Window}
	e.stats.Trials++
	e.decide(Decision{What: "trial of a suspect task", Task: p.id(), Run: p.run, Worker: p.w.ID, Why: fmt.Sprintf("sole=%v records=%d", sole, len(p.task().crashes))})
}

// errNoLongerFit is why a trial is not sent.
var errNoLongerFit = errors.New("the worker can not be used any more")

// sendTrials sends the trials of a job that the store has on record.
func (e *Engine) sendTrials(j *job) {
	waiting := j.trials
	j.trials = nil
	for _, p := range waiting {
		w := p.w
		switch {
		case p.task().place != p || p.state != starting: // given up meanwhile
		case p.awaits > j.saved:
			j.trials = append(j.trials, p)
		case w.Draining || w.closed || w.misses > 0 || w.over():
			e.release(p)
			e.brokenStart(p, errNoLongerFit)
		default:
			w.quiet = quiet{p.s, e.now + crash.Window}
			e.sendStart(p)
		}
	}
}

// endTrial forgets the trial of a run that was not lost with its worker.
func (e *Engine) endTrial(s *step, i int, run uint64) {
	if s.tasks[i].crashes.Drop(run) {
		e.mark(s.job, false)
	}
}

// noteSound forgets the crashes under a task of which a run has lived for long.
func (e *Engine) noteSound(p *place) {
	t := p.task()
	if len(t.crashes) == 0 || p.state != running || e.now-p.begun < crash.SoundAfter {
		return
	}
	t.crashes = nil
	e.mark(p.s.job, false)
}
