package jobs

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/process/ownership"
	"fennelshunt.example/fennelshunt/process/sched/snapshot"
)

func TestDecisionsPreferThePartitionsOfTheDaemon(t *testing.T) {
	inCell(t, 1, func(ctx context.Context, c *cell) {
		d := c.startDaemon(ctx, "d1")
		d.own(0)
		c.apply(nil, batch("b", "a", 1, time.Second))
		c.await(10*time.Second, "done", func() bool { return c.succeeded("b") == 1 })
		distance := func(partition string) (distance float64) {
			require.NoError(t, d.manager.shard(0).call(ctx, func(st *state) {
				distance = st.round.planner.View().Affinity[snapshot.HashPartition(partition)]
			}))
			return distance
		}
		require.Positive(t, distance("r2"))
		c.claims.Set(ownership.Resource(ownership.PartitionPrefix+"r2"), d.ref)
		c.await(5*time.Second, "r2 is local", func() bool { return distance("r2") == 0 })
		require.Positive(t, distance("r3"))
		c.startPartition(ctx, "r2")
		c.await(5*time.Second, "r2 is another daemon's again", func() bool { return distance("r2") > 0 })
	})
}
