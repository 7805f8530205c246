package dispatch

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/crash"
	"fennelshunt.example/fennelshunt/standin/epochworker"
	"fennelshunt.example/fennelshunt/version/work"
)

// TestWorkersThatComeBackUnderTheirName guards against state of a worker that is applied to
// its next incarnation, so that tasks run twice, or again after their completion was
// acknowledged.
func TestWorkersThatComeBackUnderTheirName(t *testing.T) {
	overSeeds(t, 10, restartsUnderOneName)
}

// restartsUnderOneName submits jobs while workers crash and restart under their names long
// before their directory entries change; orders are late, responses are lost and leaders are
// killed.
func restartsUnderOneName(t *testing.T, seed uint64) {
	draw := rand.New(rand.NewPCG(seed, 5))
	lag := time.Duration(draw.IntN(3)) * 2 * time.Second
	c := restartingCell(t, 24, 3, epochworker.Options{Seed: seed, Restart: 500 * time.Millisecond, SameName: true, EntryLag: lag,
		Work: func(work.TaskID, uint64, runner.WorkerID) epochworker.Behaviour {
			return epochworker.Behaviour{Takes: time.Duration(100+draw.IntN(900)) * time.Millisecond}
		}})
	time.Sleep(3 * time.Second)
	c.fleet.SetFaults(epochworker.Faults{LoseAnswers: 0.02, Late: 0.03})
	killed := 0
	for i := range 200 {
		c.submit(drawJob(c.rng, false))
		time.Sleep(time.Duration(c.rng.IntN(150)) * time.Millisecond)
		if i%10 == 0 && i < 160 {
			ids := c.fleet.IDs()
			c.fleet.Crash(ids[c.rng.IntN(len(ids))])
		}
		if seed%2 == 1 && i%50 == 49 && killed < 3 {
			c.killLeader()
			killed++
		}
	}
	c.fleet.SetFaults(epochworker.Faults{})
	time.Sleep(2 * time.Minute)
	c.stop()
	c.requireCompletedOnce()
}

// requireCompletedOnce checks that no guarantee was broken and that every job is completed, apart from those with a task
// that may have reached the limit of crashed workers.
func (c *cell) requireCompletedOnce() {
	require.Empty(c.t, c.fleet.Violations())
	require.Empty(c.t, c.broken)
	for _, id := range c.order {
		if !crash.LimitReached(c.fleet.MaxSuspectCrashes(id), 1) {
			require.Equal(c.t, work.Completed, c.state(id), "%s: %v", id, c.fleet.NotDone(id))
		}
	}
}

// crashWhileDisconnected runs jobs on two workers, one of which crashes behind a network cut that
// the leader does not notice, and submits another job that may start on its next incarnation
// before any directory entry shows that. Its tasks take as long as given.
func crashWhileDisconnected(t *testing.T, takes time.Duration) {
	c := restartingCell(t, 0, 1, epochworker.Options{Seed: 1, Restart: 500 * time.Millisecond, SameName: true, EntryLag: 4 * time.Second,
		Work: func(work.TaskID, uint64, runner.WorkerID) epochworker.Behaviour {
			return epochworker.Behaviour{Takes: takes}
		}})
	tasks := func() *work.Job {
		return &work.Job{Queue: work.Queue{Name: "q", Service: "s", Attempts: 4, Slack: 2, Allowance: time.Second}, Spec: "x",
			Steps: []work.Step{{Count: 8, Size: work.Resources{CPU: 1000, Memory: 1000}, Estimate: takes}}}
	}
	crashes := runner.IncarnationID("w-a", 1)
	c.addWorker(crashes, "w-a", "r")
	time.Sleep(3 * time.Second)
	c.submit(tasks()) // completions that are acknowledged
	time.Sleep(10 * time.Second)
	_, before := c.fleet.Counts()
	for renews := before; renews == before; _, renews = c.fleet.Counts() {
		time.Sleep(time.Millisecond)
	}
	c.fleet.SetDisconnected(crashes, true) // a renewal has just been sent, and waits for a completion
	c.fleet.Crash(crashes)
	time.Sleep(700 * time.Millisecond)
	c.submit(tasks())
	time.Sleep(300 * time.Millisecond)
	c.addWorker(runner.IncarnationID("w-b", 1), "w-b", "r") // where they may start again
	time.Sleep(time.Minute)
	c.stop()
	require.Empty(t, c.fleet.Violations())
	require.Empty(t, c.broken)
	for _, id := range c.order {
		require.Equal(t, work.Completed, c.state(id), "%s: %v", id, c.fleet.NotDone(id))
	}
}

