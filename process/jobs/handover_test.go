package jobs

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/standin/kv"
)

func TestRefusedHandoverKeepsTheShardAtWork(t *testing.T) {
	// Symptom: a daemon holds the claim of a shard that nobody runs; nothing of
	// its teams starts and no result is taken until the store is back.
	// Sequence: a shard is to be handed over while the store is down.
	// Cause: the shard was ended although its release had failed.
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
		c.await(20*time.Second, "the shard goes on", func() bool { return c.succeeded("b") > before+100 })
		c.store.SetFaults(kv.Faults{})
		require.NoError(t, d.manager.Releasing(ctx, Resource(0)))
		require.Nil(t, d.manager.shard(0))
		require.NoError(t, d.manager.Releasing(ctx, Resource(0)), "released already")
	})
}
