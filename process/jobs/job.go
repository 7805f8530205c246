package jobs

import (
	"time"

	"github.com/RoaringBitmap/roaring/v2"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/jobs/progress"
	"fennelshunt.example/fennelshunt/process/jobs/queue"
	"fennelshunt.example/fennelshunt/process/sched"
	"fennelshunt.example/fennelshunt/version/spec"
)

// phase is the stage of an attempt between its decision and its end.
type phase uint8

const (
	intending phase = iota // its intent must be durable before it may be sent
	reserving              // waits for all reservations of its gang
	unsent                 // in the outbox of its partition
	sent                   // in a plan that has no response yet
	uncertain              // the response to its plan was lost
	starting               // accepted by the partition
	running                // reported by the worker
)

// mayRun reports whether a worker may run the attempt.
func (p phase) mayRun() bool { return p >= sent }

// attempt is one start of a task, from the decision to its confirmed end.
type attempt struct {
	job       *job
	index     uint32
	number    int
	phase     phase
	stopping  bool
	partition string
	worker    worker.ID
	size      spec.Resources
	victims   []worker.Ref
	// unplaced is set while the partition's owner may have started the task on
	// any worker of the partition: the plan may be rebound, and neither its
	// response nor an event has named the worker yet.
	unplaced bool
	// sentEpoch is the epoch of the partition's owner that the plan was sent to.
	sentEpoch uint64
	// reservation is set for tasks of a gang.
	reservation string
	// waitingSince is when the task became ready, decided when its worker was
	// chosen, stopSent when the last stop was sent.
	waitingSince, decided, stopSent time.Time
}

func (a *attempt) task() spec.TaskID {
	return spec.TaskID{Job: a.job.key.Job, Generation: a.job.key.Generation, Index: int(a.index)}
}

func (a *attempt) ref() worker.Ref { return worker.Ref{Task: a.task(), Attempt: a.number} }

// job is one generation of a job. Each task index is in exactly one of: ready,
// blocked, delayed, live, or finished in the record.
type job struct {
	key   progress.Key
	spec  *spec.VersionedJob
	class spec.Class
	// record is the progress that is durable or will be with the next write;
	// durableLimit and durableIntent are the values of it that are durable.
	record        *progress.Job
	durableLimit  uint32
	durableIntent *roaring.Bitmap

	ready   *roaring.Bitmap
	blocked *roaring.Bitmap // may be running since before a takeover
	delayed *roaring.Bitmap // waits for its retry delay
	live    map[uint32]*attempt

	entry   *queue.Entry[*job]
	arrived time.Time
	// requeued holds the time at which a task became ready again.
	requeued map[uint32]time.Time
	// restarts holds, by task, the number of attempt numbers that are used up in
	// this incarnation of the shard; see consume.
	restarts map[uint32]int
	// avoid holds the workers on which a task failed before.
	avoid map[uint32][]worker.ID
	// cancelled is set on a job that is kept only until its last attempt ends.
	cancelled bool
	// adopted is set for an older generation that was found only in the list of
	// a partition.
	adopted bool
	// wait is the reason why the job's next task is not started, infeasible the
	// reason why it can never start on the current workers or within the quota.
	wait       string
	rejections []sched.Rejection
	infeasible string
	// gang is the try to reserve capacity that is in progress, nextTry the time
	// of the next one, tries the number of failed ones.
	gang    *gangTry
	nextTry time.Time
	tries   int
	failing bool // guards failGang against recursion
	// consecutiveFailures counts the failures since the last success of any
	// task. It lengthens the retry delay of a job whose tasks fail on every
	// worker.
	consecutiveFailures int
	// size is what the next task reserves and runTime its expected run time,
	// both learned at sizedAt.
	size    spec.Resources
	runTime time.Duration
	sizedAt time.Time
}

// initialStartLimit is the number of tasks of a job that may be started before
// its record is written, so that small and urgent jobs start without a write. A
// takeover treats them as possibly started. It must not be lowered between two
// releases that run side by side: a new owner of the newer release would treat
// started tasks as never started.
const initialStartLimit = 64

