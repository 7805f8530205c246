package sched

import (
	"testing"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/version/spec"
)

// TestMovedAssumptionHoldsCapacityOnTheNewWorker guards against an assumption that
// stays on the originally chosen worker after the owner of the partition has placed
// the task on another one: later decisions then miss free capacity and use capacity
// that is taken. The owner's reply arrives before or after the snapshot that shows
// the task.
func TestMovedAssumptionHoldsCapacityOnTheNewWorker(t *testing.T) {
	c := NewCache()
	a := workerState("a", "z", "r", res(1000, 1000), spec.Resources{})
	b := workerState("b", "z", "r", res(1000, 1000), spec.Resources{})
	c.Apply(state("p", 1, 1, true, a, b))
	p := NewPlanner(c.Snapshot())
	ask := batchAsk("j", 0, res(600, 600))
	require.True(t, p.Assume(ask, Decision{Worker: "a", Partition: "p"}))
	p.Move(ask.Ref(), "b")
	p.Move(ask.Ref(), "b")
	require.True(t, p.View().Lookup("a").Reserved.IsZero())
	require.Equal(t, ask.Size, p.View().Lookup("b").Reserved)
	require.Equal(t, 1, p.InFlight())

	late := batchAsk("j", 1, res(300, 300))
	require.True(t, p.Assume(late, Decision{Worker: "a", Partition: "p"}))
	b.Reserved = res(900, 900)
	b.Tasks = []plan.RunningTask{{Ref: ask.Ref(), Size: ask.Size}, {Ref: late.Ref(), Size: late.Size}}
	c.Apply(state("p", 1, 2, false, b))
	p.Rebase(c.Snapshot())
	require.Equal(t, 1, p.InFlight(), "the reply for the second task has not arrived")
	p.Move(late.Ref(), "b")
	require.Zero(t, p.InFlight())
	require.True(t, p.View().Lookup("a").Reserved.IsZero())
	require.Equal(t, b.Reserved, p.View().Lookup("b").Reserved)
	p.Move(late.Ref(), "a")
	require.NoError(t, p.View().Check())
}
