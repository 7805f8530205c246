package dispatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/standin/epochworker"
	"fennelshunt.example/fennelshunt/version/work"
)

// failingCell returns a cell whose workers fail each run that begins while fails returns true.
func failingCell(t *testing.T, workers int, takes func(work.JobID) time.Duration, fails func() bool) *cell {
	c := newTestCell(t, 1, 0, 0, usualBehaviour(0))
	c.fleet = epochworker.New(epochworker.Options{Seed: 1, Lease: testLease, GangTimeout: 3 * time.Second, StopDelay: 200 * time.Millisecond,
		Delay: time.Millisecond, Attempts: 4,
		Work: func(task work.TaskID, _ uint64, _ runner.WorkerID) epochworker.Behaviour {
			return epochworker.Behaviour{Takes: takes(task.Job), Fails: fails()}
		}})
	for i := range workers {
		c.addWorker(runner.WorkerID(fmt.Sprint("w-", i)), fmt.Sprint("w-", i), "r0")
	}
	for i := range 3 {
		c.nodes = append(c.nodes, c.startNode(fmt.Sprint("d-", i)))
	}
	return c
}

// TestWorkersThatFailedEverythingServeEachKindAgain guards against a kind of work that is never
// started again where it is the only kind, after its workers have failed all runs for a while.
func TestWorkersThatFailedEverythingServeEachKindAgain(t *testing.T) {
	task := work.Step{Size: work.Resources{CPU: 9000, Memory: 4600}, Estimate: 800 * time.Millisecond}
	with := func(count int, change func(s *work.Step)) work.Step {
		s := task
		s.Count = count
		change(&s)
		return s
	}
	for name, step := range map[string]work.Step{
		"plain":                        with(2, func(*work.Step) {}),
		"gang":                         with(2, func(s *work.Step) { s.Gang = true }),
		"gang, one task a worker":      with(4, func(s *work.Step) { s.Gang, s.MaxPerWorker = true, 1 }),
		"gang, two tasks a worker":     with(8, func(s *work.Step) { s.Gang, s.MaxPerWorker = true, 2 }),
		"gang on one rack":             with(4, func(s *work.Step) { s.Gang, s.SameRack = true, true }),
		"gang that writes checkpoints": with(2, func(s *work.Step) { s.Gang, s.Checkpoints = true, true }),
		"one task a worker":            with(4, func(s *work.Step) { s.MaxPerWorker = 1 }),
		"writes checkpoints":           with(2, func(s *work.Step) { s.Checkpoints = true }),
		"best effort":                  with(2, func(s *work.Step) { s.BestEffort = true }),
		"copies":                       with(2, func(s *work.Step) { s.Speculative = true }),
	} {
		for _, advised := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", advised ", advised), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { serveAgain(t, step, nil, advised) })
			})
		}
	}
}

// TestWorkersThatFailedEverythingServeAgainBesideTasksThatLast guards against work that is never
// started again on workers that have failed all runs for a while, because a task that has run
// there since before that does not end.
func TestWorkersThatFailedEverythingServeAgainBesideTasksThatLast(t *testing.T) {
	lasts := work.Step{Count: 8, MaxPerWorker: 2, Size: work.Resources{CPU: 1000, Memory: 500}, Estimate: time.Hour}
	serves := lasts
	serves.LongRunning = true
	task := work.Step{Count: 2, Size: work.Resources{CPU: 9000, Memory: 4600}, Estimate: 800 * time.Millisecond}
	gang := task
	gang.Gang = true
	for name, beside := range map[string]work.Step{"long-running": serves, "batch task of an hour": lasts} {
		for kind, step := range map[string]work.Step{"plain": task, "gang": gang} {
			t.Run(kind+" beside "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { serveAgain(t, step, &beside, false) })
			})
		}
	}
}

// besideID is the id of the first job of a cell.
const besideID = work.JobID("0000000000000001")

