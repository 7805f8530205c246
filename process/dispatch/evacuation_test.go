package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/version/work"
)

// usualNotice is the notice of workers that are withdrawn.
const usualNotice = 1600 * time.Millisecond

// clockOf is the clock of the workers of a harness.
func (h *harness) clockOf() time.Duration { return time.Second + h.now }

// notify reports the directory entry of a worker that leaves, with its clock.
func (h *harness) notify(id runner.WorkerID, remaining time.Duration) {
	h.notifyOf(id, runner.Notice{Known: true, Remaining: remaining, Clock: h.clockOf()})
}

func (h *harness) notifyOf(id runner.WorkerID, d runner.Notice) {
	w := h.e.workers[id].Worker
	w.Draining, w.Notice = true, d
	h.e.WorkerSeen(h.now, w)
}

// pass lets time pass while the workers report their runs, whose progress rises by percent per
// second.
func (h *harness) pass(d time.Duration, percent float64) {
	for until := h.now + d; h.now < until; h.step(tickPeriod) {
		for _, w := range h.e.workerList {
			if w.misses > 0 {
				continue
			}
			r := runner.Report{Clock: h.clockOf()}
			for _, alloc := range sortedAllocs(w) {
				r.Running = append(r.Running, runner.ActiveRun{Task: alloc.id(), Run: alloc.run, Percent: min(percent*(h.now-alloc.ackAt).Seconds(), 100)})
			}
			h.e.Renewed(h.now, w.ID, r, nil)
		}
	}
}

// confirmAll confirms starts.
func (h *harness) confirmAll(starts []SendStart) []SendStart {
	for _, s := range starts {
		h.e.Started(h.now, s.To.ID, s.Start.Task, s.Start.Run, nil)
	}
	return starts
}

// runningOn returns a harness whose job runs on w-a, with a step of two cores and 10 s, and an idle w-b.
func runningOn(t *testing.T, change func(e *Engine, j *work.Job)) *harness {
	h := newHarness(t, 1, "w-a")
	j := &work.Job{Queue: work.Queue{Name: "q", Service: "s", Priority: 1, Attempts: 1, Slack: 2}, Spec: "x", Epoch: 1,
		Steps: []work.Step{{Count: 1, Size: work.Resources{CPU: 2000, Memory: 100}, Estimate: 10 * time.Second, Checkpoints: true}}}
	if change != nil {
		change(h.e, j)
	}
	h.step(50 * time.Millisecond)
	h.report("w-a", runner.Report{Clock: time.Second})
	h.accept(testJob, j)
	h.step(50 * time.Millisecond)
	if j.Queue.Advice != nil {
		h.e.Members(h.now, []string{"d-1"})
		h.step(50 * time.Millisecond)
		h.advise(sent[AskAdvice](h)[0])
	}
	require.Len(t, h.confirmAll(h.starts()), 1)
	h.addWorker("w-b")
	h.pass(2*time.Second, 10)
	h.effects = nil
	return h
}

func (h *harness) addWorker(id runner.WorkerID) {
	h.e.WorkerSeen(h.now, runner.Worker{Ref: runner.Ref{ID: id}, Service: "s", Capacity: work.Resources{CPU: 4000, Memory: 4000}, Labels: []string{"a", "r"}})
	h.step(50 * time.Millisecond)
	h.report(id, runner.Report{Clock: h.clockOf()})
}

// untilStop lets time pass until a stop is sent, and returns the stops and the time that passed.
func (h *harness) untilStop(most time.Duration, percent float64) (stops []SendStop, after time.Duration) {
	for began := h.now; h.now < began+most; {
		if stops = h.stops(); len(stops) > 0 {
			return stops, h.now - began
		}
		h.pass(tickPeriod, percent)
	}
	return nil, most
}

