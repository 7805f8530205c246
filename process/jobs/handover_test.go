package jobs

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/standin/kv"
)

// TestFailedReleaseKeepsTheShardRunning guards against a claimed shard that does no
// work. If the release of a shard fails because the store is down, the claim is kept,
// so the shard must keep running. Otherwise nothing of its teams starts and no result
// is processed until the store is reachable again.
func TestFailedReleaseKeepsTheShardRunning(t *testing.T) {
	inCell(t, 1, func(ctx context.Context, c *cell) {
		c.apply(nil, batch("b", "a", 2000, time.Second))
		d := c.startDaemon(ctx, "d1")
		d.own(0)
		c.await(10*time.Second, "tasks run", func() bool { return c.succeeded("b") > 100 })
		c.store.SetFaults(kv.Faults{Down: true})
		time.Sleep(5 * time.Second)
		releaseCtx, cancel := context.WithTimeout(ctx, 10*time.Second)
		defer cancel()
		require.ErrorIs(t, d.manager.Releasing(releaseCtx, Resource(0)), context.DeadlineExceeded)
		before := c.succeeded("b")
		c.await(20*time.Second, "the shard keeps running", func() bool { return c.succeeded("b") > before+100 })
		c.store.SetFaults(kv.Faults{})
		require.NoError(t, d.manager.Releasing(ctx, Resource(0)))
		require.Nil(t, d.manager.shard(0))
		require.NoError(t, d.manager.Releasing(ctx, Resource(0)), "released already")
	})
}
