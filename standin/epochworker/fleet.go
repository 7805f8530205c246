// Package epochworker is an in-memory stand-in for workers that compare epochs. It
// has leases on the workers' own clocks, runs whose behaviour a test sets, late
// orders, lost responses, disconnected workers and crashes. It checks the guarantees
// about runs from the workers' point of view and records violations.
//
// Time is read with the time package, so that a fleet created in a
// testing/synctest bubble uses the bubble's virtual time.
package epochworker

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/version/work"
)

// Behaviour of a run, chosen by the test.
type Behaviour struct {
	Takes time.Duration // run time, also of a long-running task
	Fails bool
	// Stuck makes the run stuck: it makes no progress and never ends.
	Stuck bool
	// Crashes is how long after the start of the run its worker crashes; 0 means never.
	Crashes time.Duration
}

// Faults are the injected faults, as probabilities from 0 to 1.
type Faults struct {
	LoseAnswers float64 // the call takes effect, but its response is lost
	Late        float64 // a start or stop gets no response and takes effect 2 to 12 s later
}

// Options of a Fleet.
type Options struct {
	Seed        uint64
	Lease       time.Duration // longest lease; workers shorten longer ones to it
	GangTimeout time.Duration // how long a task waits for the rest of its gang
	StopDelay   time.Duration // how long a stop takes
	// Delay is the latency of each call.
	Delay time.Duration
	// Work returns the behaviour of a run.
	Work func(task work.TaskID, run uint64, on runner.WorkerID) Behaviour
	// Attempts is the number of failures of a task after which another start of it is a
	// violation; 0 means no check. Gangs and long-running tasks are not checked.
	Attempts int
	// Restart is how long after a crash a new incarnation of the worker responds at its
	// address, under a new name; 0 means never. Connections are refused until then.
	Restart time.Duration
	// SameName makes the new incarnation keep the worker's name, with a later start time, and
	// carry out orders and renewals that were meant for an earlier incarnation, of whose runs
	// and refusals it knows nothing.
	SameName bool
	// ClockRate is how fast the workers' clocks run; 0 means 1.
	ClockRate float64
	// KillDelay is how long after its lease has expired a worker ends its runs.
	KillDelay time.Duration
	// EntryLag is how long after its start a new incarnation is listed in the directory.
	EntryLag time.Duration
}

// Once a task has crashed maxCrashes workers, it may be started startsAfterCrashes more
// times.
const (
	maxCrashes         = 3
	startsAfterCrashes = 2
)

// Fleet is a set of workers with the history of their tasks.
type Fleet struct {
	o Options

	mu      sync.Mutex
	rng     *rand.Rand
	faults  Faults
	workers map[runner.WorkerID]*worker
	foreign map[string]runner.Worker // entries of another writer, by name
	order   []runner.WorkerID
	jobs    map[work.JobID]*work.Job
	seen    map[work.TaskID]*history
	started map[work.JobID]bool // jobs of which a task has started
	// cancelled has the times at which cancellations were acknowledged, completed those at which
	// callers were first shown that jobs are completed.
	cancelled  map[work.JobID]time.Time
	completed  map[work.JobID]time.Time
	rev        store.Revision
	log        []runner.Change
	changed    chan struct{}
	violations []string
	starts     int
	renews     int
	epoch      time.Time
	caps       map[string][]timedLimit // by account
	// excessStops counts the orders that stopped a serving long-running task while
	// MaxInterrupted or more tasks of its step were not serving.
	excessStops int
	crashes     int // caused by runs
	restarts    int // incarnations that followed a crash
	lateReruns  int // see LateReruns
}

// history is what has happened to a task, over all workers.
type history struct {
	running  int
	done     bool
	acked    bool // the completion of a done run was acknowledged
	unacked  []*doneEnd
	failures int
	// suspectCrashes counts the crashes, of any cause, of workers that had an order to
	// start the task and no acknowledged completion of it.
	suspectCrashes int
	// crashes counts the worker crashes that the task caused, startsSince its starts
	// since crash number maxCrashes.
	crashes, startsSince int
	events               []event
}

// event is a start, an end, an acknowledgement or a crash that concerns a task.
type event struct {
	at    time.Duration // since the fleet was created
	what  string
	run   uint64
	on    runner.WorkerID
	epoch uint64 // of the order or the acknowledgement; 0 for an end
}

func (f *Fleet) note(h *history, what string, run uint64, on runner.WorkerID, epoch uint64) {
	h.events = append(h.events, event{time.Since(f.epoch), what, run, on, epoch})
}

