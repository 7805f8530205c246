package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/standin/epochworker"
	"fennelshunt.example/fennelshunt/version/work"
)

// Jobs of random forms in a cell that is otherwise idle.
const (
	// idleStart is within which time a job starts that the workers could run twice over: by the
	// rule LOST nothing of it may wait for 3 s.
	idleStart = 3 * time.Second
	idleTask  = 100 * time.Millisecond // how long a task takes
)

// idleQueues are the costs of advice on the queues of an idle cell; nil for none.
var idleQueues = []*work.Advice{
	nil,
	{Base: 7400 * time.Microsecond, PerWorker: 110 * time.Microsecond, Valid: 2 * time.Second},
	{Base: 53 * time.Millisecond, PerWorker: 750 * time.Microsecond, Valid: 2 * time.Second},
	{Base: 410 * time.Millisecond, PerWorker: 5900 * time.Microsecond, Valid: 2 * time.Second},
}

// idleCell is a cell of 48 workers in racks of eight, with two labels.
func idleCell(t *testing.T, seed uint64) *cell {
	return idleCellOf(t, seed, func(work.JobID) time.Duration { return idleTask })
}

// idleCellOf is idleCell with the run times of each job's tasks.
func idleCellOf(t *testing.T, seed uint64, takes func(work.JobID) time.Duration) *cell {
	c := newTestCell(t, seed, 0, 3, func(_ *rand.Rand, task work.TaskID) epochworker.Behaviour {
		return epochworker.Behaviour{Takes: takes(task.Job)}
	})
	for i := range 48 {
		id := fmt.Sprintf("w-%02d", i)
		c.addKind(runner.WorkerID(id), id, []string{"a", "b"}[i%2], fmt.Sprint("r", i/8))
	}
	time.Sleep(5 * time.Second)
	return c
}

// drawIdleJob draws a job of one step that the workers could run twice over if they were empty, and the
// share of the workers that its advice allows.
func (c *cell) drawIdleJob(rng *rand.Rand) *work.Job {
	for {
		j := &work.Job{Queue: work.Queue{Name: "q", Service: "s", Attempts: 4, Slack: 2, Allowance: time.Second, Advice: idleQueues[rng.IntN(len(idleQueues))]}, Spec: "x"}
		if j.Queue.Advice != nil {
			j.Queue.Name = j.Queue.Advice.Base.String()
		}
		s := work.Step{Count: 1 + rng.IntN(24), Size: work.Resources{CPU: 500 + rng.IntN(30000), Memory: 100}, Estimate: 3 * idleTask}
		s.Gang = rng.IntN(2) == 0
		s.SameRack = s.Gang && rng.IntN(3) > 0
		if rng.IntN(3) == 0 {
			s.MaxPerWorker = 1 + rng.IntN(2)
		}
		if rng.IntN(4) == 0 {
			s.Labels = []string{[]string{"a", "b"}[rng.IntN(2)]}
		}
		j.Steps = []work.Step{s}
		c.advice.setShare(0.3 + 0.6*rng.Float64())
		if j.Queue.Advice != nil {
			c.advice.setCost(work.TaskID{Job: c.nextID()}.StepName(), *j.Queue.Advice)
		}
		if c.slotsFor(c.nextID(), j) >= 2*s.Count {
			return j
		}
	}
}

// slotsFor returns how many tasks of a job's step the workers could run if they were empty.
func (c *cell) slotsFor(id work.JobID, j *work.Job) (slots int) {
	s := &j.Steps[0]
	limit := s.Count
	if s.MaxPerWorker > 0 {
		limit = s.MaxPerWorker
	}
	workers, _, err := c.fleet.List(context.Background())
	require.NoError(c.t, err)
	for _, w := range workers {
		x := &worker{Worker: w}
		if x.has(s.Labels) && (j.Queue.Advice == nil || c.advice.isGood(work.TaskID{Job: id}.StepName(), w.ID)) {
			slots += s.Size.Times(w.Capacity, limit)
		}
	}
	return slots
}

