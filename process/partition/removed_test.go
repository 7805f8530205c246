package partition

import (
	"testing"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/sched/ledger"
)

func TestRemovedWorkersAreDropped(t *testing.T) {
	// Guards against a memory leak: when VMs come and go for weeks under one
	// owner, a record of every worker removed in the epoch would accumulate.
	o := &owner{ledger: ledger.New(), nodes: make(map[worker.ID]*node)}
	o.state.init("p", 1)
	for i := range 100 * maxRemovedWorkers {
		o.state.workerRemoved(workerID(i))
	}
	require.LessOrEqual(t, len(o.state.removed), maxRemovedWorkers)

	last := o.state.seq
	o.state.workerRemoved("worker-last")
	late := o.stateSince(last)
	require.False(t, late.Full)
	require.Len(t, late.Workers, 1)
	require.Equal(t, worker.ID("worker-last"), late.Workers[0].ID)
	require.True(t, late.Workers[0].Removed)

	oldest := o.stateSince(o.state.removedSince)
	require.False(t, oldest.Full)
	require.Len(t, oldest.Workers, len(o.state.removed), "all that are recorded")
	require.True(t, o.stateSince(o.state.removedSince-1).Full, "a reader with an older position would keep a removed worker")
}

func TestWorkerThatCameBackIsNotReportedAsRemoved(t *testing.T) {
	o := &owner{ledger: ledger.New(), nodes: make(map[worker.ID]*node)}
	o.state.init("p", 1)
	before := o.state.seq
	o.state.workerRemoved("worker-0")
	n := &node{id: "worker-0", changed: o.state.next()}
	n.added = n.changed
	o.nodes[n.id] = n
	s := o.stateSince(before)
	require.Len(t, s.Workers, 1)
	require.False(t, s.Workers[0].Removed)
	require.False(t, s.Workers[0].Partial)
}