// violateTask records a violation together with the history of the task.
func (f *Fleet) violateTask(t work.TaskID, format string, args ...any) {
	var text strings.Builder
	for _, e := range f.history(t).events {
		fmt.Fprintf(&text, "; %v %s run %d on %s", e.at, e.what, e.run, e.on)
		if e.epoch > 0 {
			fmt.Fprintf(&text, " epoch %d", e.epoch)
		}
	}
	f.violate("%s%s", fmt.Sprintf(format, args...), text.String())
}

// doneEnd is the end of a run with the outcome runner.Done that is not acknowledged yet.
type doneEnd struct {
	on        *worker
	number    int64 // of the completion
	expiries  int   // of the worker's lease before the end
	restarted bool  // the task was started again after the end
}

type worker struct {
	runner.Worker
	disconnected bool
	crashed      bool
	// replaced is set when the next incarnation responds at its address.
	replaced    bool
	next        *worker
	unlisted    bool // not in the directory yet
	epoch       uint64
	started     time.Time
	answeredAt  time.Time // when it first carried out a renewal
	clockRate   float64
	until       time.Duration // end of the lease, on the worker's clock
	running     map[work.TaskID]*run
	highest     map[work.TaskID]uint64 // highest run that was stopped or ended
	ordered     map[work.TaskID]bool   // tasks ordered to start, without an acknowledged completion
	completions []runner.Completion    // completions that are not acknowledged
	expiries    int                    // how often its lease has expired
	number      int64                  // of the last completion
	wake        chan struct{}
	capacities  []timedLimit // earlier capacities that still count
	expiry      *time.Timer
	used        work.Resources
}

type run struct {
	task        work.TaskID
	number      uint64
	need        work.Resources
	began       time.Time // start of its work; zero while it waits for its gang
	takes       time.Duration
	fails       bool
	stuck       bool
	stopping    bool
	longRunning bool
	timer       *time.Timer
	gangTimer   *time.Timer
}

// startup is how long a long-running task takes from its start until it serves.
const startup = 500 * time.Millisecond

// serving reports whether a long-running task serves.
func (r *run) serving() bool {
	return r.longRunning && !r.stopping && !r.began.IsZero() && time.Since(r.began) >= startup
}

// percent returns the reported progress of a run.
func (r *run) percent() float64 {
	switch {
	case r.began.IsZero() || r.stuck:
		return 0
	case r.longRunning:
		return min(100, 100*float64(time.Since(r.began))/float64(startup))
	}
	return min(99, 100*float64(time.Since(r.began))/float64(r.takes))
}

// New returns a fleet without workers.
func New(o Options) *Fleet {
	if o.ClockRate == 0 {
		o.ClockRate = 1
	}
	return &Fleet{o: o, rng: rand.New(rand.NewPCG(o.Seed, 11)), workers: map[runner.WorkerID]*worker{}, foreign: map[string]runner.Worker{}, jobs: map[work.JobID]*work.Job{},
		seen: map[work.TaskID]*history{}, started: map[work.JobID]bool{}, cancelled: map[work.JobID]time.Time{},
		completed: map[work.JobID]time.Time{}, rev: 1, changed: make(chan struct{}), epoch: time.Now()}
}

// AddJob registers a submitted job. A start of a task of any other job is a violation.
func (f *Fleet) AddJob(id work.JobID, j *work.Job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[id] = j
}

// Cancelled records that the cancellation of a job was acknowledged.
func (f *Fleet) Cancelled(id work.JobID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelled[id] = time.Now()
}

// Completed records that a caller was shown that a job is completed.
func (f *Fleet) Completed(id work.JobID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.completed[id]; !ok {
		f.completed[id] = time.Now()
	}
}

// NotDone returns the tasks of a job, over all its occurrences, of which no run had the
// outcome runner.Done. Such a run of one member of a gang counts for the whole gang.
func (f *Fleet) NotDone(id work.JobID) []work.TaskID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []work.TaskID
	j := f.jobs[id]
	for k := range max(1, j.Repeat) {
		for s := range j.Steps {
			for i := range j.Steps[s].Count {
				if t := (work.TaskID{Job: id, Occurrence: k, Step: s, Index: i}); !f.history(t).done {
					all = append(all, t)
				}
			}
		}
	}
	return all
}

// Add starts a worker and lists it in the directory.
func (f *Fleet) Add(w runner.Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.publish(f.newWorker(w))
}