// endStopped reports that stopped runs of a worker have ended with a checkpoint.
func (h *harness) endStopped(id runner.WorkerID, stops []SendStop) {
	for _, x := range stops {
		if x.To.ID == id {
			h.e.StopAnswered(h.now, id, x.Task, x.Run, nil)
		}
	}
	r := runner.Report{Clock: h.clockOf()}
	for _, x := range stops {
		if x.To.ID == id {
			r.Ended = append(r.Ended, ended(h.e.workers[id].lastCompletion+int64(len(r.Ended)+1), x))
		}
	}
	h.report(id, r)
}

// leave is the end of a worker: its entry is removed and it does not answer any more.
func (h *harness) leave(id runner.WorkerID) {
	h.e.WorkerUnlisted(h.now, id)
	h.e.Renewed(h.now, id, runner.Report{}, runner.ErrUnknown)
	h.step(tickPeriod)
}

func TestRunOfALeavingWorkerStartsElsewhere(t *testing.T) {
	// Guards against runs that are lost with a worker that has given notice and wait until its lease
	// has expired: the run is stopped as late as is safe, and its task starts at once from its
	// checkpoint, in the order that it had. Nobody is blamed.
	h := runningOn(t, nil)
	s := h.e.jobs[testJob].occurrences[0].steps[0]
	due, order := s.occurrence.due, s.orderTime
	h.e.workers["w-b"].quarantinedUntil = h.now + time.Minute // there is no capacity elsewhere yet
	h.notify("w-a", usualNotice)
	stops, after := h.untilStop(usualNotice, 10)
	require.Len(t, stops, 1)
	left := usualNotice - after
	require.GreaterOrEqual(t, left, h.e.evacuating.stops.Longest())
	require.Less(t, left, h.e.evacuating.stops.Longest()+2*evacuationPeriod+2*tickPeriod, "it uses the time that it has")
	h.e.workers["w-b"].quarantinedUntil = 0
	h.step(200 * time.Millisecond)
	require.Empty(t, h.starts(), "it has not ended")
	h.endStopped("w-a", stops)
	starts := h.starts()
	require.Len(t, starts, 1)
	require.EqualValues(t, "w-b", starts[0].To.ID)
	require.Equal(t, "half", starts[0].Start.Checkpoint)
	require.Equal(t, due, s.occurrence.due)
	require.Equal(t, order, s.orderTime)
	h.leave("w-a")
	h.step(time.Second)
	require.Nil(t, h.e.workers["w-a"])
	stats := h.e.Stats()
	require.Equal(t, []uint64{1, 0, 0}, []uint64{stats.Evacuated, stats.EvacuationsLate, stats.EvacuationKept})
	require.Equal(t, []uint64{0, 0, 0, 0, 0, 0}, []uint64{stats.Lost, stats.Failed, stats.Preempted, stats.StragglerMoves, stats.Quarantined, stats.Suspected})
	require.InDelta(t, 2*0.3, stats.EvacuatedCoreSeconds, 0.01, "a stop and a restart of two cores")
	state, _ := h.e.State(testJob)
	require.Equal(t, work.Running, state, "its queue allows one failure")
}

