// Package plan defines the messages between the owner of jobs (a shard of the
// teams) and the owner of workers (a partition). The shard's owner proposes a
// plan based on its snapshot; the partition's owner checks it against its current
// ledger and commits each step or refuses it with a reason.
package plan

import (
	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/version/spec"
)

// Methods served by the owner of a partition.
const (
	MethodCommit  peer.Method = "partition.commit"  // Plan -> Result
	MethodReserve peer.Method = "partition.reserve" // Reserve -> Result, for gangs
	MethodRelease peer.Method = "partition.release" // ReleaseReservation -> nothing
	MethodStop    peer.Method = "partition.stop"    // Stop -> nothing
	MethodAck     peer.Method = "partition.ack"     // Ack -> nothing
	MethodFence   peer.Method = "partition.fence"   // Fence -> FenceReply
	MethodState   peer.Method = "partition.state"   // StateRequest -> State, long poll
)

// Methods served by the owner of a shard of jobs.
const (
	MethodEvents peer.Method = "shard.events" // Events -> nothing
)

// Shard numbers a shard of the teams.
type Shard int

// Authorship identifies the author of a message by the claim of its shard. A
// partition's owner refuses an epoch lower than the highest it has seen for the
// shard.
type Authorship struct {
	Shard Shard    `cbor:"1,keyasint"`
	Epoch uint64   `cbor:"2,keyasint"`
	Owner peer.Ref `cbor:"3,keyasint"`
}

// Step starts one task on one worker, after preempting the victims there.
type Step struct {
	Worker  worker.ID    `cbor:"1,keyasint"`
	Start   worker.Start `cbor:"2,keyasint"`
	Class   spec.Class   `cbor:"3,keyasint"`
	Team    string       `cbor:"4,keyasint"`
	Victims []worker.Ref `cbor:"5,keyasint,omitempty"`
	// Constraints are checked again by the partition against its ledger.
	Constraints   spec.Constraints `cbor:"6,keyasint,omitempty"`
	NonIdempotent bool             `cbor:"7,keyasint,omitempty"`
	// Avoid lists workers that the task must not be rebound to, for example
	// those where it failed.
	Avoid []worker.ID `cbor:"8,keyasint,omitempty"`
}

// Plan proposes starts in one partition.
type Plan struct {
	Partition string     `cbor:"1,keyasint"`
	Author    Authorship `cbor:"2,keyasint"`
	Steps     []Step     `cbor:"3,keyasint"`
	// Reservation, when set, names the reservation whose capacity the steps use.
	Reservation string `cbor:"4,keyasint,omitempty"`
	// Seq increases with every Plan and Reserve of one shard epoch; see
	// Fence.MinSeq.
	Seq uint64 `cbor:"5,keyasint,omitempty"`
	// MayRebind lets the partition's owner start a step without victims on
	// another worker of the partition if the named one has no capacity for it;
	// the result names that worker. Until the response has arrived, the task may
	// run on any worker of the partition. A plan on a reservation is never
	// rebound.
	MayRebind bool `cbor:"6,keyasint,omitempty"`
	// NoRebind lists workers that no step is rebound to, because the author keeps
	// their capacity for other tasks.
	NoRebind []worker.ID `cbor:"7,keyasint,omitempty"`
}

// Outcome is the outcome of one step.
type Outcome string

// Outcomes. Accepted means that the partition's owner has reserved the capacity
// and will start the task; what becomes of it is reported with Events.
const (
	Accepted   Outcome = "accepted"
	NoCapacity Outcome = "no_room"    // no capacity according to the current ledger
	NoWorker   Outcome = "no_worker"  // worker removed, draining, unreachable or quarantined
	Duplicate  Outcome = "duplicate"  // the task already runs or is starting here
	Stale      Outcome = "stale"      // the author's epoch is not the newest
	NotOwner   Outcome = "not_owner"  // this daemon does not own the partition
	NotFenced  Outcome = "not_fenced" // the takeover is still in progress
)

// StepResult is the result of one step of a Plan or Reserve.
type StepResult struct {
	Outcome Outcome `cbor:"1,keyasint"`
	Reason  string  `cbor:"2,keyasint,omitempty"`
	// Worker is set on an accepted step that was rebound: the worker on which
	// the task starts or capacity is reserved, in place of Step.Worker.
	Worker worker.ID `cbor:"3,keyasint,omitempty"`
}

// Result is the response to a Plan or Reserve, with one entry for each step.
type Result struct {
	Steps []StepResult `cbor:"1,keyasint"`
	// Epoch is the partition's epoch.
	Epoch uint64 `cbor:"2,keyasint"`
}

