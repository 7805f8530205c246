package usage

import (
	"cmp"
	"slices"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/version/spec"
)

// Load is a task on a worker with what it holds and what it uses.
type Load struct {
	Ref           worker.Ref
	Kind          spec.Kind
	Class         spec.Class
	NonIdempotent bool
	Reserved      spec.Resources
	Used          spec.Resources
}

// Step is how hard an Action hits, the mildest first.
type Step int

// Steps.
const (
	Throttle   Step = iota // limit processors to what is reserved
	Checkpoint             // save progress and stop
	Stop                   // stop; the work done is lost
)

// Action relieves a worker of what a task uses beyond its reservation.
type Action struct {
	Ref  worker.Ref
	Step Step
	// MilliCPU is the limit to set for Throttle.
	MilliCPU int64
}

// Relieve returns what to do on a worker whose tasks together use more than it
// has, and nothing when they do not. Only tasks that use more than they have
// reserved are touched, the lowest class first and the largest excess first:
// what is reserved on a worker never exceeds its capacity, so that is enough.
// Processors are throttled. Memory can only be freed by ending a task: batch
// and gang tasks are checkpointed, instances are stopped after all of those,
// and work that must not start twice last of all.
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

// severity is how much the end of a task costs beyond its class.
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