func TestRunsOnLeavingWorkers(t *testing.T) {
	// Guards against stops of runs that would end in time, stops that are too early or too late, and
	// stops although nothing is known of when the worker leaves.
	longRunning := func(_ *Engine, j *work.Job) { j.Steps[0].LongRunning = true }
	advised := func(_ *Engine, j *work.Job) {
		j.Queue.Advice = &work.Advice{Base: 600 * time.Millisecond, Valid: 2 * time.Second}
	}
	whole := func(h *harness, d runner.Notice) { h.notifyOf("w-a", d) }
	for name, x := range map[string]struct {
		change  func(e *Engine, j *work.Job)
		notice  func(h *harness)
		percent float64 // per second, until the run is done
		idle    bool    // there is capacity elsewhere
		stopped bool
		from    time.Duration // least and most time from the notice to the stop
		until   time.Duration
	}{
		"checkpoints: as late as is safe":                         {percent: 10, stopped: true, from: 300 * time.Millisecond, until: time.Second},
		"checkpoints, capacity elsewhere: at once":                {percent: 10, idle: true, stopped: true, until: 200 * time.Millisecond},
		"checkpoints, capacity but no ticket: as late as is safe": {change: advised, percent: 10, idle: true, stopped: true, from: 300 * time.Millisecond, until: time.Second},
		"checkpoints, ends in time, capacity elsewhere":           {percent: 36, idle: true},
		"long-running, capacity elsewhere: as late as is safe":    {change: longRunning, percent: 100, idle: true, stopped: true, from: 300 * time.Millisecond, until: time.Second},
		"no checkpoints: at once":                                 {change: func(_ *Engine, j *work.Job) { j.Steps[0].Checkpoints = false }, percent: 10, stopped: true, until: 200 * time.Millisecond},
		"long-running: as late as is safe":                        {change: longRunning, percent: 100, stopped: true, from: 300 * time.Millisecond, until: time.Second},
		"expected to end in time":                                 {percent: 36},
		"switched off":                                            {change: func(e *Engine, _ *work.Job) { e.o.Policy.NoEvacuation = true }, percent: 10},
		"no time given":                                           {notice: func(h *harness) { whole(h, runner.Notice{}) }, percent: 10},
		"a lot of time left":                                      {notice: func(h *harness) { h.notify("w-a", time.Minute) }, percent: 10},
		"an absurd time":                                          {notice: func(h *harness) { h.notify("w-a", 1<<62) }, percent: 10},
		"no clock: counts from when it is seen":                   {notice: func(h *harness) { whole(h, runner.Notice{Known: true, Remaining: usualNotice}) }, percent: 10, stopped: true, from: 300 * time.Millisecond, until: time.Second},
		"clock of another writer": {notice: func(h *harness) {
			whole(h, runner.Notice{Known: true, Remaining: usualNotice, Clock: h.clockOf() + time.Hour})
		}, percent: 10, stopped: true, from: 300 * time.Millisecond, until: time.Second},
		"seen 1.2 s after it was written, while the store was slow": {notice: func(h *harness) {
			whole(h, runner.Notice{Known: true, Remaining: usualNotice, Clock: h.clockOf() - 1200*time.Millisecond})
		}, percent: 10, stopped: true, until: 150 * time.Millisecond},
		"an old notice of a worker that has stayed": {notice: func(h *harness) {
			h.pass(10*time.Second, 10)
			h.effects = nil
			whole(h, runner.Notice{Known: true, Remaining: usualNotice, Clock: h.clockOf() - 10*time.Second})
		}, percent: 1},
		"the notice is repeated without a clock": {notice: func(h *harness) {
			for range 3 {
				whole(h, runner.Notice{Known: true, Remaining: usualNotice})
				h.pass(100*time.Millisecond, 10)
			}
		}, percent: 10, stopped: true, until: 400 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			h := runningOn(t, x.change)
			if x.notice == nil {
				x.notice = func(h *harness) { h.notify("w-a", usualNotice) }
			}
			if !x.idle {
				h.e.workers["w-b"].quarantinedUntil = h.now + time.Minute
			}
			x.notice(h)
			most := usualNotice
			if x.percent == 36 {
				most = 750 * time.Millisecond // it has ended then
			}
			stops, after := h.untilStop(most, x.percent)
			if !x.stopped {
				require.Empty(t, stops)
				require.Zero(t, h.e.Stats().Evacuated)
				return
			}
			require.Len(t, stops, 1)
			require.GreaterOrEqual(t, after, x.from)
			require.LessOrEqual(t, after, x.until)
			require.EqualValues(t, 1, h.e.Stats().Evacuated)
		})
	}
}

