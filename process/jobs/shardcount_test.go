package jobs

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/standin/kv"
)

// TestAnotherNumberOfShardsStartsNothing guards against starting finished tasks again,
// including those that must start only once. Progress is stored by shard number, so
// daemons that restart with another setting for shards must not serve any.
func TestAnotherNumberOfShardsStartsNothing(t *testing.T) {
	inCell(t, 1, func(ctx context.Context, c *cell) {
		j := batch("cert", teamsOfShards(2)[1], 20, time.Second)
		j.NonIdempotent = true
		c.apply(nil, j)
		d := c.startDaemon(ctx, "d1")
		d.own(0)
		c.await(20*time.Second, "done", func() bool { return c.succeeded("cert") == 20 })
		time.Sleep(5 * time.Second)
		d.kill()
		c.shards = 2
		d = c.startDaemon(ctx, "d2")
		d.own(0)
		d.own(1)
		time.Sleep(20 * time.Second)
		require.Empty(t, d.manager.Resources())
		require.EqualValues(t, 1, c.metrics.ShardsDiffer.Value())
		d.kill()
		c.shards = 1
		d = c.startDaemon(ctx, "d3")
		d.own(0)
		c.await(5*time.Second, "the stored progress is used", func() bool { return d.tasks(ctx, "cert")[TaskDone] == 20 })
		require.Len(t, d.manager.Resources(), 1)
		require.Zero(t, c.metrics.ShardsDiffer.Value())
	})
}

// TestDaemonsThatStartTogetherAgreeOnTheShards guards against two daemons serving
// shards with different settings. They start at the same time in a new cell whose store
// was down, so the number of shards must be written with compare-and-swap.
func TestDaemonsThatStartTogetherAgreeOnTheShards(t *testing.T) {
	inCell(t, 1, func(ctx context.Context, c *cell) {
		c.store.SetFaults(kv.Faults{Down: true})
		var daemons []*daemon
		for i, id := range []peer.MemberID{"d1", "d2", "d3", "d4"} {
			c.shards = 2 + i%2
			daemons = append(daemons, c.startDaemon(ctx, id))
		}
		time.Sleep(5 * time.Second)
		for _, d := range daemons {
			require.Empty(t, d.manager.Resources())
		}
		c.store.SetFaults(kv.Faults{})
		time.Sleep(time.Minute)
		numbers := map[int]int{}
		for _, d := range daemons {
			numbers[len(d.manager.Resources())]++
		}
		require.Equal(t, 2, numbers[0])
		require.Equal(t, 2, numbers[2]+numbers[3])
		require.Len(t, numbers, 2)
	})
}
