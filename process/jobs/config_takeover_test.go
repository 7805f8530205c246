package jobs

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/standin/kv"
	"fennelshunt.example/fennelshunt/version/spec"
)

// delayConfig gives the daemons that start from now on a configuration that does
// not change until the returned function is called.
func (c *cell) delayConfig() (catchUp func()) {
	ahead := c.config
	behind := &fakeConfig{current: ahead.Current(), changed: make(chan struct{})}
	c.config = behind
	return func() {
		behind.mu.Lock()
		defer behind.mu.Unlock()
		behind.current = ahead.Current()
		close(behind.changed)
		behind.changed = make(chan struct{})
	}
}

// startWithoutWrite makes the owner of a shard start a new job while it cannot
// write, and kills it. The next daemon does not have the job's configuration until
// catchUp is called.
func (c *cell) startWithoutWrite(ctx context.Context, shard int, old, added spec.Job) (catchUp func()) {
	c.apply(nil, old)
	d := c.startDaemon(ctx, "d1")
	d.own(shard)
	c.await(10*time.Second, "the old job runs", func() bool { return c.runningTasks(old.Name) == old.Count })
	time.Sleep(5 * time.Second) // until its progress is written
	ahead := c.config
	catchUp = c.delayConfig()
	behind := c.config
	c.config = ahead
	c.store.SetFaults(kv.Faults{Down: true})
	c.apply(nil, old, added)
	c.await(10*time.Second, "the new job runs", func() bool { return c.runningTasks(added.Name) == added.Count })
	d.kill()
	c.store.SetFaults(kv.Faults{})
	c.config = behind
	return catchUp
}

// reassignTasks makes the partition owners assign the tasks of a job to another
// shard, like an owner that does not have the job's configuration yet.
func (c *cell) reassignTasks(job string, shard plan.Shard) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.workers {
		for ref, task := range w.tasks {
			if ref.Task.Job == job {
				task.shard = shard
			}
		}
	}
}

// TestListOfLaterTasksIsNotComplete guards against running the first tasks of a new job
// twice. An owner starts tasks of a job that was just applied, which needs no write,
// and crashes before its next write. The configuration of its successor is one version
// behind when the partitions list their tasks, so a list with tasks of a later version
// must not count as complete.
func TestListOfLaterTasksIsNotComplete(t *testing.T) {
	inCell(t, 1, func(ctx context.Context, c *cell) {
		catchUp := c.startWithoutWrite(ctx, 0, batch("old", "a", 10, time.Hour), batch("new", "a", 54, time.Hour))
		c.startDaemon(ctx, "d2").own(0)
		time.Sleep(5*time.Second + 700*time.Millisecond)
		catchUp()
		time.Sleep(10 * time.Second)
		require.Equal(t, 54, c.runningTasks("new"))
	})
}

// TestTakeoverWaitsForTheLatestConfiguration guards against running the first tasks of
// a new job twice. The daemon that owns a shard and a rack crashes right after it has
// started a job that was just applied. Neither the new owner of the rack, which assigns
// the tasks to shard 0, nor the new owner of the shard has the job. No partition then
// lists the tasks to their shard, so waiting only for the configuration version in the
// last written progress is not enough.
func TestTakeoverWaitsForTheLatestConfiguration(t *testing.T) {
	inCell(t, 1, func(ctx context.Context, c *cell) {
		c.shards = 2
		team := teamsOfShards(2)[1]
		catchUp := c.startWithoutWrite(ctx, 1, batch("old", team, 10, time.Hour), batch("new", team, 20, time.Hour))
		asked := 0
		c.latest = func(context.Context) (uint64, error) {
			if asked++; asked <= 3 {
				return 0, store.ErrUnavailable
			}
			return 2, nil
		}
		c.reassignTasks("new", 0)
		d := c.startDaemon(ctx, "d2")
		d.own(1)
		time.Sleep(5*time.Second + 333*time.Millisecond)
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		require.Error(t, d.manager.shard(1).call(callCtx, func(*state) {}), "the shard runs with an outdated configuration")
		catchUp()
		time.Sleep(10 * time.Second)
		require.Equal(t, 20, c.runningTasks("new"))
		require.Equal(t, 10, c.runningTasks("old"))
	})
}