// newWorker starts an incarnation that is not listed in the directory yet.
func (f *Fleet) newWorker(w runner.Worker) *worker {
	started := &worker{Worker: w, started: time.Now().Add(-time.Duration(f.rng.IntN(1000)) * time.Second), unlisted: true,
		clockRate: f.o.ClockRate, running: map[work.TaskID]*run{}, highest: map[work.TaskID]uint64{}, ordered: map[work.TaskID]bool{}, wake: make(chan struct{})}
	f.workers[w.ID] = started
	f.order = append(f.order, w.ID)
	return started
}

// publish lists an incarnation in the directory.
func (f *Fleet) publish(w *worker) {
	if w.crashed {
		return
	}
	w.unlisted = false
	f.record(runner.Change{Worker: w.Worker})
}

func (f *Fleet) record(c runner.Change) {
	f.rev++
	f.log = append(f.log, c)
	close(f.changed)
	f.changed = make(chan struct{})
}

// PutForeign puts another writer's entry in the place of the one under its name, for a time, after which the worker
// that has the name writes its own again.
func (f *Fleet) PutForeign(entry runner.Worker, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	name := entry.ID.Name()
	f.foreign[name] = entry
	f.record(runner.Change{Worker: entry})
	time.AfterFunc(d, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.foreign, name)
		for _, id := range f.order {
			if w := f.workers[id]; id.Name() == name && !w.crashed && !w.unlisted {
				f.record(runner.Change{Worker: w.Worker})
				return
			}
		}
		f.record(runner.Change{Worker: runner.Worker{Ref: runner.Ref{ID: runner.WorkerID(name)}}, Removed: true})
	})
}

// IDs returns the workers that have not crashed.
func (f *Fleet) IDs() []runner.WorkerID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []runner.WorkerID
	for _, id := range f.order {
		if !f.workers[id].crashed {
			all = append(all, id)
		}
	}
	return all
}

// Crash crashes a worker.
func (f *Fleet) Crash(id runner.WorkerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crash(f.workers[id])
}

// Notice makes a worker give notice that it leaves after a time at the earliest, with its clock in the
// entry if withClock is set, and leave some time later. It does not leave if it takes the notice back
// before.
func (f *Fleet) Notice(id runner.WorkerID, remaining, extra time.Duration, withClock bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	if w.crashed {
		return
	}
	w.Draining, w.Notice = true, runner.Notice{Known: true, Remaining: remaining}
	if withClock {
		w.Notice.Clock = w.clock()
	}
	notice := w.Notice
	f.record(runner.Change{Worker: w.Worker})
	time.AfterFunc(remaining+extra, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if w.Draining && w.Notice == notice {
			f.crash(w)
		}
	})
}

// TakeBack makes a worker that has given notice ready again.
func (f *Fleet) TakeBack(id runner.WorkerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[id]; !w.crashed && w.Draining {
		w.Draining, w.Notice = false, runner.Notice{}
		f.record(runner.Change{Worker: w.Worker})
	}
}

// Crashes returns how many workers were crashed by runs.
func (f *Fleet) Crashes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes
}

// CrashesBy returns how many workers were crashed by runs of a task.
func (f *Fleet) CrashesBy(t work.TaskID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.history(t).crashes
}

// MaxFailures returns the greatest number of failed runs of a single task of a job.
func (f *Fleet) MaxFailures(id work.JobID) (most int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for t, h := range f.seen {
		if t.Job == id {
			most = max(most, h.failures)
		}
	}
	return most
}

// MaxSuspectCrashes returns the greatest number of worker crashes of which a single task of a job
// can be suspected. That includes crashes of workers at which the task had been ordered but
// had not started, or had ended without an acknowledgement.
func (f *Fleet) MaxSuspectCrashes(id work.JobID) (most int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for t, h := range f.seen {
		if t.Job == id {
			most = max(most, h.suspectCrashes)
		}
	}
	return most
}

// crashBy crashes a worker because of a run.
func (f *Fleet) crashBy(w *worker, r *run) {
	if w.crashed || w.running[r.task] != r {
		return
	}
	f.crashes++
	f.history(r.task).crashes++
	f.crash(w)
}

func (f *Fleet) crash(w *worker) {
	if w.crashed {
		return
	}
	id := w.ID
	w.crashed = true
	lost := w.running
	w.running = nil
	for _, r := range lost {
		f.history(r.task).running--
		f.note(f.history(r.task), "crashed", r.number, id, 0)
		r.timer.Stop()
		if j := f.jobs[r.task.Job]; j.Steps[r.task.Step].Gang {
			f.endGang(r, runner.Expired)
		}
	}
	for t := range w.ordered {
		f.history(t).suspectCrashes++
	}
	time.AfterFunc(4500*time.Millisecond, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.record(runner.Change{Worker: runner.Worker{Ref: runner.Ref{ID: id}}, Removed: true})
	})
	if f.o.Restart > 0 {
		close(w.wake) // ends its pending renewals, as closed connections would
		time.AfterFunc(f.o.Restart, func() { f.restart(w) })
	}
}