func TestRunThatIsLeftAloneEnds(t *testing.T) {
	// Guards against runs that are counted as kept although they did not end, or not counted.
	h := runningOn(t, nil)
	h.notify("w-a", usualNotice)
	alloc := sortedAllocs(h.e.workers["w-a"])[0]
	h.pass(300*time.Millisecond, 40)
	require.Zero(t, h.e.Stats().EvacuationKept)
	require.True(t, alloc.kept)
	h.report("w-a", runner.Report{Clock: h.clockOf(), Ended: []runner.Completion{{Number: 1, Task: alloc.id(), Run: alloc.run, Outcome: runner.Done}}})
	require.EqualValues(t, 1, h.e.Stats().EvacuationKept)
	require.Empty(t, h.stops())
}

// gangOnTwo returns a harness with a gang of two on w-a and w-b, and idle workers w-c and w-d.
func gangOnTwo(t *testing.T) *harness {
	h := newHarness(t, 1, "w-a", "w-b")
	h.step(50 * time.Millisecond)
	h.report("w-a", runner.Report{Clock: h.clockOf()})
	h.report("w-b", runner.Report{Clock: h.clockOf()})
	h.accept(testJob, &work.Job{Queue: work.Queue{Name: "q", Service: "s", Attempts: 1, Slack: 2}, Spec: "x", Epoch: 1,
		Steps: []work.Step{{Count: 2, Size: work.Resources{CPU: 4000, Memory: 100}, Estimate: 10 * time.Second, Checkpoints: true, Gang: true}}})
	h.step(50 * time.Millisecond)
	require.Len(t, h.confirmAll(h.starts()), 2)
	h.addWorker("w-c")
	h.addWorker("w-d")
	h.pass(2*time.Second, 10)
	h.effects = nil
	return h
}

func TestGangWithALeavingMemberIsStoppedOnce(t *testing.T) {
	// Guards against a gang of which one member is lost while the others go on, that is stopped once
	// for each worker that leaves, or that starts again before all members have ended.
	h := gangOnTwo(t)
	h.notify("w-b", 3*time.Second)
	h.notify("w-a", usualNotice)
	stops, after := h.untilStop(3*time.Second, 10)
	require.Len(t, stops, 2, "all members, in time for the first that must leave")
	require.Less(t, after, usualNotice-initialStopTime)
	h.step(200 * time.Millisecond)
	h.endStopped("w-a", stops)
	require.Empty(t, h.starts())
	h.endStopped("w-b", stops)
	starts := h.starts()
	require.Len(t, starts, 2)
	require.ElementsMatch(t, []runner.WorkerID{"w-c", "w-d"}, []runner.WorkerID{starts[0].To.ID, starts[1].To.ID})
	require.Equal(t, "half", starts[0].Start.Checkpoint)
	h.confirmAll(starts)
	h.leave("w-a")
	h.pass(4*time.Second, 10)
	require.Empty(t, h.stops())
	require.EqualValues(t, 2, h.e.Stats().Evacuated)
	require.EqualValues(t, 0, h.e.Stats().EvacuationsLate)
}

func TestGangThatEndsInTimeIsLeftAlone(t *testing.T) {
	// Guards against a gang that is stopped although it ends before the workers of its members leave.
	h := gangOnTwo(t)
	h.notify("w-a", usualNotice)
	h.notify("w-b", usualNotice)
	stops, _ := h.untilStop(750*time.Millisecond, 36) // it has ended then
	require.Empty(t, stops)
}

func TestWorkerThatStaysLosesOnlyWhatWasStopped(t *testing.T) {
	// Guards against runs that are stopped again, or a worker that is not used again, if a notice was
	// false.
	h := runningOn(t, nil)
	h.notify("w-a", usualNotice)
	stops, _ := h.untilStop(usualNotice, 10)
	require.Len(t, stops, 1)
	h.endStopped("w-a", stops)
	again := h.confirmAll(h.starts())
	require.Len(t, again, 1)
	w := h.e.workers["w-a"].Worker
	w.Draining, w.Notice = false, runner.Notice{}
	h.e.WorkerSeen(h.now, w)
	h.accept(otherJob, &work.Job{Queue: work.Queue{Name: "q", Service: "s", Attempts: 1, Slack: 2}, Spec: "x", Epoch: 1,
		Steps: []work.Step{{Count: 2, Size: work.Resources{CPU: 2000, Memory: 100}, Estimate: 10 * time.Second}}})
	h.pass(200*time.Millisecond, 10)
	starts := h.confirmAll(h.starts())
	require.Len(t, starts, 2)
	require.Contains(t, []runner.WorkerID{starts[0].To.ID, starts[1].To.ID}, runner.WorkerID("w-a"), "it is used again")
	h.pass(5*time.Second, 10)
	require.Empty(t, h.stops())
	require.EqualValues(t, 1, h.e.Stats().Evacuated)
}

