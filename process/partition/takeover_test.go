package partition

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/ownership"
	"fennelshunt.example/fennelshunt/process/plan"
)

// takeOver reports the old owner as failed, waits until another daemon owns the
// partition and returns that daemon.
func (c *cell) takeOver(old *daemon) *daemon {
	c.t.Helper()
	c.reportFailed(old)
	var d *daemon
	c.eventually(time.Minute, "another owner", func() bool {
		for _, other := range c.daemons {
			if _, err := other.host.owner(testPartition); err == nil && other != old {
				d = other
				return true
			}
		}
		return false
	})
	return d
}

// restartElsewhere starts attempt 2 of a task if the reply to a fence allows it,
// as the owner of the shard does.
func (c *cell) restartElsewhere(d *daemon, i int, was, to worker.ID) bool {
	reply, err := c.author.fence(d)
	if err != nil || slices.Contains(reply.Unaccounted, was) {
		return false
	}
	if slices.ContainsFunc(reply.Tasks, func(e plan.Event) bool { return e.Task == taskID(i) && !e.Lost }) {
		return false
	}
	s := step(i, to)
	s.Start.Attempt = 2
	return c.author.commit(d, s)[0].Outcome == plan.Accepted
}

func TestPausedOwnerCanNotStartAfterItsClaimWasTaken(t *testing.T) {
	// Guards against a task that runs on two workers: the owner checks its claim
	// and is suspended before it sends the start; another daemon takes the
	// partition over, finds that the task does not run and starts it elsewhere;
	// the first one resumes. No check before a send covers what happens after it.
	inBubble(t, 2, 2, large, func(c *cell) {
		old := c.ready()
		c.rack.Pause(old.key())
		require.Equal(t, plan.Accepted, c.author.commit(old, step(1, workerID(0)))[0].Outcome)
		time.Sleep(100 * time.Millisecond)
		c.pause(old)
		d := c.takeOver(old)
		c.eventually(time.Minute, "restarted", func() bool { return c.restartElsewhere(d, 1, workerID(0), workerID(1)) })
		c.resume(old)
		time.Sleep(time.Minute)
		require.Equal(t, 1, c.rack.Starts()[taskID(1)])
		_, err := old.host.owner(testPartition)
		require.Error(t, err, "the old owner must have dropped the partition")
	})
}

func TestOldOwnerReachesWorkerThatTheNewOneCanNot(t *testing.T) {
	// Guards against a task that runs on two workers: the new owner cannot reach
	// worker 0 and so cannot revoke the old owner's lease there; the old owner,
	// suspended with a start not yet sent, resumes, and the start succeeds at
	// worker 0. A task that may be on an unfenced worker was assumed not to run.
	inBubble(t, 2, 3, large, func(c *cell) {
		old := c.ready()
		c.rack.Pause(old.key())
		require.Equal(t, plan.Accepted, c.author.commit(old, step(1, workerID(0)))[0].Outcome)
		time.Sleep(100 * time.Millisecond)
		c.pause(old)
		for _, d := range c.daemons {
			c.rack.Cut(d.key(), workerID(0), d != old)
		}
		d := c.takeOver(old)
		c.eventually(time.Minute, "others fenced", func() bool {
			reply, err := c.author.fence(d)
			return err == nil && slices.Equal(reply.Unaccounted, []worker.ID{workerID(0)})
		})
		c.author.mustStart(d, step(2, workerID(1))) // other tasks can start
		require.False(t, c.restartElsewhere(d, 1, workerID(0), workerID(1)))
		c.resume(old)
		c.eventually(time.Minute, "old start arrived", func() bool { return len(c.rack.Running(workerID(0))) == 1 })
		for range 600 { // ten minutes, without proof that the old owner has ended
			require.False(t, c.restartElsewhere(d, 1, workerID(0), workerID(1)))
			time.Sleep(time.Second)
		}
		c.vms.remove(string(old.ref.ID))
		waited := c.eventually(10*time.Minute, "restarted", func() bool {
			return c.restartElsewhere(d, 1, workerID(0), workerID(1))
		})
		require.Greater(t, waited, DefaultTaskTTL)
	})
}