// TestRunsAtTheNextIncarnationAreNotStartedAgain guards against a start that a worker's next
// incarnation has answered, that counts as lost with the previous incarnation, and that is
// repeated beside the run that exists.
func TestRunsAtTheNextIncarnationAreNotStartedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { crashWhileDisconnected(t, 5*time.Second) })
}

// TestUnreceivedCompletionsOfTheNextIncarnationAreNotAcknowledged guards against completions of a
// worker's next incarnation that are acknowledged before they are received, with the number that
// the previous incarnation had reached, and whose tasks start again.
func TestUnreceivedCompletionsOfTheNextIncarnationAreNotAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { crashWhileDisconnected(t, 200*time.Millisecond) })
}

// TestCompletionCountIsSentOnlyAfterAnAnswerOfTheIncarnation guards against a count of completions
// of one incarnation that is sent to the next one, which would drop as many completions that
// no leader has received.
func TestCompletionCountIsSentOnlyAfterAnAnswerOfTheIncarnation(t *testing.T) {
	id := runner.IncarnationID("w-a", 1)
	h := newHarness(t, 1, id)
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 4, oneTask())}}))
	h.step(50 * time.Millisecond)
	h.report(id, runner.Report{Clock: time.Second})
	start := h.starts()[0].Start
	h.report(id, runner.Report{Clock: time.Second, Ended: []runner.Completion{{Number: 1, Task: start.Task, Run: start.Run}}})
	last := func() (r runner.Renewal) {
		h.step(400 * time.Millisecond) // longer than the pauses between renewals
		for _, x := range h.effects {
			if x, ok := x.(SendRenew); ok {
				r = x.Renewal
			}
		}
		return r
	}
	require.Equal(t, int64(1), last().Acknowledge)
	h.e.Renewed(h.now, id, runner.Report{}, runner.ErrUnknown)
	require.Zero(t, last().Acknowledge, "another incarnation may answer")
	h.report(id, runner.Report{Clock: 2 * time.Second})
	require.Equal(t, int64(1), last().Acknowledge, "it has answered")
	h.e.Renewed(h.now, id, runner.Report{Clock: 2 * time.Second}, nil)
	h.now += 3 * time.Second // the leader was paused
	require.Zero(t, last().Acknowledge, "another incarnation may have started meanwhile")
}

// TestWorkerThatRefusesAsLateIsAskedFirst guards against hundreds of starts on a worker that
// refuses each of them because the estimate of its clock is wrong.
func TestWorkerThatRefusesAsLateIsAskedFirst(t *testing.T) {
	h := newHarness(t, 1, "w-a")
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 4, oneTask())}}))
	h.step(50 * time.Millisecond)
	h.report("w-a", runner.Report{Clock: time.Second})
	first := h.starts()[0].Start
	h.e.Started(h.now, "w-a", first.Task, first.Run, runner.ErrLeaseExpired)
	h.step(100 * time.Millisecond)
	require.Empty(t, h.starts())
	h.report("w-a", runner.Report{Clock: time.Hour})
	h.step(time.Second)
	all := h.starts()
	require.Len(t, all, 1)
	require.Greater(t, all[0].Start.Until, time.Hour, "by its actual clock")
}

// TestClockThatGoesBackIsAnotherIncarnation guards against a worker that restarts under its name
// without a start time in its id: its completions would count as those of the earlier
// incarnation, be acknowledged before they are received, and their tasks start again.
func TestClockThatGoesBackIsAnotherIncarnation(t *testing.T) {
	h := newHarness(t, 1, "w-a")
	step := oneTask()
	step.Count = 2
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 4, step)}}))
	h.step(50 * time.Millisecond)
	h.report("w-a", runner.Report{Clock: time.Hour})
	start := h.starts()[0].Start
	h.report("w-a", runner.Report{Clock: time.Hour, Ended: []runner.Completion{{Number: 1, Task: start.Task, Run: start.Run}}})
	h.report("w-a", runner.Report{Clock: time.Minute, Ended: []runner.Completion{{Number: 1, Task: start.Task, Run: start.Run}}})
	require.Nil(t, h.e.workers["w-a"])
	h.resize("w-a", work.Resources{CPU: 4000, Memory: 4000}) // its next heartbeat
	h.step(50 * time.Millisecond)
	require.Zero(t, h.e.workers["w-a"].lastCompletion, "its completions count from 1 again")
}