func TestStopThatIsNotAnswered(t *testing.T) {
	// Guards against a second run before the first is known to have ended, if the worker leaves before
	// it has reported the end of a run that was stopped. The lease decides, and the run is counted.
	h := runningOn(t, nil)
	h.notify("w-a", usualNotice)
	stops, _ := h.untilStop(usualNotice, 10)
	require.Len(t, stops, 1)
	h.pass(stopRetry+2*tickPeriod, 10)
	require.NotEmpty(t, h.stops(), "it is sent again")
	require.Equal(t, work.Resources{CPU: 2000, Memory: 100}, h.e.workers["w-a"].used, "its capacity stays allocated")
	h.leave("w-a")
	w := h.e.workers["w-a"]
	for h.now <= w.expiry {
		h.e.Renewed(h.now, "w-a", runner.Report{}, runner.ErrUnknown)
		require.Empty(t, h.starts(), "its lease may not have expired")
		h.pass(100*time.Millisecond, 10)
	}
	h.pass(200*time.Millisecond, 10)
	require.Len(t, h.starts(), 1)
	stats := h.e.Stats()
	require.Equal(t, []uint64{1, 1, 1}, []uint64{stats.Evacuated, stats.EvacuationsLate, stats.Lost})
}

func TestSuccessorDecidesAnew(t *testing.T) {
	// Guards against tasks that run twice or wait for a lease because the leader fails between the
	// stop of a run and its new start: the successor knows from reports what has ended and what runs,
	// and from the entry when the worker leaves.
	h := newHarness(t, 1, "w-a")
	s := newSlowStore(h, 0)
	s.run(100 * time.Millisecond)
	h.report("w-a", runner.Report{Clock: h.clockOf()})
	step := work.Step{Count: 2, Size: work.Resources{CPU: 2000, Memory: 100}, Estimate: 10 * time.Second, Checkpoints: true}
	s.putJob(testJob, step)
	s.run(50 * time.Millisecond)
	starts := h.confirmAll(h.starts())
	require.Len(t, starts, 2)
	h.notify("w-a", usualNotice)
	s.run(usualNotice - h.e.evacuating.stops.Longest())
	stops := h.stops()
	require.Len(t, stops, 2)

	next := successorOf(t, s, "w-a", "w-b")
	next.report("w-b", runner.Report{Clock: time.Second})
	require.Empty(t, next.starts(), "both may run on the other worker")
	// One run has ended, the other one goes on.
	next.report("w-a", runner.Report{Clock: time.Second, Ended: []runner.Completion{ended(1, stops[0])},
		Running: []runner.ActiveRun{{Task: stops[1].Task, Run: stops[1].Run, Percent: 10}}})
	next.notify("w-a", 900*time.Millisecond)
	next.step(evacuationPeriod + tickPeriod)
	again := next.starts()
	require.Len(t, again, 1)
	require.Equal(t, stops[0].Task, again[0].Start.Task)
	require.EqualValues(t, "w-b", again[0].To.ID)
	require.EqualValues(t, 1, next.e.Stats().Evacuated, "the other one")
	require.EqualValues(t, 1, next.e.Stats().Stops)
	next.report("w-a", runner.Report{Clock: time.Second + next.now, Ended: []runner.Completion{ended(2, stops[1])}})
	again = next.starts()
	require.Len(t, again, 1)
	require.Equal(t, stops[1].Task, again[0].Start.Task)
}

