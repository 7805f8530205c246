package jobs

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestShardLeavesTasksOfOtherShardsAlone(t *testing.T) {
	// Symptom: tasks are stopped, or their results dropped, after the owner of
	// their workers was replaced.
	// Sequence: the new owner of a rack does not know the jobs yet and takes
	// their tasks for those of shard 0, which asks first; one of them ends.
	// Cause: a shard that stops and acknowledges whatever it does not know.
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
		c.retag("other", 0)
		c.retag("short", 0)
		for _, rack := range []string{"r1", "r2", "r3"} {
			c.startPartition(ctx, rack)
		}
		time.Sleep(10 * time.Second)
		require.Equal(t, 4, c.runningTasks("other"))
		require.Equal(t, 4, c.succeeded("short"))
		c.mu.Lock()
		for id, r := range c.runs {
			require.False(t, id.Job == "short" && r.acked, "a result was acknowledged that its shard has not seen")
		}
		c.mu.Unlock()
		c.net.Resume(second.ref)
		c.await(10*time.Second, "the shard has the results", func() bool { return second.tasks(ctx, "short")[TaskDone] == 4 })
		require.Equal(t, 4, second.tasks(ctx, "other")[TaskRunning])
	})
}
