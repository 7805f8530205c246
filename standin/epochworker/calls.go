package epochworker

import (
	"context"
	"fmt"
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/version/work"
)

// reach takes a call to a worker; nil when no answer will come, which the
// context's end shows. late runs the call's effect without an answer.
func (f *Fleet) reach(ctx context.Context, to runner.Ref, late func(w *worker)) (_ *worker, answer bool, err error) {
	select {
	case <-ctx.Done():
		return nil, false, fmt.Errorf("%w: %w", runner.ErrUnknown, ctx.Err())
	case <-time.After(f.o.Delay):
	}
	f.mu.Lock()
	w := f.living(to.ID)
	silent := w == nil || w.cut || w.dead
	isLate := !silent && late != nil && f.rng.Float64() < f.faults.Late
	lost := !silent && f.rng.Float64() < f.faults.LoseAnswers
	if isLate {
		delay := 2*time.Second + time.Duration(f.rng.Int64N(int64(10*time.Second)))
		time.AfterFunc(delay, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if !w.dead { // what it had received is gone with its life
				late(w)
			}
		})
	}
	gone, refused := w != nil && w.replaced, w != nil && w.dead && f.o.Restart > 0
	f.mu.Unlock()
	switch {
	case gone:
		return nil, false, runner.ErrGone
	case refused:
		return nil, false, runner.ErrNoConnection
	}
	if silent || isLate {
		<-ctx.Done()
		return nil, false, fmt.Errorf("%w: %w", runner.ErrUnknown, ctx.Err())
	}
	return w, !lost, nil
}

// living returns the life that calls to a worker reach: the last one under its name.
func (f *Fleet) living(id runner.WorkerID) *worker {
	w := f.workers[id]
	for f.o.SameName && w != nil && w.next != nil {
		w = w.next
	}
	return w
}

func noAnswer(ctx context.Context) error {
	<-ctx.Done()
	return fmt.Errorf("%w: %w", runner.ErrUnknown, ctx.Err())
}

// clock is a worker's own steady clock.
func (w *worker) clock() time.Duration { return time.Since(w.started) }

// Start implements runner.Runner.
func (f *Fleet) Start(ctx context.Context, to runner.Ref, s runner.Start) (time.Duration, error) {
	f.mu.Lock()
	if w := f.living(to.ID); w != nil && !w.dead {
		w.ordered[s.Task] = true
	}
	f.mu.Unlock()
	w, answer, err := f.reach(ctx, to, func(w *worker) { _ = f.start(w, s) })
	if err != nil {
		return 0, err
	}
	f.mu.Lock()
	err = f.start(w, s)
	clock := w.clock()
	f.mu.Unlock()
	if !answer {
		return 0, noAnswer(ctx)
	}
	return clock, err
}

func (f *Fleet) start(w *worker, s runner.Start) error {
	if w.dead {
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
		return runner.ErrOld
	}
	if s.Until <= w.clock() {
		return runner.ErrLate
	}
	f.extend(w, s.Until)
	f.begin(w, s)
	return nil
}

func (f *Fleet) begin(w *worker, s runner.Start) {
	f.starts++
	j := f.jobs[s.Task.Job]
	if j == nil {
		f.breaks("%s started, which nobody handed in", s.Task)
		return
	}
	f.begun[s.Task.Job] = true
	f.checkStart(w, s, j)
	step := &j.Steps[s.Task.Step]
	b := f.o.Work(s.Task, s.Run, w.ID)
	r := &run{task: s.Task, number: s.Run, need: step.Need(), takes: b.Takes, fails: b.Fails, still: b.Still, lasting: step.Lasting}
	r.timer = time.AfterFunc(time.Hour, func() {})
	w.running[s.Task] = r
	w.used = w.used.Add(r.need)
	if !w.used.Fits(w.room()) {
		f.breaks("%s on %s goes over its capacity: %+v", s.Task, w.ID, w.used)
	}
	h := f.history(s.Task)
	h.live++
	h.overtaken = slices.Clone(h.doneRuns)
	f.checkQuota(s.Task, j)
	if b.Crashes > 0 {
		time.AfterFunc(b.Crashes, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.crashBy(w, r)
		})
	}
	if !step.Gang {
		f.toWork(w, r)
		return
	}
	f.joinGang(w, r, step)
}

// maxEarly is how long before its time a task may start: clocks of machines
// that are kept in step differ by less.
const maxEarly = 250 * time.Millisecond

