// Package work defines the jobs that callers submit, which consist of steps of
// tasks, and the queues and client accounts that the configuration declares. The
// types are independent of the platform's formats; an adapter decodes those into
// them.
package work

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"fennelshunt.example/fennelshunt/connection/peer"
)

// JobID is the caller's id of a job: 16 hexadecimal digits.
type JobID string

// Resources of a task or a worker.
type Resources struct {
	CPU    int `cbor:"1,keyasint,omitempty"` // thousandths of a core
	Memory int `cbor:"2,keyasint,omitempty"` // MB
	GPU    int `cbor:"3,keyasint,omitempty"`
}

// Add returns r + s.
func (r Resources) Add(s Resources) Resources {
	return Resources{CPU: r.CPU + s.CPU, Memory: r.Memory + s.Memory, GPU: r.GPU + s.GPU}
}

// Sub returns r - s; a dimension may become negative.
func (r Resources) Sub(s Resources) Resources {
	return Resources{CPU: r.CPU - s.CPU, Memory: r.Memory - s.Memory, GPU: r.GPU - s.GPU}
}

// Scale returns r with each dimension multiplied by n.
func (r Resources) Scale(n int) Resources {
	return Resources{CPU: r.CPU * n, Memory: r.Memory * n, GPU: r.GPU * n}
}

// Fits reports whether r fits into free in every dimension.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.Memory <= free.Memory && r.GPU <= free.GPU
}

// Times returns how many times r fits into free, limit at most.
func (r Resources) Times(free Resources, limit int) int {
	n := limit
	for _, p := range [...][2]int{{r.CPU, free.CPU}, {r.Memory, free.Memory}, {r.GPU, free.GPU}} {
		if p[0] > 0 {
			n = min(n, max(p[1], 0)/p[0])
		}
	}
	return n
}

// Step is a part of a job: Count tasks with the same requirements.
type Step struct {
	Count    int           `cbor:"1,keyasint"`
	Size     Resources     `cbor:"2,keyasint"`           // of each task
	Estimate time.Duration `cbor:"3,keyasint,omitempty"` // run time of each task
	After    []int         `cbor:"4,keyasint,omitempty"` // earlier steps that must be done first
	// Gang: the tasks make progress only while all of them run.
	Gang bool `cbor:"5,keyasint,omitempty"`
	// SameRack: the tasks run more slowly when they are on more than one rack.
	SameRack bool `cbor:"6,keyasint,omitempty"`
	// Labels that the worker must have.
	Labels []string `cbor:"7,keyasint,omitempty"`
	// DataRack is the rack on which the tasks run at full speed; "" for any.
	DataRack string `cbor:"8,keyasint,omitempty"`
	// MaxPerWorker bounds the step's tasks on one worker; 0 for no bound.
	MaxPerWorker int `cbor:"9,keyasint,omitempty"`
	// Speculative: several copies of a task may run at the same time.
	Speculative bool `cbor:"10,keyasint,omitempty"`
	// Checkpoints: a task that was stopped early continues from its last checkpoint.
	Checkpoints bool `cbor:"11,keyasint,omitempty"`
	// LongRunning: the tasks are long-running. They run until the job is cancelled and are
	// restarted however they end.
	LongRunning bool `cbor:"12,keyasint,omitempty"`
	// MaxInterrupted is how many of the step's long-running tasks the system may have
	// interrupted at a time.
	MaxInterrupted int `cbor:"13,keyasint,omitempty"`
	// BestEffort: the tasks are best-effort. They use spare CPU, and the CPU that they request
	// is not counted.
	BestEffort bool `cbor:"14,keyasint,omitempty"`
	// Image names what the tasks run; tasks of the same image behave alike.
	Image string `cbor:"15,keyasint,omitempty"`
	// Target is the bound on the response time of long-running tasks.
	Target time.Duration `cbor:"16,keyasint,omitempty"`
}

// Need returns the resources that a task is charged with on its worker.
func (s *Step) Need() Resources {
	need := s.Size
	if s.BestEffort {
		need.CPU = 0
	}
	return need
}

// Advice describes the advice service of a queue: how long a call takes and how
// long its answer is valid.
type Advice struct {
	Base      time.Duration `cbor:"1,keyasint"` // of each call
	PerWorker time.Duration `cbor:"2,keyasint"` // for each worker in the call
	Valid     time.Duration `cbor:"3,keyasint"`
}

