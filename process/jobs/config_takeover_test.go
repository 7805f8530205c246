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

// fallBehind gives the daemons that start from now on a configuration that
// stays as it is until the returned function is called.
func (c *cell) fallBehind() (catchUp func()) {
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

// startUnrecorded has the owner of a shard start a new job while it can write
// nothing, and kills it; the next daemon does not know the job yet.
func (c *cell) startUnrecorded(ctx context.Context, shard int, old, added spec.Job) (catchUp func()) {
	c.apply(nil, old)
	d := c.startDaemon(ctx, "d1")
	d.own(shard)
	c.await(10*time.Second, "the old job runs", func() bool { return c.runningTasks(old.Name) == old.Count })
	time.Sleep(5 * time.Second) // until its progress is written
	ahead := c.config
	catchUp = c.fallBehind()
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

// retag makes the owners of the workers take the tasks of a job for those of
// another shard, as one does that was made before it knew the job.
func (c *cell) retag(job string, shard plan.Shard) {
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

func TestListOfLaterTasksIsNotComplete(t *testing.T) {
	// Symptom: the first tasks of a new job run in two places.
	// Sequence: an owner of a shard starts the first tasks of a job that has
	// just been applied, which needs no write, and dies before its next write;
	// its successor's configuration is one version behind when the partitions
	// list what they hold.
	// Cause: a list with tasks of a later version was taken as complete.
	inCell(t, 1, func(ctx context.Context, c *cell) {
		catchUp := c.startUnrecorded(ctx, 0, batch("old", "a", 10, time.Hour), batch("new", "a", 54, time.Hour))
		c.startDaemon(ctx, "d2").own(0)
		time.Sleep(5*time.Second + 700*time.Millisecond)
		catchUp()
		time.Sleep(10 * time.Second)
		require.Equal(t, 54, c.runningTasks("new"))
	})
}

func TestTakeoverWaitsForTheLatestConfiguration(t *testing.T) {
	// Symptom: the first tasks of a new job run in two places.
	// Sequence: the daemon that owns a shard and a rack dies right after it has
	// started a job that has just been applied; the new owner of the rack does
	// not know the job and takes its tasks for those of shard 0, the new owner
	// of the shard does not know it either.
	// Cause: nobody lists the tasks to the shard that they belong to, and the
	// takeover waited only for the version in the last written progress.
	inCell(t, 1, func(ctx context.Context, c *cell) {
		c.shards = 2
		team := teamsOfShards(2)[1]
		catchUp := c.startUnrecorded(ctx, 1, batch("old", team, 10, time.Hour), batch("new", team, 20, time.Hour))
		asked := 0
		c.latest = func(context.Context) (uint64, error) {
			if asked++; asked <= 3 {
				return 0, store.ErrUnavailable
			}
			return 2, nil
		}
		c.retag("new", 0)
		d := c.startDaemon(ctx, "d2")
		d.own(1)
		time.Sleep(5*time.Second + 333*time.Millisecond)
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		require.Error(t, d.manager.shard(1).call(callCtx, func(*state) {}), "the shard is at work")
		catchUp()
		time.Sleep(10 * time.Second)
		require.Equal(t, 20, c.runningTasks("new"))
		require.Equal(t, 10, c.runningTasks("old"))
	})
}
