package dispatch

import (
	"errors"
	"fmt"
	"time"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/version/work"
)

// renew sends the next renewal when it is due.
func (e *Engine) renew(w *worker) {
	if w.renewing || e.now < w.nextRenew {
		return
	}
	r := runner.Renewal{Epoch: e.o.Epoch}
	leased := e.mayLease() && w.known && !w.leaseTold
	if leased {
		r.Until = w.renewUntil(e.now, e.o.Bounds.Lease)
	} else if w.fenced && w.known && !w.leaseTold && w.misses == 0 {
		e.stats.LeasesWithheld++
	}
	ackUntil := w.presence.at + ackFreshness
	if w.misses == 0 && e.now <= ackUntil {
		r.Acknowledge = w.ackedCompletion
	}
	if leased && w.fenced && w.misses == 0 && !w.unacknowledged() && !w.stopsAnswered() && len(w.untracked) == 0 && len(w.fences) == 0 {
		r.Wait = e.renewWaitOf(w)
	}
	w.renewing, w.renewSent = true, e.now
	e.effects = append(e.effects, SendRenew{To: w.Ref, Renewal: r, Timeout: r.Wait + renewGrace, AcknowledgeUntil: ackUntil})
}

// unacknowledged reports whether the worker has completions that are not stored yet: a renewal
// that waits would be answered at once.
func (w *worker) unacknowledged() bool { return w.lastCompletion > w.ackedCompletion }

// stopsAnswered reports whether the worker has answered the stop of a run that its next report
// may show to have ended.
func (w *worker) stopsAnswered() bool {
	for _, alloc := range w.allocs {
		if alloc.state == stopping && alloc.stopAckedAt > 0 {
			return true
		}
	}
	return false
}

// Renewed handles the outcome of a SendRenew.
func (e *Engine) Renewed(now time.Duration, id runner.WorkerID, report runner.Report, err error) {
	e.now = now
	w := e.workers[id]
	if w == nil {
		return
	}
	w.renewing = false
	if err != nil {
		e.notRenewed(w, err)
		return
	}
	if e.claims[w.ID.Name()] == w && !e.acceptClaim(w) {
		return
	}
	if w.fenced && report.Clock > 0 && report.Clock < w.clock-clockBack { // 0: not reported
		e.decide(Decision{What: "answer of another incarnation", Worker: w.ID, Why: fmt.Sprintf("its clock went from %v back to %v", w.clock, report.Clock)})
		e.removeWorker(w, "its clock went back", true)
		return
	}
	if w.misses > 0 {
		e.decide(Decision{What: "worker answers again", Worker: w.ID, Age: now - w.answered})
		w.recoveredAt = now
		e.scheduled = false
	}
	w.misses, w.answered = 0, now
	w.presence.note(now, w.renewSent, report.Clock)
	w.noteAlive(w.presence.at)
	e.noteAnswer(w, report.Clock)
	w.clock, w.clockAt = report.Clock, now
	if !w.fenced {
		e.noteReached(w)
		w.fenced = true
		if !w.recorded && !e.fleetChanged {
			e.fleetChanged, e.joinedAt = true, now
		}
		e.scheduled = false
	}
	complete := len(report.Ended) < runner.MaxCompletions
	if complete {
		e.resolve(w)
	}
	e.uncordon(w)
	completions := e.takeCompletions(w, report.Ended)
	e.reconcileRunning(w, report.Running, complete)
	e.settleOrders(w, &report, complete)
	e.settleCrashes(w, false)
	w.nextRenew = now
	switch {
	case len(w.untracked) > 0, len(w.fences) > 0, completions == 0 && w.stopsAnswered():
		w.nextRenew = now + untrackedPause // a stop takes a while
	case w.unacknowledged():
		w.renewPause = nextPause(w.renewPause, completions > 0)
		w.nextRenew = now + w.renewPause
	}
	if !e.mayLease() || !w.known || w.leaseTold {
		w.nextRenew = max(w.nextRenew, now+evidencePause)
	}
}

// nextPause returns the pause before the next renewal of a worker whose completions cannot be
// acknowledged yet.
func nextPause(last time.Duration, anyNew bool) time.Duration {
	if anyNew {
		return renewPauseMin
	}
	return min(max(2*last, renewPauseMin), renewPauseMax)
}

func (e *Engine) notRenewed(w *worker, err error) {
	var other *runner.IncarnationError
	switch {
	case errors.Is(err, runner.ErrFenced):
		e.deposed = true
		return
	case errors.As(err, &other) && e.claims[w.ID.Name()] == w:
		e.claimContradicted(w, other.ID)
		return
	case errors.As(err, &other):
		e.noteReached(w)
		e.takeOtherIncarnation(w, other)
		return
	case errors.Is(err, runner.ErrRestarted):
		e.noteReached(w)
		e.removeWorker(w, "another incarnation answers at its address", true)
		return
	}
	if w.misses == 0 {
		e.decide(Decision{What: "worker does not answer", Worker: w.ID, Why: err.Error(), Age: e.now - w.answered})
		w.lateUntil = e.now + maxOrderDelay // further renewals do not renew the lease
	}
	w.misses++
	w.nextRenew = e.now + w.probePause()
	if !w.listed && w.idle() {
		e.removeWorker(w, "not listed and not answering", true)
	}
}

// probePause is between calls to the worker while it does not answer. It grows for one that has never answered, of which there
// may be any number, and nobody waits for what it runs.
func (w *worker) probePause() time.Duration {
	if w.mayBeUsed() {
		return probePause
	}
	return probePause << min(w.misses-1, maxProbeDoublings)
}

