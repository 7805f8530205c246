package dispatch

import (
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/crash"
	"fennelshunt.example/fennelshunt/process/quota"
	"fennelshunt.example/fennelshunt/process/speed"
	"fennelshunt.example/fennelshunt/version/work"
)

// job is an accepted job.
type job struct {
	id   work.JobID
	spec *work.Job
	// accepted is when a daemon accepted the job, start when its first occurrence is due, both
	// in engine time.
	accepted, start time.Duration
	speeds          *speed.Queue // run times of its queue's work
	account         *quota.Account
	sizes           []quota.Size // of its tasks, by step; set once the spec is dropped
	// state as decided; visible is the one that is in the store and that callers see.
	state   work.State
	visible work.State
	started bool // a task has started
	// loadedAt is when the engine took the job over.
	loadedAt time.Duration
	// inherited: an earlier epoch may have started tasks of the job.
	inherited bool
	trimmed   bool // it has ended, and only its state is kept

	occurrences []*occurrence // in memory, by number
	nextDue     int           // the lowest occurrence that is not due yet
	doneBefore  int           // every occurrence below this one is done

	version uint64 // of the progress, raised by each change that must be stored
	saved   uint64 // the highest version in the store
	dirty   bool   // queued for writing
	writing bool   // a write of it is in flight
	// revision of its submission; 0 if a daemon of the version before has offered it, until the
	// watch brings it.
	revision store.Revision
	// submitted: its submission is in the store; it is removed by the write of the job's end.
	submitted     bool
	batch         *batch          // that holds its newest progress; nil: its own key does
	unbatching    bool            // queued to be moved out of its batch
	shownAt       time.Duration   // since when callers can see its end, in this epoch
	firstFailedOn runner.WorkerID // the first worker on which a run failed
	waits         waits
	trials        []*allocation // waiting until their record is stored
	coreSeconds   float64       // as declared
	overEntitled  bool          // submitted beyond what its account is entitled to
}

// step is one step of a job.
type step struct {
	job            *job
	occurrence     *occurrence
	number         int
	spec           *work.Step
	after          []*step // steps that this one follows
	next           []*step // steps that follow this one
	tasks          []task
	pending        []int // indexes of the tasks to start, in order
	left           int   // tasks that are not done
	opened         bool  // listed as ready
	openedAt       time.Duration
	rank           int           // lateness rank, as of the last round of placement
	orderTime      time.Duration // orders it within its rank and priority
	orderTimeUntil time.Duration // when orderTime is computed again
	overQuota      bool          // it has waited for its account's quota
	waitsFor       waitCause
	waitSince      time.Duration
	// room is the result of roomToAsk until roomUntil.
	room      bool
	roomUntil time.Duration
	// reservedAt is when capacity was last reserved for the step.
	reservedAt time.Duration

	retryAt time.Duration // earliest next attempt to place a gang
	misses  int           // attempts in a row that found no capacity for a gang
	// feasible tells whether the workers, if they were empty, could run the gang; it is
	// computed again after feasibleUntil.
	feasible      bool
	feasibleSound bool // the same without workers on probation and those that cannot be used
	feasibleUntil time.Duration

	// gangReserved: the step has a gang reservation, until gangReservedUntil. A step that is no gang has
	// one only while it has a plan of preemption.
	gangReserved      bool
	gangReservedUntil time.Duration

	// follows is the result of following once followsKnown is set. It is 0 as well if the steps after this
	// one have no estimates.
	follows      time.Duration
	followsKnown bool
	// startsAt is when the step can start by its reservation, 0 if that is not known.
	startsAt time.Duration
	// preemption is the step's plan while runs are stopped for it. preemptAt is when a plan is
	// looked for again, or earlier if a call is possible then and was not the last time, as
	// preemptAsked tells.
	preemption   *preemptionState
	preemptAt    time.Duration
	preemptAsked bool

	evacuated bool    // a run of it was stopped because its worker leaves
	isolates  *worker // isolated for a suspect task of the step
	// exclusionAt is when it was last logged that the step waits for excluded workers.
	exclusionAt time.Duration
	// isolationWait is until when a gang with a suspect task waits for workers without recent
	// starts.
	isolationWait time.Duration

	search rackSearch // of a gang that asks for one rack
	// roomSince is since when the step has had room as startPromise counts it, 0 if it has none; besideRoom tells that
	// it has been logged to have waited for longer.
	roomSince  time.Duration
	besideRoom bool

	work speed.Work
	// planFactor is that of work when capacity was last planned.
	planFactor float64
	advice     *advice
	gang       gangState
}

