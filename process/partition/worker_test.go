package partition

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/partition/agenttest"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/version/spec"
)

// state reads the partition's full state.
func (c *cell) state(d *daemon) plan.State {
	c.t.Helper()
	var s plan.State
	require.NoError(c.t, c.author.call(d, plan.MethodState, plan.StateRequest{Partition: testPartition}, &s))
	return s
}

func (c *cell) workerState(d *daemon, id worker.ID) plan.WorkerState {
	s := c.state(d)
	i := slices.IndexFunc(s.Workers, func(w plan.WorkerState) bool { return w.ID == id })
	require.GreaterOrEqual(c.t, i, 0)
	return s.Workers[i]
}

func service(i int, id worker.ID) plan.Step {
	s := step(i, id)
	s.Start.Kind, s.Start.Service, s.Class = spec.Service, "survey", spec.High
	s.Start.Slots, s.Start.Conns = 8, 64
	return s
}

func TestStartWithLostAnswerIsSettled(t *testing.T) {
	// Guards against a task that is started again although it runs, or that never
	// ends: the reply to a start is lost, whether or not the start took effect,
	// and the unknown outcome was treated as a refusal or as a success.
	for name, faults := range map[string]agenttest.Faults{
		"took effect": {LoseAnswers: 1}, "never arrived": {LoseCalls: 1},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 1, 1, large, func(c *cell) {
				d := c.ready()
				c.rack.SetFaults(faults)
				require.Equal(t, plan.Accepted, c.author.commit(d, step(1, workerID(0)))[0].Outcome)
				time.Sleep(200 * time.Millisecond)
				c.rack.SetFaults(agenttest.Faults{})
				ran := faults.LoseAnswers > 0
				c.eventually(time.Minute, "event", func() bool {
					return c.author.received(func(e plan.Event) bool {
						return e.Task == taskID(1) && e.Lost == !ran && (e.State == worker.Running) == ran
					})
				})
				require.EqualValues(t, 1, d.metrics.Unknown.Value())
			})
		})
	}
}

func TestWorkerThatRestartedLosesItsTasks(t *testing.T) {
	// Guards against a task that counts as running for ever: a worker reboots and
	// loses its leases and tasks, and the owner did not compare its records with
	// the new inventory.
	inBubble(t, 1, 1, large, func(c *cell) {
		d := c.ready()
		c.author.mustStart(d, step(1, workerID(0)))
		c.rack.Restart(workerID(0))
		c.eventually(10*time.Second, "lost", func() bool {
			return c.author.received(func(e plan.Event) bool { return e.Lost && e.Task == taskID(1) })
		})
		require.True(t, c.workerState(d, workerID(0)).Reserved.IsZero())
		c.author.mustStart(d, step(2, workerID(0)))
	})
}

func TestTasksOfARemovedWorkerAreLostAfterTheirLease(t *testing.T) {
	// Guards against a task that runs twice, or is never started again, after a
	// worker is cut off and its VM leaves the VM list. The list is only a hint:
	// the VM may still run its tasks until their lease has expired.
	inBubble(t, 1, 2, large, func(c *cell) {
		d := c.ready()
		c.author.mustStart(d, step(1, workerID(0)))
		c.rack.SetDown(workerID(0), true)
		c.eventually(10*time.Second, "unusable", func() bool { return c.workerState(d, workerID(0)).Unusable != "" })
		c.vms.remove(string(workerID(0)))
		waited := c.eventually(5*time.Minute, "lost", func() bool {
			return c.author.received(func(e plan.Event) bool { return e.Lost && e.Task == taskID(1) })
		})
		require.Greater(t, waited, DefaultTaskTTL)
		require.Empty(t, c.rack.Running(workerID(0)))
	})
}