// reconcileRunning compares the runs that a worker reports with the runs booked on it.
// complete means that the report lists every completion.
func (e *Engine) reconcileRunning(w *worker, rows []runner.ActiveRun, complete bool) {
	w.refundUntracked()
	present := make(map[work.TaskID]uint64, len(rows))
	for i := range rows {
		r := &rows[i]
		present[r.Task] = r.Run
		if alloc := w.allocs[r.Task]; alloc != nil && alloc.run == r.Run {
			e.confirm(alloc, r.Percent)
			e.updateAlloc(alloc, r)
			continue
		}
		e.handleUnexpected(w, r)
	}
	for _, alloc := range sortedAllocs(w) {
		if run, ok := present[alloc.id()]; !ok || run != alloc.run {
			e.handleMissing(w, alloc, complete)
		}
	}
}

func (e *Engine) updateAlloc(alloc *allocation, r *runner.ActiveRun) {
	alloc.missingSince, alloc.reported = 0, true
	e.noteHealthy(alloc)
	if r.Checkpoint != "" && alloc.s.spec.Checkpoints {
		alloc.s.keepCheckpoint(alloc.index, r.Checkpoint)
	}
	if r.Percent > alloc.percent {
		before := alloc.percent
		alloc.percent, alloc.percentAt = r.Percent, e.now
		e.noteServing(alloc, before)
		e.learnProgress(alloc)
	}
	e.noteProgress(alloc)
}

// handleUnexpected handles a run that this engine has not started or has released: one of an
// earlier epoch, or of an order that was carried out late, is adopted if its task needs it, one of a
// job that is not known goes on until the job's submission has been read, any other is stopped.
func (e *Engine) handleUnexpected(w *worker, r *runner.ActiveRun) {
	j := e.jobs[r.Task.Job]
	s := j.step(r.Task)
	if s != nil && j.active() && (r.Run <= e.nextRun(0) || e.startedLate(w, s, r)) && e.adopt(w, s, r) {
		return
	}
	e.chargeUntracked(w, r)
	if j == nil && e.unheardOf(r.Task.Job).absentAt == 0 {
		return
	}
	e.stats.UntrackedRuns++
	e.decide(Decision{What: "stop unexpected run", Task: r.Task, Run: r.Run, Worker: w.ID, Why: whyUnexpected(j, s, r)})
	e.effects = append(e.effects, SendStop{To: w.Ref, Task: r.Task, Run: r.Run})
}

// startedLate reports whether an order of this epoch has started a run late that its task can use.
func (e *Engine) startedLate(w *worker, s *step, r *runner.ActiveRun) bool {
	if s.spec.Gang || s.tasks[r.Task.Index].crashes.Suspect() || e.orders.Find(w.ID.Name(), r.Task, r.Run) == nil {
		return false
	}
	return s.spec.Need().Fits(w.free()) && s.job.account.Fits(s.charge())
}

// whyUnexpected names why a run is not taken over.
func whyUnexpected(j *job, s *step, r *runner.ActiveRun) string {
	switch {
	case j == nil:
		return "its job does not exist"
	case !j.active():
		return "its job has ended"
	case s == nil:
		return "its occurrence is done"
	case s.tasks[r.Task.Index].done:
		return "its task is done"
	case s.tasks[r.Task.Index].alloc != nil:
		return "its task has another run"
	}
	return "not a run of an earlier epoch that the task needs"
}

// adopt takes over a run of an earlier epoch.
func (e *Engine) adopt(w *worker, s *step, r *runner.ActiveRun) bool {
	t := &s.tasks[r.Task.Index]
	if t.done || t.alloc != nil || s.gang.stopping || (s.spec.Gang && s.gang.run > r.Run) {
		return false
	}
	if s.spec.Gang && s.gang.run < r.Run {
		if s.live() > 0 {
			return false // another run of the gang is live: this member has to end before the gang restarts
		}
		s.gang.run = r.Run
	}
	e.stats.Adopted++
	if r.Run > e.nextRun(0) {
		e.stats.LateStartsAdopted++
	}
	alloc := &allocation{w: w, s: s, index: r.Task.Index, run: r.Run, need: s.spec.Need(), sent: e.now, tries: 1, state: running, ackAt: e.now, percentAt: e.now}
	alloc.progress.Begin(e.now, false)
	t.alloc = alloc
	s.unqueue(alloc.index)
	e.book(alloc)
	s.job.started = true
	e.updateAlloc(alloc, r)
	e.decide(Decision{What: "adopted", Task: r.Task, Run: r.Run, Worker: w.ID})
	return true
}

// handleMissing handles a run that a report does not list.
func (e *Engine) handleMissing(w *worker, alloc *allocation, complete bool) {
	switch {
	case alloc.state == stopping && alloc.stopAckedAt > 0 && alloc.stopAckedAt < w.renewSent && complete:
		// Neither running nor completed, and the worker rejects it from now on.
		e.orders.Refused(w.Ref, alloc.id(), alloc.run)
		e.release(alloc)
	case alloc.state == running && alloc.ackAt < w.renewSent && complete:
		if alloc.missingSince == 0 {
			alloc.missingSince = e.now
			return
		}
		e.decide(Decision{What: "run lost", Task: alloc.id(), Run: alloc.run, Worker: w.ID, Why: "neither running nor ended"})
		e.stats.Lost++
		e.release(alloc)
	}
}