func TestPredecessorOfAnOwnerThatNeverFencedIsTracked(t *testing.T) {
	// Guards against a task that runs on two workers: owner A is suspended with a
	// start for worker 0 not yet sent; owner B claims and fails before it has
	// fenced any worker; owner C cannot reach worker 0 and sees that B has
	// failed; A resumes. C waited only for its direct predecessor.
	inBubble(t, 3, 2, large, func(c *cell) {
		a := c.ready()
		c.rack.Pause(a.key())
		require.Equal(t, plan.Accepted, c.author.commit(a, step(1, workerID(0)))[0].Outcome)
		time.Sleep(100 * time.Millisecond)
		c.pause(a)
		for _, d := range c.daemons {
			if d != a {
				c.rack.Pause(d.key()) // B reaches no worker
			}
		}
		b := c.takeOver(a)
		b.kill()
		var third *daemon
		for _, d := range c.daemons {
			if d != a && d != b {
				third = d
				c.rack.Resume(d.key())
				c.rack.Cut(d.key(), workerID(0), true)
			}
		}
		c.reportFailed(b)
		c.vms.remove(string(b.ref.ID))
		c.eventually(time.Minute, "third owner", func() bool {
			_, err := third.host.owner(testPartition)
			return err == nil
		})
		c.resume(a)
		for range 400 {
			require.False(t, c.restartElsewhere(third, 1, workerID(0), workerID(1)))
			time.Sleep(time.Second)
		}
		require.Equal(t, 1, c.rack.Starts()[taskID(1)])
	})
}

func TestLateLeaseOfAStaleOwnerIsNotUsed(t *testing.T) {
	// Guards against a task that runs on two workers: a daemon claims the
	// partition and is suspended before it opens its leases; another one takes
	// over and fences; the first one resumes and opens a lease that no later
	// owner revokes. The claim was checked before the lease was opened, not after.
	inBubble(t, 3, 2, large, func(c *cell) {
		c.rack.IgnoreEpochs(workerID(1)) // epochs would expose the stale owner
		first := c.ready()
		for _, d := range c.daemons {
			if d != first {
				c.rack.Pause(d.key())
			}
		}
		first.kill()
		stale := c.takeOver(first)
		time.Sleep(100 * time.Millisecond)
		c.pause(stale)
		for _, d := range c.daemons {
			if d != stale && d != first {
				c.rack.Resume(d.key())
			}
		}
		d := c.takeOver(stale)
		require.NotEqual(t, first, d)
		c.eventually(time.Minute, "fenced", func() bool {
			reply, err := c.author.fence(d)
			return err == nil && len(reply.Unaccounted) == 0
		})
		c.rack.Resume(stale.key())
		c.net.Resume(stale.ref) // only the store is still unreachable for it
		for range 200 {
			r := c.author.commit(stale, step(1, workerID(0)))
			require.NotEqual(t, plan.Accepted, r[0].Outcome)
			time.Sleep(50 * time.Millisecond)
		}
		c.author.mustStart(d, step(1, workerID(1)))
		c.resume(stale)
		time.Sleep(time.Minute)
		require.Len(t, c.rack.Running(workerID(1)), 1, "the owner must have kept the task running")
		require.Zero(t, stale.metrics.Starts.Value())
	})
}