// checkStart holds a start against what the workers have seen.
func (f *Fleet) checkStart(w *worker, s runner.Start, j *work.Job) {
	h := f.history(s.Task)
	switch {
	case h.live > 0:
		f.breaks("%s run %d on %s runs twice", s.Task, s.Run, w.ID)
	case h.noted && !j.Steps[s.Task.Step].Lasting:
		f.breaks("%s run %d on %s starts after its end was noted", s.Task, s.Run, w.ID)
	case f.o.Attempts > 0 && h.fails >= f.o.Attempts && !j.Steps[s.Task.Step].Gang && !j.Steps[s.Task.Step].Lasting:
		f.breaks("%s run %d starts after %d failures", s.Task, s.Run, h.fails)
	case s.Task.Occurrence >= max(1, j.Repeat):
		f.breaks("%s starts, and the job has %d occurrences", s.Task, max(1, j.Repeat))
	}
	if h.crashes >= maxCrashes {
		if h.startsSince++; h.startsSince > startsAfterCrashes {
			f.breaks("%s run %d is start %d after %d workers had crashed under it", s.Task, s.Run, h.startsSince, maxCrashes)
		}
	}
	if at, ok := f.cancelled[s.Task.Job]; ok && time.Since(at) > 3*time.Second+12*time.Second {
		f.breaks("%s run %d starts %v after its cancellation", s.Task, s.Run, time.Since(at))
	}
	if j.Repeat > 0 {
		due := time.UnixMilli(j.StartAt).Add(time.Duration(s.Task.Occurrence) * j.Interval)
		if early := time.Until(due); early > maxEarly {
			f.breaks("%s run %d starts %v before its time", s.Task, s.Run, early)
		}
	}
	for _, a := range j.Steps[s.Task.Step].After {
		for i := range j.Steps[a].Count {
			if !f.history(work.TaskID{Job: s.Task.Job, Occurrence: s.Task.Occurrence, Step: a, Index: i}).done {
				f.breaks("%s starts before step %d is done", s.Task, a)
				return
			}
		}
	}
}

func (f *Fleet) toWork(w *worker, r *run) {
	r.began = time.Now()
	if r.still {
		return
	}
	how := runner.Done
	if r.fails {
		how = runner.Failed
	}
	r.timer.Stop()
	r.timer = time.AfterFunc(r.takes, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.end(w, r, how)
		if f.jobs[r.task.Job].Steps[r.task.Step].Gang {
			f.endGang(r, how)
		}
	})
}

// joinGang starts a gang's work once all of its members are there.
func (f *Fleet) joinGang(w *worker, r *run, step *work.Step) {
	members := f.members(r)
	if len(members) < step.Count {
		r.alone = time.AfterFunc(f.o.Gang, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if r.began.IsZero() {
				f.end(w, r, runner.Alone)
			}
		})
		return
	}
	for _, m := range members {
		f.toWork(m.w, m.r)
	}
}

type member struct {
	w *worker
	r *run
}

// members finds the live members of a run's gang.
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

func (f *Fleet) endGang(r *run, how runner.How) {
	if how != runner.Done {
		how = runner.Broken
	}
	for _, m := range f.members(r) {
		f.end(m.w, m.r, how)
	}
}

// end ends a run that is there.
func (f *Fleet) end(w *worker, r *run, how runner.How) {
	if w.dead || w.running[r.task] != r {
		return
	}
	r.timer.Stop()
	if r.alone != nil {
		r.alone.Stop()
	}
	delete(w.running, r.task)
	w.used = w.used.Sub(r.need)
	h := f.history(r.task)
	h.live--
	switch how {
	case runner.Done:
		h.done = true
		h.doneRuns = append(h.doneRuns, r.number)
		f.representGang(r)
	case runner.Failed:
		h.fails++
	}
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.number++
	w.endedAt[w.number] = time.Now()
	w.ends = append(w.ends, runner.End{Number: w.number, Task: r.task, Run: r.number, How: how})
	close(w.wake)
	w.wake = make(chan struct{})
}

// representGang counts a gang as done by one member's end, which represents
// all, also one that was being stopped at the time.
func (f *Fleet) representGang(r *run) {
	step := &f.jobs[r.task.Job].Steps[r.task.Step]
	if !step.Gang {
		return
	}
	for i := range step.Count {
		f.history(work.TaskID{Job: r.task.Job, Occurrence: r.task.Occurrence, Step: r.task.Step, Index: i}).done = true
	}
}

