// Package epochworker is a stand-in of workers that compare epochs: in memory,
// with leases on their own clocks, runs that take the time a test gives them,
// late orders, lost answers, cuts and crashes. It checks the promises made on
// runs as the workers see them.
//
// Time is read with the time package, so that a fleet made inside a
// testing/synctest bubble lives in the bubble's virtual time.
package epochworker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/version/work"
)

// Behaviour of a run, drawn by the test.
type Behaviour struct {
	Takes time.Duration
	Fails bool
	// Still runs make no progress and never end.
	Still bool
}

// Faults are the misbehaviours in force. Probabilities are 0 to 1.
type Faults struct {
	LoseAnswers float64 // the call takes effect and is not answered
	Late        float64 // the call is not answered and takes effect 2 to 12 s later
}

// Options of a Fleet.
type Options struct {
	Seed  uint64
	Lease time.Duration // the longest
	Gang  time.Duration
	Stop  time.Duration // how long a stop takes
	// Delay of each call.
	Delay time.Duration
	// Work tells how a run goes.
	Work func(task work.TaskID, run uint64, on runner.WorkerID) Behaviour
	// Attempts a task may fail.
	Attempts int
}

// Fleet is a set of workers and what they have seen.
type Fleet struct {
	o Options

	mu      sync.Mutex
	rng     *rand.Rand
	faults  Faults
	workers map[runner.WorkerID]*worker
	order   []runner.WorkerID
	jobs    map[work.JobID]*work.Job
	seen    map[work.TaskID]*history
	begun   map[work.JobID]bool // a task of the job has started
	rev     store.Revision
	log     []runner.Change
	changed chan struct{}
	broken  []string
	starts  int
	renews  int
	epoch   time.Time
}

// history is what all workers have seen of a task.
type history struct {
	live      int
	done      bool
	noted     bool // a done end was acknowledged, or a job shown as completed
	fails     int
	cancelled time.Time
}

type worker struct {
	runner.Worker
	cut     bool
	dead    bool
	epoch   uint64
	started time.Time
	until   time.Duration // of the lease, on its clock
	running map[work.TaskID]*run
	highest map[work.TaskID]uint64 // stopped or ended
	ends    []runner.End
	number  int64
	wake    chan struct{}
	lapse   *time.Timer
	used    work.Resources
}

type run struct {
	task     work.TaskID
	number   uint64
	need     work.Resources
	began    time.Time // at work since
	takes    time.Duration
	fails    bool
	still    bool
	stopping bool
	timer    *time.Timer
	alone    *time.Timer
}

// New returns a fleet without workers.
func New(o Options) *Fleet {
	return &Fleet{o: o, rng: rand.New(rand.NewPCG(o.Seed, 11)), workers: map[runner.WorkerID]*worker{}, jobs: map[work.JobID]*work.Job{},
		seen: map[work.TaskID]*history{}, begun: map[work.JobID]bool{}, rev: 1, changed: make(chan struct{}), epoch: time.Now()}
}

// Know tells the fleet a job, whose gangs and sizes it has to know.
func (f *Fleet) Know(id work.JobID, j *work.Job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[id] = j
}

// Cancelled tells that a job's cancellation was acknowledged.
func (f *Fleet) Cancelled(id work.JobID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for s := range f.jobs[id].Steps {
		for i := range f.jobs[id].Steps[s].Count {
			f.history(work.TaskID{Job: id, Step: s, Index: i}).cancelled = time.Now()
		}
	}
}

// Add registers a worker.
func (f *Fleet) Add(w runner.Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[w.ID] = &worker{Worker: w, started: time.Now().Add(-time.Duration(f.rng.IntN(1000)) * time.Second),
		running: map[work.TaskID]*run{}, highest: map[work.TaskID]uint64{}, wake: make(chan struct{})}
	f.order = append(f.order, w.ID)
	f.record(runner.Change{Worker: w})
}

func (f *Fleet) record(c runner.Change) {
	f.rev++
	f.log = append(f.log, c)
	close(f.changed)
	f.changed = make(chan struct{})
}

// IDs returns the workers that live.
func (f *Fleet) IDs() []runner.WorkerID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []runner.WorkerID
	for _, id := range f.order {
		if !f.workers[id].dead {
			all = append(all, id)
		}
	}
	return all
}

// Crash ends a worker's life.
func (f *Fleet) Crash(id runner.WorkerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	w.dead = true
	lost := w.running
	w.running = nil
	for _, r := range lost {
		f.history(r.task).live--
		r.timer.Stop()
		if j := f.jobs[r.task.Job]; j.Steps[r.task.Step].Gang {
			f.endGang(r, runner.Lapsed)
		}
	}
	time.AfterFunc(4500*time.Millisecond, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.record(runner.Change{Worker: runner.Worker{Ref: runner.Ref{ID: id}}, Gone: true})
	})
}

// Cut cuts a worker off, or heals the cut.
func (f *Fleet) Cut(id runner.WorkerID, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].cut = cut
}

// SetFaults replaces the faults in force.
func (f *Fleet) SetFaults(x Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = x
}

// Broken returns the promises that were broken.
func (f *Fleet) Broken() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.broken)
}

// Counts returns the runs started and the renewals answered.
func (f *Fleet) Counts() (starts, renews int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts, f.renews
}

// Begun reports whether a task of a job has ever started.
func (f *Fleet) Begun(id work.JobID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.begun[id]
}

// Running returns how many runs there are.
func (f *Fleet) Running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.workers {
		n += len(w.running)
	}
	return n
}