// Reserve reserves capacity for the tasks of a gang until it is used by a Plan
// with the same Reservation, is released, or expires. Reserving never waits: what
// does not fit at once is refused, so that two gangs cannot deadlock.
type Reserve struct {
	Partition   string     `cbor:"1,keyasint"`
	Author      Authorship `cbor:"2,keyasint"`
	Reservation string     `cbor:"3,keyasint"`
	Steps       []Step     `cbor:"4,keyasint"`
	TTLMillis   int64      `cbor:"5,keyasint"`
	// Seq is as in Plan.
	Seq uint64 `cbor:"6,keyasint,omitempty"`
	// MayRebind and NoRebind are as in Plan. The plan that uses the reservation
	// must name the workers given in the result of this call.
	MayRebind bool        `cbor:"7,keyasint,omitempty"`
	NoRebind  []worker.ID `cbor:"8,keyasint,omitempty"`
}

// ReleaseReservation releases reserved capacity.
type ReleaseReservation struct {
	Partition   string     `cbor:"1,keyasint"`
	Author      Authorship `cbor:"2,keyasint"`
	Reservation string     `cbor:"3,keyasint"`
}

// StopMode is how a task is stopped.
type StopMode string

// Stop modes.
const (
	StopNow        StopMode = "stop"
	StopCheckpoint StopMode = "checkpoint"
)

// Stop stops tasks. For a service instance the partition's owner first marks the
// endpoint as leaving and waits up to DrainMillis for its requests to finish.
type Stop struct {
	Partition   string       `cbor:"1,keyasint"`
	Author      Authorship   `cbor:"2,keyasint"`
	Tasks       []worker.Ref `cbor:"3,keyasint"`
	Mode        StopMode     `cbor:"4,keyasint"`
	DrainMillis int64        `cbor:"5,keyasint,omitempty"`
}

// Ack confirms that the results of tasks are durable in the shard's progress, so that the
// workers may drop them.
type Ack struct {
	Partition string       `cbor:"1,keyasint"`
	Author    Authorship   `cbor:"2,keyasint"`
	Tasks     []worker.Ref `cbor:"3,keyasint"`
}

// Fence is sent by a new owner of a shard to the owner of each partition, and
// after a response was lost. The partition's owner refuses lower epochs from then
// on and lists the shard's tasks that it holds.
type Fence struct {
	Partition string     `cbor:"1,keyasint"`
	Author    Authorship `cbor:"2,keyasint"`
	// Jobs lists the names of the shard's jobs.
	Jobs []string `cbor:"3,keyasint"`
	// MinSeq makes the partition's owner refuse as Stale, from now on, every
	// Plan and Reserve of this author epoch with a lower Seq. A plan whose
	// response was lost may still be in flight; without this bound it could be
	// committed after the reply to this Fence did not list its tasks and they
	// were started elsewhere.
	MinSeq uint64 `cbor:"4,keyasint,omitempty"`
}

// FenceReply lists the shard's tasks that the partition runs, is starting, or
// holds results of.
type FenceReply struct {
	Tasks []Event `cbor:"1,keyasint"`
	// Unaccounted lists workers of the partition that could not be fenced yet
	// and may still run any task.
	Unaccounted []worker.ID `cbor:"2,keyasint,omitempty"`
}

// Event is a change of a task at a worker.
type Event struct {
	Task    spec.TaskID      `cbor:"1,keyasint"`
	Attempt int              `cbor:"2,keyasint"`
	Worker  worker.ID        `cbor:"3,keyasint"`
	State   worker.TaskState `cbor:"4,keyasint"`
	// Lost is set when the worker has failed and its task lease has expired: the
	// task certainly does not run, and its result is unknown.
	Lost bool `cbor:"5,keyasint,omitempty"`
	// NotStarted is set when the start was refused, so the task did not run.
	NotStarted bool           `cbor:"6,keyasint,omitempty"`
	Usage      spec.Resources `cbor:"7,keyasint,omitempty"` // as last reported by the worker
	Address    string         `cbor:"8,keyasint,omitempty"` // of a service instance, host:port
	Message    string         `cbor:"9,keyasint,omitempty"`
	Work       float64        `cbor:"10,keyasint,omitempty"` // fraction of the run that is done, 0 to 1
	// Checkpointed is set on Stopped when the task's state was saved.
	Checkpointed bool `cbor:"11,keyasint,omitempty"`
	// Preempted is set on Stopped when a task of a higher class took the capacity.
	Preempted bool `cbor:"12,keyasint,omitempty"`
	// Suspect is set on Lost when the worker's incarnation ended shortly after the
	// start of the task, which may therefore have crashed it. Sole is set when no
	// task of another job had started there as recently.
	Suspect bool `cbor:"13,keyasint,omitempty"`
	Sole    bool `cbor:"14,keyasint,omitempty"`
}

