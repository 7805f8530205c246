package jobs

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/process/sched"
	"fennelshunt.example/fennelshunt/version/spec"
)

// Methods served by the owner of a shard for reports.
const (
	MethodExplain peer.Method = "shard.explain" // ExplainRequest -> Explanation
	MethodStatus  peer.Method = "shard.status"  // StatusRequest -> Status
)

// Errors of Explain and Status. Test with errors.Is. Explain also returns
// ErrUnknownJob if another daemon owns the shard and does not know the job.
// ErrNoOwner means that this daemon knows no owner of the shard.
var (
	ErrUnknownJob = errors.New("jobs: no such job")
	ErrNoOwner    = errors.New("jobs: the shard has no owner now")
)

// codeUnknownJob carries ErrUnknownJob over a peer call.
const codeUnknownJob = "unknown_job"

// TaskState is the state of a task as reported to operators.
type TaskState string

// States of tasks.
const (
	TaskWaiting  TaskState = "waiting"     // ready, waits for capacity
	TaskDelayed  TaskState = "retry_wait"  // failed, waits for its next attempt
	TaskBlocked  TaskState = "unaccounted" // may run on a worker not reached yet
	TaskStarting TaskState = "starting"
	TaskRunning  TaskState = "running"
	TaskStopping TaskState = "stopping"
	TaskDone     TaskState = "done"
	TaskFailed   TaskState = "failed"       // used up its retries, or crashed its workers repeatedly
	TaskUnknown  TaskState = "may_have_run" // not started again
)

// ExplainRequest asks about one task, or about the next waiting task of a job
// when Index is negative. Generation 0 stands for the current one.
type ExplainRequest struct {
	Job        string `cbor:"1,keyasint"`
	Generation uint64 `cbor:"2,keyasint"`
	Index      int    `cbor:"3,keyasint"`
	Team       string `cbor:"4,keyasint"`
}

// Explanation is the state of a task and, if it waits, the reason.
type Explanation struct {
	Task  spec.TaskID `json:"task" cbor:"1,keyasint"`
	State TaskState   `json:"state" cbor:"2,keyasint"`
	// Reason is why the task waits, according to the last decision.
	Reason     string            `json:"reason,omitempty" cbor:"3,keyasint,omitempty"`
	Rejections []sched.Rejection `json:"rejections,omitempty" cbor:"4,keyasint,omitempty"`
	Infeasible bool              `json:"infeasible,omitempty" cbor:"5,keyasint,omitempty"`
	Worker     worker.ID         `json:"worker,omitempty" cbor:"6,keyasint,omitempty"`
	Partition  string            `json:"partition,omitempty" cbor:"7,keyasint,omitempty"`
	Attempt    int               `json:"attempt,omitempty" cbor:"8,keyasint,omitempty"`
	Failures   int               `json:"failures,omitempty" cbor:"9,keyasint,omitempty"`
	// Waited is how long the task has waited, or waited before its start.
	Waited time.Duration `json:"waited" cbor:"10,keyasint"`
	Team   string        `json:"team" cbor:"11,keyasint"`
	Class  spec.Class    `json:"class" cbor:"12,keyasint"`
}

// StatusRequest asks for all jobs of a shard.
type StatusRequest struct {
	Shard plan.Shard `cbor:"1,keyasint"`
}

// JobStatus counts the tasks of a job by state.
type JobStatus struct {
	Job        string            `json:"job" cbor:"1,keyasint"`
	Generation uint64            `json:"generation" cbor:"2,keyasint"`
	Team       string            `json:"team" cbor:"3,keyasint"`
	Kind       spec.Kind         `json:"kind" cbor:"4,keyasint"`
	Class      spec.Class        `json:"class" cbor:"5,keyasint"`
	Count      int               `json:"count" cbor:"6,keyasint"`
	Tasks      map[TaskState]int `json:"tasks" cbor:"7,keyasint"`
	Reason     string            `json:"reason,omitempty" cbor:"8,keyasint,omitempty"`
	Infeasible bool              `json:"infeasible,omitempty" cbor:"9,keyasint,omitempty"`
	Finished   bool              `json:"finished,omitempty" cbor:"10,keyasint,omitempty"`
	Cancelled  bool              `json:"cancelled,omitempty" cbor:"11,keyasint,omitempty"`
}

