package jobs

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/standin/kv"
)

func TestAnotherNumberOfShardsStartsNothing(t *testing.T) {
	// Symptom: finished tasks start again, also of jobs that must start once.
	// Sequence: the setting shards is changed and the daemons restart.
	// Cause: the progress is kept by the number of the shard.
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
		c.await(5*time.Second, "the progress is found", func() bool { return d.tasks(ctx, "cert")[TaskDone] == 20 })
		require.Len(t, d.manager.Resources(), 1)
		require.Zero(t, c.metrics.ShardsDiffer.Value())
	})
}

func TestDaemonsThatStartTogetherAgreeOnTheShards(t *testing.T) {
	// Symptom: two daemons with different settings both serve shards.
	// Sequence: they start at once in a new cell whose store was down.
	// Cause: a number that is read and then written without compare-and-swap.
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
