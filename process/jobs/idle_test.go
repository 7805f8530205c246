package jobs

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/process/quota"
	"fennelshunt.example/fennelshunt/version/spec"
)

// TestShardWithoutWorkersSeldomWakes guards against an idle daemon of a cell without
// workers using CPU time. While a job waits and no worker exists, a round ends with its
// decisions still due, and the next one must not begin as soon as RoundGap has passed.
func TestShardWithoutWorkersSeldomWakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		c := newCell(t, 1)
		c.apply(nil, batch("b", "a", 4, time.Second))
		d := c.startDaemon(ctx, "d1")
		d.own(0)
		time.Sleep(5 * time.Second)
		before := d.snapshotReads.Load()
		time.Sleep(10 * time.Second)
		require.LessOrEqual(t, d.snapshotReads.Load()-before, int64(40))
		go c.publish(ctx, 20*time.Millisecond)
		c.addRack(ctx, "r1", "z", 1, core.Times(8))
		c.await(2*time.Second, "the job starts with the first workers", func() bool { return c.runningTasks("b") == 4 })
		c.check()
	})
}

// TestStateOfRemovedTeamsAndSurplusAttemptsIsFreed guards against memory use that grows
// with removed jobs and teams. Accounts of removed teams must be freed, and so must the
// usage reports of attempts that are stopped because their task has succeeded on a
// worker that was declared lost.
func TestStateOfRemovedTeamsAndSurplusAttemptsIsFreed(t *testing.T) {
	inCell(t, 1, func(ctx context.Context, c *cell) {
		d := c.startDaemon(ctx, "d1")
		d.own(0)
		for _, team := range []string{"t1", "t2", "t3"} {
			c.apply([]spec.Team{{Name: team}}, batch("of-"+team, team, 8, time.Hour))
			c.await(5*time.Second, "runs", func() bool { return c.runningTasks("of-"+team) == 8 })
			c.apply(nil)
			c.await(5*time.Second, "stopped", func() bool { return c.runningTasks("of-"+team) == 0 })
		}
		c.apply(nil, batch("b", "a", 1, time.Hour))
		c.await(5*time.Second, "runs", func() bool { return c.runningTasks("b") == 1 })
		time.Sleep(time.Second)
		require.NoError(t, d.manager.shard(0).call(ctx, func(st *state) {
			a := st.current["b"].live[0]
			p := st.partitions[a.partition]
			st.applyEvent(p, &plan.Event{Task: a.task(), Attempt: a.number, Worker: a.worker, State: worker.Running, Usage: core}, false)
			st.applyEvent(p, &plan.Event{Task: a.task(), Attempt: a.number - 1, Worker: a.worker, State: worker.Succeeded}, false)
		}))
		c.await(5*time.Second, "the other attempt is stopped", func() bool { return c.runningTasks("b") == 0 })
		c.check()
		c.apply(nil)
		time.Sleep(10 * time.Second)
		teams := 0
		require.NoError(t, d.manager.shard(0).call(ctx, func(st *state) {
			st.accounts.Each(func(*quota.Account) { teams++ })
			require.Zero(t, st.learner.Reported())
		}))
		require.Zero(t, teams)
	})
}
