// Package plan holds the messages between the owner of a job (a shard of the
// teams) and the owner of workers (a partition). The job's owner proposes a
// plan from its snapshot; the partition's owner checks it against the fresh
// ledger and commits or refuses each step with a reason.
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

// Authorship identifies who proposes: the claim of the shard. A partition's
// owner refuses an epoch lower than the highest it has seen for the shard.
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
	// Constraints that the partition checks again on its fresh ledger.
	Constraints   spec.Constraints `cbor:"6,keyasint,omitempty"`
	NonIdempotent bool             `cbor:"7,keyasint,omitempty"`
	// Avoid lists workers on which the task is not to start when it is rebound,
	// for example those where it failed.
	Avoid []worker.ID `cbor:"8,keyasint,omitempty"`
}

// Plan proposes starts in one partition.
type Plan struct {
	Partition string     `cbor:"1,keyasint"`
	Author    Authorship `cbor:"2,keyasint"`
	Steps     []Step     `cbor:"3,keyasint"`
	// Reservation, when set, starts steps on capacity reserved before.
	Reservation string `cbor:"4,keyasint,omitempty"`
	// Seq rises with every Plan and Reserve of one shard epoch; see Fence.MinSeq.
	Seq uint64 `cbor:"5,keyasint,omitempty"`
	// MayRebind lets the partition's owner start a step without victims on
	// another worker of the partition when the named one can not take it; the
	// result names it. Until that answer has come, the author does not know at
	// which worker of the partition the task may run. A plan on a reservation is
	// never rebound.
	MayRebind bool `cbor:"6,keyasint,omitempty"`
	// Kept lists workers on which nothing is rebound, because the author keeps
	// their room for other work.
	Kept []worker.ID `cbor:"7,keyasint,omitempty"`
}

// Outcome of one step.
type Outcome string

// Outcomes. Accepted means that the partition's owner has reserved the
// capacity and will start the task; its fate comes with Events.
const (
	Accepted  Outcome = "accepted"
	NoRoom    Outcome = "no_room"    // the fresh ledger has no room
	NoWorker  Outcome = "no_worker"  // worker gone, draining, unreachable or set aside
	Duplicate Outcome = "duplicate"  // the task already runs or is starting here
	Stale     Outcome = "stale"      // the author's epoch is not the newest
	NotOwner  Outcome = "not_owner"  // this daemon does not own the partition
	NotFenced Outcome = "not_fenced" // the takeover is still under way
)

// StepResult is the fate of one step of a plan or reservation.
type StepResult struct {
	Outcome Outcome `cbor:"1,keyasint"`
	Reason  string  `cbor:"2,keyasint,omitempty"`
	// Worker is set on an accepted step that was rebound: the worker that the
	// task starts on, or that is reserved for it, in place of Step.Worker.
	Worker worker.ID `cbor:"3,keyasint,omitempty"`
}

// Result answers a Plan or Reserve, step by step.
type Result struct {
	Steps []StepResult `cbor:"1,keyasint"`
	// Epoch is the partition's epoch.
	Epoch uint64 `cbor:"2,keyasint"`
}

// Reserve holds capacity for the tasks of a gang until it is used by a Plan
// with the same Reservation, released, or expired. Reserving never waits: what
// does not fit at once is refused, so two gangs can not wait for each other.
type Reserve struct {
	Partition   string     `cbor:"1,keyasint"`
	Author      Authorship `cbor:"2,keyasint"`
	Reservation string     `cbor:"3,keyasint"`
	Steps       []Step     `cbor:"4,keyasint"`
	TTLMillis   int64      `cbor:"5,keyasint"`
	// Seq is as in Plan.
	Seq uint64 `cbor:"6,keyasint,omitempty"`
	// MayRebind and Kept are as in Plan. The plan that uses the reservation
	// names the workers that the result of this call names.
	MayRebind bool        `cbor:"7,keyasint,omitempty"`
	Kept      []worker.ID `cbor:"8,keyasint,omitempty"`
}

// ReleaseReservation gives reserved capacity back.
type ReleaseReservation struct {
	Partition   string     `cbor:"1,keyasint"`
	Author      Authorship `cbor:"2,keyasint"`
	Reservation string     `cbor:"3,keyasint"`
}

// StopMode tells how to end a task.
type StopMode string

// Stop modes.
const (
	StopNow        StopMode = "stop"
	StopCheckpoint StopMode = "checkpoint"
)

// Stop ends tasks. For a service instance the partition's owner first marks
// the endpoint as leaving and waits for its requests, up to DrainMillis.
type Stop struct {
	Partition   string       `cbor:"1,keyasint"`
	Author      Authorship   `cbor:"2,keyasint"`
	Tasks       []worker.Ref `cbor:"3,keyasint"`
	Mode        StopMode     `cbor:"4,keyasint"`
	DrainMillis int64        `cbor:"5,keyasint,omitempty"`
}

// Ack tells that the results are durable in the shard's progress; the worker
// may forget them.
type Ack struct {
	Partition string       `cbor:"1,keyasint"`
	Author    Authorship   `cbor:"2,keyasint"`
	Tasks     []worker.Ref `cbor:"3,keyasint"`
}