// requireSoonDone checks that every task of a job has been done by the time by which all must have started.
func (c *cell) requireSoonDone(since time.Time, ids ...work.JobID) {
	for _, id := range ids {
		for len(c.fleet.NotDone(id)) > 0 {
			j := c.jobs[id]
			require.Less(c.t, time.Since(since), idleStart+2*idleTask, "%s on %s: %+v", id, j.Queue.Name, j.Steps[0])
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// serveOneByOne submits jobs of random forms, each once the one before is done.
func (c *cell) serveOneByOne(jobs int) {
	for range jobs {
		id := c.submit(c.drawIdleJob(c.rng))
		c.requireSoonDone(time.Now(), id)
	}
	require.Empty(c.t, c.fleet.Violations())
	require.Empty(c.t, c.broken)
}

// TestEachFormOfJobStartsInAnIdleCell guards against a job that waits beside idle workers, because what is
// asked, reserved and chosen for it are not the same workers.
func TestEachFormOfJobStartsInAnIdleCell(t *testing.T) {
	overSeeds(t, 6, func(t *testing.T, seed uint64) {
		c := idleCell(t, seed)
		defer c.stop()
		c.serveOneByOne(60)
	})
}

// TestEachFormOfJobStartsBesideAnother guards against two jobs that keep each other from starting in a cell that could
// run both twice over.
func TestEachFormOfJobStartsBesideAnother(t *testing.T) {
	overSeeds(t, 4, func(t *testing.T, seed uint64) {
		c := idleCell(t, seed)
		defer c.stop()
		for range 40 {
			first := c.submit(c.drawIdleJob(c.rng))
			share := c.advice.share
			second := c.submit(c.drawIdleJob(c.rng))
			c.advice.setShare(max(share, c.advice.share)) // what is good for less is good for more
			c.requireSoonDone(time.Now(), first, second)
		}
		require.Empty(t, c.fleet.Violations())
		require.Empty(t, c.broken)
	})
}

// TestEachFormOfJobStartsAfterLosses guards against a job that waits for workers that are gone, or for a rack that they
// have left too small, beside idle workers.
func TestEachFormOfJobStartsAfterLosses(t *testing.T) {
	overSeeds(t, 4, func(t *testing.T, seed uint64) {
		c := idleCell(t, seed)
		defer c.stop()
		for i := range 6 { // of one rack
			c.fleet.Crash(runner.WorkerID(fmt.Sprintf("w-%02d", seed%6*8+uint64(i))))
		}
		time.Sleep(12 * time.Second)
		c.serveOneByOne(40)
	})
}

// TestTaskOfASpreadStepIsStartedAgain guards against a task that is never started again after its worker is lost, since the
// workers that are asked about have as many tasks of its step as a worker may have.
func TestTaskOfASpreadStepIsStartedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := idleCellOf(t, 1, func(work.JobID) time.Duration { return time.Hour })
		defer c.stop()
		j := &work.Job{Queue: work.Queue{Name: "q", Service: "s", Attempts: 4, Slack: 2, Allowance: time.Second, Advice: idleQueues[3]}, Spec: "x",
			Steps: []work.Step{{Count: 18, Size: work.Resources{CPU: 4000, Memory: 100}, Estimate: time.Hour, LongRunning: true, MaxPerWorker: 1}}}
		c.advice.setShare(0.5)
		c.advice.setCost(work.TaskID{Job: c.nextID()}.StepName(), *j.Queue.Advice)
		require.GreaterOrEqual(t, c.slotsFor(c.nextID(), j), 22)
		c.submit(j)
		time.Sleep(10 * time.Second)
		require.Equal(t, 18, c.fleet.Running())
		for _, id := range c.fleet.IDs() {
			if c.fleet.Running() == 18 {
				c.fleet.Crash(id)
			}
		}
		time.Sleep(testLease + 2*time.Second + idleStart)
		require.Equal(t, 18, c.fleet.Running())
	})
}