// task is one task of a step. Its alloc is nil while no run of it can exist.
type task struct {
	alloc      *allocation
	done       bool
	failed     []uint64 // runs that failed
	runs       uint64   // started in this epoch
	checkpoint string
	crashes    crash.Records
	avoid      []runner.WorkerID // where it failed
	avoidUntil time.Duration     // no start on these before
	savedShare float64           // share of its work that is at least in its checkpoint, known only from evacuated runs
	preempted  int               // how often a run of it was stopped for other work in this epoch
	moves      int               // how often it was moved as a straggler, in this epoch
	stalls     int               // how often it was stopped for want of progress, in this epoch
}

// gangState is the state that a gang's tasks share.
type gangState struct {
	run      uint64 // the highest run number used
	runs     uint64 // started in this epoch
	failed   []uint64
	stopping bool // its members are being stopped
	moves    int  // how often it was moved as it had a straggler, in this epoch
	stalls   int  // how often it was stopped since a member made no progress, in this epoch
	// ends is when it is expected to end, computed again after endsUntil.
	ends, endsUntil time.Duration
}

// allocState is the state of a run on a worker, as far as the leader has it.
type allocState uint8

const (
	starting    allocState = iota // sent, no answer yet
	unconfirmed                   // no answer; may still start
	running                       // the worker confirmed it
	stopping                      // to be stopped
)

// allocation is one run on one worker. It holds its resources until the worker reports the
// completion, the run can no longer start, or the worker's incarnation has ended.
type allocation struct {
	w     *worker
	s     *step
	index int
	run   uint64
	need  work.Resources
	state allocState

	ticket   string
	sent     time.Duration // when the first start order was sent
	tries    int           // start orders sent
	ackAt    time.Duration // when the worker confirmed it
	reported bool          // listed in a report of the worker's incarnation

	stopAt       time.Duration // when its stop was decided
	stopSent     time.Duration // when the last stop order was sent
	stopAckedAt  time.Duration // when a stop order was answered, 0 if none was
	missingSince time.Duration // since when reports have not listed it
	// awaitsVersion is the version of its job that must be stored before a trial is sent.
	awaitsVersion uint64
	lossRecorded  bool // its loss is in the task's crash records

	percent   float64
	percentAt time.Duration // when percent last rose
	progress  speed.Run
	// resumed: it was started from a checkpoint.
	resumed   bool
	predicted time.Duration // its run time, when it was started; 0 if the actual one is not known
	straggles bool          // it was found to take much longer than expected
	// kept: its worker leaves, and it is expected to end before; evacuated: it was stopped because
	// its worker, or that of another member of its gang, leaves.
	kept, evacuated bool
}

func (alloc *allocation) id() work.TaskID { return alloc.s.taskID(alloc.index) }

// id identifies the step by the id of its first task.
func (s *step) id() work.TaskID {
	return work.TaskID{Job: s.job.id, Occurrence: s.occurrence.number, Step: s.number}
}

// taskID returns the id of one of the step's tasks.
func (s *step) taskID(i int) work.TaskID {
	id := s.id()
	id.Index = i
	return id
}

func (alloc *allocation) task() *task { return &alloc.s.tasks[alloc.index] }

// active reports whether tasks of the job may start.
func (j *job) active() bool { return !j.state.Final() }

