package snapshot

import (
	"time"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/version/spec"
)

// Ask is the request to place one task on a worker.
type Ask struct {
	Task    spec.TaskID
	Attempt int
	Team    string
	Kind    spec.Kind
	Class   spec.Class
	// Size is the amount to reserve: the declared size or a learned one.
	Size          spec.Resources
	Constraints   spec.Constraints
	NonIdempotent bool
	// Avoid lists workers on which this task must not be placed, for example
	// those on which it failed.
	Avoid []worker.ID
	// RunTime is the expected run time; 0 means unknown. It is used only for
	// backfilling beside a gang's reservation.
	RunTime time.Duration
	// Preempt allows the preemption of tasks of a lower class when no worker has
	// enough free capacity.
	Preempt bool
}

// Ref returns the attempt that the ask would start.
func (a *Ask) Ref() worker.Ref { return worker.Ref{Task: a.Task, Attempt: a.Attempt} }

// Spreads reports whether the task is spread over zones, racks and workers
// rather than packed. Instances of a service are spread and all other tasks are
// packed, unless the constraints say otherwise.
func (a *Ask) Spreads() bool {
	switch a.Constraints.Spread {
	case spec.SpreadNone:
		return false
	case spec.SpreadRack, spec.SpreadZone:
		return true
	}
	return a.Kind == spec.Service
}

// Reason is a human-readable reason why a worker was ruled out for a task.
type Reason string

// Reasons. A worker's own Unusable text is a Reason too.
const (
	ReasonZone         Reason = "availability zone excluded by constraint"
	ReasonRack         Reason = "rack excluded by constraint"
	ReasonAvoid        Reason = "task failed here before"
	ReasonMaxPerWorker Reason = "max_per_worker reached"
	ReasonAccelerators Reason = "not enough free accelerators"
	ReasonMemory       Reason = "not enough free memory"
	ReasonCPU          Reason = "not enough free processors"
	ReasonReserved     Reason = "kept for a waiting gang"
	ReasonTooSmall     Reason = "VM is smaller than the task"
)

// Rejection counts the workers that a reason ruled out. Each worker is counted
// once, under the first reason that applies.
type Rejection struct {
	Reason  Reason
	Workers int
}

// Decision is the result of placing one Ask. When Worker is empty the task has
// to wait; Rejections say why, most frequent first.
type Decision struct {
	Worker    worker.ID
	Partition string
	// Victims must be stopped on Worker before the task starts. They are sorted
	// by the work that is lost, the least first.
	Victims    []worker.Ref
	Rejections []Rejection
	// Infeasible is the reason why the task can never run on the present
	// workers, whichever tasks end; empty when it may run later.
	Infeasible string
}

// Placed reports whether a worker was found.
func (d Decision) Placed() bool { return d.Worker != "" }

// GangDecision is the result of placing a gang: a decision for each ask, or none.
type GangDecision struct {
	// Placed is true when every ask has a worker.
	Placed    bool
	Decisions []Decision
	// Fit is how many of the asks could be placed at the same time, for reports.
	Fit        int
	Rejections []Rejection
	Infeasible string
}
