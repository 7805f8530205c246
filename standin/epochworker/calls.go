package epochworker

import (
	"context"
	"fmt"
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/version/work"
)

// reach delivers a call to a worker after the latency of calls. responds is false if the
// response is to be lost. If the worker cannot be reached or the call is late, reach
// returns an error: at once if the worker has crashed and is to restart, else at the end
// of ctx. A late call runs effect 2 to 12 s later, at the incarnation that is there then
// under the worker's name; effect is nil for calls that are never late.
func (f *Fleet) reach(ctx context.Context, to runner.Ref, effect func(w *worker)) (_ *worker, responds bool, err error) {
	select {
	case <-ctx.Done():
		return nil, false, fmt.Errorf("%w: %w", runner.ErrUnknown, ctx.Err())
	case <-time.After(f.o.Delay):
	}
	f.mu.Lock()
	w := f.current(to.ID)
	if w == nil {
		w = f.at(to)
	}
	unreachable := w == nil || w.disconnected || w.crashed
	isLate := !unreachable && effect != nil && f.rng.Float64() < f.faults.Late
	lost := !unreachable && f.rng.Float64() < f.faults.LoseAnswers
	if isLate {
		delay := 2*time.Second + time.Duration(f.rng.Int64N(int64(10*time.Second)))
		time.AfterFunc(delay, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if next := f.current(w.ID); !next.crashed {
				effect(next)
			}
		})
	}
	replaced, refused := w != nil && w.replaced, w != nil && w.crashed && f.o.Restart > 0
	f.mu.Unlock()
	switch {
	case replaced:
		return nil, false, runner.ErrRestarted
	case refused:
		return nil, false, runner.ErrNoConnection
	}
	if unreachable || isLate {
		<-ctx.Done()
		return nil, false, fmt.Errorf("%w: %w", runner.ErrUnknown, ctx.Err())
	}
	return w, !lost, nil
}

// current returns the incarnation that calls to a worker reach: with SameName the latest.
func (f *Fleet) current(id runner.WorkerID) *worker {
	w := f.workers[id]
	for f.o.SameName && w != nil && w.next != nil {
		w = w.next
	}
	return w
}

// at returns the worker under a name that answers at an address, whichever incarnation is called; nil for none.
func (f *Fleet) at(to runner.Ref) *worker {
	for _, id := range f.order {
		if w := f.workers[id]; !w.crashed && w.Address == to.Address && id.Name() == to.ID.Name() {
			return w
		}
	}
	return nil
}

// noResponse waits for the end of ctx, as a caller does whose response is lost.
func noResponse(ctx context.Context) error {
	<-ctx.Done()
	return fmt.Errorf("%w: %w", runner.ErrUnknown, ctx.Err())
}

// clock returns the time of the worker's own monotonic clock.
func (w *worker) clock() time.Duration {
	return time.Duration(float64(time.Since(w.started)) * w.clockRate)
}

// realTime returns how long a time on the worker's clock takes.
func (w *worker) realTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) / w.clockRate)
}

// Start implements runner.Runner.
func (f *Fleet) Start(ctx context.Context, to runner.Ref, s runner.Start) (time.Duration, error) {
	f.mu.Lock()
	if w := f.current(to.ID); w != nil && !w.crashed {
		w.ordered[s.Task] = true
	}
	f.mu.Unlock()
	w, responds, err := f.reach(ctx, to, func(w *worker) { _ = f.start(w, s, true) })
	if err != nil {
		return 0, err
	}
	f.mu.Lock()
	err = f.start(w, s, false)
	clock := w.clock()
	f.mu.Unlock()
	if !responds {
		return 0, noResponse(ctx)
	}
	return clock, err
}

func (f *Fleet) start(w *worker, s runner.Start, late bool) error {
	if w.crashed {
		return runner.ErrUnknown
	}
	if s.Epoch < w.epoch {
		return runner.ErrFenced
	}
	w.epoch = s.Epoch
	if r := w.running[s.Task]; r != nil && r.number == s.Run {
		return nil
	}
	if s.Run <= w.highest[s.Task] {
		f.extend(w, s.Until)
		return runner.ErrStaleRun
	}
	if s.Until <= w.clock() {
		return runner.ErrLeaseExpired
	}
	f.extend(w, s.Until)
	f.begin(w, s, late)
	return nil
}

