package snapshot

import (
	"time"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/version/spec"
)

// Ask is one task that wants a worker.
type Ask struct {
	Task    spec.TaskID
	Attempt int
	Team    string
	Kind    spec.Kind
	Class   spec.Class
	// Size is what will be reserved: the declared size or a learned one.
	Size          spec.Resources
	Constraints   spec.Constraints
	NonIdempotent bool
	// Avoid lists workers that this task should not run on, for example those
	// where it failed.
	Avoid []worker.ID
	// RunTime is the expected run time; 0 means not known. Only the backfill
	// beside a gang's reservation uses it.
	RunTime time.Duration
	// Preempt allows victims of a lower class when nothing is free.
	Preempt bool
}

// Ref returns the attempt that the ask would start.
func (a *Ask) Ref() worker.Ref { return worker.Ref{Task: a.Task, Attempt: a.Attempt} }

// Spreads reports whether the ask is spread over zones, racks and workers like
// an instance of a service, rather than packed: a batch task that wants it is
// spread, and a service that does not is packed.
func (a *Ask) Spreads() bool {
	switch a.Constraints.Spread {
	case spec.SpreadNone:
		return false
	case spec.SpreadRack, spec.SpreadZone:
		return true
	}
	return a.Kind == spec.Service
}

// Reason is a readable reason why a worker does not take a task.
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

// Decision is the answer to one Ask. When Worker is empty the task has to
// wait; Rejections say why, most frequent first.
type Decision struct {
	Worker    worker.ID
	Partition string
	// Victims must be stopped on Worker first, least work lost first.
	Victims    []worker.Ref
	Rejections []Rejection
	// Infeasible is a reason why the task can never run on the workers known
	// now, whatever ends; empty when it may run later.
	Infeasible string
}

// Placed reports whether a worker was found.
func (d Decision) Placed() bool { return d.Worker != "" }

// GangDecision is the answer to a gang: a decision for each ask, or none.
type GangDecision struct {
	// Placed is true when every ask has a worker.
	Placed    bool
	Decisions []Decision
	// Fit is how many of the asks found room at once; for reports.
	Fit        int
	Rejections []Rejection
	Infeasible string
}