func (f *Fleet) breaks(format string, args ...any) {
	f.broken = append(f.broken, fmt.Sprintf("%v: ", time.Since(f.epoch))+fmt.Sprintf(format, args...))
}

func (f *Fleet) history(t work.TaskID) *history {
	h := f.seen[t]
	if h == nil {
		h = &history{}
		f.seen[t] = h
	}
	return h
}

// List implements runner.Directory.
func (f *Fleet) List(context.Context) ([]runner.Worker, store.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []runner.Worker
	for _, id := range f.order {
		if w := f.workers[id]; !w.dead {
			all = append(all, w.Worker)
		}
	}
	return all, f.rev, nil
}

// Watch implements runner.Directory.
func (f *Fleet) Watch(ctx context.Context, after store.Revision, wait time.Duration) ([]runner.Change, store.Revision, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		f.mu.Lock()
		rev, changed := f.rev, f.changed
		news := slices.Clone(f.log[min(int(after)-1, len(f.log)):])
		f.mu.Unlock()
		if len(news) > 0 {
			return news, rev, nil
		}
		select {
		case <-ctx.Done():
			return nil, after, ctx.Err()
		case <-timer.C:
			return nil, rev, nil
		case <-changed:
		}
	}
}

// reach takes a call to a worker; nil when no answer will come, which the
// context's end shows. late runs the call's effect without an answer.
func (f *Fleet) reach(ctx context.Context, to runner.Ref, late func(w *worker)) (_ *worker, answer bool, err error) {
	select {
	case <-ctx.Done():
		return nil, false, fmt.Errorf("%w: %w", runner.ErrUnknown, ctx.Err())
	case <-time.After(f.o.Delay):
	}
	f.mu.Lock()
	w := f.workers[to.ID]
	silent := w == nil || w.cut || w.dead
	isLate := !silent && late != nil && f.rng.Float64() < f.faults.Late
	lost := !silent && f.rng.Float64() < f.faults.LoseAnswers
	if isLate {
		delay := 2*time.Second + time.Duration(f.rng.Int64N(int64(10*time.Second)))
		time.AfterFunc(delay, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if !w.dead {
				late(w)
			}
		})
	}
	f.mu.Unlock()
	if silent || isLate {
		<-ctx.Done()
		return nil, false, fmt.Errorf("%w: %w", runner.ErrUnknown, ctx.Err())
	}
	return w, !lost, nil
}

func noAnswer(ctx context.Context) error {
	<-ctx.Done()
	return fmt.Errorf("%w: %w", runner.ErrUnknown, ctx.Err())
}

// clock is a worker's own steady clock.
func (w *worker) clock() time.Duration { return time.Since(w.started) }

// Start implements runner.Runner.
func (f *Fleet) Start(ctx context.Context, to runner.Ref, s runner.Start) (time.Duration, error) {
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
	r := &run{task: s.Task, number: s.Run, need: step.Need(), takes: b.Takes, fails: b.Fails, still: b.Still}
	r.timer = time.AfterFunc(time.Hour, func() {})
	w.running[s.Task] = r
	w.used = w.used.Add(r.need)
	if !w.used.Fits(w.Capacity) {
		f.breaks("%s on %s goes over its capacity: %+v", s.Task, w.ID, w.used)
	}
	f.history(s.Task).live++
	if !step.Gang {
		f.toWork(w, r)
		return
	}
	f.joinGang(w, r, step)
}

// checkStart holds a start against what the workers have seen.
func (f *Fleet) checkStart(w *worker, s runner.Start, j *work.Job) {
	h := f.history(s.Task)
	switch {
	case h.live > 0:
		f.breaks("%s run %d on %s runs twice", s.Task, s.Run, w.ID)
	case h.noted:
		f.breaks("%s run %d on %s starts after its end was noted", s.Task, s.Run, w.ID)
	case f.o.Attempts > 0 && h.fails >= f.o.Attempts && !j.Steps[s.Task.Step].Gang:
		f.breaks("%s run %d starts after %d failures", s.Task, s.Run, h.fails)
	case !h.cancelled.IsZero() && time.Since(h.cancelled) > 3*time.Second+12*time.Second:
		f.breaks("%s run %d starts %v after its cancellation", s.Task, s.Run, time.Since(h.cancelled))
	}
	for _, a := range j.Steps[s.Task.Step].After {
		for i := range j.Steps[a].Count {
			if !f.history(work.TaskID{Job: s.Task.Job, Step: a, Index: i}).done {
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
			if x.task.Job == r.task.Job && x.task.Step == r.task.Step && x.number == r.number && !x.stopping {
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
		f.representGang(r)
	case runner.Failed:
		h.fails++
	}
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.number++
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
		f.history(work.TaskID{Job: r.task.Job, Step: r.task.Step, Index: i}).done = true
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
	defer f.mu.Unlock()
	if w.cut || w.dead {
		return runner.Report{}, runner.ErrUnknown
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
		if e := w.ends[0]; e.How == runner.Done {
			f.history(e.Task).noted = true
		}
		w.ends = w.ends[1:]
	}
	f.renews++
	return nil
}

func (w *worker) report() runner.Report {
	r := runner.Report{Clock: w.clock(), Ended: slices.Clone(w.ends[:min(len(w.ends), runner.MaxEnds)])}
	for _, x := range w.running {
		percent := 0.0
		if !x.began.IsZero() && !x.still {
			percent = min(99, 100*float64(time.Since(x.began))/float64(x.takes))
		}
		r.Running = append(r.Running, runner.Live{Task: x.task, Run: x.number, Percent: percent})
	}
	return r
}