// extend renews the lease; it never shortens.
func (f *Fleet) extend(w *worker, until time.Duration) {
	until = min(until, w.clock()+f.o.Lease)
	if until <= w.until {
		return
	}
	w.until = until
	if w.lapse != nil {
		w.lapse.Stop()
	}
	w.lapse = time.AfterFunc(until-w.clock(), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if w.clock() < w.until {
			return
		}
		w.lapsedAt = time.Now()
		for _, r := range w.running {
			f.end(w, r, runner.Lapsed)
			if f.jobs[r.task.Job].Steps[r.task.Step].Gang {
				f.endGang(r, runner.Lapsed)
			}
		}
	})
}

// Stop implements runner.Runner.
func (f *Fleet) Stop(ctx context.Context, to runner.Ref, task work.TaskID, number, epoch uint64) error {
	w, answer, err := f.reach(ctx, to, func(w *worker) { _ = f.stop(w, task, number, epoch) })
	if err != nil {
		return err
	}
	f.mu.Lock()
	err = f.stop(w, task, number, epoch)
	f.mu.Unlock()
	if !answer {
		return noAnswer(ctx)
	}
	return err
}

func (f *Fleet) stop(w *worker, task work.TaskID, number, epoch uint64) error {
	if w.dead {
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
	f.checkAway(r)
	r.stopping = true
	r.timer.Stop()
	r.timer = time.AfterFunc(f.o.Stop, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.end(w, r, runner.Stopped)
		if f.jobs[task.Job].Steps[task.Step].Gang {
			f.endGang(r, runner.Stopped)
		}
	})
	return nil
}

// checkAway counts the stop of a task that serves while too many others of its
// step do not.
func (f *Fleet) checkAway(r *run) {
	if _, cancelled := f.cancelled[r.task.Job]; cancelled || !r.atWork() {
		return
	}
	step := &f.jobs[r.task.Job].Steps[r.task.Step]
	if away := step.Count - f.atWork(r.task.Job, r.task.Step); away >= step.MayMiss {
		f.awayEnds++
	}
}

// Renew implements runner.Runner.
func (f *Fleet) Renew(ctx context.Context, to runner.Ref, x runner.Renewal) (runner.Report, error) {
	w, answer, err := f.reach(ctx, to, nil)
	if err != nil {
		return runner.Report{}, err
	}
	f.mu.Lock()
	err = f.renew(w, x)
	wake, pending := w.wake, len(w.ends) > 0
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
	if !answer {
		return runner.Report{}, noAnswer(ctx)
	}
	f.mu.Lock()
	silent := w.cut
	f.mu.Unlock()
	if silent {
		return runner.Report{}, noAnswer(ctx)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case w.dead:
		return runner.Report{}, runner.ErrUnknown
	case w.ID != to.ID:
		return runner.Report{}, &runner.OtherLife{ID: w.ID, Report: w.report()}
	}
	return w.report(), nil
}

func (f *Fleet) renew(w *worker, x runner.Renewal) error {
	if x.Epoch < w.epoch {
		return runner.ErrFenced
	}
	w.epoch = x.Epoch
	f.extend(w, x.Until)
	for len(w.ends) > 0 && w.ends[0].Number <= x.Acknowledge {
		f.note(w, &w.ends[0])
		w.ends = w.ends[1:]
	}
	f.renews++
	return nil
}

// note takes an end's acknowledgement.
func (f *Fleet) note(w *worker, e *runner.End) {
	at := w.endedAt[e.Number]
	delete(w.endedAt, e.Number)
	delete(w.ordered, e.Task)
	if e.How != runner.Done {
		return
	}
	h := f.history(e.Task)
	h.noted = true
	if slices.Contains(h.overtaken, e.Run) && at.After(w.lapsedAt) && !f.jobs[e.Task.Job].Steps[e.Task.Step].Lasting {
		f.breaks("%s run %d on %s: its end is noted after the task was started again", e.Task, e.Run, w.ID)
	}
}

func (w *worker) report() runner.Report {
	r := runner.Report{Clock: w.clock(), Ended: slices.Clone(w.ends[:min(len(w.ends), runner.MaxEnds)])}
	for _, x := range w.running {
		r.Running = append(r.Running, runner.Live{Task: x.task, Run: x.number, Percent: x.percent()})
	}
	return r
}
