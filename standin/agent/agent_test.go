package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/standin/record"
	"fennelshunt.example/fennelshunt/version/spec"
)

func open(t *testing.T, a *Agent, epoch uint64) worker.LeaseID {
	t.Helper()
	id, err := a.OpenLease(t.Context(), worker.OpenLease{
		Epoch: epoch, TTL: spec.Duration(10 * time.Second), TaskTTL: spec.Duration(time.Minute),
	})
	require.NoError(t, err)
	return id
}

func batch(index int, runTime time.Duration) worker.Start {
	return worker.Start{
		Task: spec.TaskID{Job: "j", Generation: 1, Index: index}, Attempt: 1, Kind: spec.Batch,
		Size: spec.Resources{MilliCPU: 1000}, RunTime: spec.Duration(runTime),
	}
}

// TestStartUnderRevokedOrExpiredLeaseIsRefused guards against an agent that checks leases only
// when they are opened, and runs a task for an owner that has lost the worker: a successor
// revokes the owner's lease, or the lease expires, and a start that was in flight arrives
// afterwards.
func TestStartUnderRevokedOrExpiredLeaseIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rec := record.New()
		a := New(Options{ID: "w1", Recorder: rec})
		revoked := open(t, a, 1)
		require.NoError(t, a.RevokeLease(t.Context(), revoked))
		_, err := a.Start(t.Context(), revoked, []worker.Start{batch(0, time.Second)})
		require.ErrorIs(t, err, worker.ErrLeaseInvalid)

		expired := open(t, a, 1)
		time.Sleep(10 * time.Second)
		_, err = a.Start(t.Context(), expired, []worker.Start{batch(0, time.Second)})
		require.ErrorIs(t, err, worker.ErrLeaseInvalid)
		require.Zero(t, rec.Report().Starts)
	})
}

func TestResultIsHeldUntilAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(Options{ID: "w1", Recorder: record.New()})
		id := open(t, a, 1)
		s := batch(0, time.Second)
		_, err := a.Start(t.Context(), id, []worker.Start{s})
		require.NoError(t, err)
		time.Sleep(2 * time.Second)
		for range 2 {
			inv, err := a.Inventory(t.Context())
			require.NoError(t, err)
			require.Len(t, inv.Tasks, 1)
			require.Equal(t, worker.Succeeded, inv.Tasks[0].State)
		}
		ref := worker.Ref{Task: s.Task, Attempt: 1}
		_, err = a.Sync(t.Context(), worker.SyncRequest{Lease: id, Acks: []worker.Ref{ref}})
		require.NoError(t, err)
		inv, err := a.Inventory(t.Context())
		require.NoError(t, err)
		require.Empty(t, inv.Tasks)
	})
}

func TestTasksStopWhenTheirLeaseExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		a := New(Options{ID: "w1", Recorder: record.New()})
		done := make(chan error)
		go func() { done <- a.Serve(ctx) }()
		id := open(t, a, 1)
		_, err := a.Start(t.Context(), id, []worker.Start{batch(0, time.Hour)})
		require.NoError(t, err)
		time.Sleep(59 * time.Second)
		inv, err := a.Inventory(t.Context())
		require.NoError(t, err)
		require.Equal(t, worker.Running, inv.Tasks[0].State)
		time.Sleep(2 * time.Second)
		inv, err = a.Inventory(t.Context())
		require.NoError(t, err)
		require.Equal(t, worker.Stopped, inv.Tasks[0].State)
		cancel()
		<-done
	})
}

func TestLowerEpochIsRefusedWhereCompared(t *testing.T) {
	a := New(Options{ID: "w1", ComparesEpochs: true})
	open(t, a, 3)
	_, err := a.OpenLease(t.Context(), worker.OpenLease{Epoch: 2, TTL: spec.Duration(time.Second)})
	require.ErrorIs(t, err, worker.ErrStaleEpoch)
}
