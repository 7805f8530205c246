package partition

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/process/jobs"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/version/spec"
)

func TestFenceListsALossThatWasNotDelivered(t *testing.T) {
	// Guards against a second start of a non-idempotent task: the result of its
	// plan and the events of its start and loss are not delivered, and then the
	// shard fences the partition. If the reply lacked the task, the shard would
	// conclude that it was never started.
	inBubble(t, 1, 2, large, func(c *cell) {
		d := c.ready()
		c.net.Cut(d.ref.ID, c.author.ref.ID)
		o, err := d.host.owner(testPartition)
		require.NoError(t, err)
		s := step(1, workerID(0))
		s.NonIdempotent = true
		r, err := call(c.ctx, o, func() plan.Result {
			return o.commit(plan.Plan{Partition: testPartition, Author: c.author.authorship(), Seq: 100, Steps: []plan.Step{s}})
		})
		require.NoError(t, err)
		require.Equal(t, plan.Accepted, r.Steps[0].Outcome)
		c.eventually(5*time.Second, "runs", func() bool { return len(c.rack.Running(workerID(0))) == 1 })
		c.rack.Restart(workerID(0))
		c.eventually(time.Minute, "lost", func() bool { return d.metrics.Lost.Value() == 1 })
		c.net.Heal(d.ref.ID, c.author.ref.ID)
		c.author.seq = 200
		reply, err := c.author.fence(d)
		require.NoError(t, err)
		require.Len(t, reply.Tasks, 1)
		require.Equal(t, s.Start.Task, reply.Tasks[0].Task)
		require.True(t, reply.Tasks[0].Lost)
	})
}

// cutAll cuts or heals every link between two daemons.
func cutAll(c *cell, cut bool) {
	for i, a := range c.daemons {
		for _, b := range c.daemons[i+1:] {
			if cut {
				c.net.Cut(a.ref.ID, b.ref.ID)
			} else {
				c.net.Heal(a.ref.ID, b.ref.ID)
			}
		}
	}
}

func TestLossDuringANetworkCutDoesNotCountAsNeverStarted(t *testing.T) {
	// Guards against a second start of a non-idempotent task: a plan arrives, but
	// not its result and the event of the start; the worker restarts, so the task
	// is lost; the network heals, and the shard fences the partition before the
	// event of the loss arrives. If the reply lacked the loss, the task would
	// count as never started.
	for cutAt := 400; cutAt <= 460; cutAt += 10 { // around the first plans
		synctest.Test(t, func(t *testing.T) {
			config := wholeJobs()
			team := ""
			for i := 0; team == "" || jobs.ShardOfTeam(team, wholeShards) != 2; i++ {
				team = fmt.Sprintf("team-%d", i) // of a shard that another daemon owns
			}
			config.Teams[team] = &spec.Team{Name: team}
			config.Jobs["once"].Team = team
			config.Jobs["batch"].Count = 1
			c := newWholeCell(t, 3, 4, 2, large, config)
			defer c.shutDown()
			c.net.SetDelay(50 * time.Millisecond)
			time.Sleep(2*time.Second + time.Duration(cutAt)*time.Millisecond)
			cutAll(c, true)
			time.Sleep(1500 * time.Millisecond)
			for i := range c.workers {
				c.rack.Restart(workerID(i))
			}
			time.Sleep(8 * time.Second)
			cutAll(c, false)
			time.Sleep(3 * time.Minute)
			for id, n := range c.rack.Starts() {
				if id.Job == "once" && n > 1 {
					t.Errorf("cut at %d ms: %s started %d times", cutAt, id, n)
				}
			}
		})
	}
}
