package jobs

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/version/spec"
)

func (d *daemon) explain(ctx context.Context, job string, index int) Explanation {
	e, err := d.manager.Explain(ctx, spec.TaskID{Job: job, Index: index})
	require.NoError(d.c.t, err)
	return e
}

func (d *daemon) tasks(ctx context.Context, job string) map[TaskState]int {
	status, err := d.manager.Status(ctx, d.manager.ShardOf(d.c.config.Current().Jobs[job].Team))
	require.NoError(d.c.t, err)
	for _, j := range status.Jobs {
		if j.Job == job && !j.Cancelled {
			return j.Tasks
		}
	}
	return nil
}

// TestUnreachableWorkerHoldsBackOnlyWhatMayRunThere guards against two faults after the
// crash of the owner of a shard and a rack while one worker of the rack is unreachable:
// starting nothing until that worker answers, and running a task twice. A new owner
// must distinguish the tasks that were never started.
func TestUnreachableWorkerHoldsBackOnlyWhatMayRunThere(t *testing.T) {
	inCell(t, 1, func(ctx context.Context, c *cell) {
		c.tuning.StartAhead = 128
		c.apply(nil, batch("b", "a", 2000, 4*time.Second))
		d := c.startDaemon(ctx, "d1")
		d.own(0)
		c.await(20*time.Second, "tasks run", func() bool { return c.succeeded("b") > 200 })
		d.kill()
		c.addRack(ctx, "r4", "z-r4", 4, core.Times(8))
		c.setUnreachable("r2-w1", true)
		c.startPartition(ctx, "r2")
		next := c.startDaemon(ctx, "d2")
		before, at := c.startedTasks(), time.Now()
		next.own(0)
		c.await(5*time.Second, "new tasks start", func() bool { return c.startedTasks() > before })
		t.Logf("first new start %v after the claim", time.Since(at))
		require.Positive(t, next.tasks(ctx, "b")[TaskBlocked])
		c.setUnreachable("r2-w1", false)
		c.await(time.Minute, "no task is blocked", func() bool { return next.tasks(ctx, "b")[TaskBlocked] == 0 })
		c.await(5*time.Minute, "all done", func() bool { return c.succeeded("b") == 2000 })
	})
}

// TestNonIdempotentTaskWithLostWorkerIsNotStartedAgain guards against running a
// non-idempotent task twice, for example issuing a certificate twice. A worker fails
// with such a task and then the shard's owner crashes; a task of unknown outcome must
// not be treated as one that never ran.
func TestNonIdempotentTaskWithLostWorkerIsNotStartedAgain(t *testing.T) {
	inCell(t, 1, func(ctx context.Context, c *cell) {
		j := batch("cert", "a", 96, 20*time.Second)
		j.NonIdempotent = true
		c.apply(nil, j)
		d := c.startDaemon(ctx, "d1")
		d.own(0)
		c.await(10*time.Second, "tasks run", func() bool { return c.runningTasks("cert") == 96 })
		c.killWorker("r1-w0")
		c.await(5*time.Second, "the loss is recorded", func() bool { return d.tasks(ctx, "cert")[TaskUnknown] == 8 })
		d.kill()
		next := c.startDaemon(ctx, "d2")
		next.own(0)
		c.await(time.Minute, "the others are done", func() bool { return next.tasks(ctx, "cert")[TaskDone] == 88 })
		require.Equal(t, 8, next.tasks(ctx, "cert")[TaskUnknown])
	})
}

// TestCancelWaveDoesNotDelayUrgentStarts guards against urgent work waiting behind many
// cancellations. A version cancels 50,000 tasks and adds an urgent job; a cancellation
// must not visit each waiting task.
func TestCancelWaveDoesNotDelayUrgentStarts(t *testing.T) {
	inCell(t, 1, func(ctx context.Context, c *cell) {
		c.apply(nil, batch("wave", "a", 50_000, time.Hour))
		d := c.startDaemon(ctx, "d1")
		d.own(0)
		c.await(10*time.Second, "the cell is full", func() bool { return c.runningTasks("wave") == 96 })
		urgent := batch("urgent", "b", 10, time.Second)
		urgent.Class = spec.Urgent
		at := time.Now()
		c.apply(nil, urgent)
		c.await(3*time.Second, "urgent tasks run", func() bool { return c.runningTasks("urgent")+c.succeeded("urgent") == 10 })
		t.Logf("urgent tasks run %v after the apply", time.Since(at))
		c.await(5*time.Second, "all stopped", func() bool { return c.runningTasks("wave") == 0 })
	})
}