// Cost returns how long a call about n workers takes.
func (a *Advice) Cost(n int) time.Duration { return a.Base + time.Duration(n)*a.PerWorker }

// Queue accepts jobs of one kind for the workers of one service.
type Queue struct {
	Name     string  `cbor:"1,keyasint"`
	Host     string  `cbor:"2,keyasint"`
	Prefix   string  `cbor:"3,keyasint"`
	Service  string  `cbor:"4,keyasint"`
	Priority int     `cbor:"5,keyasint"` // 0 is the highest
	Attempts int     `cbor:"6,keyasint"` // the job fails when one of its tasks has failed this often
	Slack    float64 `cbor:"7,keyasint"` // objective as a multiple of the critical path
	// Allowance is added to the objective.
	Allowance time.Duration `cbor:"8,keyasint"`
	Advice    *Advice       `cbor:"9,keyasint,omitempty"`
	// Open: callers need no key. It is not stored with accepted jobs, since only requests
	// are checked for a key.
	Open bool `cbor:"-"`
}

// Catalog is one version of the configuration of queues and client accounts. It is
// immutable once published.
type Catalog struct {
	Version  int64
	Queues   []Queue
	MaxBody  int64     // longest body of a submission, in bytes
	Accounts *Accounts // nil: the configuration declares none
	// Problems describes the entries of the version that cannot be used as declared.
	Problems error
}

// Find returns the queue of host with the longest prefix that path begins with.
func (c *Catalog) Find(host, path string) (*Queue, bool) {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	return best, best != nil
}

// Job is a job as accepted; it is immutable.
type Job struct {
	Queue Queue  `cbor:"1,keyasint"`
	Spec  string `cbor:"2,keyasint"`
	Steps []Step `cbor:"3,keyasint"`
	// Accepted is the time at which a daemon accepted the job, in milliseconds
	// since 1970.
	Accepted int64 `cbor:"4,keyasint"`
	// Epoch is the highest epoch of the scheduler known to the accepting daemon.
	// A scheduler with a lower epoch must not start the job, so that schedulers with
	// this epoch or a higher one know that no scheduler before this epoch started it.
	Epoch uint64 `cbor:"5,keyasint"`
	// Repeat is how often the steps run: first at StartAt, then after every Interval.
	// 0 is for a job that runs once, immediately.
	Repeat   int           `cbor:"6,keyasint,omitempty"`
	StartAt  int64         `cbor:"7,keyasint,omitempty"` // milliseconds since 1970
	Interval time.Duration `cbor:"8,keyasint,omitempty"`
	// AcceptedBy is the peer address of the accepting daemon, which has the job's spec in
	// memory.
	AcceptedBy string `cbor:"9,keyasint,omitempty"`
	// Account is the client account that submitted the job, "" for none.
	Account string `cbor:"10,keyasint,omitempty"`
	// SpecStored: the store holds the spec under a key of its own, and the job without it.
	SpecStored bool `cbor:"11,keyasint,omitempty"`
	// SpecDigest is the xxHash64 of the spec if SpecStored is set, so that two submissions under one id
	// that differ in nothing else are told apart without their specs.
	SpecDigest uint64 `cbor:"12,keyasint,omitempty"`
}

// DigestOf returns the digest of a spec.
func DigestOf(spec string) uint64 { return xxhash.Sum64String(spec) }

// WithoutSpec returns the job without its spec, for a scheduler that does not send the
// spec to the workers itself.
func (j *Job) WithoutSpec() *Job {
	short := *j
	short.Spec = ""
	return &short
}

// State of a job as callers see it.
type State uint8

// States of a job.
const (
	Queued State = iota
	Running
	Completed
	Failed
	Cancelled
	// Refused marks an id whose submission was abandoned: no such job exists, and
	// none will.
	Refused
)

// Final reports whether the state does not change any more.
func (s State) Final() bool { return s >= Completed }

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Queued:
		return "queued"
	case Running:
		return "running"
	case Completed:
		return "completed"
	case Failed:
		return "failed"
	case Cancelled:
		return "cancelled"
	default:
		return "refused"
	}
}

