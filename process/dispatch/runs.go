package dispatch

import (
	"errors"
	"fmt"
	"time"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/process/speed"
	"fennelshunt.example/fennelshunt/version/work"
)

// Limits of orders to workers.
const (
	// StartTimeout is the longest timeout of a start while workers answer at their usual speed,
	// which is in a few milliseconds.
	StartTimeout = 350 * time.Millisecond
	maxStarts    = 3 // attempts of a start
	// maxStartDelay is how long after it was decided a start may be sent: longer than a busy daemon
	// takes, shorter than a successor takes to start the task elsewhere.
	maxStartDelay = time.Second
	// stopRetry is between stop orders that were not answered.
	stopRetry = 300 * time.Millisecond
	// runBits is the number of bits of a run number that count the runs of a task within one
	// epoch. Runs of a later epoch have higher numbers than all of an earlier one.
	runBits = 16
)

// nextRun returns the number of a run; n counts the epoch's runs of the task, from 1 on.
func (e *Engine) nextRun(n uint64) uint64 { return (e.o.Epoch-1)<<runBits + n }

// newRun returns the number of the epoch's next run; count is how many there were. An epoch
// that has used up its numbers ends: the number of its next run would belong to the next
// epoch, which could then not start the task again.
func (e *Engine) newRun(count *uint64, id work.TaskID, on runner.WorkerID) (run uint64, ok bool) {
	if *count+1 >= 1<<runBits {
		e.decide(Decision{What: "epoch ends", Task: id, Worker: on, Why: "it has used up its run numbers for this task"})
		e.deposed = true
		return 0, false
	}
	*count++
	return e.nextRun(*count), true
}

// start starts a task on a worker. The caller has checked that it fits.
func (e *Engine) start(w *worker, s *step, i int, run uint64, ticket string) *allocation {
	t := &s.tasks[i]
	alloc := &allocation{w: w, s: s, index: i, run: run, need: s.spec.Need(), ticket: ticket, sent: e.now}
	if held, pin := e.hold(s, i); held != nil && pin != w {
		e.violate("start of a task that an open order may start elsewhere", alloc.id(), w.ID)
		return nil
	}
	if t.alloc != nil || t.done || !s.job.active() || !s.ready() || s.occurrence.opens > e.now {
		e.violate("start of a task that must not start", alloc.id(), w.ID)
		return nil
	}
	if !alloc.need.Fits(w.free()) {
		e.violate("start over the worker's capacity", alloc.id(), w.ID)
		return nil
	}
	if !s.job.account.Fits(s.charge()) {
		e.violate("start over the account's quota", alloc.id(), w.ID)
		return nil
	}
	if hasTarget(s.spec) {
		e.stopBestEffort(w)
	}
	t.alloc = alloc
	s.unqueue(i)
	if s.preemption != nil && !s.spec.Gang {
		s.preemption.noteTaskStart(w)
	}
	e.book(alloc)
	e.stats.Starts++
	if t.crashes.Suspect() {
		e.beginTrial(alloc)
		return alloc
	}
	e.sendStart(alloc)
	return alloc
}

func (e *Engine) sendStart(alloc *allocation) {
	if !e.mayLease() {
		e.stats.StartsHeld++
		e.heldStarts = append(e.heldStarts, alloc)
		return
	}
	if alloc.tries == 0 {
		alloc.sent, alloc.resumed, alloc.predicted = e.now, alloc.task().checkpoint != "", e.estimateOn(alloc.s, alloc.w)
	}
	alloc.tries++
	if _, startTime := alloc.w.ID.Incarnation(); startTime != 0 {
		e.orders.Sent(alloc.w.Ref, alloc.id(), alloc.run)
	}
	j := alloc.s.job
	e.effects = append(e.effects, SendStart{To: alloc.w.Ref, Start: runner.Start{
		Task: alloc.id(), Run: alloc.run, Spec: j.spec.Spec, AcceptedBy: j.spec.AcceptedBy, SpecDigest: j.spec.SpecDigest, Checkpoint: alloc.task().checkpoint, Ticket: alloc.ticket,
		Epoch: e.o.Epoch, Until: alloc.w.renewUntil(e.now, e.o.Bounds.Lease),
	}, Before: e.now + maxStartDelay})
}