// TeamStatus is the usage and quota of a team.
type TeamStatus struct {
	Team  string         `json:"team" cbor:"1,keyasint"`
	Held  spec.Resources `json:"held" cbor:"2,keyasint"`
	Quota spec.Resources `json:"quota" cbor:"3,keyasint"`
	// Share is the team's dominant share of the cell divided by its weight.
	Share float64 `json:"share" cbor:"4,keyasint"`
}

// Status is the report of a shard.
type Status struct {
	Shard plan.Shard   `json:"shard" cbor:"1,keyasint"`
	Epoch uint64       `json:"epoch" cbor:"2,keyasint"`
	Jobs  []JobStatus  `json:"jobs" cbor:"3,keyasint"`
	Teams []TeamStatus `json:"teams" cbor:"4,keyasint"`
	// Unfenced lists the partitions that a takeover still waits for.
	Unfenced []string `json:"unfenced,omitempty" cbor:"5,keyasint,omitempty"`
}

func (m *Manager) registerReports() {
	m.options.Registrar.Handle(MethodExplain, func(ctx context.Context, _ peer.Ref, payload []byte) (any, error) {
		var request ExplainRequest
		if err := cbor.Unmarshal(payload, &request); err != nil {
			return nil, fmt.Errorf("explain: %w", err)
		}
		e, err := m.explainHere(ctx, request)
		if errors.Is(err, ErrUnknownJob) {
			err = &peer.RemoteError{Code: codeUnknownJob, Message: err.Error()}
		}
		return e, err
	})
	m.options.Registrar.Handle(MethodStatus, func(ctx context.Context, _ peer.Ref, payload []byte) (any, error) {
		var request StatusRequest
		if err := cbor.Unmarshal(payload, &request); err != nil {
			return nil, fmt.Errorf("status: %w", err)
		}
		return m.statusHere(ctx, request.Shard)
	})
}

// Explain returns the state of a task with its reason, from the owner of its
// shard. A negative index stands for the next waiting task, generation 0 for the
// current one. It returns ErrUnknownJob, ErrNoOwner or the error of the call to
// the owner.
func (m *Manager) Explain(ctx context.Context, task spec.TaskID) (Explanation, error) {
	declared := m.options.Config.Current().Jobs[task.Job]
	if declared == nil {
		return Explanation{}, fmt.Errorf("%w: %q", ErrUnknownJob, task.Job)
	}
	request := ExplainRequest{Job: task.Job, Generation: task.Generation, Index: task.Index, Team: declared.Team}
	if m.shard(m.ShardOf(declared.Team)) != nil {
		return m.explainHere(ctx, request)
	}
	var e Explanation
	err := m.askOwner(ctx, m.ShardOf(declared.Team), MethodExplain, request, &e)
	var remote *peer.RemoteError
	if errors.As(err, &remote) && remote.Code == codeUnknownJob {
		err = fmt.Errorf("%w: %q", ErrUnknownJob, task.Job)
	}
	return e, err
}

// Status returns the report of a shard, from its owner. It returns ErrNoOwner or
// the error of the call to the owner.
func (m *Manager) Status(ctx context.Context, shard plan.Shard) (Status, error) {
	if m.shard(shard) != nil {
		return m.statusHere(ctx, shard)
	}
	var status Status
	err := m.askOwner(ctx, shard, MethodStatus, StatusRequest{Shard: shard}, &status)
	return status, err
}

func (m *Manager) askOwner(ctx context.Context, shard plan.Shard, method peer.Method, request, reply any) error {
	claim, ok := m.options.Directory.Owner(Resource(shard))
	if !ok {
		return fmt.Errorf("shard %d: %w", shard, ErrNoOwner)
	}
	return m.options.Caller.Call(ctx, claim.Owner, method, request, reply)
}

func (m *Manager) explainHere(ctx context.Context, request ExplainRequest) (Explanation, error) {
	s := m.shard(m.ShardOf(request.Team))
	if s == nil {
		return Explanation{}, fmt.Errorf("job %q: %w", request.Job, ErrNoOwner)
	}
	var e Explanation
	found := false
	err := s.call(ctx, func(st *state) { e, found = st.explain(request) })
	if err == nil && !found {
		err = fmt.Errorf("%w: %q", ErrUnknownJob, request.Job)
	}
	return e, err
}

func (m *Manager) statusHere(ctx context.Context, shard plan.Shard) (Status, error) {
	s := m.shard(shard)
	if s == nil {
		return Status{}, fmt.Errorf("shard %d: %w", shard, ErrNoOwner)
	}
	var status Status
	err := s.call(ctx, func(st *state) { status = st.status() })
	return status, err
}