// TestEntryWithoutAStartTimeIsTheKnownIncarnation guards against an entry without a start time
// that is taken for another worker.
func TestEntryWithoutAStartTimeIsTheKnownIncarnation(t *testing.T) {
	id := runner.IncarnationID("w-a", 7)
	h := newHarness(t, 1, id)
	h.step(50 * time.Millisecond)
	h.report(id, runner.Report{Clock: time.Second})
	h.resize("w-a", work.Resources{CPU: 8000, Memory: 8000})
	require.Nil(t, h.e.workers["w-a"])
	require.Equal(t, 8000, h.e.workers[id].Capacity.CPU)
}

// TestStopThatTheEarlierIncarnationAnsweredIsSentAgain guards against a start that the next incarnation of a
// worker carries out late, beside another run: the answer of the earlier one to the stop counts as its own.
func TestStopThatTheEarlierIncarnationAnsweredIsSentAgain(t *testing.T) {
	h := newHarness(t, 1, inheritedID)
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 4, oneTask())}}))
	h.step(50 * time.Millisecond)
	h.report(inheritedID, runner.Report{Clock: time.Second})
	start := h.starts()[0].Start
	h.resize("w-b", work.Resources{CPU: 4000, Memory: 4000})
	for range maxStarts {
		h.e.Started(h.now, inheritedID, start.Task, start.Run, runner.ErrUnknown)
	}
	h.e.StopAnswered(h.now, inheritedID, start.Task, start.Run, nil)
	h.e.Renewed(h.now, inheritedID, runner.Report{}, runner.ErrUnknown)
	h.step(probePause + 50*time.Millisecond) // another renewal is sent
	h.report("w-b", runner.Report{Clock: time.Second})
	h.effects = nil
	h.e.Renewed(h.now, inheritedID, runner.Report{}, &runner.IncarnationError{ID: followingID, Report: runner.Report{Clock: time.Second}})
	h.step(time.Second)
	require.Empty(t, h.otherStarts(inheritedID, start.Run), "it has not refused the start yet")
	require.NotEmpty(t, sent[SendStop](h))
	h.resize(followingID, work.Resources{CPU: 4000, Memory: 4000})
	h.report(followingID, runner.Report{Clock: 2 * time.Second})
	h.step(50 * time.Millisecond)
	require.Empty(t, h.starts(), "it has not refused the start yet")
	h.e.StopAnswered(h.now, followingID, start.Task, start.Run, nil)
	h.step(50 * time.Millisecond)
	h.report(followingID, runner.Report{Clock: 2 * time.Second}) // to a renewal from before
	h.step(2 * untrackedPause)
	h.report(followingID, runner.Report{Clock: 3 * time.Second})
	h.step(300 * time.Millisecond)
	again := h.starts()
	require.Len(t, again, 1)
	require.Equal(t, followingID, again[0].To.ID, "one after it may carry out the order beside a run elsewhere")
}

// TestLateRenewalOfTheEarlierIncarnationProlongsTheLeaseOfTheNext guards against a task that starts elsewhere while
// it runs on a silent worker: an unanswered renewal of the earlier incarnation, carried out late, has renewed its lease.
func TestLateRenewalOfTheEarlierIncarnationProlongsTheLeaseOfTheNext(t *testing.T) {
	for _, listed := range []bool{false, true} {
		h := newHarness(t, 1, inheritedID)
		require.NoError(t, h.e.Load(0, Saved{}))
		h.step(50 * time.Millisecond)
		h.report(inheritedID, runner.Report{Clock: time.Hour})
		h.step(50 * time.Millisecond) // the next renewal is sent
		sent := h.e.workers[inheritedID].renewSent
		h.e.Renewed(h.now, inheritedID, runner.Report{}, runner.ErrUnknown)
		h.step(probePause + 50*time.Millisecond)
		if listed {
			h.resize(followingID, work.Resources{CPU: 4000, Memory: 4000})
		} else {
			h.e.Renewed(h.now, inheritedID, runner.Report{}, &runner.IncarnationError{ID: followingID, Report: runner.Report{Clock: time.Second}})
			h.resize(followingID, work.Resources{CPU: 4000, Memory: 4000})
		}
		h.step(50 * time.Millisecond)
		h.report(followingID, runner.Report{Clock: time.Second})
		require.NoError(t, h.e.Accepted(h.now, jobEntry(t, 1, 4, oneTask())))
		h.step(50 * time.Millisecond)
		starts := h.starts()
		require.Len(t, starts, 1)
		run := starts[0].Start
		h.e.Started(h.now, followingID, run.Task, run.Run, nil)
		h.report(followingID, runner.Report{Clock: time.Second, Running: []runner.ActiveRun{{Task: run.Task, Run: run.Run}}})
		h.resize("w-b", work.Resources{CPU: 4000, Memory: 4000})
		bound := sent + maxOrderDelay + leaseBound(testLease)
		for h.now < bound+time.Second {
			h.e.Renewed(h.now, followingID, runner.Report{}, runner.ErrUnknown)
			h.report("w-b", runner.Report{Clock: time.Second + h.now})
			h.step(100 * time.Millisecond)
			if h.now < bound {
				require.Empty(t, h.otherStarts(followingID, run.Run), "listed %v, after %v", listed, h.now)
			}
		}
		require.Len(t, h.otherStarts(followingID, run.Run), 1)
	}
}

