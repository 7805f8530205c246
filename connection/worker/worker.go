// Package worker is the client of the platform's agent on a worker VM. Since the
// agent belongs to the platform, the interface requires little of it: leases with an
// id and a time to live, tasks started under a lease, a start refused once the lease
// has expired or been revoked, inventory, stop, throttle and checkpoint.
//
// When a lease expires or is revoked, the agent at once stops accepting starts under
// it. Tasks already running under an expired lease continue until their own task
// lease (TaskTTL, renewed by Sync) expires; then the agent stops them. Results are
// kept until acknowledged.
package worker

import (
	"context"
	"errors"
	"time"

	"fennelshunt.example/fennelshunt/version/spec"
)

// ID identifies a worker VM.
type ID string

// LeaseID identifies a lease of one worker.
type LeaseID string

// Errors of an agent. Test with errors.Is.
var (
	ErrLeaseInvalid = errors.New("worker: lease lapsed or revoked")      // nothing was started
	ErrStaleEpoch   = errors.New("worker: a higher epoch has been seen") // nothing was started
	ErrUnreachable  = errors.New("worker: unreachable, nothing was sent")
	ErrUnknown      = errors.New("worker: outcome unknown, the call may have taken effect")
)

// TaskState is the state of a task at a worker.
type TaskState string

// Task states.
const (
	Running   TaskState = "running"
	Throttled TaskState = "throttled"
	Succeeded TaskState = "succeeded"
	Failed    TaskState = "failed"
	Stopped   TaskState = "stopped"
)

// Ended reports whether a task in this state no longer occupies resources.
func (s TaskState) Ended() bool { return s == Succeeded || s == Failed || s == Stopped }

// Start is the request to start one task.
type Start struct {
	Task spec.TaskID `json:"task" cbor:"1,keyasint"`
	// Attempt increases with every start of the task.
	Attempt    int               `json:"attempt" cbor:"2,keyasint"`
	Kind       spec.Kind         `json:"kind" cbor:"3,keyasint"`
	Size       spec.Resources    `json:"size" cbor:"4,keyasint"`
	RunTime    spec.Duration     `json:"run_time,omitempty" cbor:"5,keyasint,omitempty"`
	Service    string            `json:"service,omitempty" cbor:"6,keyasint,omitempty"`
	Slots      int               `json:"slots,omitempty" cbor:"7,keyasint,omitempty"`
	Conns      int               `json:"conns,omitempty" cbor:"8,keyasint,omitempty"`
	Parameters map[string]string `json:"parameters,omitempty" cbor:"9,keyasint,omitempty"`
	// Checkpoint says that the task may continue from a checkpoint.
	Checkpoint bool `json:"checkpoint,omitempty" cbor:"10,keyasint,omitempty"`
}

// Task is the state of a task that a worker runs or whose result it keeps.
type Task struct {
	Task    spec.TaskID    `json:"task"`
	Attempt int            `json:"attempt"`
	Lease   LeaseID        `json:"lease"`
	State   TaskState      `json:"state"`
	Size    spec.Resources `json:"size"`
	// Usage is the recent resource usage of the task; it lags behind.
	Usage spec.Resources `json:"usage,omitzero"`
	// Address is where a service instance listens, host:port.
	Address string `json:"address,omitempty"`
	Message string `json:"message,omitempty"`
	// Work is the fraction of the run done, 0 to 1, at the last report.
	Work float64 `json:"work,omitempty"`
}

// Inventory lists the leases and tasks of a worker.
type Inventory struct {
	Worker   ID             `json:"worker"`
	Zone     string         `json:"zone"`
	Rack     string         `json:"rack"`
	Capacity spec.Resources `json:"capacity"`
	Leases   []LeaseID      `json:"leases"`
	// Tasks lists running tasks and ended ones whose result is not yet
	// acknowledged.
	Tasks    []Task `json:"tasks"`
	Draining bool   `json:"draining,omitempty"`
	// Seq is the number of the last change included, for SyncRequest.Since.
	Seq uint64 `json:"seq"`
}

// Ref identifies one attempt of a task.
type Ref struct {
	Task    spec.TaskID `json:"task" cbor:"1,keyasint"`
	Attempt int         `json:"attempt" cbor:"2,keyasint"`
}

// SyncRequest renews a lease and every task under it, acknowledges results, stops
// tasks and requests the changes since the last reply.
type SyncRequest struct {
	Lease LeaseID `json:"lease"`
	// Since is the Seq of the last reply.
	Since uint64 `json:"since"`
	Acks  []Ref  `json:"acks,omitempty"`
	Stops []Ref  `json:"stops,omitempty"`
}

// SyncReply lists the tasks that changed after SyncRequest.Since.
type SyncReply struct {
	Seq      uint64 `json:"seq"`
	Changed  []Task `json:"changed,omitempty"`
	Draining bool   `json:"draining,omitempty"`
}

// OpenLease is the request to open a lease. Epoch is the owner's claim epoch; a
// worker that can compare epochs refuses one lower than the highest it has received.
type OpenLease struct {
	Owner string `json:"owner"`
	Epoch uint64 `json:"epoch"`
	// TTL is the time to live of the lease itself, after which no start is accepted
	// unless the lease is renewed.
	TTL spec.Duration `json:"ttl"`
	// TaskTTL is how long tasks continue after the last renewal of their lease.
	TaskTTL spec.Duration `json:"task_ttl"`
}

// StartReply is the outcome of one Start. An empty Refused means started.
type StartReply struct {
	Task    spec.TaskID `json:"task"`
	Refused string      `json:"refused,omitempty"`
}

// Agent is the platform's agent on one worker.
type Agent interface {
	// Inventory lists leases, tasks and unacknowledged results.
	Inventory(ctx context.Context) (Inventory, error)
	// OpenLease opens a lease for starts.
	OpenLease(ctx context.Context, req OpenLease) (LeaseID, error)
	// Adopt moves tasks that run under other leases to the given lease.
	Adopt(ctx context.Context, lease LeaseID, tasks []Ref) error
	// RevokeLease ends a lease: no start under it succeeds afterwards, not even one
	// already in flight. Its tasks continue for their TaskTTL.
	RevokeLease(ctx context.Context, lease LeaseID) error
	// Sync renews the lease, acknowledges results, stops tasks and returns changes.
	Sync(ctx context.Context, req SyncRequest) (SyncReply, error)
	// Start starts tasks under the lease; ErrUnknown means some may run.
	Start(ctx context.Context, lease LeaseID, tasks []Start) ([]StartReply, error)
	// Stop ends a task; the result Stopped is reported by Sync.
	Stop(ctx context.Context, lease LeaseID, task Ref) error
	// Throttle limits a task's CPU usage to milliCPU; 0 removes the limit.
	Throttle(ctx context.Context, lease LeaseID, task Ref, milliCPU int64) error
	// Checkpoint saves a task's progress and stops it; a later start with
	// Checkpoint set continues from there.
	Checkpoint(ctx context.Context, lease LeaseID, task Ref) error
}

// Dialer returns the agent at an address.
type Dialer interface {
	Dial(address string) Agent
}

// DefaultCallTimeout bounds one call to an agent.
const DefaultCallTimeout = 2 * time.Second