func (f *Fleet) begin(w *worker, s runner.Start, late bool) {
	f.starts++
	j := f.jobs[s.Task.Job]
	if j == nil {
		f.violate("%s started, but its job was never submitted", s.Task)
		return
	}
	f.started[s.Task.Job] = true
	f.checkStart(w, s, j, late)
	step := &j.Steps[s.Task.Step]
	b := f.o.Work(s.Task, s.Run, w.ID)
	r := &run{task: s.Task, number: s.Run, need: step.Need(), takes: b.Takes, fails: b.Fails, stuck: b.Stuck, longRunning: step.LongRunning}
	r.timer = time.AfterFunc(time.Hour, func() {})
	w.running[s.Task] = r
	w.used = w.used.Add(r.need)
	if !w.used.Fits(w.maxCapacity()) {
		f.violate("%s on %s exceeds the worker's capacity: %+v", s.Task, w.ID, w.used)
	}
	h := f.history(s.Task)
	f.note(h, "started", s.Run, w.ID, s.Epoch)
	h.running++
	for _, e := range h.unacked {
		e.restarted = true
	}
	f.checkQuota(s.Task, j)
	if b.Crashes > 0 {
		time.AfterFunc(b.Crashes, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.crashBy(w, r)
		})
	}
	if !step.Gang {
		f.startWork(w, r)
		return
	}
	f.joinGang(w, r, step)
}

// maxEarly is how long before its scheduled time a task may start: synchronized clocks
// of machines differ by less.
const maxEarly = 250 * time.Millisecond

// completedLag is how long after a job was shown as completed orders that are on their way may
// still start its tasks.
const completedLag = time.Second

// refusalLag is how long after its first answer an incarnation may still lack the stops of runs that orders to
// earlier ones may start.
const refusalLag = time.Second

// couldRefuse reports whether a leader has had the time to have the incarnation refuse what earlier ones were ordered to
// start. Nobody can keep it from carrying out such an order before.
func (w *worker) couldRefuse() bool {
	return !w.answeredAt.IsZero() && time.Since(w.answeredAt) > refusalLag
}

// checkStart checks a start against the history of the task. late says that the worker carried out the order
// late: the bound on starts after an end that has been acknowledged does not hold for it.
func (f *Fleet) checkStart(w *worker, s runner.Start, j *work.Job, late bool) {
	h := f.history(s.Task)
	if at, ok := f.completed[s.Task.Job]; ok && !late && time.Since(at) > completedLag {
		f.violateTask(s.Task, "%s run %d on %s starts %v after its job was shown as completed", s.Task, s.Run, w.ID, time.Since(at))
	}
	switch {
	case h.running > 0:
		f.violateTask(s.Task, "%s run %d on %s runs twice (ordered by epoch %d)", s.Task, s.Run, w.ID, s.Epoch)
	case h.acked && !j.Steps[s.Task.Step].LongRunning && late && !w.couldRefuse():
		f.lateReruns++
	case h.acked && !j.Steps[s.Task.Step].LongRunning:
		f.violateTask(s.Task, "%s run %d on %s starts after its completion was acknowledged (ordered by epoch %d)", s.Task, s.Run, w.ID, s.Epoch)
	case f.o.Attempts > 0 && h.failures >= f.o.Attempts && !j.Steps[s.Task.Step].Gang && !j.Steps[s.Task.Step].LongRunning:
		f.violateTask(s.Task, "%s run %d starts after %d failures", s.Task, s.Run, h.failures)
	case s.Task.Occurrence >= max(1, j.Repeat):
		f.violateTask(s.Task, "%s starts, but the job has %d occurrences", s.Task, max(1, j.Repeat))
	}
	if h.crashes >= maxCrashes {
		if h.startsSince++; h.startsSince > startsAfterCrashes {
			f.violate("%s run %d is start %d after %d workers were crashed by the task", s.Task, s.Run, h.startsSince, maxCrashes)
		}
	}
	if at, ok := f.cancelled[s.Task.Job]; ok && time.Since(at) > 3*time.Second+12*time.Second {
		f.violate("%s run %d starts %v after its cancellation", s.Task, s.Run, time.Since(at))
	}
	if j.Repeat > 0 {
		due := time.UnixMilli(j.StartAt).Add(time.Duration(s.Task.Occurrence) * j.Interval)
		if early := time.Until(due); early > maxEarly {
			f.violate("%s run %d starts %v before its scheduled time", s.Task, s.Run, early)
		}
	}
	for _, a := range j.Steps[s.Task.Step].After {
		for i := range j.Steps[a].Count {
			if !f.history(work.TaskID{Job: s.Task.Job, Occurrence: s.Task.Occurrence, Step: a, Index: i}).done {
				f.violate("%s starts before step %d is done", s.Task, a)
				return
			}
		}
	}
}

