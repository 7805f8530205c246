// Package sched decides on which worker a task runs. It applies three policies
// (packages batch, service and gang) to one snapshot of the workers, and
// preemption (package preempt) for asks that allow it.
//
// A cache follows the states of the partitions. A planner makes a series of
// decisions on one snapshot and keeps its own placements until the partitions'
// states show them:
//
//	cache := sched.NewCache()              // a cellview sink: cache.Apply(state)
//	planner := sched.NewPlanner(cache.Snapshot())
//	for {
//		planner.Rebase(cache.Snapshot())   // cheap; keeps placements in flight
//		for _, ask := range queue {
//			d := planner.Place(ask)
//			switch {
//			case d.Placed():
//				planner.Assume(ask, d)     // then add a plan.Step for d.Partition
//			case d.Infeasible != "":       // report it; do not queue the task
//			default:                       // wait; d.Rejections says why
//			}
//		}
//		// send one plan.Plan per partition; when a step is refused or an event
//		// reports that a task has ended: planner.Forget(ref)
//	}
//
// A decision is a proposal: the owner of the partition validates it against its
// own ledger.
package sched

import (
	"fennelshunt.example/fennelshunt/process/sched/gang"
	"fennelshunt.example/fennelshunt/process/sched/snapshot"
)

// Types of the subpackages that callers need.
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

// PlaceGang places all tasks of a gang, or none.
func PlaceGang(snap *Snapshot, asks []Ask) GangDecision { return NewPlanner(snap).PlaceGang(asks) }

// Reasons of a Rejection, besides a worker's own Unusable text.
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