// errStartDelayed means that a start was not sent, since this process stood still since it was decided. It
// matches runner.ErrNotRun.
var errStartDelayed = fmt.Errorf("dispatch: the order was not sent in time: %w", runner.ErrNotRun)

// allocOf finds a run on a worker.
func (e *Engine) allocOf(id runner.WorkerID, task work.TaskID, run uint64) *allocation {
	w := e.workers[id]
	if w == nil {
		return nil
	}
	if alloc := w.allocs[task]; alloc != nil && alloc.run == run {
		return alloc
	}
	return nil
}

// Started handles the outcome of a SendStart.
func (e *Engine) Started(now time.Duration, id runner.WorkerID, task work.TaskID, run uint64, err error) {
	e.now = now
	e.noteOrdered(id, task, run, err)
	if errors.Is(err, runner.ErrCopyOpen) && !errors.Is(err, runner.ErrNotRun) {
		err = nil // carried out, apart from the copy
	}
	if errors.Is(err, runner.ErrFenced) {
		e.deposed = true
		return
	}
	w := e.workers[id]
	if w != nil && errors.Is(err, runner.ErrRestarted) {
		e.removeWorker(w, "another incarnation answers at its address", true)
		return
	}
	if w != nil && errors.Is(err, runner.ErrUnknown) {
		w.lateUntil = now + maxOrderDelay
	}
	alloc := e.allocOf(id, task, run)
	if alloc == nil {
		return
	}
	switch {
	case err == nil:
		e.confirm(alloc, 0)
		e.startAnswered(alloc)
	case errors.Is(err, runner.ErrStaleRun):
		// It was stopped or has completed; a report will tell which.
		alloc.state, alloc.stopAckedAt = stopping, now
		e.memberNotStarted(alloc, err)
	case errors.Is(err, runner.ErrNotRun) && alloc.tries == 1:
		e.refused(alloc, err)
	case errors.Is(err, runner.ErrNotRun):
		// An earlier attempt had no answer and may still start.
		e.refusedBy(alloc, err)
		e.stop(alloc, "refused after a try without an answer")
		e.memberNotStarted(alloc, err)
	case alloc.state == stopping:
	case alloc.s.job.account.Over(alloc.s.charge()):
		// The account's cap was lowered after the start was sent.
		e.stop(alloc, "no answer to the start, and its account is over its cap")
		e.memberNotStarted(alloc, err)
	case w.overbooked():
		e.stop(alloc, "no answer to the start, and its worker's capacity has shrunk")
		e.memberNotStarted(alloc, err)
	case alloc.tries < maxStarts && w.misses == 0:
		e.resend(alloc)
	default:
		e.stop(alloc, "no answer to the start")
		e.memberNotStarted(alloc, err)
	}
}

// confirm records that the worker has the run, of which it has reported the given progress.
func (e *Engine) confirm(alloc *allocation, percent float64) {
	if alloc.state == stopping {
		return
	}
	if alloc.state != running {
		alloc.state, alloc.ackAt = running, e.now
		alloc.percentAt = e.now
		underWay := percent >= speed.MinPercent // the answer to its start was late or lost
		alloc.progress.Begin(e.now, !alloc.resumed && !underWay)
		if underWay {
			alloc.predicted = 0 // there is no time of the whole run to compare it with
		}
	}
	e.noteStarted(alloc)
}

// noteStarted records that a job has started: its worker has, or had, a run of it.
func (e *Engine) noteStarted(alloc *allocation) {
	j := alloc.s.job
	if j.started {
		return
	}
	j.started = true
	e.took(SpanStart, j)
	e.decide(Decision{What: "begun", Task: alloc.id(), Run: alloc.run, Worker: alloc.w.ID, Why: "its first task runs", Age: max(e.now-j.accepted, 0)})
}

// refused releases a run that certainly did not start.
func (e *Engine) refused(alloc *allocation, err error) {
	e.decide(Decision{What: "start refused", Task: alloc.id(), Run: alloc.run, Worker: alloc.w.ID, Why: err.Error(), Age: e.now - alloc.sent})
	e.refusedBy(alloc, err)
	e.release(alloc)
	e.memberNotStarted(alloc, err)
}