// startWork begins the work of a run and sets the timer for its completion.
func (f *Fleet) startWork(w *worker, r *run) {
	r.began = time.Now()
	if r.stuck {
		return
	}
	outcome := runner.Done
	if r.fails {
		outcome = runner.Failed
	}
	r.timer.Stop()
	r.timer = time.AfterFunc(r.takes, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.end(w, r, outcome)
		if f.jobs[r.task.Job].Steps[r.task.Step].Gang {
			f.endGang(r, outcome)
		}
	})
}

// joinGang begins the work of a gang once all its members have started.
func (f *Fleet) joinGang(w *worker, r *run, step *work.Step) {
	members := f.members(r)
	if len(members) < step.Count {
		r.gangTimer = time.AfterFunc(f.o.GangTimeout, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if r.began.IsZero() {
				f.end(w, r, runner.GangIncomplete)
			}
		})
		return
	}
	for _, m := range members {
		f.startWork(m.w, m.r)
	}
}

type member struct {
	w *worker
	r *run
}

// members returns the running members of a run's gang.
func (f *Fleet) members(r *run) []member {
	var all []member
	for _, id := range f.order {
		w := f.workers[id]
		for _, x := range w.running {
			if x.task.Job == r.task.Job && x.task.Occurrence == r.task.Occurrence && x.task.Step == r.task.Step && x.number == r.number && !x.stopping {
				all = append(all, member{w, x})
			}
		}
	}
	return all
}

func (f *Fleet) endGang(r *run, outcome runner.Outcome) {
	if outcome != runner.Done {
		outcome = runner.GangBroken
	}
	for _, m := range f.members(r) {
		f.end(m.w, m.r, outcome)
	}
}

// end ends a run, if it is still running, and lists its completion.
func (f *Fleet) end(w *worker, r *run, outcome runner.Outcome) {
	if w.crashed || w.running[r.task] != r {
		return
	}
	r.timer.Stop()
	if r.gangTimer != nil {
		r.gangTimer.Stop()
	}
	delete(w.running, r.task)
	w.used = w.used.Sub(r.need)
	h := f.history(r.task)
	f.note(h, outcome.String(), r.number, w.ID, 0)
	h.running--
	switch outcome {
	case runner.Done:
		h.done = true
		h.unacked = append(h.unacked, &doneEnd{on: w, number: w.number + 1, expiries: w.expiries})
		f.markGangDone(r)
	case runner.Failed:
		h.failures++
	}
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.number++
	w.completions = append(w.completions, runner.Completion{Number: w.number, Task: r.task, Run: r.number, Outcome: outcome})
	close(w.wake)
	w.wake = make(chan struct{})
}

// markGangDone records a whole gang as done after a run of one member had the outcome
// runner.Done. It counts for all members, also for those being stopped at the time.
func (f *Fleet) markGangDone(r *run) {
	step := &f.jobs[r.task.Job].Steps[r.task.Step]
	if !step.Gang {
		return
	}
	for i := range step.Count {
		f.history(work.TaskID{Job: r.task.Job, Occurrence: r.task.Occurrence, Step: r.task.Step, Index: i}).done = true
	}
}

// extend renews the lease; it never shortens it.
func (f *Fleet) extend(w *worker, until time.Duration) {
	until = min(until, w.clock()+f.o.Lease)
	if until <= w.until {
		return
	}
	w.until = until
	if w.expiry != nil {
		w.expiry.Stop()
	}
	w.expiry = time.AfterFunc(w.realTime(until-w.clock())+f.o.KillDelay+time.Nanosecond, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if w.clock() < w.until {
			return
		}
		w.expiries++
		for _, r := range w.running {
			f.end(w, r, runner.Expired)
			if f.jobs[r.task.Job].Steps[r.task.Step].Gang {
				f.endGang(r, runner.Expired)
			}
		}
	})
}

// Stop implements runner.Runner.
func (f *Fleet) Stop(ctx context.Context, to runner.Ref, task work.TaskID, number, epoch uint64) error {
	w, responds, err := f.reach(ctx, to, func(w *worker) { _ = f.stop(w, task, number, epoch) })
	if err != nil {
		return err
	}
	f.mu.Lock()
	err = f.stop(w, task, number, epoch)
	f.mu.Unlock()
	if !responds {
		return noResponse(ctx)
	}
	return err
}

