package sched

import (
	"testing"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/version/spec"
)

func res(cpu, mem int64) spec.Resources { return spec.Resources{MilliCPU: cpu, MemoryMB: mem} }

func state(partition string, epoch, seq uint64, full bool, workers ...plan.WorkerState) plan.State {
	return plan.State{Partition: partition, Epoch: epoch, Seq: seq, Full: full, Workers: workers}
}

func workerState(id, zone, rack string, capacity, reserved spec.Resources) plan.WorkerState {
	return plan.WorkerState{ID: worker.ID(id), Zone: zone, Rack: rack, Capacity: capacity, Reserved: reserved}
}

func batchAsk(job string, index int, size spec.Resources) Ask {
	return Ask{Task: spec.TaskID{Job: job, Generation: 1, Index: index}, Kind: spec.Batch, Class: spec.Normal, Size: size}
}

// TestCacheIgnoresLowerEpochAndOldPositions guards against plans that the new owner of
// a partition refuses with no_room: the last state of the previous owner arrives late
// and is applied although its epoch is lower.
func TestCacheIgnoresLowerEpochAndOldPositions(t *testing.T) {
	c := NewCache()
	full := workerState("w", "z", "r", res(1000, 1000), res(900, 900))
	idle := workerState("w", "z", "r", res(1000, 1000), spec.Resources{})
	c.Apply(state("p", 2, 5, true, full))
	for _, s := range []plan.State{
		state("p", 1, 9, true, idle),  // lower epoch
		state("p", 2, 5, false, idle), // position reached before
		state("p", 3, 1, false, idle), // change of an epoch without its full state
	} {
		c.Apply(s)
		require.Equal(t, res(900, 900), c.Snapshot().Lookup("w").Reserved)
	}
	c.Apply(state("p", 3, 1, true, idle))
	require.True(t, c.Snapshot().Lookup("w").Reserved.IsZero())
	require.Equal(t, map[string]uint64{"p": 3}, c.Partitions())
}

func TestSnapshotsDoNotChange(t *testing.T) {
	c := NewCache()
	c.Apply(state("p", 1, 1, true, workerState("a", "z", "r", res(1000, 1000), spec.Resources{})))
	before := c.Snapshot()
	c.Apply(state("p", 1, 2, false, workerState("b", "z", "r", res(1000, 1000), spec.Resources{})))
	c.Apply(state("p", 1, 3, false, plan.WorkerState{ID: "a", Removed: true}))
	require.Equal(t, 1, before.Len())
	require.NotNil(t, before.Lookup("a"))
	after := c.Snapshot()
	require.Equal(t, 1, after.Len())
	require.Nil(t, after.Lookup("a"))
	require.Equal(t, worker.ID("a"), Place(before, batchAsk("j", 0, res(1, 1))).Worker)
	require.Equal(t, worker.ID("b"), Place(after, batchAsk("j", 0, res(1, 1))).Worker)
}

func TestPlannerKeepsAssumptionsOverRebase(t *testing.T) {
	c := NewCache()
	empty := workerState("w", "z", "r", res(1000, 1000), spec.Resources{})
	c.Apply(state("p", 1, 1, true, empty))
	p := NewPlanner(c.Snapshot())
	first := batchAsk("j", 0, res(600, 10))
	d := p.Place(first)
	require.Equal(t, "p", d.Partition)
	require.True(t, p.Assume(first, d))
	require.False(t, p.Assume(first, d))

	c.Apply(state("p", 1, 2, false, empty)) // does not show the task yet
	p.Rebase(c.Snapshot())
	second := batchAsk("j", 1, res(600, 10))
	require.Equal(t, []Rejection{{Reason: ReasonCPU, Workers: 1}}, p.Place(second).Rejections)
	p.Forget(first.Ref())
	require.True(t, p.Place(second).Placed())

	require.True(t, p.Assume(first, d))
	shown := empty
	shown.Reserved = res(600, 10)
	shown.Tasks = []plan.RunningTask{{Ref: first.Ref(), Size: res(600, 10)}}
	c.Apply(state("p", 1, 3, false, shown))
	p.Rebase(c.Snapshot())
	require.Zero(t, p.InFlight())
	require.Equal(t, res(600, 10), p.View().Lookup("w").Reserved)
}

func TestInfeasibleIsReportedWithTheReason(t *testing.T) {
	c := NewCache()
	c.Apply(state("p", 1, 1, true,
		workerState("a", "z1", "r1", res(1000, 1000), res(1000, 1000)),
		workerState("b", "z2", "r2", res(4000, 1000), spec.Resources{})))
	tests := []struct {
		name        string
		size        spec.Resources
		constraints spec.Constraints
		infeasible  bool
	}{
		{"waits for capacity", res(900, 900), spec.Constraints{Zones: []string{"z1"}}, false},
		{"larger than any VM", res(1, 2000), spec.Constraints{}, true},
		{"larger than the zone's VMs", res(2000, 10), spec.Constraints{Zones: []string{"z1"}}, true},
		{"unknown zone", res(1, 1), spec.Constraints{Zones: []string{"z9"}}, true},
		{"unknown rack", res(1, 1), spec.Constraints{Racks: []string{"r9"}}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ask := batchAsk("j", 0, test.size)
			ask.Constraints = test.constraints
			d := Place(c.Snapshot(), ask)
			require.False(t, d.Placed())
			require.Equal(t, test.infeasible, d.Infeasible != "", d.Infeasible)
			require.NotEmpty(t, d.Rejections)
		})
	}
}

func TestBlockedWorkersTakeNothing(t *testing.T) {
	c := NewCache()
	free := workerState("w", "z", "r", res(100, 100), spec.Resources{})
	c.Apply(state("p", 1, 1, true, free))
	p := NewPlanner(c.Snapshot())
	p.Block("w", "owner is taking over")
	for seq := range uint64(2) {
		d := p.Place(batchAsk("j", 0, res(1, 1)))
		require.Equal(t, []Rejection{{Reason: "owner is taking over", Workers: 1}}, d.Rejections)
		require.Empty(t, d.Infeasible)
		c.Apply(state("p", 1, seq+2, false, free))
		p.Rebase(c.Snapshot())
	}
	p.Unblock("w")
	require.True(t, p.Place(batchAsk("j", 0, res(1, 1))).Placed())
	require.NoError(t, p.View().Check())
}
