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
	idleStart = startPromise
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
	c.requireSound()
}

// requireSound checks what the workers and the leaders have seen since the cell began.
func (c *cell) requireSound() {
	time.Sleep(publishPeriod + tickPeriod)
	require.Empty(c.t, c.fleet.Violations())
	require.Empty(c.t, c.broken)
	require.Zero(c.t, c.besideRoom.Load(), "steps waited beside room for longer than startPromise")
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
		c.requireSound()
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

// oneRackCell is an idle cell of which six workers of the first rack have been lost for a while. Few workers are good for
// the gangs of the other racks, and all of the last one.
func oneRackCell(t *testing.T) *cell {
	c := idleCell(t, 1)
	c.advice.good = func(id runner.WorkerID) bool {
		var i int
		_, err := fmt.Sscanf(string(id), "w-%d", &i)
		require.NoError(t, err)
		return i/8 == 0 || i/8 == 5 || (i/8 < 3 && i%8 < 2)
	}
	for i := range 6 {
		c.fleet.Crash(runner.WorkerID(fmt.Sprintf("w-%02d", i)))
	}
	time.Sleep(12 * time.Second)
	return c
}

// submitOneRackGang submits a gang that only the last rack can hold, on a queue with slow advice.
func (c *cell) submitOneRackGang() work.JobID {
	j := &work.Job{Queue: work.Queue{Name: "q", Service: "s", Attempts: 3, Slack: 2, Allowance: time.Second, Advice: idleQueues[3]}, Spec: "x",
		Steps: []work.Step{{Count: 8, Size: work.Resources{CPU: 20000, Memory: 8192}, Estimate: 3 * time.Second, Gang: true, SameRack: true}}}
	c.advice.setCost(work.TaskID{Job: c.nextID()}.StepName(), *j.Queue.Advice)
	return c.submit(j)
}

// TestGangStartsOnTheOnlyRackThatCanHoldIt guards against a gang that starts on several racks, and takes three times as long, since
// the one rack that can hold it is asked about last, or a call has no answer.
func TestGangStartsOnTheOnlyRackThatCanHoldIt(t *testing.T) {
	for name, silent := range map[string][]string{"all daemons answer": nil, "one daemon is silent": {"d-2"}, "two daemons are silent": {"d-1", "d-2"}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := oneRackCell(t)
				defer c.stop()
				c.advice.silent = map[string]bool{}
				for _, member := range silent {
					c.advice.silent[member] = true
				}
				since := time.Now()
				id := c.submitOneRackGang()
				c.requireSoonDone(since, id)
				c.requireSound()
				if len(silent) < 2 { // else only one answer comes in time, and not about all racks
					require.Zero(t, c.spread.Load(), "it ran on several racks")
				}
			})
		})
	}
}

// TestGangFindsItsRackAfterATakeover guards against a gang that a successor starts on several racks beside a whole one, since
// the time in which nobody could ask counts as a wait for a rack.
func TestGangFindsItsRackAfterATakeover(t *testing.T) {
	overSeeds(t, 6, func(t *testing.T, seed uint64) {
		c := oneRackCell(t)
		defer c.stop()
		id := c.submitOneRackGang()
		time.Sleep(time.Duration(seed) * 100 * time.Millisecond)
		c.takeOver()
		c.requireSoonDone(time.Now(), id)
		c.requireSound()
		require.Zero(t, c.spread.Load(), "it ran on several racks")
	})
}