// TaskID names a task.
type TaskID struct {
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's name: JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	b := make([]byte, 0, len(t.Job)+12)
	b = append(b, t.Job...)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// StepName returns JOB.OCCURRENCE.STEP.
func (t TaskID) StepName() string {
	return fmt.Sprintf("%s.%d.%d", t.Job, t.Occurrence, t.Step)
}

// ParseTask reads a task's name.
func ParseTask(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("work: task %q: want JOB.OCCURRENCE.STEP.INDEX", s)
	}
	t := TaskID{Job: JobID(parts[0])}
	for i, into := range [...]*int{&t.Occurrence, &t.Step, &t.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskID{}, fmt.Errorf("work: task %q: part %d is no number", s, i+2)
		}
		*into = n
	}
	return t, nil
}

// MaxTasks bounds the tasks of one occurrence of a job, and those of all occurrences
// that exist at the same time, so that a job cannot exhaust the scheduler's memory.
const MaxTasks = 20_000

// maxSpan bounds the time from a job's first occurrence to its last, and
// maxStartAt the time at which the first is due (the year 2200), in milliseconds since
// 1970. A time.Duration can hold both.
const (
	maxSpan    = 100 * 365 * 24 * time.Hour
	maxStartAt = 7_258_118_400_000
)

// Tasks returns the number of tasks of one occurrence.
func (j *Job) Tasks() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// FieldError means that a field of a job is not valid; Problem also says what to do.
type FieldError struct{ Field, Problem string }

// Error implements error.
func (e *FieldError) Error() string { return "job: field " + e.Field + ": " + e.Problem }

// Check returns a *FieldError for the first field that is not valid.
func (j *Job) Check() error {
	if len(j.Steps) == 0 {
		return &FieldError{"steps", "is empty; name at least one step"}
	}
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.Count < 1 || s.Count > MaxTasks {
			return &FieldError{fmt.Sprintf("steps[%d].count", i), fmt.Sprintf("is %d; use 1 to %d", s.Count, MaxTasks)}
		}
		if s.Size.CPU < 0 || s.Size.Memory < 0 || s.Size.GPU < 0 {
			return &FieldError{fmt.Sprintf("steps[%d].size", i), "is negative"}
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				return &FieldError{fmt.Sprintf("steps[%d].after", i), fmt.Sprintf("names step %d; name earlier steps", a)}
			}
		}
	}
	if total := j.Tasks(); total > MaxTasks {
		return &FieldError{"steps", fmt.Sprintf("have %d tasks; use at most %d", total, MaxTasks)}
	}
	return j.checkTimes()
}

func (j *Job) checkTimes() error {
	switch {
	case j.Repeat < 0:
		return &FieldError{"repeat", fmt.Sprintf("is %d; use 1 or more, or leave it out", j.Repeat)}
	case j.Interval < 0 || (j.Interval > 0 && j.Repeat > int(maxSpan/j.Interval)):
		return &FieldError{"interval", "is negative, or the last occurrence is over a hundred years after the first; use a shorter one"}
	case j.StartAt < 0 || j.StartAt > maxStartAt:
		return &FieldError{"start_at", fmt.Sprintf("is %d; use milliseconds since 1970, up to the year 2200", j.StartAt)}
	}
	return nil
}

// Work returns the core-seconds of all tasks of the job, by their declared size and
// estimate.
func (j *Job) Work() float64 {
	sum := 0.0
	for i := range j.Steps {
		s := &j.Steps[i]
		sum += float64(s.Count) * float64(s.Size.CPU) / 1000 * s.Estimate.Seconds()
	}
	return sum
}

// CriticalPath returns the length of the job's critical path: the longest sum of estimated run
// times, and of the calls for advice, over steps that depend on each other.
func (j *Job) CriticalPath() time.Duration {
	finish := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i := range j.Steps {
		s := &j.Steps[i]
		for _, a := range s.After {
			finish[i] = max(finish[i], finish[a])
		}
		finish[i] += s.Estimate
		if a := j.Queue.Advice; a != nil {
			finish[i] += a.Cost(advisedWorkers)
		}
		longest = max(longest, finish[i])
	}
	return longest
}

// advisedWorkers is the number of workers per step for which the objective includes the
// time of a call for advice.
const advisedWorkers = 30

// LateFactor is how many objectives after its acceptance a job has lost all of its value.
const LateFactor = 3