// TestLossOfARackBringsServicesBackFirst guards against flooding the partition owners
// after the loss of a rack of a full cell, which delays the restart of services. The
// lost tasks must not all start again at once in arbitrary order.
func TestLossOfARackBringsServicesBackFirst(t *testing.T) {
	inCell(t, 1, func(ctx context.Context, c *cell) {
		desk := spec.Job{Name: "desk", Team: "a", Kind: spec.Service, Count: 12, Size: core,
			Service: &spec.ServiceSettings{Slots: 8, Connections: 64}}
		c.apply(nil, desk, batch("b", "b", 84, 30*time.Second))
		d := c.startDaemon(ctx, "d1")
		d.own(0)
		c.await(10*time.Second, "the cell is full", func() bool {
			return c.runningTasks("desk") == 12 && c.runningTasks("b") == 84
		})
		before := c.metrics.Plans.Value()
		for i := range 4 {
			c.killWorker(worker.ID(fmt.Sprintf("r1-w%d", i)))
		}
		c.await(time.Second, "all instances run", func() bool { return c.runningTasks("desk") == 12 })
		c.await(2*time.Minute, "batch work done", func() bool { return c.succeeded("b") == 84 })
		require.Less(t, c.metrics.Plans.Value()-before, int64(200))
	})
}

// TestJobThatFailsEverywhereStopsAtItsOwnCap guards against a job that takes starts
// from all others because all its tasks fail at once on every worker. Retries need a
// limit and a delay.
func TestJobThatFailsEverywhereStopsAtItsOwnCap(t *testing.T) {
	inCell(t, 1, func(ctx context.Context, c *cell) {
		c.runTime = func(s worker.Start) (time.Duration, worker.TaskState) {
			if s.Task.Job == "bad" {
				return 10 * time.Millisecond, worker.Failed
			}
			return s.RunTime.Std(), worker.Succeeded
		}
		c.apply(nil, batch("bad", "a", 100, time.Second), batch("good", "a", 200, time.Second))
		d := c.startDaemon(ctx, "d1")
		d.own(0)
		c.await(10*time.Second, "the good job is done", func() bool { return c.succeeded("good") == 200 })
		c.await(10*time.Minute, "the bad job has ended", func() bool { return d.tasks(ctx, "bad")[TaskFailed] == 100 })
		for id, r := range c.runs {
			if id.Job == "bad" {
				require.Equal(t, 4, r.starts)
			}
		}
		require.Equal(t, "retries used up", d.explain(ctx, "bad", 0).Reason)
	})
}

// TestInfeasibleJobIsReportedAtOnce guards against an infeasible job that waits without a
// reason and blocks the jobs behind it. The first job of a team asks for more than any
// VM has; the queue must not wait for its head.
func TestInfeasibleJobIsReportedAtOnce(t *testing.T) {
	inCell(t, 1, func(ctx context.Context, c *cell) {
		huge := batch("huge", "a", 3, time.Second)
		huge.Size = core.Times(9)
		overQuota := batch("quota", "q", 3, time.Second)
		overQuota.Size = core.Times(4)
		teams := []spec.Team{{Name: "q", Quota: core.Times(3)}}
		c.apply(teams, huge, overQuota, batch("b", "a", 10, time.Second), batch("bq", "q", 10, time.Second))
		d := c.startDaemon(ctx, "d1")
		d.own(0)
		c.await(20*time.Second, "the others are done", func() bool { return c.succeeded("b") == 10 && c.succeeded("bq") == 10 })
		for _, job := range []string{"huge", "quota"} {
			e := d.explain(ctx, job, 0)
			require.True(t, e.Infeasible, job)
			require.NotEmpty(t, e.Reason)
		}
		teams[0].Quota = core.Times(8)
		c.apply(teams, overQuota)
		c.await(10*time.Second, "runs after the quota was raised", func() bool { return c.succeeded("quota") == 3 })
	})
}

// teamsOfShards returns the name of one team for each shard.
func teamsOfShards(n int) []string {
	teams := make([]string, n)
	for i := 0; ; i++ {
		name := fmt.Sprintf("team%d", i)
		if at := ShardOfTeam(name, n); teams[at] == "" {
			teams[at] = name
		}
		missing := false
		for _, team := range teams {
			missing = missing || team == ""
		}
		if !missing {
			return teams
		}
	}
}

// TestTeamsOfDifferentShardsShareByWeight guards against a team that holds the whole
// cell because its shard was first. Two teams of shards on two daemons have more work
// than fits; shards must take the teams of other shards into account.
func TestTeamsOfDifferentShardsShareByWeight(t *testing.T) {
	inCell(t, 1, func(ctx context.Context, c *cell) {
		c.shards = 2
		names := teamsOfShards(2)
		teams := []spec.Team{{Name: names[0], Weight: 1}, {Name: names[1], Weight: 2}}
		c.apply(teams, batch("early", names[0], 5000, 2*time.Second))
		first, second := c.startDaemon(ctx, "d1"), c.startDaemon(ctx, "d2")
		first.own(0)
		second.own(1)
		c.await(10*time.Second, "the cell is full", func() bool { return c.runningTasks("early") == 96 })
		c.apply(teams, batch("early", names[0], 5000, 2*time.Second), batch("late", names[1], 5000, 2*time.Second))
		time.Sleep(20 * time.Second)
		sum, samples := 0, 20
		for range samples {
			time.Sleep(500 * time.Millisecond)
			sum += c.runningTasks("late")
		}
		mean := float64(sum) / float64(samples)
		t.Logf("the team with two thirds of the weight runs %.0f of 96 tasks", mean)
		require.InDelta(t, 64, mean, 10)
	})
}