func (f *Fleet) stop(w *worker, task work.TaskID, number, epoch uint64) error {
	if w.crashed {
		return runner.ErrUnknown
	}
	if epoch < w.epoch {
		return runner.ErrFenced
	}
	w.epoch = epoch
	w.highest[task] = max(w.highest[task], number)
	r := w.running[task]
	if r == nil || r.number != number || r.stopping {
		return nil
	}
	f.checkDisruption(r)
	r.stopping = true
	r.timer.Stop()
	r.timer = time.AfterFunc(f.o.StopDelay, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.end(w, r, runner.Stopped)
		if f.jobs[task.Job].Steps[task.Step].Gang {
			f.endGang(r, runner.Stopped)
		}
	})
	return nil
}

// checkDisruption counts the stop of a serving task if MaxInterrupted or more tasks of its
// step are not serving.
func (f *Fleet) checkDisruption(r *run) {
	if _, cancelled := f.cancelled[r.task.Job]; cancelled || !r.serving() {
		return
	}
	step := &f.jobs[r.task.Job].Steps[r.task.Step]
	if missing := step.Count - f.serving(r.task.Job, r.task.Step); missing >= step.MaxInterrupted {
		f.excessStops++
	}
}

// Renew implements runner.Runner.
func (f *Fleet) Renew(ctx context.Context, to runner.Ref, x runner.Renewal) (runner.Report, error) {
	w, responds, err := f.reach(ctx, to, nil)
	if err != nil {
		return runner.Report{}, err
	}
	f.mu.Lock()
	err = f.renew(w, x)
	wake, pending := w.wake, len(w.completions) > 0
	f.mu.Unlock()
	if err != nil {
		return runner.Report{}, err
	}
	if !pending && x.Wait > 0 {
		select {
		case <-ctx.Done():
			return runner.Report{}, fmt.Errorf("%w: %w", runner.ErrUnknown, ctx.Err())
		case <-time.After(x.Wait):
		case <-wake:
		}
	}
	if !responds {
		return runner.Report{}, noResponse(ctx)
	}
	f.mu.Lock()
	unreachable := w.disconnected
	f.mu.Unlock()
	if unreachable {
		return runner.Report{}, noResponse(ctx)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case w.crashed:
		return runner.Report{}, runner.ErrUnknown
	case w.ID != to.ID:
		return runner.Report{}, &runner.IncarnationError{ID: w.ID, Report: w.report()}
	}
	return w.report(), nil
}

func (f *Fleet) renew(w *worker, x runner.Renewal) error {
	if x.Epoch < w.epoch {
		return runner.ErrFenced
	}
	w.epoch = x.Epoch
	if w.answeredAt.IsZero() {
		w.answeredAt = time.Now()
	}
	f.extend(w, x.Until)
	for len(w.completions) > 0 && w.completions[0].Number <= x.Acknowledge {
		f.acknowledge(w, &w.completions[0], x.Epoch)
		w.completions = w.completions[1:]
	}
	f.renews++
	return nil
}

// acknowledge records the acknowledgement of a completion. That the task was started again after the
// end is no violation if the worker's lease expired between the end and the acknowledgement: the
// leader cannot have known whether the run was done. Renewing the lease later does not change that.
func (f *Fleet) acknowledge(w *worker, e *runner.Completion, epoch uint64) {
	delete(w.ordered, e.Task)
	h := f.history(e.Task)
	f.note(h, "acknowledged", e.Run, w.ID, epoch)
	if e.Outcome != runner.Done {
		return
	}
	h.acked = true // also after an expiry: whoever acknowledges a completion has heard of it
	i := slices.IndexFunc(h.unacked, func(x *doneEnd) bool { return x.on == w && x.number == e.Number })
	end := h.unacked[i]
	h.unacked = slices.Delete(h.unacked, i, i+1)
	if end.restarted && end.expiries == w.expiries && !f.jobs[e.Task.Job].Steps[e.Task.Step].LongRunning {
		f.violateTask(e.Task, "%s run %d on %s: its completion is acknowledged after the task was started again", e.Task, e.Run, w.ID)
	}
}

func (w *worker) report() runner.Report {
	r := runner.Report{Clock: w.clock(), Ended: slices.Clone(w.completions[:min(len(w.completions), runner.MaxCompletions)])}
	for _, x := range w.running {
		r.Running = append(r.Running, runner.ActiveRun{Task: x.task, Run: x.number, Percent: x.percent()})
	}
	return r
}