// Events carries changes from a partition to a shard. They are repeated until the
// shard has accepted them; it applies each at most once by (task, attempt, state).
type Events struct {
	Partition string  `cbor:"1,keyasint"`
	Epoch     uint64  `cbor:"2,keyasint"`
	Shard     Shard   `cbor:"3,keyasint"`
	Events    []Event `cbor:"4,keyasint"`
}

// StateRequest asks a partition for the changes after Since (0: everything). The
// call waits up to WaitMillis for a change.
type StateRequest struct {
	Partition  string `cbor:"1,keyasint"`
	Epoch      uint64 `cbor:"2,keyasint"`
	Since      uint64 `cbor:"3,keyasint"`
	WaitMillis int64  `cbor:"4,keyasint"`
}

// WorkerState is the state of a worker in a snapshot.
type WorkerState struct {
	ID       worker.ID      `cbor:"1,keyasint"`
	Zone     string         `cbor:"2,keyasint"`
	Rack     string         `cbor:"3,keyasint"`
	Capacity spec.Resources `cbor:"4,keyasint"`
	// Reserved is the capacity used by running and starting tasks and by
	// reservations.
	Reserved spec.Resources `cbor:"5,keyasint"`
	// Unusable is a readable reason why the worker currently accepts no new
	// tasks.
	Unusable string `cbor:"6,keyasint,omitempty"`
	// Tasks lists the tasks that run or start here; in a delta only for changed
	// workers.
	Tasks   []RunningTask `cbor:"7,keyasint,omitempty"`
	Removed bool          `cbor:"8,keyasint,omitempty"`
	// Partial is set on the wire when Tasks lists only the changed tasks and
	// Ended the removed ones. Package cellview completes such a state before it
	// reaches a sink. At peak load a worker changes with every report, and
	// sending its whole list each time would be most of the control traffic.
	Partial bool         `cbor:"9,keyasint,omitempty"`
	Ended   []worker.Ref `cbor:"10,keyasint,omitempty"`
}

// RunningTask is one task of a worker in a snapshot.
type RunningTask struct {
	Ref           worker.Ref     `cbor:"1,keyasint"`
	Size          spec.Resources `cbor:"2,keyasint"`
	Class         spec.Class     `cbor:"3,keyasint"`
	Team          string         `cbor:"4,keyasint"`
	Kind          spec.Kind      `cbor:"5,keyasint"`
	NonIdempotent bool           `cbor:"6,keyasint,omitempty"`
	Work          float64        `cbor:"7,keyasint,omitempty"` // fraction of the run that is done, 0 to 1
	StartedMillis int64          `cbor:"8,keyasint,omitempty"` // age in ms when sent
}

// Endpoint is a service instance that requests of callers may be sent to.
type Endpoint struct {
	Service string      `cbor:"1,keyasint"`
	Task    spec.TaskID `cbor:"2,keyasint"`
	Attempt int         `cbor:"3,keyasint"`
	Worker  worker.ID   `cbor:"4,keyasint"`
	Zone    string      `cbor:"5,keyasint"`
	Address string      `cbor:"6,keyasint"` // host:port
	Slots   int         `cbor:"7,keyasint"` // maximum number of concurrent requests
	Conns   int         `cbor:"8,keyasint"` // maximum number of concurrent connections
	// Leaving is set while the endpoint finishes its requests and gets no new
	// ones.
	Leaving bool `cbor:"9,keyasint,omitempty"`
}

// State is a partition's full state, or its changes since a position.
type State struct {
	Partition string        `cbor:"1,keyasint"`
	Epoch     uint64        `cbor:"2,keyasint"`
	Seq       uint64        `cbor:"3,keyasint"`
	Full      bool          `cbor:"4,keyasint,omitempty"`
	Workers   []WorkerState `cbor:"5,keyasint,omitempty"`
	// Endpoints is the partition's whole list when EndpointsChanged is set.
	Endpoints        []Endpoint `cbor:"6,keyasint,omitempty"`
	EndpointsChanged bool       `cbor:"7,keyasint,omitempty"`
}
