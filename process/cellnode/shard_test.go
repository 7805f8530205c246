package cellnode

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/lead"
)

// restartedWorkers is a directory in which each worker restarts as another incarnation.
type restartedWorkers struct{ n int }

func (l restartedWorkers) List(context.Context) (all []runner.Worker, _ store.Revision, _ error) {
	for i := range l.n {
		all = append(all, runner.Worker{Ref: runner.Ref{ID: runner.IncarnationID(fmt.Sprint("w-", i), 1)}})
	}
	return all, 1, nil
}

func (l restartedWorkers) Has(context.Context, string) (bool, error) { return true, nil }

func (l restartedWorkers) Watch(context.Context, store.Revision, time.Duration) (all []runner.Change, _ store.Revision, _ error) {
	for i := range l.n {
		all = append(all, runner.Change{Worker: runner.Worker{Ref: runner.Ref{ID: runner.WorkerID(fmt.Sprint("w-", i))}}, Removed: true},
			runner.Change{Worker: runner.Worker{Ref: runner.Ref{ID: runner.IncarnationID(fmt.Sprint("w-", i), 2)}}})
	}
	return all, 2, nil
}

// TestIncarnationsOfAWorkerShareAShard guards against the next incarnation of a worker being
// assigned to another shard, while the shard of the earlier one misses the removal of its
// entry.
func TestIncarnationsOfAWorkerShareAShard(t *testing.T) {
	names := func(s shardDirectory) (listed, removed, next []string) {
		all, _, err := s.List(t.Context())
		require.NoError(t, err)
		for _, w := range all {
			listed = append(listed, w.ID.Name())
		}
		changes, _, err := s.Watch(t.Context(), 1, time.Second)
		require.NoError(t, err)
		for _, c := range changes {
			if c.Removed {
				removed = append(removed, c.Worker.ID.Name())
			} else {
				next = append(next, c.Worker.ID.Name())
			}
		}
		return listed, removed, next
	}
	const workers = 20
	sum := 0
	for shard := range 3 {
		listed, removed, next := names(shardDirectory{restartedWorkers{workers}, lead.Layout{Shards: 3}, shard})
		require.Equal(t, listed, removed)
		require.Equal(t, listed, next)
		sum += len(listed)
	}
	require.Equal(t, workers, sum)
}

// TestLostDaemonsOfOtherShardsAreNotProxies guards against two leaders that use the same daemon
// without membership as a proxy and wait for each other.
func TestLostDaemonsOfOtherShardsAreNotProxies(t *testing.T) {
	var all []lead.Member
	for i := range 20 {
		all = append(all, lead.Member{Name: fmt.Sprint("d-", i)})
	}
	layout, seen := lead.Layout{Shards: 3}, map[string]int{}
	for shard := range 3 {
		for _, m := range ownDaemons(all, layout, shard) {
			seen[m.Name]++
		}
	}
	require.Len(t, seen, len(all))
	for name, n := range seen {
		require.Equal(t, 1, n, name)
	}
	require.Empty(t, ownDaemons(nil, layout, 0))
	require.Len(t, shardMembers(all[:1], layout, (layout.ShardOf(all[0].Name)+1)%3), 1, "a shard without members of its own uses all")
}

// TestDaemonThatHasResignedRefusesCallsForAdvice guards against a leader that keeps a daemon as a
// proxy, because it could not read the record of the planned stop, until the process ends.
func TestDaemonThatHasResignedRefusesCallsForAdvice(t *testing.T) {
	n := &Node{o: Options{Adviser: noAdviser{}}}
	_, err := n.serveAdvise(t.Context(), adviseRequest{})
	require.NoError(t, err)
	n.resigned.Store(true)
	_, err = n.serveAdvise(t.Context(), adviseRequest{})
	require.ErrorIs(t, err, errStopping)
}

// noAdviser finds no worker good.
type noAdviser struct{}

func (noAdviser) Advise(context.Context, string, []runner.WorkerID) ([]runner.Ticket, error) {
	return nil, nil
}
