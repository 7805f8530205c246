package jobs

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/standin/kv"
	"fennelshunt.example/fennelshunt/version/spec"
)

// rackOf returns the partition in which a task of the job runs, "" for none.
func (c *cell) rackOf(job string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.workers {
		for ref, task := range w.tasks {
			if ref.Task.Job == job && !task.ended() {
				return w.partition
			}
		}
	}
	return ""
}

// eachWorkerOf calls f for the workers of a partition.
func (c *cell) eachWorkerOf(partition string, f func(*fakeWorker)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.workers {
		if w.partition == partition {
			f(w)
		}
	}
}

// TestOldFailureDoesNotUnblockATask guards against running a task twice. A task fails
// in one rack while the store is down and is started again in another, then the shard's
// owner crashes. Its successor receives the unacknowledged failure before the other
// rack has answered, and must not treat the end of the older attempt as the end of the
// task.
func TestOldFailureDoesNotUnblockATask(t *testing.T) {
	inCell(t, 1, func(ctx context.Context, c *cell) {
		failed := false
		c.runTime = func(s worker.Start) (time.Duration, worker.TaskState) {
			if s.Task.Job == "b" && !failed {
				failed = true
				return 500 * time.Millisecond, worker.Failed
			}
			return s.RunTime.Std(), worker.Succeeded
		}
		c.apply(nil, batch("warm", "a", 3, time.Second))
		d := c.startDaemon(ctx, "d1")
		d.own(0)
		c.await(10*time.Second, "the partitions are in use", func() bool { return c.succeeded("warm") == 3 })
		time.Sleep(3 * time.Second) // until the epochs of the partitions' owners are durable
		c.store.SetFaults(kv.Faults{Down: true})
		c.apply(nil, batch("b", "a", 1, 10*time.Minute))
		c.await(5*time.Second, "the task starts", func() bool { return c.rackOf("b") != "" })
		first := c.rackOf("b")
		c.eachWorkerOf(first, func(w *fakeWorker) { w.capacity = spec.Resources{} })
		c.await(30*time.Second, "the task runs again elsewhere", func() bool {
			rack := c.rackOf("b")
			return rack != "" && rack != first
		})
		again := c.rackOf("b")
		d.kill()
		c.store.SetFaults(kv.Faults{})
		c.eachWorkerOf(again, func(w *fakeWorker) { w.unreachable = true })
		next := c.startDaemon(ctx, "d2")
		next.own(0)
		time.Sleep(20 * time.Second)
		require.Equal(t, 1, next.tasks(ctx, "b")[TaskBlocked])
		c.makeAllReachable()
		c.await(5*time.Second, "the attempt is found", func() bool { return next.tasks(ctx, "b")[TaskRunning] == 1 })
		require.Equal(t, 1, next.explain(ctx, "b", 0).Failures)
		c.await(15*time.Minute, "done", func() bool { return c.succeeded("b") == 1 })
	})
}

// TestBlockedTaskWithoutRetriesEndsWithTheTakeover guards against running a task more
// often than its retries allow. A task without retries fails while its shard has no
// owner, and a worker of another rack is unreachable when the new owner takes over. The
// end of the takeover must not make the blocked task ready regardless of its failure
// count.
func TestBlockedTaskWithoutRetriesEndsWithTheTakeover(t *testing.T) {
	inCell(t, 1, func(ctx context.Context, c *cell) {
		c.runTime = func(s worker.Start) (time.Duration, worker.TaskState) {
			if s.Task.Job == "b" {
				return 5 * time.Second, worker.Failed
			}
			return s.RunTime.Std(), worker.Succeeded
		}
		b := batch("b", "a", 1, 5*time.Second)
		b.Retries = 0
		c.apply(nil, batch("warm", "a", 3, time.Second))
		d := c.startDaemon(ctx, "d1")
		d.own(0)
		c.await(10*time.Second, "the partitions are in use", func() bool { return c.succeeded("warm") == 3 })
		time.Sleep(3 * time.Second)
		c.apply(nil, batch("warm", "a", 3, time.Second), b)
		c.await(3*time.Second, "the task starts", func() bool { return c.rackOf("b") != "" })
		rack := c.rackOf("b")
		d.kill()
		time.Sleep(10 * time.Second)
		for _, other := range []string{"r1", "r2", "r3"} {
			if other != rack {
				c.eachWorkerOf(other, func(w *fakeWorker) { w.unreachable = true })
			}
		}
		next := c.startDaemon(ctx, "d2")
		next.own(0)
		time.Sleep(20 * time.Second)
		require.Equal(t, 1, next.tasks(ctx, "b")[TaskBlocked])
		c.makeAllReachable()
		c.await(5*time.Second, "the task has failed", func() bool { return next.tasks(ctx, "b")[TaskFailed] == 1 })
		time.Sleep(time.Minute)
		c.mu.Lock()
		defer c.mu.Unlock()
		for id, r := range c.runs {
			if id.Job == "b" {
				require.Equal(t, 1, r.starts)
			}
		}
	})
}