// ready reports whether the steps that s follows are done.
func (s *step) ready() bool {
	return !slices.ContainsFunc(s.after, func(a *step) bool { return a.left > 0 })
}

// live returns how many tasks have an allocation.
func (s *step) live() int {
	n := 0
	for i := range s.tasks {
		if s.tasks[i].alloc != nil {
			n++
		}
	}
	return n
}

// progress returns the job's state as it is to be stored.
func (j *job) progress() *work.Progress {
	p := &work.Progress{State: j.state}
	if j.state == work.Queued && j.started {
		p.State = work.Running
	}
	if j.state.Final() {
		p.Account = j.spec.Account
		if j.state != work.Completed {
			p.InUse = j.held()
		}
		return p
	}
	p.Before = j.doneBefore
	for s := range j.steps() {
		if e, any := s.completions(); any {
			p.Completions = append(p.Completions, e)
		}
	}
	return p
}

func (s *step) completions() (work.StepCompletions, bool) {
	e := work.StepCompletions{Occurrence: s.occurrence.number, Step: s.number, All: s.left == 0}
	if e.All {
		return e, true
	}
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.done {
			e.Done = append(e.Done, i)
		}
		if len(t.failed) > 0 {
			e.Failed = append(e.Failed, work.TaskFailures{Index: i, Runs: t.failed})
		}
		for _, c := range t.crashes {
			c.Index = i
			e.Crashes = append(e.Crashes, c)
		}
	}
	if len(s.gang.failed) > 0 {
		e.Failed = append(e.Failed, work.TaskFailures{Runs: s.gang.failed})
	}
	return e, len(e.Done)+len(e.Failed)+len(e.Crashes) > 0
}

// restore applies the job's progress as read from the store.
func (j *job) restore(p *work.Progress) {
	j.state, j.visible = p.State, p.State
	if p.State == work.Running {
		j.state, j.started = work.Queued, true
	}
	for _, o := range j.occurrences {
		if o.number < p.Before {
			o.finish()
		}
	}
	j.prune()
	j.doneBefore = max(j.doneBefore, p.Before)
	j.nextDue = max(j.nextDue, j.doneBefore)
	for _, e := range p.Completions {
		s := j.step(work.TaskID{Occurrence: e.Occurrence, Step: max(e.Step, 0)})
		if s == nil {
			continue
		}
		if e.All {
			s.finishAll()
		}
		for _, i := range e.Done {
			if i >= 0 && i < len(s.tasks) {
				s.finish(i)
			}
		}
		for _, f := range e.Failed {
			s.restoreFail(f)
		}
		for _, c := range e.Crashes {
			if c.Index >= 0 && c.Index < len(s.tasks) {
				s.tasks[c.Index].crashes = append(s.tasks[c.Index].crashes, c)
			}
		}
	}
}

func (s *step) restoreFail(f work.TaskFailures) {
	if s.spec.Gang {
		s.gang.failed = f.Runs
		return
	}
	if f.Index >= 0 && f.Index < len(s.tasks) {
		s.tasks[f.Index].failed = f.Runs
	}
}

// finish marks every task of the occurrence done.
func (o *occurrence) finish() {
	for _, s := range o.steps {
		s.finishAll()
	}
}

func (s *step) finishAll() {
	for i := range s.tasks {
		s.finish(i)
	}
}

// finish marks a task done.
func (s *step) finish(i int) {
	t := &s.tasks[i]
	if t.done {
		return
	}
	t.done, t.crashes = true, nil
	s.left--
	s.unqueue(i)
}

func (s *step) unqueue(i int) {
	if k := slices.Index(s.pending, i); k >= 0 {
		s.pending = slices.Delete(s.pending, k, k+1)
	}
}

// requeue makes a task eligible to start again, ahead of the tasks that never ran.
func (s *step) requeue(i int) {
	if !s.tasks[i].done && !slices.Contains(s.pending, i) {
		s.pending = slices.Insert(s.pending, 0, i)
	}
}
