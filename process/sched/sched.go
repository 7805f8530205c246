// Package sched decides on which worker a task runs. It puts three policies
// (packages batch, service and gang) over one snapshot of the workers, and
// preemption (package preempt) for asks that allow it.
//
// A cache follows the partitions; a planner makes a run of decisions on one
// snapshot and remembers its own until the partitions' states show them:
//
//	cache := sched.NewCache()              // a cellview sink: cache.Apply(state)
//	planner := sched.NewPlanner(cache.Snapshot())
//	for {
//		planner.Rebase(cache.Snapshot())   // cheap; keeps what is in flight
//		for _, ask := range queue {
//			d := planner.Place(ask)
//			switch {
//			case d.Placed():
//				planner.Assume(ask, d)     // then add a plan.Step for d.Partition
//			case d.Infeasible != "":       // tell the operator; do not queue
//			default:                       // wait; d.Rejections says why
//			}
//		}
//		// send one plan.Plan per partition; for a step that was refused, and
//		// when an event says that a task has ended: planner.Forget(ref)
//	}
//
// A decision is a proposal: the partition's owner checks it on its own ledger.
package sched

import (
	"fennelshunt.example/fennelshunt/process/sched/gang"
	"fennelshunt.example/fennelshunt/process/sched/snapshot"
)

// The types of the packages below that callers need.
type (
	Cache        = snapshot.Cache
	Snapshot     = snapshot.Snapshot
	Ask          = snapshot.Ask
	Decision     = snapshot.Decision
	GangDecision = snapshot.GangDecision
	Shadow       = gang.Shadow
	Remaining    = gang.Remaining
	Rejection    = snapshot.Rejection
	Reason       = snapshot.Reason
)

// NewCache returns an empty cache.
func NewCache() *Cache { return snapshot.NewCache() }

// Place makes one decision on a snapshot.
func Place(snap *Snapshot, ask Ask) Decision { return NewPlanner(snap).Place(ask) }

// PlaceGang decides on all tasks of a gang, or none.
func PlaceGang(snap *Snapshot, asks []Ask) GangDecision { return NewPlanner(snap).PlaceGang(asks) }

// Reasons that Rejection carries, besides a worker's own Unusable text.
const (
	ReasonZone         = snapshot.ReasonZone
	ReasonRack         = snapshot.ReasonRack
	ReasonAvoid        = snapshot.ReasonAvoid
	ReasonMaxPerWorker = snapshot.ReasonMaxPerWorker
	ReasonAccelerators = snapshot.ReasonAccelerators
	ReasonMemory       = snapshot.ReasonMemory
	ReasonCPU          = snapshot.ReasonCPU
	ReasonReserved     = snapshot.ReasonReserved
	ReasonTooSmall     = snapshot.ReasonTooSmall
)