// silentStartHarness returns a leader with a start on inheritedID that nobody has answered, and w-b, on which the
// task can start. inheritedID stays listed, and is silent until its lease has expired.
func silentStartHarness(t *testing.T) (*harness, runner.Start) {
	h := newHarness(t, 1, inheritedID)
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 4, oneTask())}}))
	h.step(50 * time.Millisecond)
	h.report(inheritedID, runner.Report{Clock: time.Second})
	start := h.starts()[0].Start
	for range maxStarts {
		h.e.Started(h.now, inheritedID, start.Task, start.Run, runner.ErrUnknown)
	}
	h.resize("w-b", work.Resources{CPU: 4000, Memory: 4000})
	for h.now < testLease+2*time.Second {
		h.silent(inheritedID)
		require.Empty(t, h.otherStarts(inheritedID, start.Run), "after %v", h.now)
	}
	return h, start
}

// silent lets a worker leave its renewal without an answer, while w-b answers.
func (h *harness) silent(id runner.WorkerID) {
	h.e.Renewed(h.now, id, runner.Report{}, runner.ErrUnknown)
	h.report("w-b", runner.Report{Clock: time.Second + h.now})
	h.step(100 * time.Millisecond)
}

// TestUnansweredStartMayBeCarriedOutAfterItsWorkersLease guards against a task that starts elsewhere when the lease
// of a silent worker has expired, while the next incarnation of that worker may still carry out its start.
func TestUnansweredStartMayBeCarriedOutAfterItsWorkersLease(t *testing.T) {
	h, start := silentStartHarness(t)
	for h.now < maxOrderDelay+testLease {
		h.silent(inheritedID)
		require.Empty(t, h.otherStarts(inheritedID, start.Run), "after %v", h.now)
	}
	for range 100 {
		h.silent(inheritedID)
	}
	require.Len(t, h.otherStarts(inheritedID, start.Run), 1)
}

// TestUnansweredStartIsSettledByTheSameIncarnation guards against a task that waits longer than needed when a worker
// answers again after its lease has expired, and against a worker that is not used again.
func TestUnansweredStartIsSettledByTheSameIncarnation(t *testing.T) {
	h, start := silentStartHarness(t)
	h.resize(inheritedID, work.Resources{CPU: 4000, Memory: 4000}) // its heartbeat
	h.step(200 * time.Millisecond)
	h.effects = nil
	h.report(inheritedID, runner.Report{Clock: time.Second + h.now})
	require.NotEmpty(t, sent[SendStop](h))
	h.e.StopAnswered(h.now, inheritedID, start.Task, start.Run, nil)
	h.step(2 * untrackedPause)
	h.report(inheritedID, runner.Report{Clock: time.Second + h.now})
	h.step(2 * untrackedPause)
	h.report(inheritedID, runner.Report{Clock: time.Second + h.now})
	h.report("w-b", runner.Report{Clock: time.Second + h.now})
	h.step(300 * time.Millisecond)
	require.Len(t, h.otherStarts(inheritedID, start.Run), 1)
	require.True(t, h.e.workers[inheritedID].usable(h.now))
	require.Zero(t, h.e.Stats().LateStarts)
}