func TestSuccessorDoesNotWaitForAWorkerThatHasLeft(t *testing.T) {
	// Guards against tasks that were stopped in time and wait for the lease of a worker that has left,
	// because the leader fails before they have started again: the stored list of what may run there
	// no longer has them.
	h := newHarness(t, 1, "w-a")
	s := newSlowStore(h, 0)
	s.run(100 * time.Millisecond)
	h.report("w-a", runner.Report{Clock: h.clockOf()})
	s.putJob(testJob, work.Step{Count: 1, Size: work.Resources{CPU: 2000, Memory: 100}, Estimate: 10 * time.Second, Checkpoints: true})
	s.run(50 * time.Millisecond)
	require.Len(t, h.confirmAll(h.starts()), 1)
	h.notify("w-a", usualNotice)
	s.run(usualNotice - h.e.evacuating.stops.Longest())
	stops := h.stops()
	require.Len(t, stops, 1)
	h.e.Renewed(h.now, "w-a", runner.Report{Clock: h.clockOf(), Ended: []runner.Completion{ended(1, stops[0])}}, nil)
	s.run(100 * time.Millisecond)

	next := successorOf(t, s, "w-b")
	next.e.Renewed(next.now, "w-a", runner.Report{}, runner.ErrUnknown)
	next.report("w-b", runner.Report{Clock: time.Second})
	next.step(100 * time.Millisecond)
	require.Len(t, next.starts(), 1)
}

func TestWaitOfAStoppedTaskIsCounted(t *testing.T) {
	// Guards against waits for capacity after a stop that no cause accounts for.
	h := runningOn(t, nil)
	h.e.workers["w-b"].quarantinedUntil = h.now + 10*time.Second
	h.notify("w-a", usualNotice)
	stops, _ := h.untilStop(usualNotice, 10)
	require.Len(t, stops, 1)
	h.endStopped("w-a", stops)
	h.pass(500*time.Millisecond, 10)
	require.Empty(t, h.starts())
	require.Greater(t, h.e.jobs[testJob].waits[waitCapacity], 400*time.Millisecond)
}

func TestStopsTeachHowLongTheyTake(t *testing.T) {
	// Guards against runs that are stopped long before it is necessary, or too late: each stop that
	// ends a run is observed.
	h := runningOn(t, nil)
	h.notify("w-a", usualNotice)
	stops, _ := h.untilStop(usualNotice, 10)
	h.step(100 * time.Millisecond)
	h.endStopped("w-a", stops)
	require.Less(t, h.e.evacuating.stops.Usual(), 250*time.Millisecond)
}

func TestProgressOnALeavingWorkerIsRecent(t *testing.T) {
	// Guards against decisions by progress that is a second old, which is most of the time that is left.
	wait := func(change func(e *Engine, j *work.Job), notice time.Duration) time.Duration {
		h := runningOn(t, change)
		h.e.workers["w-b"].quarantinedUntil = h.now + time.Minute
		h.notify("w-a", notice)
		h.pass(tickPeriod, 10)
		for _, x := range sent[SendRenew](h) {
			if x.To.ID == "w-a" {
				return x.Renewal.Wait
			}
		}
		return 0
	}
	require.Equal(t, leavingRenewWait, wait(nil, usualNotice))
	require.Equal(t, renewWait, wait(nil, time.Minute), "a lot of time left")
	require.Equal(t, renewWait, wait(func(e *Engine, _ *work.Job) { e.o.Policy.NoEvacuation = true }, usualNotice))
}