// Fence is sent by a new owner of a shard to the owner of each partition. The
// partition's owner refuses lower epochs from then on and lists what it holds
// of the shard's tasks.
type Fence struct {
	Partition string     `cbor:"1,keyasint"`
	Author    Authorship `cbor:"2,keyasint"`
	// Jobs lists the names of the shard's jobs.
	Jobs []string `cbor:"3,keyasint"`
	// MinSeq makes the partition's owner refuse as Stale, from now on, every
	// Plan and Reserve of this author epoch with a lower Seq. A plan whose
	// answer was lost may still be on its way; without this bound it could be
	// committed after the reply to this Fence said that its tasks do not run
	// here and they were started elsewhere.
	MinSeq uint64 `cbor:"4,keyasint,omitempty"`
}

// FenceReply lists the shard's tasks that the partition runs, is starting, or
// holds results of.
type FenceReply struct {
	Tasks []Event `cbor:"1,keyasint"`
	// Unaccounted lists workers of the partition that could not be fenced
	// yet: any task may still run there.
	Unaccounted []worker.ID `cbor:"2,keyasint,omitempty"`
}

// Event is a change of a task at a worker.
type Event struct {
	Task    spec.TaskID      `cbor:"1,keyasint"`
	Attempt int              `cbor:"2,keyasint"`
	Worker  worker.ID        `cbor:"3,keyasint"`
	State   worker.TaskState `cbor:"4,keyasint"`
	// Lost is set when the worker is known gone and its task lease has run
	// out: the task certainly does not run, its result is unknown.
	Lost bool `cbor:"5,keyasint,omitempty"`
	// NotStarted is set when the start was refused: the task did not run.
	NotStarted bool           `cbor:"6,keyasint,omitempty"`
	Usage      spec.Resources `cbor:"7,keyasint,omitempty"`
	Address    string         `cbor:"8,keyasint,omitempty"`
	Message    string         `cbor:"9,keyasint,omitempty"`
	Work       float64        `cbor:"10,keyasint,omitempty"`
	// Checkpointed is set on Stopped when the progress was saved.
	Checkpointed bool `cbor:"11,keyasint,omitempty"`
	// Preempted is set on Stopped when a higher class took the place.
	Preempted bool `cbor:"12,keyasint,omitempty"`
	// Suspect is set on Lost when the worker's life ended shortly after the task's start,
	// and Sole when no task of another job had begun there as recently.
	Suspect bool `cbor:"13,keyasint,omitempty"`
	Sole    bool `cbor:"14,keyasint,omitempty"`
}

// Events carries changes from a partition to a shard. They are sent again
// until received; a receiver takes each at most once by (task, attempt, state).
type Events struct {
	Partition string  `cbor:"1,keyasint"`
	Epoch     uint64  `cbor:"2,keyasint"`
	Shard     Shard   `cbor:"3,keyasint"`
	Events    []Event `cbor:"4,keyasint"`
}

// StateRequest asks a partition for what changed after Since (0: everything);
// the call waits up to WaitMillis for a change.
type StateRequest struct {
	Partition  string `cbor:"1,keyasint"`
	Epoch      uint64 `cbor:"2,keyasint"`
	Since      uint64 `cbor:"3,keyasint"`
	WaitMillis int64  `cbor:"4,keyasint"`
}

// WorkerState is what a snapshot holds of a worker.
type WorkerState struct {
	ID       worker.ID      `cbor:"1,keyasint"`
	Zone     string         `cbor:"2,keyasint"`
	Rack     string         `cbor:"3,keyasint"`
	Capacity spec.Resources `cbor:"4,keyasint"`
	// Reserved is what running, starting and reserved tasks hold.
	Reserved spec.Resources `cbor:"5,keyasint"`
	// Unusable is a readable reason why the worker takes no new tasks now.
	Unusable string `cbor:"6,keyasint,omitempty"`
	// Tasks that run or start here; in a delta only for changed workers.
	Tasks []RunningTask `cbor:"7,keyasint,omitempty"`
	Gone  bool          `cbor:"8,keyasint,omitempty"`
	// Partial is set on the wire when Tasks lists only the tasks that changed
	// and Ended those that left. Package cellview completes such a state before
	// a sink sees it: at the peak a worker changes with every report, and its
	// whole list each time would be most of the control traffic.
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
	Work          float64        `cbor:"7,keyasint,omitempty"`
	StartedMillis int64          `cbor:"8,keyasint,omitempty"` // age in ms when sent
}

// Endpoint is a service instance that callers' requests may be sent to.
type Endpoint struct {
	Service string      `cbor:"1,keyasint"`
	Task    spec.TaskID `cbor:"2,keyasint"`
	Attempt int         `cbor:"3,keyasint"`
	Worker  worker.ID   `cbor:"4,keyasint"`
	Zone    string      `cbor:"5,keyasint"`
	Address string      `cbor:"6,keyasint"`
	Slots   int         `cbor:"7,keyasint"`
	Conns   int         `cbor:"8,keyasint"`
	// Leaving endpoints finish what they have and get nothing new.
	Leaving bool `cbor:"9,keyasint,omitempty"`
}

// State is a partition's state or the change since a position.
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
