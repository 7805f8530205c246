package dispatch

import (
	"errors"
	"time"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/version/work"
)

// Bounds of orders to workers.
const (
	// StartTimeout is the longest that a start goes without an answer; a worker
	// answers in a few milliseconds.
	StartTimeout = 350 * time.Millisecond
	maxStarts    = 3
	// stopRetry is between stops that were not answered.
	stopRetry = 300 * time.Millisecond
	// runBits is how many runs of a task one epoch can number. Runs of a later
	// epoch are higher than all of an earlier one.
	runBits = 16
)

// nextRun numbers a run; n counts the epoch's runs of the task, from 1 on.
func (e *Engine) nextRun(n uint64) uint64 { return (e.o.Epoch-1)<<runBits + n }

// newRun gives the next run of the epoch its number; count is how many there
// were. An epoch that has used up its numbers ends: its next run's number would
// be one of the next epoch's, which could then not start the task again.
func (e *Engine) newRun(count *uint64, id work.TaskID, on runner.WorkerID) (run uint64, ok bool) {
	if *count+1 >= 1<<runBits {
		e.decide(Decision{What: "epoch ends", Task: id, Worker: on, Why: "it has no more numbers for runs of this task"})
		e.deposed = true
		return 0, false
	}
	*count++
	return e.nextRun(*count), true
}

// start starts a task on a worker. The caller has checked that it fits.
func (e *Engine) start(w *worker, s *step, i int, run uint64, ticket string) *place {
	t := &s.tasks[i]
	p := &place{w: w, s: s, index: i, run: run, need: s.spec.Need(), ticket: ticket, sent: e.now}
	if t.place != nil || t.done || !s.job.active() || !s.ready() || s.occurrence.opens > e.now {
		e.violate("start of a task that must not start", p.id(), w.ID)
		return nil
	}
	if !p.need.Fits(w.free()) {
		e.violate("start over the worker's capacity", p.id(), w.ID)
		return nil
	}
	if !s.job.account.Fits(s.charge()) {
		e.violate("start over the account's quota", p.id(), w.ID)
		return nil
	}
	e.giveWay(w, s)
	t.place = p
	s.unqueue(i)
	e.book(p)
	e.stats.Starts++
	if t.crashes.Suspect() {
		e.beginTrial(p)
		return p
	}
	e.sendStart(p)
	return p
}

func (e *Engine) sendStart(p *place) {
	if p.tries == 0 {
		p.sent = e.now
	}
	p.tries++
	j := p.s.job
	e.out = append(e.out, SendStart{To: p.w.Ref, Start: runner.Start{
		Task: p.id(), Run: p.run, Spec: j.spec.Spec, Home: j.spec.Home, Checkpoint: p.task().checkpoint, Ticket: p.ticket,
		Epoch: e.o.Epoch, Until: p.w.renewUntil(e.now, e.o.Bounds.Lease),
	}})
}

// placeOf finds a run on a worker.
func (e *Engine) placeOf(id runner.WorkerID, task work.TaskID, run uint64) *place {
	w := e.workers[id]
	if w == nil {
		return nil
	}
	if p := w.places[task]; p != nil && p.run == run {
		return p
	}
	return nil
}

// Started takes the outcome of a SendStart.
func (e *Engine) Started(now time.Duration, id runner.WorkerID, task work.TaskID, run uint64, err error) {
	e.now = now
	if errors.Is(err, runner.ErrFenced) {
		e.deposed = true
		return
	}
	w := e.workers[id]
	if w != nil && errors.Is(err, runner.ErrGone) {
		e.workerGone(w, "another life answers at its address", true)
		return
	}
	p := e.placeOf(id, task, run)
	if p == nil {
		return
	}
	switch {
	case err == nil:
		e.confirm(p)
		e.startHeard(p)
	case errors.Is(err, runner.ErrOld):
		// It was stopped or has ended; a report will tell.
		p.state, p.stopped = stopping, now
		e.brokenStart(p, err)
	case errors.Is(err, runner.ErrNotRun) && p.tries == 1:
		e.refused(p, err)
	case errors.Is(err, runner.ErrNotRun):
		// An earlier try had no answer and may start yet.
		e.refusedBy(p, err)
		e.stop(p, "refused after a try without an answer")
		e.brokenStart(p, err)
	case p.state == stopping:
	case p.s.job.account.Over(p.s.charge()):
		// Its cap was lowered since: it was within the quota then, and is not now.
		e.stop(p, "no answer to the start, and its account is over its cap")
		e.brokenStart(p, err)
	case w.over():
		e.stop(p, "no answer to the start, and its worker has become smaller")
		e.brokenStart(p, err)
	case p.tries < maxStarts && w.misses == 0:
		p.state = doubtful
		e.stats.Resent++
		e.sendStart(p)
	default:
		e.stop(p, "no answer to the start")
		e.brokenStart(p, err)
	}
}

