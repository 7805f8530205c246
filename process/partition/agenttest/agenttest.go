// Package agenttest provides in-memory worker agents for tests of the owners of
// workers. Leases, task leases and run times follow the clock, which may be
// virtual. A Rack checks all its agents together and records every task that
// runs twice at the same time and every VM that runs more than its capacity.
package agenttest

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/version/spec"
)

// Rack is a set of agents that share their faults and checks. It is safe for
// concurrent use.
type Rack struct {
	mu          sync.Mutex
	agents      map[worker.ID]*agent
	checkpoints map[spec.TaskID]float64
	starts      map[spec.TaskID]int
	// ackedSuccesses counts acknowledged successes. A result that was not
	// acknowledged may be lost with its worker; then the task may start again.
	ackedSuccesses map[spec.TaskID]int
	succeeded      map[spec.TaskID]bool
	violations     []string
	faults         Faults
	cuts           map[cut]bool
	paused         map[string]chan struct{}
	calls          map[string]int
	leases         int
	nonce          uint64
	failJobs       map[string]bool
}

// cut is a network partition between a daemon and a worker.
type cut struct {
	daemon string
	worker worker.ID
}

// Faults are the faults of the network between daemons and agents. LoseCalls and
// LoseAnswers are probabilities from 0 to 1.
type Faults struct {
	LoseCalls   float64 // the call never arrives; the caller sees ErrUnknown
	LoseAnswers float64 // the call takes effect; the caller sees ErrUnknown
	// MaxDelay is the upper bound of the random delay of each call and each answer.
	MaxDelay time.Duration
	// Seed makes the faults reproducible.
	Seed uint64
}

// agent is the state of one worker.
type agent struct {
	id           worker.ID
	capacity     spec.Resources
	checksEpochs bool
	failAll      bool
	down         bool
	draining     bool
	maxEpoch     uint64
	seq          uint64
	leases       map[worker.LeaseID]*lease
	runs         map[worker.Ref]*run
	usage        map[spec.TaskID]spec.Resources
}

type lease struct {
	ttl, taskTTL time.Duration
	renewed      time.Time
	revoked      bool
}

func (l *lease) valid(now time.Time) bool { return !l.revoked && now.Sub(l.renewed) < l.ttl }

type run struct {
	task        worker.Task
	start       worker.Start
	started     time.Time
	resumedWork float64
	seq         uint64
}

// NewRack returns a rack without workers.
func NewRack() *Rack {
	return &Rack{
		agents:         make(map[worker.ID]*agent),
		checkpoints:    make(map[spec.TaskID]float64),
		starts:         make(map[spec.TaskID]int),
		ackedSuccesses: make(map[spec.TaskID]int),
		succeeded:      make(map[spec.TaskID]bool),
		cuts:           make(map[cut]bool),
		paused:         make(map[string]chan struct{}),
		calls:          make(map[string]int),
		failJobs:       make(map[string]bool),
	}
}

// Add adds a worker whose address is its id. With checksEpochs it refuses a
// lease for a lower epoch than the highest it has seen.
func (r *Rack) Add(id worker.ID, capacity spec.Resources, checksEpochs bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.agents[id] = &agent{
		id: id, capacity: capacity, checksEpochs: checksEpochs,
		leases: make(map[worker.LeaseID]*lease),
		runs:   make(map[worker.Ref]*run),
		usage:  make(map[spec.TaskID]spec.Resources),
	}
}

// SetFaults replaces the network faults.
func (r *Rack) SetFaults(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// Cut cuts the network between a daemon and a worker, or restores it.
func (r *Rack) Cut(daemon string, id worker.ID, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts[cut{daemon, id}] = on
}

// Pause blocks every call of a daemon just before it is sent, as when the
// process is suspended between a check and the send. The caller's deadline still
// applies, but the call is sent after Resume even if it has passed.
func (r *Rack) Pause(daemon string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.paused[daemon] == nil {
		r.paused[daemon] = make(chan struct{})
	}
}

// Resume undoes Pause.
func (r *Rack) Resume(daemon string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if resumed := r.paused[daemon]; resumed != nil {
		close(resumed)
		delete(r.paused, daemon)
	}
}

// Calls returns how many calls a daemon has made.
func (r *Rack) Calls(daemon string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls[daemon]
}

// change runs f on an agent after applying what is due by now.
func (r *Rack) change(id worker.ID, f func(a *agent)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance()
	f(r.agents[id])
}

// SetDown makes a worker unreachable for all daemons, or reachable again; its
// tasks keep running.
func (r *Rack) SetDown(id worker.ID, down bool) { r.change(id, func(a *agent) { a.down = down }) }

// SetDraining marks a VM as leaving.
func (r *Rack) SetDraining(id worker.ID) { r.change(id, func(a *agent) { a.draining = true }) }

// IgnoreEpochs makes a worker check leases only and not epochs.
func (r *Rack) IgnoreEpochs(id worker.ID) {
	r.change(id, func(a *agent) { a.checksEpochs = false })
}

// SetFailAll makes every task on a worker fail.
func (r *Rack) SetFailAll(id worker.ID, on bool) { r.change(id, func(a *agent) { a.failAll = on }) }

// SetFailJob makes the tasks of a job fail on every worker.
func (r *Rack) SetFailJob(job string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failJobs[job] = true
}

// SetUsage sets the usage that a worker reports for a task.
func (r *Rack) SetUsage(id worker.ID, task spec.TaskID, usage spec.Resources) {
	r.change(id, func(a *agent) {
		a.usage[task] = usage
		for _, run := range a.runs {
			if run.task.Task == task {
				run.task.Usage = usage
				a.touch(run)
			}
		}
	})
}

// Restart drops all leases and tasks of a worker, as a reboot does.
func (r *Rack) Restart(id worker.ID) {
	r.change(id, func(a *agent) {
		clear(a.leases)
		clear(a.runs)
	})
}

// Kill drops all leases and tasks of a worker and makes it unreachable.
func (r *Rack) Kill(id worker.ID) {
	r.Restart(id)
	r.SetDown(id, true)
}

// Violations lists the violated invariants.
func (r *Rack) Violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.violations)
}