// TestGangStartsBesideEndlessSmallWork guards against a gang that waits for ever
// because small tasks take all capacity as it is freed. Capacity must be kept for the
// gang, without stopping all small tasks while it waits.
func TestGangStartsBesideEndlessSmallWork(t *testing.T) {
	inCell(t, 1, func(ctx context.Context, c *cell) {
		gang := batch("gang", "b", 60, 5*time.Second)
		gang.Kind = spec.Gang
		c.apply(nil, batch("small", "a", 20_000, 2*time.Second))
		c.startDaemon(ctx, "d1").own(0)
		c.await(10*time.Second, "the cell is full", func() bool { return c.runningTasks("small") == 96 })
		at, done := time.Now(), c.succeeded("small")
		c.apply(nil, batch("small", "a", 20_000, 2*time.Second), gang)
		c.await(time.Minute, "the gang runs", func() bool { return c.runningTasks("gang") == 60 })
		waited := time.Since(at)
		t.Logf("the gang waited %v, %d small tasks ended meanwhile", waited, c.succeeded("small")-done)
		require.Less(t, waited, 30*time.Second)
		c.await(time.Minute, "small tasks continue", func() bool { return c.succeeded("small") > done+200 })
	})
}

// TestTwoGangsOfTwoShardsBothFinish guards against a deadlock of two gangs on two
// daemons, each larger than half of the cell, that both hold some reservations and wait
// for the rest.
func TestTwoGangsOfTwoShardsBothFinish(t *testing.T) {
	inCell(t, 1, func(ctx context.Context, c *cell) {
		c.shards = 2
		names := teamsOfShards(2)
		one, two := batch("one", names[0], 70, 3*time.Second), batch("two", names[1], 70, 3*time.Second)
		one.Kind, two.Kind = spec.Gang, spec.Gang
		first, second := c.startDaemon(ctx, "d1"), c.startDaemon(ctx, "d2")
		first.own(0)
		second.own(1)
		time.Sleep(time.Second)
		c.apply(nil, one, two)
		c.await(time.Minute, "both gangs done", func() bool { return c.succeeded("one") == 70 && c.succeeded("two") == 70 })
	})
}

// TestRollingReplacementKeepsInstancesUp guards against a changed service with too few
// or too many instances, also when its owner crashes during the replacement. Old
// instances must not be stopped before new ones run.
func TestRollingReplacementKeepsInstancesUp(t *testing.T) {
	inCell(t, 1, func(ctx context.Context, c *cell) {
		desk := spec.Job{Name: "desk", Team: "a", Kind: spec.Service, Count: 10, Size: core,
			Service: &spec.ServiceSettings{Slots: 8, Connections: 64, MaxUnavailable: 2}}
		c.apply(nil, desk)
		d := c.startDaemon(ctx, "d1")
		d.own(0)
		c.await(10*time.Second, "all instances run", func() bool { return c.runningTasks("desk") == 10 })
		desk.Parameters = map[string]string{"image": "2"}
		c.apply(nil, desk)
		generation := c.config.Current().Version
		swapped := func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			total, fresh := 0, 0
			for id, r := range c.runs {
				total += r.running
				if id.Generation == generation {
					fresh += r.running
				}
			}
			if total < 8 || total > 10 {
				c.problemLocked("%d instances run", total)
			}
			return fresh == 10
		}
		killed := false
		c.await(time.Minute, "all replaced", func() bool {
			if !killed && c.startedOf(generation) {
				killed = true
				d.kill()
				c.startDaemon(ctx, "d2").own(0)
			}
			return swapped()
		})
	})
}

// TestDelayedReportDoesNotMakeATaskLive guards against a task that counts as running
// for ever after its end. The report of its start is delayed over a takeover and
// arrives after the report of its end; it must not make the task live.
func TestDelayedReportDoesNotMakeATaskLive(t *testing.T) {
	inCell(t, 1, func(ctx context.Context, c *cell) {
		c.apply(nil, batch("b", "a", 1, time.Second))
		d := c.startDaemon(ctx, "d1")
		d.own(0)
		c.await(10*time.Second, "done", func() bool { return d.tasks(ctx, "b")[TaskDone] == 1 })
		late := plan.Events{Partition: "r1", Epoch: 1, Events: []plan.Event{
			{Task: spec.TaskID{Job: "b", Generation: 1}, Attempt: 1, Worker: "r1-w0", State: worker.Running},
		}}
		s := d.manager.shard(0)
		require.NoError(t, s.call(ctx, func(st *state) {
			require.True(t, st.applyEvents(&late))
			require.Empty(t, st.surplus)
		}))
	})
}