// serveAgain submits jobs of one step at a time, while the workers fail everything for 6.5 s and
// after that, beside a job that has begun before.
func serveAgain(t *testing.T, step work.Step, beside *work.Step, advised bool) {
	begun := time.Now()
	const failFrom, failUntil = 4 * time.Second, 10500 * time.Millisecond
	takes := func(id work.JobID) time.Duration {
		if beside != nil && id == besideID {
			return beside.Estimate
		}
		return step.Estimate
	}
	c := failingCell(t, 4, takes, func() bool { return time.Since(begun) >= failFrom && time.Since(begun) < failUntil })
	c.advice.share = 1
	time.Sleep(2 * time.Second)
	queue := work.Queue{Name: "q", Service: "s", Attempts: 4, Slack: 2, Allowance: time.Second}
	if beside != nil {
		require.Equal(t, besideID, c.submit(&work.Job{Queue: queue, Spec: "x", Steps: []work.Step{*beside}}))
		time.Sleep(time.Second)
		require.Equal(t, beside.Count, c.fleet.Running())
	}
	earlier := len(c.order)
	var sound []work.JobID
	for time.Since(begun) < 22*time.Second {
		j := &work.Job{Queue: queue, Spec: "x", Steps: []work.Step{step}}
		if advised {
			j.Queue.Advice = &work.Advice{Base: 5 * time.Millisecond, PerWorker: 200 * time.Microsecond, Valid: 2 * time.Second}
		}
		if id := c.submit(j); time.Since(begun) >= failUntil {
			sound = append(sound, id)
		}
		time.Sleep(time.Duration(250+c.rng.IntN(150)) * time.Millisecond)
	}
	time.Sleep(14 * time.Second)
	c.stop()
	for _, id := range c.order[earlier:] {
		require.True(t, c.state(id).Final(), "%s is %s", id, c.state(id))
	}
	require.NotEmpty(t, sound)
	for _, id := range sound {
		require.Equal(t, work.Completed, c.state(id), "%s, submitted to sound workers", id)
	}
	require.Empty(t, c.fleet.Violations())
	require.Empty(t, c.broken)
}

// gangOn submits a gang of four, two a worker, to workers of which some are on probation.
func gangOn(t *testing.T, ids, suspects []runner.WorkerID) *harness {
	h := readyHarness(t, ids...)
	h.onProbation(suspects...)
	gang := tasksOf(4, true)
	gang.MaxPerWorker = 2
	require.NoError(t, h.e.Accepted(h.now, jobOf(t, "", testJob, 1, gang)))
	return h
}

// TestGangsLeaveWorkersOnProbationToOtherWork guards against gangs that are stopped again and
// again because one member fails on a worker that single tasks could prove.
func TestGangsLeaveWorkersOnProbationToOtherWork(t *testing.T) {
	ids := []runner.WorkerID{"w-1", "w-2"}
	h := gangOn(t, ids, ids[:1])
	h.stay(quarantineMin+gangProbation/2, ids...)
	require.Empty(t, h.starts())
	require.NoError(t, h.e.Accepted(h.now, jobOf(t, "", secondJob, 1, tasksOf(100, false))))
	h.step(tickPeriod)
	on := 0
	for _, s := range h.starts() {
		if require.Equal(t, secondJob, s.Start.Task.Job); s.To.ID == "w-1" {
			on++
		}
	}
	require.Equal(t, 1, on, "one run at a time")
	x, known := h.e.Explain(h.now, testJob)
	require.True(t, known)
	require.Equal(t, "probe", x.Steps[0].Excluded[0].Why)
}

// TestGangsTakeSoundWorkersFirst guards against a gang that is placed on a worker on probation
// although others have capacity for all of it.
func TestGangsTakeSoundWorkersFirst(t *testing.T) {
	ids := []runner.WorkerID{"w-1", "w-2", "w-3"}
	h := readyHarness(t, ids...)
	h.onProbation("w-1")
	h.stay(quarantineMin+2*gangProbation, ids...)
	h.starts()
	gang := tasksOf(4, true)
	gang.MaxPerWorker = 2
	require.NoError(t, h.e.Accepted(h.now, jobOf(t, "", testJob, 1, gang)))
	h.step(tickPeriod)
	starts := h.starts()
	require.Len(t, starts, 4)
	for _, s := range starts {
		require.NotEqualValues(t, "w-1", s.To.ID)
	}
}

