package partition

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/version/spec"
)

var large = spec.Resources{MilliCPU: 4000, MemoryMB: 4000}

func TestTaskRunsAndResultIsHeldUntilAcknowledged(t *testing.T) {
	inBubble(t, 2, 2, large, func(c *cell) {
		d := c.ready()
		s := step(1, workerID(0))
		s.Start.RunTime = spec.Duration(10 * time.Second)
		c.author.mustStart(d, s)
		c.eventually(20*time.Second, "result", func() bool {
			return c.author.received(func(e plan.Event) bool { return e.Task == taskID(1) && e.State == worker.Succeeded })
		})
		reply, err := c.author.fence(d)
		require.NoError(t, err)
		require.Len(t, reply.Tasks, 1)
		require.NoError(t, c.author.call(d, plan.MethodAck, plan.Ack{
			Partition: testPartition, Author: c.author.authorship(), Tasks: []worker.Ref{ref(1)},
		}, nil))
		c.eventually(5*time.Second, "dropped", func() bool {
			reply, err := c.author.fence(d)
			return err == nil && len(reply.Tasks) == 0
		})
	})
}

func TestCommitNeverExceedsTheLedger(t *testing.T) {
	inBubble(t, 1, 1, large, func(c *cell) {
		d := c.ready()
		accepted := 0
		for i := range 8 {
			if c.author.commit(d, step(i, workerID(0)))[0].Outcome == plan.Accepted {
				accepted++
			}
		}
		require.Equal(t, 4, accepted)
		time.Sleep(2 * time.Second)
		require.Len(t, c.rack.Running(workerID(0)), 4)
	})
}