// Objective returns how long after its acceptance a job should be completed.
func (j *Job) Objective() time.Duration {
	return time.Duration(float64(j.CriticalPath())*j.Queue.Slack) + j.Queue.Allowance
}

// EncodeJob returns the stored form of a job.
func EncodeJob(j *Job) ([]byte, error) { return peer.Marshal(j) }

// DecodeJob decodes and checks the stored form of a job.
func DecodeJob(data []byte) (*Job, error) {
	j := &Job{}
	if err := peer.Unmarshal(data, j); err != nil {
		return nil, fmt.Errorf("work: stored job: %w", err)
	}
	return j, j.Check()
}

// Progress is the durable part of a job's state: its state and how its tasks ended.
type Progress struct {
	State State `cbor:"1,keyasint"`
	// Before: every occurrence with a lower number is done.
	Before int `cbor:"3,keyasint,omitempty"`
	// Account is the account of a job that has ended and whose stored submission was
	// deleted, and InUse the resources that its tasks still used when it ended.
	Account string    `cbor:"4,keyasint,omitempty"`
	InUse   Resources `cbor:"5,keyasint,omitempty"`
	// Completions has one entry for each step of each occurrence with a completed or failed task.
	Completions []StepCompletions `cbor:"2,keyasint,omitempty"`
}

// StepCompletions holds the completions and failures of one step's tasks.
type StepCompletions struct {
	Occurrence int            `cbor:"1,keyasint,omitempty"`
	Step       int            `cbor:"2,keyasint,omitempty"`
	All        bool           `cbor:"3,keyasint,omitempty"` // every task is done
	Done       []int          `cbor:"4,keyasint,omitempty"` // indexes, rising
	Failed     []TaskFailures `cbor:"5,keyasint,omitempty"`
	// Crashes of workers under tasks that are not done.
	Crashes []Crash `cbor:"6,keyasint,omitempty"`
}

// Crash is a crash, or possible crash, of a worker while a run of a task was there.
type Crash struct {
	Index  int    `cbor:"1,keyasint,omitempty"`
	Run    uint64 `cbor:"2,keyasint"`
	Worker string `cbor:"3,keyasint"` // the incarnation that ended
	// Sole: no run of another job had started on the worker as recently, so that only runs
	// of this task's job may have caused the crash.
	Sole bool `cbor:"4,keyasint,omitempty"`
	// Undecided: whether it was a crash is not decided yet. The run is about to start or has
	// started, or was lost with a worker that may only be unreachable.
	Undecided bool `cbor:"5,keyasint,omitempty"`
}

// TaskFailures holds the numbers of a task's failed runs. Numbers rather than a count, since the
// completions of several runs may be reported in any order, and more than once.
type TaskFailures struct {
	Index int      `cbor:"1,keyasint"`
	Runs  []uint64 `cbor:"2,keyasint"`
}

// Size estimates the size of the stored form, in bytes.
func (p *Progress) Size() int {
	const record, end, failure, crash = 32, 8, 8, 40
	n := record
	for i := range p.Completions {
		n += end + 3*len(p.Completions[i].Done) + crash*len(p.Completions[i].Crashes)
		for _, f := range p.Completions[i].Failed {
			n += failure + 9*len(f.Runs)
		}
	}
	return n
}

// JobProgress is the progress of one job in a batch of job states.
type JobProgress struct {
	Job      JobID    `cbor:"1,keyasint"`
	Progress Progress `cbor:"2,keyasint"`
}

// EncodeBatch returns the stored form of a batch of job states.
func EncodeBatch(all []JobProgress) ([]byte, error) { return peer.Marshal(all) }

// DecodeBatch decodes the stored form of a batch of job states.
func DecodeBatch(data []byte) ([]JobProgress, error) {
	var all []JobProgress
	if err := peer.Unmarshal(data, &all); err != nil {
		return nil, fmt.Errorf("work: stored batch of job states: %w", err)
	}
	return all, nil
}

// EncodeProgress returns the stored form of one job's progress.
func EncodeProgress(p *Progress) ([]byte, error) { return peer.Marshal(p) }

// DecodeProgress decodes the stored form of one job's progress.
func DecodeProgress(data []byte) (*Progress, error) {
	p := &Progress{}
	if err := peer.Unmarshal(data, p); err != nil {
		return nil, fmt.Errorf("work: stored progress: %w", err)
	}
	return p, nil
}