func TestLeavingVMDrains(t *testing.T) {
	// Guards against requests that are cut off when an agent reports that its VM
	// is leaving, because the instance was stopped while it still received
	// requests.
	inBubble(t, 1, 2, large, func(c *cell) {
		d := c.ready()
		c.author.mustStart(d, service(1, workerID(0)), step(2, workerID(0)))
		c.eventually(5*time.Second, "endpoint", func() bool { return len(c.state(d).Endpoints) == 1 })
		c.rack.SetDraining(workerID(0))
		marked := c.eventually(3*time.Second, "leaving", func() bool { return c.state(d).Endpoints[0].Leaving })
		require.Less(t, marked, 3*time.Second)
		require.Contains(t, c.rack.Running(workerID(0)), taskID(1))
		c.eventually(5*time.Second, "batch saved", func() bool {
			return c.author.received(func(e plan.Event) bool { return e.Task == taskID(2) && e.Checkpointed })
		})
		stopped := c.eventually(20*time.Second, "stopped", func() bool { return len(c.rack.Running(workerID(0))) == 0 })
		require.Greater(t, stopped, 5*time.Second)
		require.Equal(t, plan.NoWorker, c.author.commit(d, step(3, workerID(0)))[0].Outcome)
	})
}

func TestStopOfAServiceInstanceDrainsFirst(t *testing.T) {
	// Guards against requests that are cut off by a rolling replacement: the shard
	// stops an instance with a drain, and the stop was sent while the endpoint was
	// still published as available.
	inBubble(t, 1, 1, large, func(c *cell) {
		d := c.ready()
		c.author.mustStart(d, service(1, workerID(0)))
		require.NoError(t, c.author.call(d, plan.MethodStop, plan.Stop{
			Partition: testPartition, Author: c.author.authorship(), Tasks: []worker.Ref{ref(1)}, Mode: plan.StopNow, DrainMillis: 5000,
		}, nil))
		c.eventually(time.Second, "leaving at once", func() bool {
			s := c.state(d)
			return len(s.Endpoints) == 1 && s.Endpoints[0].Leaving
		})
		time.Sleep(3 * time.Second)
		require.Len(t, c.rack.Running(workerID(0)), 1)
		c.eventually(5*time.Second, "stopped", func() bool { return len(c.rack.Running(workerID(0))) == 0 })
	})
}

func TestPreemptionWaitsForConfirmedStop(t *testing.T) {
	// Guards against exceeding a VM's capacity: an urgent task preempts running
	// ones, and their capacity was reused before they had stopped.
	inBubble(t, 1, 1, large, func(c *cell) {
		d := c.ready()
		for i := range 4 {
			c.author.mustStart(d, step(i, workerID(0)))
		}
		urgent := step(9, workerID(0))
		urgent.Class, urgent.Start.Size, urgent.Victims = spec.Urgent, small.Times(2), []worker.Ref{ref(0), ref(1)}
		began := time.Now()
		c.author.mustStart(d, urgent)
		require.Less(t, time.Since(began), 3*time.Second)
		c.eventually(5*time.Second, "victims reported", func() bool {
			return c.author.received(func(e plan.Event) bool { return e.Task == taskID(0) && e.Preempted && e.Checkpointed })
		})
		same := step(10, workerID(0))
		same.Victims = []worker.Ref{ref(2)}
		require.Equal(t, plan.NoCapacity, c.author.commit(d, same)[0].Outcome, "equal class")
	})
}

func TestWorkerIsQuarantinedOnFailuresOfDifferentJobs(t *testing.T) {
	// Guards against a faulty VM that fails all tasks started on it, and against a
	// faulty job that has every VM quarantined: a worker fails tasks of three
	// jobs, and a job fails on every worker. Failures were counted without
	// telling the two cases apart.
	inBubble(t, 1, 4, large, func(c *cell) {
		d := c.ready()
		run := func(job string, i int, id worker.ID) {
			s := step(i, id)
			s.Start.Task.Job, s.Start.RunTime = job, spec.Duration(time.Second)
			require.Equal(t, plan.Accepted, c.author.commit(d, s)[0].Outcome)
			time.Sleep(4 * time.Second)
		}
		c.rack.SetFailJob("broken")
		for i := range 12 {
			run("broken", i, workerID(i%4))
		}
		require.Zero(t, d.metrics.SetAside.Value())
		c.rack.SetFailAll(workerID(0), true)
		for i := range 3 {
			run(fmt.Sprintf("job-%d", i), i, workerID(0))
		}
		require.Contains(t, c.workerState(d, workerID(0)).Unusable, "set aside")
		c.rack.SetFailAll(workerID(0), false)
		c.eventually(time.Minute, "probe", func() bool { return c.workerState(d, workerID(0)).Unusable == "" })
		first, second := step(20, workerID(0)), step(21, workerID(0))
		first.Start.RunTime = spec.Duration(time.Second)
		require.Equal(t, plan.Accepted, c.author.commit(d, first)[0].Outcome)
		require.Equal(t, plan.NoWorker, c.author.commit(d, second)[0].Outcome, "one probe at a time")
		time.Sleep(4 * time.Second)
		c.author.mustStart(d, second)
	})
}

