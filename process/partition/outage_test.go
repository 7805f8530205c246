package partition

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/process/ownership"
	"fennelshunt.example/fennelshunt/process/partition/agenttest"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/standin/kv"
)

// storeDown begins or ends an outage of the store for every daemon.
func (c *cell) storeDown(down bool) {
	c.kv.SetFaults(kv.Faults{Down: down})
	for _, d := range c.daemons {
		d.freezeRenewal(down)
	}
}

func TestStoreOutageOfAnHourStopsNothing(t *testing.T) {
	// Guards against services that end, and tasks that cannot be started, during
	// a store outage of an hour because the owner's authority expires with its
	// store lease.
	inBubble(t, 2, 2, large, func(c *cell) {
		d := c.ready()
		c.author.mustStart(d, step(1, workerID(0)))
		c.storeDown(true)
		for i := range 6 {
			time.Sleep(10 * time.Minute)
			c.author.mustStart(d, step(10+i, workerID(i%2)))
		}
		require.Zero(t, d.metrics.Lost.Value())
		c.storeDown(false)
	})
}

func TestOutageBeyondTheStartBoundKeepsWhatRuns(t *testing.T) {
	// Guards against running services that end when a store outage outlasts the
	// bound for new starts, because one bound applied to starting and renewing.
	inBubble(t, 1, 2, large, func(c *cell) {
		d := c.ready()
		s := step(1, workerID(0))
		s.Start.Kind = "service"
		c.author.mustStart(d, s)
		c.storeDown(true)
		time.Sleep(ownership.DefaultStartBound + time.Minute)
		require.Equal(t, plan.NotFenced, c.author.commit(d, step(2, workerID(0)))[0].Outcome)
		require.Len(t, c.rack.Running(workerID(0)), 1)
		time.Sleep(testRenewBound - ownership.DefaultStartBound + DefaultTaskTTL)
		require.Empty(t, c.rack.Running(workerID(0)), "tasks must not be renewed beyond the longer bound")
		c.storeDown(false)
	})
}

func TestWorkerCutOffInAnOutageKeepsItsTasks(t *testing.T) {
	// Guards against services that end after a short network fault during a store
	// outage: a worker is unreachable for longer than its lease TTL, the new lease
	// cannot be confirmed, and renewals were refused together with starts.
	inBubble(t, 1, 2, large, func(c *cell) {
		d := c.ready()
		c.author.mustStart(d, service(1, workerID(0)))
		c.storeDown(true)
		c.rack.Cut(d.key(), workerID(0), true)
		time.Sleep(2 * DefaultLeaseTTL)
		c.rack.Cut(d.key(), workerID(0), false)
		time.Sleep(30 * time.Minute)
		require.Len(t, c.rack.Running(workerID(0)), 1)
		require.Equal(t, plan.NoWorker, c.author.commit(d, step(2, workerID(0)))[0].Outcome)
		c.author.mustStart(d, step(3, workerID(1)))
		require.Less(t, c.rack.Calls(d.key()), 2*60*60, "attempts to confirm are spaced out")
		c.storeDown(false)
		c.eventually(time.Minute, "usable again", func() bool {
			return c.author.commit(d, step(2, workerID(0)))[0].Outcome == plan.Accepted
		})
	})
}

func TestLostReplyInAnOutageDoesNotBlockTheWorker(t *testing.T) {
	// Guards against workers that become unusable one by one during a store
	// outage: a start is lost, and its outcome was settled with a new lease,
	// which cannot be confirmed in an outage.
	inBubble(t, 1, 1, large, func(c *cell) {
		d := c.ready()
		c.storeDown(true)
		c.rack.SetFaults(agenttest.Faults{LoseCalls: 1})
		require.Equal(t, plan.Accepted, c.author.commit(d, step(1, workerID(0)))[0].Outcome)
		time.Sleep(200 * time.Millisecond)
		c.rack.SetFaults(agenttest.Faults{})
		time.Sleep(time.Minute)
		c.author.mustStart(d, step(2, workerID(0)))
		c.storeDown(false)
		c.eventually(time.Minute, "settled", func() bool {
			return c.author.received(func(e plan.Event) bool { return e.Task == taskID(1) && e.Lost })
		})
	})
}

func TestPartitionAcceptsPlansAfterAFailedRelease(t *testing.T) {
	// Guards against a rack that starts no tasks until a store outage ends: the
	// owner prepares a planned release, the store goes down before the claim is
	// released, the owner keeps the partition and went on refusing plans.
	inBubble(t, 1, 2, large, func(c *cell) {
		d := c.ready()
		require.NoError(t, d.host.Releasing(c.ctx, resourceOf(testPartition)))
		require.NotEqual(t, plan.Accepted, c.author.commit(d, step(1, workerID(0)))[0].Outcome)
		d.host.Resume(resourceOf(testPartition))
		require.Equal(t, plan.Accepted, c.author.commit(d, step(1, workerID(0)))[0].Outcome)
	})
}