// Starts returns how often each task was started.
func (r *Rack) Starts() map[spec.TaskID]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.starts)
}

// Succeeded returns how many tasks of a job have succeeded, whether or not the
// success was acknowledged.
func (r *Rack) Succeeded(job string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for id := range r.succeeded {
		if id.Job == job {
			n++
		}
	}
	return n
}

// Running returns the tasks that run on a worker now.
func (r *Rack) Running(id worker.ID) []spec.TaskID {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance()
	var tasks []spec.TaskID
	for _, run := range r.agents[id].runs {
		if !run.task.State.Ended() {
			tasks = append(tasks, run.task.Task)
		}
	}
	return tasks
}

// Throttled reports whether a task on a worker is throttled now.
func (r *Rack) Throttled(id worker.ID, task spec.TaskID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.agents[id].runs {
		if run.task.Task == task && run.task.State == worker.Throttled {
			return true
		}
	}
	return false
}

// advance ends the runs whose run time or task lease has expired. The caller
// holds mu.
func (r *Rack) advance() {
	now := time.Now()
	for _, a := range r.agents {
		for _, run := range a.runs {
			if run.task.State.Ended() {
				continue
			}
			l := a.leases[run.task.Lease]
			switch {
			case l != nil && now.Sub(l.renewed) >= l.taskTTL:
				a.end(run, worker.Stopped, "task lease ran out")
			case run.start.Kind != spec.Service && now.Sub(run.started) >= run.remaining():
				if a.failAll || r.failJobs[run.task.Task.Job] {
					a.end(run, worker.Failed, "failed")
					continue
				}
				r.succeeded[run.task.Task] = true
				a.end(run, worker.Succeeded, "")
			}
		}
	}
}

func (run *run) remaining() time.Duration {
	return time.Duration(float64(run.start.RunTime) * (1 - run.resumedWork))
}

func (a *agent) touch(run *run) {
	a.seq++
	run.seq = a.seq
}

func (a *agent) end(run *run, state worker.TaskState, message string) {
	run.task.State, run.task.Message = state, message
	a.touch(run)
}

// begin starts a run and checks the invariants. The caller holds mu.
func (r *Rack) begin(a *agent, id worker.LeaseID, s worker.Start) {
	ref := worker.Ref{Task: s.Task, Attempt: s.Attempt}
	for _, other := range r.agents {
		for _, run := range other.runs {
			if run.task.Task == s.Task && !run.task.State.Ended() {
				r.violations = append(r.violations, fmt.Sprintf(
					"task %s attempt %d starts at %s while attempt %d runs at %s",
					s.Task, s.Attempt, a.id, run.task.Attempt, other.id))
			}
		}
	}
	if r.ackedSuccesses[s.Task] > 0 {
		r.violations = append(r.violations, fmt.Sprintf("task %s starts again after its success was acknowledged", s.Task))
	}
	n := &run{start: s, started: time.Now(), task: worker.Task{
		Task: s.Task, Attempt: s.Attempt, Lease: id, State: worker.Running, Size: s.Size, Usage: a.usage[s.Task],
	}}
	if s.Kind == spec.Service {
		n.task.Address = string(a.id) + "/" + s.Task.String()
	}
	if s.Checkpoint {
		n.resumedWork = r.checkpoints[s.Task]
	}
	a.runs[ref] = n
	a.touch(n)
	r.starts[s.Task]++
	var sum spec.Resources
	for _, run := range a.runs {
		if !run.task.State.Ended() {
			sum = sum.Add(run.task.Size)
		}
	}
	if !sum.Fits(a.capacity) {
		r.violations = append(r.violations, fmt.Sprintf("%s runs tasks of %+v, beyond its capacity of %+v", a.id, sum, a.capacity))
	}
}
