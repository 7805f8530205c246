package usage

import (
	"cmp"
	"slices"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/version/spec"
)

// Load is a task on a worker with its reservation and its usage.
type Load struct {
	Ref           worker.Ref
	Kind          spec.Kind
	Class         spec.Class
	NonIdempotent bool
	Reserved      spec.Resources
	Used          spec.Resources
}

// Step is the kind of an Action, the least disruptive first.
type Step int

// Steps.
const (
	Throttle   Step = iota // limit the CPU to what is reserved
	Checkpoint             // save the progress and stop the task
	Stop                   // stop the task; its work is lost
)

// Action reduces the usage of a task that exceeds its reservation.
type Action struct {
	Ref  worker.Ref
	Step Step
	// MilliCPU is the limit to set for Throttle.
	MilliCPU int64
}

// Relieve returns the actions for a worker whose tasks together use more than its
// capacity, and none when they do not. Only tasks that use more than they have
// reserved are affected, the lowest class first and the largest excess first. That
// suffices, because reservations on a worker never exceed its capacity. CPU usage
// is throttled. Memory can only be freed by ending a task: batch and gang tasks
// are checkpointed first, then instances of services are stopped, and
// non-idempotent tasks, which must not start twice, come last.
func Relieve(capacity spec.Resources, loads []Load) []Action {
	var used spec.Resources
	for i := range loads {
		used = used.Add(loads[i].Used)
	}
	actions, freedCPU := relieveMemory(used.MemoryMB-capacity.MemoryMB, loads)
	return append(actions, relieveCPU(used.MilliCPU-freedCPU-capacity.MilliCPU, loads, actions)...)
}

func relieveMemory(excess int64, loads []Load) (actions []Action, freedCPU int64) {
	over := slices.DeleteFunc(slices.Clone(loads), func(l Load) bool { return l.Used.MemoryMB <= l.Reserved.MemoryMB })
	slices.SortStableFunc(over, func(a, b Load) int {
		return cmp.Or(cmp.Compare(severity(&a), severity(&b)), cmp.Compare(a.Class.Rank(), b.Class.Rank()),
			cmp.Compare(b.Used.MemoryMB-b.Reserved.MemoryMB, a.Used.MemoryMB-a.Reserved.MemoryMB))
	})
	for i := 0; i < len(over) && excess > 0; i++ {
		step := Checkpoint
		if over[i].Kind == spec.Service {
			step = Stop
		}
		actions = append(actions, Action{Ref: over[i].Ref, Step: step})
		excess -= over[i].Used.MemoryMB
		freedCPU += over[i].Used.MilliCPU
	}
	return actions, freedCPU
}

// severity ranks tasks by how disruptive ending them is. It takes precedence over
// the class.
func severity(l *Load) int {
	switch {
	case l.NonIdempotent:
		return 2
	case l.Kind == spec.Service:
		return 1
	}
	return 0
}

func relieveCPU(excess int64, loads []Load, ended []Action) []Action {
	over := slices.DeleteFunc(slices.Clone(loads), func(l Load) bool {
		return l.Used.MilliCPU <= l.Reserved.MilliCPU ||
			slices.ContainsFunc(ended, func(a Action) bool { return a.Ref == l.Ref })
	})
	slices.SortStableFunc(over, func(a, b Load) int {
		return cmp.Or(cmp.Compare(a.Class.Rank(), b.Class.Rank()),
			cmp.Compare(b.Used.MilliCPU-b.Reserved.MilliCPU, a.Used.MilliCPU-a.Reserved.MilliCPU))
	})
	var actions []Action
	for i := 0; i < len(over) && excess > 0; i++ {
		actions = append(actions, Action{Ref: over[i].Ref, Step: Throttle, MilliCPU: over[i].Reserved.MilliCPU})
		excess -= over[i].Used.MilliCPU - over[i].Reserved.MilliCPU
	}
	return actions
}