func TestStoppedTaskKeepsItsRank(t *testing.T) {
	// Guards against a stopped task that waits behind all work that can be in time, although it can be in
	// time itself thanks to its checkpoint.
	for name, x := range map[string]struct {
		checkpoint bool
		rank       int
	}{"with its checkpoint": {true, rankInTime}, "without": {false, rankLate}} {
		h := runningOn(t, func(_ *Engine, j *work.Job) { j.Queue.Slack = 1.3 })
		h.pass(5*time.Second, 10)
		h.e.workers["w-b"].quarantinedUntil = h.now + time.Minute
		h.notify("w-a", usualNotice)
		stops, _ := h.untilStop(usualNotice, 10)
		require.Len(t, stops, 1)
		if x.checkpoint {
			h.endStopped("w-a", stops)
		} else {
			h.report("w-a", runner.Report{Clock: h.clockOf(), Ended: []runner.Completion{{Number: 1, Task: stops[0].Task, Run: stops[0].Run, Outcome: runner.Stopped}}})
		}
		h.step(tickPeriod)
		require.Equal(t, x.rank, h.e.jobs[testJob].occurrences[0].steps[0].rank, name)
	}
}

func TestSecondStopKeepsTheWorkThatWasSaved(t *testing.T) {
	// Guards against a task that is taken for late because its second run was stopped before it reported
	// any progress: its checkpoint still holds the work of the first run.
	h := runningOn(t, func(_ *Engine, j *work.Job) { j.Queue.Slack = 1.3 })
	h.pass(5*time.Second, 10)
	h.notify("w-a", usualNotice)
	stops, _ := h.untilStop(usualNotice, 10)
	require.Len(t, stops, 1)
	h.endStopped("w-a", stops)
	starts := h.confirmAll(h.starts())
	require.Len(t, starts, 1)
	require.EqualValues(t, "w-b", starts[0].To.ID)
	s := h.e.jobs[testJob].occurrences[0].steps[0]
	saved := s.tasks[0].savedShare
	require.Greater(t, saved, 0.6)

	h.notify("w-b", 500*time.Millisecond)
	h.step(evacuationPeriod + tickPeriod)
	stops = h.stops()
	require.Len(t, stops, 1)
	h.endStopped("w-b", stops)
	require.EqualValues(t, saved, s.tasks[0].savedShare)
	h.step(tickPeriod)
	require.Equal(t, rankInTime, s.rank)
}

func TestStopOfASilentWorkerTeachesNothing(t *testing.T) {
	// Guards against runs on all workers that are stopped long before it is necessary, because the worker
	// of one run did not answer for a while after its stop was ordered.
	h := runningOn(t, nil)
	h.notify("w-a", usualNotice)
	stops, _ := h.untilStop(usualNotice, 10)
	require.Len(t, stops, 1)
	before := h.e.evacuating.stops
	for range 3 {
		h.e.Renewed(h.now, "w-a", runner.Report{}, runner.ErrUnknown)
		h.step(500 * time.Millisecond)
	}
	h.endStopped("w-a", stops)
	require.Len(t, h.starts(), 1)
	require.Equal(t, before, h.e.evacuating.stops)
}

func TestRunIsNotStoppedEarlyForAWorkerThatItsTaskMayNotUse(t *testing.T) {
	// Guards against a run that is stopped early for a new start that the usual rules do not allow: its
	// task avoids the worker, or as many runs of its step as are allowed are there.
	for name, refuse := range map[string]func(h *harness, s *step){
		"allowed": nil,
		"avoided": func(h *harness, s *step) {
			s.tasks[0].avoid, s.tasks[0].avoidUntil = []runner.WorkerID{"w-b"}, h.now+time.Minute
		},
		"full for the step": func(h *harness, s *step) {
			s.spec.MaxPerWorker = 1
			w := h.e.workers["w-b"]
			other := &allocation{w: w, s: s, index: 1, need: work.Resources{CPU: 1000, Memory: 100}, state: running}
			w.allocs[other.id()] = other
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := runningOn(t, nil)
			s := h.e.jobs[testJob].occurrences[0].steps[0]
			h.notify("w-a", time.Minute)
			if refuse == nil {
				require.Equal(t, h.e.workers["w-b"], h.e.placeReady(s.tasks[0].alloc, time.Second))
				return
			}
			refuse(h, s)
			require.Nil(t, h.e.placeReady(s.tasks[0].alloc, time.Second))
		})
	}
}