// TestGangsStartWhereAllWorkersAreOnProbation guards against gangs that are never started where
// nothing but gangs can end the probation of the workers.
func TestGangsStartWhereAllWorkersAreOnProbation(t *testing.T) {
	ids := []runner.WorkerID{"w-1", "w-2"}
	h := gangOn(t, ids, ids)
	h.stay(quarantineMin+gangProbation/2, ids...)
	require.Empty(t, h.starts())
	x, known := h.e.Explain(h.now, testJob)
	require.True(t, known)
	require.Equal(t, "probation", x.Steps[0].Excluded[0].Why)
	require.Positive(t, x.Steps[0].Excluded[0].EndsMS)
	h.stay(gangProbation, ids...)
	starts := h.starts()
	require.Len(t, starts, 4)
	for _, s := range starts {
		h.e.Started(h.now, s.To.ID, s.Start.Task, s.Start.Run, nil)
		h.report(s.To.ID, runner.Report{Clock: h.now + time.Second, Ended: []runner.Completion{
			{Number: h.e.workers[s.To.ID].lastCompletion + 1, Task: s.Start.Task, Run: s.Start.Run, Outcome: runner.Done}}})
	}
	for _, id := range ids {
		require.False(t, h.e.workers[id].probation, "a member was done there")
	}
}

// TestGangsWaitLongerForWorkersThatAreOnlyBusy guards against gangs that are stopped by a failed
// member on an idle worker on probation while sound ones are about to have room, and against
// gangs that wait for good because these stay busy.
func TestGangsWaitLongerForWorkersThatAreOnlyBusy(t *testing.T) {
	ids := []runner.WorkerID{"w-1", "w-2"}
	h := readyHarness(t, ids...)
	full := tasksOf(1, false)
	full.Size.CPU, full.LongRunning = 64000, true
	require.NoError(t, h.e.Accepted(h.now, jobOf(t, "", secondJob, 1, full)))
	h.step(tickPeriod)
	serving := h.starts()
	require.Len(t, serving, 1)
	busy, idle := serving[0].To.ID, ids[0]
	if busy == idle {
		idle = ids[1]
	}
	h.e.Started(h.now, busy, serving[0].Start.Task, serving[0].Start.Run, nil)
	report := func(d time.Duration) {
		for until := h.now + d; h.now < until; {
			h.step(100 * time.Millisecond)
			h.report(busy, runner.Report{Clock: time.Second + h.now, Running: live(100, serving[0])})
			h.answer(idle)
		}
	}
	h.onProbation(idle)
	require.NoError(t, h.e.Accepted(h.now, jobOf(t, "", testJob, 1, tasksOf(2, true))))
	report(quarantineMin + gangProbationMax - time.Second)
	require.Empty(t, h.starts())
	report(2 * time.Second)
	require.Len(t, h.starts(), 2)
}

// TestLongRunProvesItsWorker guards against a worker that runs one task for hours, while other
// work that only it fits waits, because its only run since a quarantine is not done before that;
// and against such a worker whose next failure counts like that of any other.
func TestLongRunProvesItsWorker(t *testing.T) {
	h := readyHarness(t, "w-1")
	h.onProbation("w-1")
	long := tasksOf(3, false)
	long.Estimate = time.Hour
	require.NoError(t, h.e.Accepted(h.now, jobOf(t, "", testJob, 1, long)))
	h.stay(quarantineMin+time.Second, "w-1")
	first := h.starts()
	require.Len(t, first, 1, "one run at a time")
	h.e.Started(h.now, "w-1", first[0].Start.Task, first[0].Start.Run, nil)
	percent := 0.0
	report := func(d time.Duration, starts ...SendStart) {
		for until := h.now + d; h.now < until; h.step(100 * time.Millisecond) {
			h.report("w-1", runner.Report{Clock: time.Second + h.now, Running: live(percent, starts...)})
		}
	}
	report(provenAfter+time.Second, first...)
	require.Empty(t, h.starts(), "without any progress it may as well hang")
	percent = 1
	report(time.Second, first...)
	others := h.starts()
	require.Len(t, others, 2)
	for _, s := range others {
		h.e.Started(h.now, "w-1", s.Start.Task, s.Start.Run, nil)
	}
	h.report("w-1", runner.Report{Clock: time.Second + h.now, Running: live(percent, first[0], others[0]), Ended: []runner.Completion{
		{Number: 1, Task: others[1].Start.Task, Run: others[1].Start.Run, Outcome: runner.Failed}}})
	require.Greater(t, h.e.workers["w-1"].quarantinedUntil, h.now+quarantineMin, "for longer than the first time, by one failure")
}