func TestRealUsageBeyondTheCapacity(t *testing.T) {
	// Guards against overloading a VM: tasks use more CPU, then more memory, than
	// declared, and only declared sizes were counted.
	inBubble(t, 1, 1, large, func(c *cell) {
		d := c.ready()
		low := step(1, workerID(0))
		low.Class = spec.Low
		c.author.mustStart(d, low, step(2, workerID(0)))
		c.rack.SetUsage(workerID(0), taskID(1), spec.Resources{MilliCPU: 5000, MemoryMB: 900})
		c.eventually(10*time.Second, "throttled", func() bool { return c.rack.Throttled(workerID(0), taskID(1)) })
		require.Len(t, c.rack.Running(workerID(0)), 2, "throttling comes before stopping")
		c.rack.SetUsage(workerID(0), taskID(1), spec.Resources{MilliCPU: 1000, MemoryMB: 3800})
		c.rack.SetUsage(workerID(0), taskID(2), spec.Resources{MilliCPU: 1000, MemoryMB: 1200})
		c.eventually(20*time.Second, "lowest class moved away", func() bool {
			return slices.Equal(c.rack.Running(workerID(0)), []spec.TaskID{taskID(2)})
		})
		c.eventually(5*time.Second, "reported", func() bool {
			return c.author.received(func(e plan.Event) bool { return e.Task == taskID(1) && e.Checkpointed })
		})
	})
}

func TestGangReservation(t *testing.T) {
	inBubble(t, 1, 2, large, func(c *cell) {
		d := c.ready()
		big := func(i int, id worker.ID) plan.Step {
			s := step(i, id)
			s.Start.Size = small.Times(3)
			return s
		}
		reserve := func(id string, steps ...plan.Step) plan.Result {
			var r plan.Result
			c.author.seq++
			require.NoError(t, c.author.call(d, plan.MethodReserve, plan.Reserve{
				Partition: testPartition, Author: c.author.authorship(), Seq: c.author.seq, Reservation: id, Steps: steps, TTLMillis: 3000,
			}, &r))
			return r
		}
		first := reserve("a", big(1, workerID(0)), big(2, workerID(1)))
		require.Equal(t, plan.Accepted, first.Steps[0].Outcome)
		second := reserve("b", step(3, workerID(0)), big(4, workerID(1)))
		require.Equal(t, plan.NoCapacity, second.Steps[0].Outcome, "all or nothing")
		require.Equal(t, small.Times(3), c.workerState(d, workerID(0)).Reserved)
		c.author.seq++
		var r plan.Result
		require.NoError(t, c.author.call(d, plan.MethodCommit, plan.Plan{
			Partition: testPartition, Author: c.author.authorship(), Seq: c.author.seq, Reservation: "a", Steps: []plan.Step{big(1, workerID(0))},
		}, &r))
		require.Equal(t, plan.Accepted, r.Steps[0].Outcome)
		time.Sleep(4 * time.Second) // the rest expires
		require.True(t, c.workerState(d, workerID(1)).Reserved.IsZero())
		require.Equal(t, small.Times(3), c.workerState(d, workerID(0)).Reserved)
	})
}

func TestPlannedReleaseKeepsTasksRunning(t *testing.T) {
	// Guards against tasks that end or run twice when a daemon is upgraded: the
	// owner leaves while tasks run and plans arrive, and the claim was released
	// while starts were in flight.
	inBubble(t, 2, 2, large, func(c *cell) {
		old := c.ready()
		c.author.mustStart(old, step(1, workerID(0)), service(2, workerID(1)))
		began := time.Now()
		require.NoError(t, old.manager.Leave(c.ctx))
		d := c.ready()
		require.NotEqual(t, old, d)
		require.Less(t, time.Since(began), 5*time.Second)
		reply, err := c.author.fence(d)
		require.NoError(t, err)
		require.Len(t, reply.Tasks, 2)
		time.Sleep(2 * DefaultTaskTTL)
		require.Len(t, c.rack.Running(workerID(0)), 1)
	})
}
