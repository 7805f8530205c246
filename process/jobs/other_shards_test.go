package jobs

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestShardLeavesTasksOfOtherShardsAlone guards against stopping tasks or losing their
// results after the owner of their partition was replaced. The new owner does not have
// the jobs' configuration yet and assigns their tasks to shard 0, which fences first.
// Shard 0 must not stop or acknowledge tasks that it does not have; one of them ends in
// the meantime.
func TestShardLeavesTasksOfOtherShardsAlone(t *testing.T) {
	inCell(t, 1, func(ctx context.Context, c *cell) {
		c.shards = 2
		names := teamsOfShards(2)
		mine, other, short := batch("mine", names[0], 4, time.Hour), batch("other", names[1], 4, time.Hour), batch("short", names[1], 4, 6*time.Second)
		c.apply(nil, mine, other, short)
		first, second := c.startDaemon(ctx, "d1"), c.startDaemon(ctx, "d2")
		first.own(0)
		second.own(1)
		c.await(5*time.Second, "all run", func() bool {
			return c.runningTasks("mine") == 4 && c.runningTasks("other") == 4 && c.runningTasks("short") == 4
		})
		c.net.Pause(second.ref)
		c.reassignTasks("other", 0)
		c.reassignTasks("short", 0)
		for _, rack := range []string{"r1", "r2", "r3"} {
			c.startPartition(ctx, rack)
		}
		time.Sleep(10 * time.Second)
		require.Equal(t, 4, c.runningTasks("other"))
		require.Equal(t, 4, c.succeeded("short"))
		c.mu.Lock()
		for id, r := range c.runs {
			require.False(t, id.Job == "short" && r.acked, "a result was acknowledged before its shard received it")
		}
		c.mu.Unlock()
		c.net.Resume(second.ref)
		c.await(10*time.Second, "the shard has the results", func() bool { return second.tasks(ctx, "short")[TaskDone] == 4 })
		require.Equal(t, 4, second.tasks(ctx, "other")[TaskRunning])
	})
}
