package partition

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/version/spec"
)

// quarantine has worker 0 fail tasks of as many jobs as it takes to be quarantined.
func (c *cell) quarantine(d *daemon) {
	c.t.Helper()
	c.rack.SetFailAll(workerID(0), true)
	for i := range quarantineAfterJobs {
		s := step(100+i, workerID(0))
		s.Start.Task.Job, s.Start.RunTime = fmt.Sprint("failing-", i), spec.Duration(time.Second)
		require.Equal(c.t, plan.Accepted, c.author.commit(d, s)[0].Outcome)
		time.Sleep(4 * time.Second)
	}
	require.Contains(c.t, c.workerState(d, workerID(0)).Unusable, "set aside")
	c.rack.SetFailAll(workerID(0), false)
}

// TestEndOfAQuarantineIsTold guards against a worker that is never used again because those who
// follow the state by its changes are not told that its quarantine is over.
func TestEndOfAQuarantineIsTold(t *testing.T) {
	inBubble(t, 1, 2, large, func(c *cell) {
		d := c.ready()
		c.quarantine(d)
		time.Sleep(time.Second)
		known := c.state(d)
		require.Contains(t, known.Workers[0].Unusable, "set aside")
		told := false
		for began := time.Now(); !told && time.Since(began) < minQuarantine+5*time.Second; time.Sleep(time.Second) {
			var s plan.State
			if err := c.author.call(d, plan.MethodState, plan.StateRequest{Partition: testPartition, Epoch: known.Epoch, Since: known.Seq}, &s); err != nil {
				continue // nothing changed while the call waited
			}
			for _, w := range s.Workers {
				told = told || w.Unusable == ""
			}
			known.Seq = max(known.Seq, s.Seq)
		}
		require.True(t, told)
	})
}

// TestTasksFromBeforeAQuarantineAreNoProbes guards against a worker that is never used again
// because a service that it has run since before its quarantine counts as the one probe.
func TestTasksFromBeforeAQuarantineAreNoProbes(t *testing.T) {
	inBubble(t, 1, 2, large, func(c *cell) {
		d := c.ready()
		c.author.mustStart(d, service(1, workerID(0)))
		c.quarantine(d)
		time.Sleep(minQuarantine)
		first, second := step(20, workerID(0)), step(21, workerID(0))
		first.Start.RunTime = spec.Duration(time.Second)
		require.Equal(t, plan.Accepted, c.author.commit(d, first)[0].Outcome)
		require.Equal(t, plan.NoWorker, c.author.commit(d, second)[0].Outcome, "one probe at a time")
		time.Sleep(4 * time.Second)
		c.author.mustStart(d, second)
	})
}

// TestTasksThatLastProveTheirWorker guards against a worker that runs one task for good because
// it is a service, or a batch task of hours, which do not succeed soon enough to end a probation.
func TestTasksThatLastProveTheirWorker(t *testing.T) {
	for name, probe := range map[string]plan.Step{"service": service(20, workerID(0)), "long batch task": step(20, workerID(0))} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 1, 2, large, func(c *cell) {
				d := c.ready()
				c.quarantine(d)
				time.Sleep(minQuarantine)
				c.author.mustStart(d, probe)
				require.Equal(t, plan.NoWorker, c.author.commit(d, step(21, workerID(0)))[0].Outcome, "one probe at a time")
				time.Sleep(minQuarantine + time.Second)
				c.author.mustStart(d, step(21, workerID(0)), step(22, workerID(0)))
			})
		})
	}
}

// TestGangIsOneProbe guards against a gang that never starts on a worker on probation because its
// second task there is refused while the first one runs as the probe.
func TestGangIsOneProbe(t *testing.T) {
	inBubble(t, 1, 2, large, func(c *cell) {
		d := c.ready()
		c.quarantine(d)
		time.Sleep(minQuarantine)
		gang := []plan.Step{step(1, workerID(0)), step(2, workerID(0))}
		var r plan.Result
		c.author.seq++
		require.NoError(t, c.author.call(d, plan.MethodReserve, plan.Reserve{Partition: testPartition, Author: c.author.authorship(),
			Seq: c.author.seq, Reservation: "a", Steps: gang, TTLMillis: 3000}, &r))
		require.Equal(t, plan.Accepted, r.Steps[0].Outcome)
		for i := range gang {
			var r plan.Result
			c.author.seq++
			require.NoError(t, c.author.call(d, plan.MethodCommit, plan.Plan{Partition: testPartition, Author: c.author.authorship(),
				Seq: c.author.seq, Reservation: "a", Steps: gang[i : i+1]}, &r))
			require.Equal(t, plan.Accepted, r.Steps[0].Outcome, r.Steps[0].Reason)
		}
		require.Equal(t, plan.NoWorker, c.author.commit(d, step(3, workerID(0)))[0].Outcome, "one probe at a time")
	})
}