func newJob(vj *spec.VersionedJob, record *progress.Job, now time.Time, arrival uint64) *job {
	record.StartLimit = max(record.StartLimit, initialStartLimit)
	j := &job{
		key: progress.Key{Job: vj.Name, Generation: vj.Generation}, spec: vj, class: vj.EffectiveClass(),
		record: record, durableIntent: record.Intent.Clone(), durableLimit: record.StartLimit,
		ready: roaring.New(), blocked: roaring.New(), delayed: roaring.New(),
		live: map[uint32]*attempt{}, requeued: map[uint32]time.Time{}, avoid: map[uint32][]worker.ID{}, restarts: map[uint32]int{}, arrived: now,
	}
	j.size = vj.Size
	j.entry = &queue.Entry[*job]{Value: j, Team: vj.Team, Class: j.class, Shape: j.shape(), Arrival: arrival}
	return j
}

// shape returns the scheduling equivalence class of the job's tasks. Services,
// gangs and jobs with a spread or a limit per worker have one of their own,
// because the placement of their tasks depends on where their other tasks run.
func (j *job) shape() queue.Shape {
	s := queue.Shape{Size: j.size, Kind: j.spec.Kind, Constraints: constraintsKey(&j.spec.Constraints)}
	if j.spec.Kind != spec.Batch || j.spec.Constraints.MaxPerWorker > 0 || j.spec.Constraints.Spread != "" {
		s.Job = j.key.Job
	}
	return s
}

func constraintsKey(c *spec.Constraints) string {
	if len(c.Zones) == 0 && len(c.Racks) == 0 {
		return ""
	}
	key := ""
	for _, zone := range c.Zones {
		key += "z" + zone + "\x00"
	}
	for _, rack := range c.Racks {
		key += "r" + rack + "\x00"
	}
	return key
}

// next returns the lowest ready task that may be started under the durable
// limit.
func (j *job) next() (uint32, bool) {
	if j.ready.IsEmpty() {
		return 0, false
	}
	index := j.ready.Minimum()
	return index, index < j.durableLimit
}

// wantsLimit returns the start limit to make durable next, and whether the
// limit should be raised now.
func (j *job) wantsLimit(ahead int) (uint32, bool) {
	count := uint32(j.spec.Count)
	if j.record.StartLimit >= count {
		return 0, false
	}
	started := uint32(0)
	if !j.ready.IsEmpty() {
		started = j.ready.Minimum()
	}
	step := uint32(max(ahead, 4*len(j.live)))
	if j.spec.Kind != spec.Batch {
		return count, true
	}
	if started+step/2 < j.record.StartLimit {
		return 0, false
	}
	return min(count, started+step), true
}

func (j *job) service() bool { return j.spec.Kind == spec.Service }

// finished reports whether all tasks of a batch job or gang have a final
// outcome.
func (j *job) finished() bool {
	return !j.service() && j.record.FinishedCount() == j.spec.Count && len(j.live) == 0
}

// waitingSets returns the sets of waiting tasks in the order in which they start.
func (j *job) waitingSets() []*roaring.Bitmap {
	return []*roaring.Bitmap{j.ready, j.delayed, j.blocked}
}

// ask returns the scheduling request for a task.
func (st *state) ask(j *job, index uint32, number int) sched.Ask {
	a := j.ask(index, number)
	a.RunTime = j.runTime
	a.Avoid = j.avoid[index]
	return a
}

func (j *job) ask(index uint32, number int) sched.Ask {
	return sched.Ask{
		Task: spec.TaskID{Job: j.key.Job, Generation: j.key.Generation, Index: int(index)}, Attempt: number,
		Team: j.spec.Team, Kind: j.spec.Kind, Class: j.class, Size: j.size,
		Constraints: j.spec.Constraints, NonIdempotent: j.spec.NonIdempotent,
		Preempt: j.class.Rank() >= spec.High.Rank(),
	}
}
