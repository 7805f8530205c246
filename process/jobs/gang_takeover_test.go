package jobs

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/version/spec"
)

// TestPartiallyStartedGangOfACrashedOwnerIsRestarted guards against a gang of which
// some tasks run and wait for the others for ever. The shard's owner has all
// reservations of the gang, starts it and crashes, and the plan to one rack is lost. A
// new owner must not leave the running part alone until it ends.
func TestPartiallyStartedGangOfACrashedOwnerIsRestarted(t *testing.T) {
	inCell(t, 1, func(ctx context.Context, c *cell) {
		gang := batch("gang", "a", 60, time.Hour)
		gang.Kind = spec.Gang
		c.apply(nil, batch("warm", "a", 1, time.Second))
		d := c.startDaemon(ctx, "d1")
		d.own(0)
		c.await(10*time.Second, "the partitions are in use", func() bool { return c.succeeded("warm") == 1 })
		time.Sleep(2 * time.Second)
		c.apply(nil, gang)
		rack := "" // of some tasks; not all fit into one
		for sending := false; !sending; time.Sleep(100 * time.Microsecond) {
			_ = d.manager.shard(0).call(ctx, func(st *state) {
				j := st.current["gang"]
				if sending = j != nil && j.gang == nil && len(j.live) == 60; sending {
					rack = j.live[0].partition
				}
			})
		}
		c.net.Cut("d1", peer.MemberID("p-"+rack))
		time.Sleep(4 * time.Millisecond)
		d.kill()
		half := c.runningTasks("gang")
		require.Positive(t, half)
		require.Less(t, half, 60)
		c.startDaemon(ctx, "d2").own(0)
		c.await(time.Minute, "all run", func() bool { return c.runningTasks("gang") == 60 })
	})
}