// confirm notes that a run is there.
func (e *Engine) confirm(p *place) {
	if p.state == stopping {
		return
	}
	if p.state != running {
		p.state, p.begun = running, e.now
		p.percentAt = e.now
	}
	e.begin(p)
}

// begin notes that a job has begun: a run of it is there, or has been.
func (e *Engine) begin(p *place) {
	j := p.s.job
	if j.begun {
		return
	}
	j.begun = true
	e.took(SpanStart, j)
	e.decide(Decision{What: "begun", Task: p.id(), Run: p.run, Worker: p.w.ID, Why: "the first of its tasks is there", Age: max(e.now-j.accepted, 0)})
}

// refused frees a run that certainly did not start.
func (e *Engine) refused(p *place, err error) {
	e.decide(Decision{What: "start refused", Task: p.id(), Run: p.run, Worker: p.w.ID, Why: err.Error(), Age: e.now - p.sent})
	e.refusedBy(p, err)
	e.release(p)
	e.brokenStart(p, err)
}

// refusedBy draws the conclusion on the worker.
func (e *Engine) refusedBy(p *place, err error) {
	w := p.w
	switch {
	case errors.Is(err, runner.ErrTicket):
		if a := p.s.advice; a != nil {
			a.expire(w)
		}
	case errors.Is(err, runner.ErrUnhealthy), errors.Is(err, runner.ErrNoRoom):
		w.asideUntil = max(w.asideUntil, e.now+refusalAside)
	case errors.Is(err, runner.ErrLate): // its clock is not where it was thought to be
		w.asideUntil = max(w.asideUntil, e.now+refusalAside)
		w.nextRenew = e.now
	case errors.Is(err, runner.ErrNoConnection):
		w.misses++
		w.nextRenew = e.now
	case errors.Is(err, runner.ErrBadOrder):
		p.task().avoid = append(p.task().avoid, w.ID)
	}
}

// brokenStart stops a gang of which a member did not start.
func (e *Engine) brokenStart(p *place, err error) {
	if p.s.spec.Gang {
		e.breakGang(p.s, err.Error())
	}
}

// release frees a run that is known not to run, and lets its task start again.
func (e *Engine) release(p *place) {
	e.unbook(p)
	if !p.blamed {
		e.endTrial(p.s, p.index, p.run)
	}
	e.scheduled = false
	t := p.task()
	if t.place != p {
		return
	}
	t.place = nil
	s := p.s
	if !t.done && s.job.active() {
		s.requeue(p.index)
		e.open(s)
	}
	if s.spec.Gang && s.live() == 0 {
		s.gang.breaking = false
	}
}

// stop ends a run. Its resources stay taken until it is known to have ended.
func (e *Engine) stop(p *place, why string) {
	if p.state == stopping {
		return
	}
	p.state = stopping
	e.decide(Decision{What: "stop", Task: p.id(), Run: p.run, Worker: p.w.ID, Why: why, Age: e.now - p.sent})
	e.sendStop(p)
}

func (e *Engine) sendStop(p *place) {
	p.stopSent = e.now
	e.stats.Stops++
	e.out = append(e.out, SendStop{To: p.w.Ref, Task: p.id(), Run: p.run})
}

// breakGang stops every member of a gang.
func (e *Engine) breakGang(s *step, why string) {
	if s.live() == 0 {
		s.gang.breaking = false
		return
	}
	s.gang.breaking = true
	for i := range s.tasks {
		if p := s.tasks[i].place; p != nil {
			e.stop(p, why)
		}
	}
}

// StopAnswered takes the outcome of a SendStop.
func (e *Engine) StopAnswered(now time.Duration, id runner.WorkerID, task work.TaskID, run uint64, err error) {
	e.now = now
	w := e.workers[id]
	switch {
	case errors.Is(err, runner.ErrFenced):
		e.deposed = true
		return
	case w != nil && errors.Is(err, runner.ErrGone):
		e.workerGone(w, "another life answers at its address", true)
		return
	}
	p := e.placeOf(id, task, run)
	if p == nil || p.state != stopping || err != nil {
		return // an unanswered stop is sent again by time
	}
	p.stopped = now
	w.nextRenew = min(w.nextRenew, now)
}

// tickPlace does what is due for one run.
func (e *Engine) tickPlace(p *place) {
	if p.state == stopping && p.stopped == 0 && e.now-p.stopSent >= stopRetry {
		e.sendStop(p)
	}
	e.watchStandstill(p)
}