// refusedBy updates the worker's state after it refused a start.
func (e *Engine) refusedBy(alloc *allocation, err error) {
	w := alloc.w
	switch {
	case errors.Is(err, runner.ErrInvalidTicket):
		if a := alloc.s.advice; a != nil {
			a.expire(w)
		}
	case errors.Is(err, runner.ErrUnhealthy), errors.Is(err, runner.ErrNoCapacity):
		w.quarantinedUntil = max(w.quarantinedUntil, e.now+refusalQuarantine)
	case errors.Is(err, runner.ErrLeaseExpired): // the estimate of its clock is wrong
		w.quarantinedUntil = max(w.quarantinedUntil, e.now+refusalQuarantine)
		w.nextRenew = e.now
	case errors.Is(err, runner.ErrNoConnection):
		w.misses++
		w.nextRenew = e.now
	case errors.Is(err, runner.ErrBadOrder):
		alloc.task().avoid = append(alloc.task().avoid, w.ID)
	}
}

// memberNotStarted stops a gang of which a member did not start.
func (e *Engine) memberNotStarted(alloc *allocation, err error) {
	if alloc.s.spec.Gang {
		e.stopGang(alloc.s, err.Error())
	}
}

// release frees a run that is known not to run, and makes its task eligible to start again.
func (e *Engine) release(alloc *allocation) {
	e.unbook(alloc)
	if !alloc.lossRecorded {
		e.endTrial(alloc.s, alloc.index, alloc.run)
	}
	e.scheduled = false
	t := alloc.task()
	if t.alloc != alloc {
		return
	}
	t.alloc = nil
	s := alloc.s
	if !t.done && s.job.active() {
		s.requeue(alloc.index)
		e.open(s)
	}
	if s.spec.Gang && s.live() == 0 {
		s.gang.stopping = false
	}
}

// stop orders a run to stop. Its resources stay booked until it is known to have ended.
func (e *Engine) stop(alloc *allocation, why string) {
	if alloc.state == stopping {
		return
	}
	alloc.state, alloc.stopAt = stopping, e.now
	e.decide(Decision{What: "stop", Task: alloc.id(), Run: alloc.run, Worker: alloc.w.ID, Why: why, Age: e.now - alloc.sent})
	e.sendStop(alloc)
}

func (e *Engine) sendStop(alloc *allocation) {
	alloc.stopSent = e.now
	e.stats.Stops++
	e.effects = append(e.effects, SendStop{To: alloc.w.Ref, Task: alloc.id(), Run: alloc.run})
}

// stopGang stops every member of a gang.
func (e *Engine) stopGang(s *step, why string) {
	if s.live() == 0 {
		s.gang.stopping = false
		return
	}
	s.gang.stopping = true
	for i := range s.tasks {
		if alloc := s.tasks[i].alloc; alloc != nil {
			e.stop(alloc, why)
		}
	}
}

// StopAnswered handles the outcome of a SendStop.
func (e *Engine) StopAnswered(now time.Duration, id runner.WorkerID, task work.TaskID, run uint64, err error) {
	e.now = now
	w := e.workers[id]
	switch {
	case errors.Is(err, runner.ErrFenced):
		e.deposed = true
		return
	case w != nil && errors.Is(err, runner.ErrRestarted):
		e.removeWorker(w, "another incarnation answers at its address", true)
		return
	}
	if w != nil && err == nil {
		e.fenceAnswered(w, task, run)
	}
	alloc := e.allocOf(id, task, run)
	if alloc == nil || alloc.state != stopping || err != nil {
		return // an unanswered stop is sent again by tickAlloc
	}
	alloc.stopAckedAt = now
	w.nextRenew = min(w.nextRenew, now)
}

// tickAlloc handles what is due by time for one run.
func (e *Engine) tickAlloc(alloc *allocation) {
	if alloc.state == stopping && alloc.stopAckedAt == 0 && e.now-alloc.stopSent >= stopRetry {
		e.sendStop(alloc)
	}
	e.checkStalled(alloc)
}