func TestOldShardOwnerIsRefusedAfterTakeoverOfThePartition(t *testing.T) {
	// Guards against a task that runs on two workers: a shard is taken over and
	// its new owner fences the partition, whose owner then fails; the shard's old
	// owner, suspended until now, sends a plan to the partition's new owner. Only
	// the failed owner had recorded the fence.
	inBubble(t, 2, 2, large, func(c *cell) {
		old := c.ready()
		putClaim(c, ownership.Claim{Resource: shardResource(testShard), Owner: c.author.ref, Epoch: 7})
		old.kill()
		d := c.takeOver(old)
		c.eventually(time.Minute, "ready", func() bool { return c.acceptsPlans(d) })
		require.Equal(t, plan.Stale, c.author.commit(d, step(1, workerID(0)))[0].Outcome)
		_, err := c.author.fence(d)
		require.ErrorContains(t, err, "taken over")
		c.author.epoch = 7
		c.eventually(time.Minute, "newest epoch accepted", func() bool {
			return c.author.commit(d, step(1, workerID(0)))[0].Outcome == plan.Accepted
		})
	})
}

func TestFenceIsNotAnsweredByAnOwnerThatLostThePartition(t *testing.T) {
	// Guards against a task that runs on two workers: a partition moves to another
	// owner and the old one has not noticed; a shard's new owner sends its fence
	// to the old one and concludes from the reply that a task does not run, which
	// the new owner has started.
	inBubble(t, 2, 2, large, func(c *cell) {
		old := c.ready()
		old.gate.hold() // the old owner receives no changes of claims
		d := c.takeOver(old)
		c.eventually(time.Minute, "fenced", func() bool {
			reply, err := c.author.fence(d)
			return err == nil && len(reply.Unaccounted) == 0
		})
		c.author.mustStart(d, step(1, workerID(0)))
		_, err := c.author.fence(old)
		require.Error(t, err)
		old.gate.open()
		time.Sleep(time.Second)
		_, err = c.author.fence(old)
		require.ErrorContains(t, err, "not owned")
	})
}

func TestCutOffOwnerDoesNotTakeTasksBack(t *testing.T) {
	// Guards against a task that runs on two workers: the owner is cut off from
	// everything but the workers; another one takes over and fences; a running
	// worker leaves the VM list, so the new owner lets its leases expire; the old
	// owner opens a lease there, moves the tasks to it and renews them, while the
	// new owner gives them up as lost. An owner without a confirmed claim was
	// allowed to renew tasks that another owner had adopted.
	inBubble(t, 2, 2, large, func(c *cell) {
		c.rack.IgnoreEpochs(workerID(1))
		old := c.ready()
		c.author.mustStart(old, step(1, workerID(1)))
		old.gate.setCut(true)
		old.vms.frozen.Store(true)
		d := c.takeOver(old)
		c.eventually(time.Minute, "fenced", func() bool {
			reply, err := c.author.fence(d)
			return err == nil && len(reply.Unaccounted) == 0 && len(reply.Tasks) == 1
		})
		c.vms.remove(string(workerID(1)))
		c.eventually(10*time.Minute, "given up", func() bool { return c.restartElsewhere(d, 1, workerID(1), workerID(0)) })
		_, err := old.host.owner(testPartition)
		require.NoError(t, err, "the old owner still assumes that it holds its claim")
	})
}

func TestPlanThatArrivesAfterAFenceIsRefused(t *testing.T) {
	// Guards against a task that runs on two workers: a plan is delayed in the
	// network; its author times out, fences the partition, which does not have
	// the task, and starts the task elsewhere; then the plan arrives. The fence
	// checked only the epoch, which is the same for both.
	inBubble(t, 1, 2, large, func(c *cell) {
		d := c.ready()
		c.net.SetDelay(2 * time.Second)
		late := make(chan []plan.StepResult, 1)
		go func() { late <- c.author.commit(d, step(1, workerID(0))) }()
		time.Sleep(time.Second)
		c.net.SetDelay(0)
		require.True(t, c.restartElsewhere(d, 1, workerID(0), workerID(1)))
		require.Equal(t, plan.Stale, (<-late)[0].Outcome)
		time.Sleep(2 * time.Second)
		require.Equal(t, 1, c.rack.Starts()[taskID(1)])
	})
}