// restart starts a new incarnation at the address of a crashed worker.
func (f *Fleet) restart(w *worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w.replaced = true
	f.restarts++
	next := w.Worker
	next.Draining, next.Notice = false, runner.Notice{}
	next.ID = runner.WorkerID(fmt.Sprintf("life-%d", f.restarts))
	if f.o.SameName {
		name, started := w.ID.Incarnation()
		next.ID = runner.IncarnationID(name, started+1)
	}
	w.next = f.newWorker(next)
	if f.o.SameName {
		w.next.started = time.Now() // its clock starts at 0, as its completion numbers do
	}
	if f.o.EntryLag == 0 {
		f.publish(w.next)
		return
	}
	time.AfterFunc(f.o.EntryLag, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.publish(w.next)
	})
}

// Resize changes the capacity of a running worker. For the duration lag, starts that fit
// its earlier capacity are still allowed.
func (f *Fleet) Resize(id runner.WorkerID, capacity work.Resources, lag time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	if w.crashed {
		return
	}
	w.capacities = append(w.capacities, timedLimit{cap: w.Capacity, until: time.Now().Add(lag)})
	w.Capacity = capacity
	f.record(runner.Change{Worker: w.Worker})
}

// maxCapacity returns, for each resource, the greatest of the capacity and the earlier
// capacities that still count.
func (w *worker) maxCapacity() work.Resources {
	w.capacities = slices.DeleteFunc(w.capacities, func(b timedLimit) bool { return time.Now().After(b.until) })
	most := w.Capacity
	for _, b := range w.capacities {
		most = work.Resources{CPU: max(most.CPU, b.cap.CPU), Memory: max(most.Memory, b.cap.Memory), GPU: max(most.GPU, b.cap.GPU)}
	}
	return most
}

// SetDisconnected disconnects a worker, or reconnects it.
func (f *Fleet) SetDisconnected(id runner.WorkerID, disconnected bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].disconnected = disconnected
}

// SetFaults replaces the injected faults.
func (f *Fleet) SetFaults(x Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = x
}

// Violations returns the violations of guarantees.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.violations)
}

// Counts returns the number of started runs and of accepted renewals.
func (f *Fleet) Counts() (starts, renews int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts, f.renews
}

// LateReruns returns how many orders that were carried out late have started a task whose end had been acknowledged,
// before a leader could have had them refused.
func (f *Fleet) LateReruns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lateReruns
}

// Started reports whether any task of a job has started.
func (f *Fleet) Started(id work.JobID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.started[id]
}

// ExcessStops returns how often an order stopped a serving long-running task although
// MaxInterrupted or more tasks of its step were not serving.
func (f *Fleet) ExcessStops() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.excessStops
}

// Serving returns how many long-running tasks of a job serve.
func (f *Fleet) Serving(id work.JobID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for s := range f.jobs[id].Steps {
		n += f.serving(id, s)
	}
	return n
}

func (f *Fleet) serving(id work.JobID, step int) int {
	n := 0
	for _, w := range f.workers {
		for _, r := range w.running {
			if r.task.Job == id && r.task.Step == step && r.serving() {
				n++
			}
		}
	}
	return n
}

// Running returns the number of runs in progress.
func (f *Fleet) Running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.workers {
		n += len(w.running)
	}
	return n
}

func (f *Fleet) violate(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf("%v: ", time.Since(f.epoch))+fmt.Sprintf(format, args...))
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
		_, replaced := f.foreign[id.Name()]
		if w := f.workers[id]; !w.crashed && !w.unlisted && !replaced {
			all = append(all, w.Worker)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(f.foreign)) {
		all = append(all, f.foreign[name])
	}
	return all, f.rev, nil
}

// Has implements runner.Directory.
func (f *Fleet) Has(_ context.Context, name string) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, w := range f.workers {
		if id.Name() == name && !w.crashed && !w.unlisted {
			return true, nil
		}
	}
	return false, nil
}

// Watch implements runner.Directory.
func (f *Fleet) Watch(ctx context.Context, after store.Revision, wait time.Duration) ([]runner.Change, store.Revision, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		f.mu.Lock()
		rev, changed := f.rev, f.changed
		changes := slices.Clone(f.log[min(int(after)-1, len(f.log)):])
		f.mu.Unlock()
		if len(changes) > 0 {
			return changes, rev, nil
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
