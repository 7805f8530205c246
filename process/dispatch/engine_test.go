package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/lead/evidence"
	"fennelshunt.example/fennelshunt/version/work"
)

const testJob = work.JobID("00000000000000aa")

// harness drives an engine; the test answers its calls.
type harness struct {
	t       *testing.T
	e       *Engine
	now     time.Duration
	effects []Effect
	wrote   func(SendCommit) // is given each write that is answered at once; may be nil
}

func newHarness(t *testing.T, epoch uint64, workers ...runner.WorkerID) *harness {
	h := &harness{t: t, e: NewEngine(Options{Epoch: epoch, Bounds: Bounds{Lease: testLease, MaxLease: testLease, Gang: 3 * time.Second, Keep: time.Minute},
		Violation: func(what string, _ work.TaskID, _ runner.WorkerID) { t.Errorf("invariant: %s", what) }})}
	for _, id := range workers {
		h.e.WorkerSeen(h.now, runner.Worker{Ref: runner.Ref{ID: id}, Service: "s", Capacity: work.Resources{CPU: 4000, Memory: 4000}, Labels: []string{"a", "r"}})
	}
	return h
}

// step advances the time, and executes commits and reads of the claim at once; other effects are kept.
func (h *harness) step(d time.Duration) {
	for until := h.now + d; h.now < until; {
		h.now += tickPeriod
		h.e.Tick(h.now)
		for h.flush() {
		}
	}
}

// flush executes the effects of a flush, and reports whether it has answered any, after which a host flushes again.
func (h *harness) flush() (answered bool) {
	for _, x := range h.e.Flush(h.now) {
		switch x := x.(type) {
		case SendCommit:
			if h.wrote != nil {
				h.wrote(x)
			}
			h.e.Committed(h.now, x.Stream)
			answered = true
		case SendConfirm:
			h.e.Confirmed(h.now, nil)
			answered = true
		default:
			h.effects = append(h.effects, x)
		}
	}
	return answered
}

// report answers a worker's renewal with a report.
func (h *harness) report(id runner.WorkerID, r runner.Report) {
	h.now += time.Millisecond
	h.e.Renewed(h.now, id, r, nil)
	h.step(tickPeriod)
}

// sent returns the kept effects of one type, and drops all kept effects.
func sent[T Effect](h *harness) []T {
	var all []T
	for _, x := range h.effects {
		if s, ok := x.(T); ok {
			all = append(all, s)
		}
	}
	h.effects = nil
	return all
}

// starts returns the start orders that were sent, and drops all kept effects.
func (h *harness) starts() []SendStart { return sent[SendStart](h) }

func jobEntry(t *testing.T, epoch uint64, attempts int, steps ...work.Step) store.Entry {
	j := &work.Job{Queue: work.Queue{Name: "q", Service: "s", Attempts: attempts, Slack: 2}, Spec: "x", Steps: steps, Epoch: epoch}
	value, err := work.EncodeJob(j)
	require.NoError(t, err)
	return store.Entry{Key: KeySubmission(testJob), Value: value}
}

// changed returns an entry with its job changed.
func changed(t *testing.T, entry store.Entry, change func(j *work.Job)) store.Entry {
	j, err := work.DecodeJob(entry.Value)
	require.NoError(t, err)
	change(j)
	entry.Value, err = work.EncodeJob(j)
	require.NoError(t, err)
	return entry
}

func oneTask() work.Step {
	return work.Step{Count: 1, Size: work.Resources{CPU: 1000, Memory: 100}, Estimate: time.Second}
}

func TestFailuresReportedOutOfOrderAllCount(t *testing.T) {
	// A task was started again after it failed as often as its queue allows. A leader that
	// cannot write to the store does not store two failures; its successor receives that of
	// the second run first, since that worker answers first, and then that of the first run.
	// Only the highest counted run was kept, so that the lower one was taken for counted.
	h := newHarness(t, 2, "w-a", "w-b")
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 2, oneTask())}}))
	h.step(50 * time.Millisecond)
	task := work.TaskID{Job: testJob}
	h.report("w-b", runner.Report{Clock: time.Second, Ended: []runner.Completion{{Number: 1, Task: task, Run: 2, Outcome: runner.Failed}}})
	h.report("w-a", runner.Report{Clock: time.Second, Ended: []runner.Completion{{Number: 1, Task: task, Run: 1, Outcome: runner.Failed}}})
	h.step(50 * time.Millisecond)
	state, known := h.e.State(testJob)
	require.True(t, known)
	require.Equal(t, work.Failed, state)
}

func TestFailureReportedAgainCountsOnce(t *testing.T) {
	// A failure that is stored but not yet acknowledged when the leader fails is reported to
	// the successor again. It must count once; otherwise the job is shown as failed though its
	// task may still be tried. Completions are distinguished only by the number of their run.
	h := newHarness(t, 2, "w-a")
	progress, err := work.EncodeProgress(&work.Progress{State: work.Running, Completions: []work.StepCompletions{{Failed: []work.TaskFailures{{Runs: []uint64{1}}}}}})
	require.NoError(t, err)
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 2, oneTask())}, States: []store.Entry{{Key: KeyState(testJob), Value: progress}}}))
	h.step(50 * time.Millisecond)
	h.report("w-a", runner.Report{Clock: time.Second, Ended: []runner.Completion{{Number: 1, Task: work.TaskID{Job: testJob}, Run: 1, Outcome: runner.Failed}}})
	h.step(avoidTimeout + 100*time.Millisecond) // there is no other worker
	state, _ := h.e.State(testJob)
	require.Equal(t, work.Running, state)
	require.Len(t, h.starts(), 1)
}

func TestTasksOfAnUnresponsiveWorkerStartElsewhere(t *testing.T) {
	// Tasks of a worker that had lost its power never started again, because each renewal
	// without an answer postponed the time at which everything there has certainly ended.
	h := newHarness(t, 1, "w-a")
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 2, oneTask())}}))
	h.step(50 * time.Millisecond)
	h.report("w-a", runner.Report{Clock: time.Second})
	first := h.starts()
	require.Len(t, first, 1)
	h.e.Started(h.now, "w-a", first[0].Start.Task, first[0].Start.Run, nil)
	h.e.WorkerSeen(h.now, runner.Worker{Ref: runner.Ref{ID: "w-b"}, Service: "s", Capacity: work.Resources{CPU: 4000, Memory: 4000}, Labels: []string{"a", "r"}})
	h.step(50 * time.Millisecond)
	h.report("w-b", runner.Report{Clock: time.Second})
	for range 60 {
		h.e.Renewed(h.now, "w-a", runner.Report{}, runner.ErrUnknown)
		h.e.Renewed(h.now, "w-b", runner.Report{Clock: time.Second + h.now}, nil)
		for _, x := range h.effects {
			if s, ok := x.(SendStart); ok {
				require.Equal(t, runner.WorkerID("w-b"), s.To.ID)
				require.Greater(t, h.now, testLease, "before the lease has run out")
				return
			}
		}
		h.effects = nil
		h.step(200 * time.Millisecond)
	}
	t.Fatal("the task never started again")
}

func TestInvariantViolationsAreReported(t *testing.T) {
	var seen []string
	h := newHarness(t, 1, "w-a")
	h.e.o.Violation = func(what string, _ work.TaskID, _ runner.WorkerID) { seen = append(seen, what) }
	second := oneTask()
	second.After = []int{0}
	second.Size.CPU = 5000 // more than the worker has
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 2, oneTask(), second)}}))
	h.step(50 * time.Millisecond)
	h.report("w-a", runner.Report{Clock: time.Second})
	j, w := h.e.jobs[testJob], h.e.workers["w-a"]
	require.Nil(t, h.e.start(w, j.occurrences[0].steps[0], 0, 9, ""), "a task that has a run")
	require.Nil(t, h.e.start(w, j.occurrences[0].steps[1], 0, 9, ""), "before the step it follows")
	h.e.finish(j.occurrences[0].steps[0], 0)
	require.Nil(t, h.e.start(w, j.occurrences[0].steps[0], 0, 9, ""), "a task that is done")
	require.Nil(t, h.e.start(w, j.occurrences[0].steps[1], 0, 9, ""), "over the capacity")
	h.e.end(j, work.Cancelled, "test")
	require.Nil(t, h.e.start(w, j.occurrences[0].steps[1], 0, 9, ""), "after the cancellation")
	require.Len(t, seen, 5)
	require.Contains(t, seen, "start over the worker's capacity")
	require.EqualValues(t, 5, h.e.Stats().Violations)
}

func TestUnansweredStartKeepsItsCapacityUntilItIsResolved(t *testing.T) {
	// A start that is carried out late must not find its capacity given to another task, or
	// its task running elsewhere: three attempts of a start are not answered, nor is the first
	// stop; then the stop is answered, and a report lists neither run nor completion.
	h := newHarness(t, 1, "w-a", "w-b")
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 2, oneTask())}}))
	h.step(50 * time.Millisecond)
	h.report("w-a", runner.Report{Clock: time.Second})
	h.report("w-b", runner.Report{Clock: time.Second})
	first := h.starts()
	require.Len(t, first, 1)
	to, task, run := first[0].To.ID, first[0].Start.Task, first[0].Start.Run
	for range maxStarts {
		h.e.Started(h.now, to, task, run, runner.ErrUnknown)
	}
	w := h.e.workers[to]
	h.step(2 * time.Second)
	require.Empty(t, h.otherStarts(to, run))
	h.effects = nil // the attempts
	require.Equal(t, 1000, w.used.CPU)
	h.e.StopAnswered(h.now, to, task, run, nil)
	h.step(time.Second)
	require.Equal(t, 1000, w.used.CPU, "no report has been requested since the stop")
	h.e.Renewed(h.now, to, runner.Report{}, runner.ErrUnknown) // the renewal in flight
	h.step(time.Second)
	h.report(to, runner.Report{Clock: 4 * time.Second})
	h.step(time.Second)
	again := h.starts()
	require.NotEmpty(t, again)
	require.Greater(t, again[0].Start.Run, run)
}

// otherStarts returns the start orders that were sent, except those of one run.
func (h *harness) otherStarts(to runner.WorkerID, run uint64) []SendStart {
	var all []SendStart
	for _, x := range h.effects {
		if s, ok := x.(SendStart); ok && (s.To.ID != to || s.Start.Run != run) {
			all = append(all, s)
		}
	}
	return all
}

func TestTakeoverWaitsForWorkersOutOfReach(t *testing.T) {
	// A task must not run twice after a takeover: an earlier epoch has started it on a worker
	// that the new leader does not reach, and the store does not say which tasks have started.
	ref := runner.Ref{ID: "w-far"}
	fleet, err := peer.Marshal(fleetRecord{Workers: []runner.Ref{ref}})
	require.NoError(t, err)
	h := newHarness(t, 2, "w-near")
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 2, oneTask())}, Fleet: []store.Entry{{Key: keyFleet, Value: fleet}}}))
	h.step(50 * time.Millisecond)
	h.report("w-near", runner.Report{Clock: time.Second})
	for h.now < evidence.MaxAge+testLease {
		h.e.Renewed(h.now, "w-far", runner.Report{}, runner.ErrUnknown)
		h.step(100 * time.Millisecond)
		require.Empty(t, h.starts(), "after %v", h.now)
		h.report("w-near", runner.Report{Clock: time.Second + h.now})
	}
	for range 40 {
		h.e.Renewed(h.now, "w-far", runner.Report{}, runner.ErrUnknown)
		h.report("w-near", runner.Report{Clock: time.Second + h.now})
		if len(h.starts()) == 1 {
			return
		}
		h.step(100 * time.Millisecond)
	}
	t.Fatal("the task never starts")
}

func TestCompletionIsAcknowledgedOnlyOnceItIsInTheStore(t *testing.T) {
	h := newHarness(t, 1, "w-a")
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 2, oneTask())}}))
	h.step(50 * time.Millisecond)
	h.report("w-a", runner.Report{Clock: time.Second})
	s := h.starts()[0]
	h.e.Started(h.now, "w-a", s.Start.Task, s.Start.Run, nil)
	h.e.Flush(h.now)
	h.e.Renewed(h.now, "w-a", runner.Report{Clock: time.Second, Ended: []runner.Completion{{Number: 1, Task: s.Start.Task, Run: s.Start.Run, Outcome: runner.Done}}}, nil)
	for range 40 { // the store does not answer the write
		h.now += tickPeriod
		h.e.Tick(h.now)
		for _, x := range h.e.Flush(h.now) {
			if r, ok := x.(SendRenew); ok {
				require.Zero(t, r.Renewal.Acknowledge)
				h.e.Renewed(h.now, "w-a", runner.Report{Clock: time.Second + h.now}, nil)
			}
		}
		state, _ := h.e.State(testJob)
		require.Equal(t, work.Running, state)
	}
	h.e.Committed(h.now, 0)
	state, _ := h.e.State(testJob)
	require.Equal(t, work.Completed, state)
	require.EqualValues(t, 1, h.e.workers["w-a"].ackedCompletion)
}

func TestFailedTaskGoesToAnotherWorker(t *testing.T) {
	// A job failed although only one worker fails what it starts: the only ticket after the
	// failure was for that worker, and the task was tried there again at once.
	h := newHarness(t, 1, "w-a", "w-b")
	entry := changed(t, jobEntry(t, 1, 2, oneTask()), func(j *work.Job) {
		j.Queue.Advice = &work.Advice{Base: 5 * time.Millisecond, Valid: 2 * time.Second}
	})
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{entry}}))
	h.step(50 * time.Millisecond)
	h.report("w-a", runner.Report{Clock: time.Second})
	h.report("w-b", runner.Report{Clock: time.Second})
	s := h.e.jobs[testJob].occurrences[0].steps[0]
	s.advice = &advice{}
	for _, id := range []runner.WorkerID{"w-a"} {
		s.advice.record(h.e.workers[id], good)
	}
	s.advice.add(ticket{h.e.workers["w-a"], "t", h.now + 2*time.Second})
	h.step(50 * time.Millisecond)
	first := h.starts()
	require.Len(t, first, 1)
	h.e.Started(h.now, "w-a", first[0].Start.Task, first[0].Start.Run, nil)
	h.e.Members(h.now, []string{"d"})
	h.report("w-a", runner.Report{Clock: 2 * time.Second, Ended: []runner.Completion{{Number: 1, Task: first[0].Start.Task, Run: first[0].Start.Run, Outcome: runner.Failed}}})
	h.step(50 * time.Millisecond)
	var asked []runner.WorkerID
	for _, x := range h.effects {
		if a, ok := x.(AskAdvice); ok {
			asked = append(asked, a.Workers...)
		}
	}
	require.Empty(t, h.starts())
	require.Equal(t, []runner.WorkerID{"w-b"}, asked)
}

func TestLateCancellationIsRemovedFromTheStore(t *testing.T) {
	// Keys of cancellations must not stay in the store forever: a cancellation is written just
	// before the leader writes its job's end, and reaches the leader after it.
	h := newHarness(t, 1, "w-a")
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 2, oneTask())}}))
	h.step(50 * time.Millisecond)
	h.report("w-a", runner.Report{})
	h.report("w-a", done(1, h.starts()...))
	h.step(50 * time.Millisecond)
	state, _ := h.e.State(testJob)
	require.Equal(t, work.Completed, state)
	require.NoError(t, h.e.Accepted(h.now, store.Entry{Key: KeyCancel(testJob)}))
	var deleted []string
	for until := h.now + 2*h.e.o.Bounds.Keep; h.now < until; {
		h.now += time.Second
		h.e.Tick(h.now)
		for _, x := range h.e.Flush(h.now) {
			if c, ok := x.(SendCommit); ok {
				deleted = append(deleted, c.Deletes...)
				h.e.Committed(h.now, c.Stream)
			}
		}
	}
	require.Contains(t, deleted, KeyCancel(testJob))
}

func TestEndedJobsKeepTheirStateOnly(t *testing.T) {
	// The leader's memory grew to half of a small VM's in a minute: thousands of jobs end,
	// each is kept for two minutes to answer queries of its state, and was kept with its spec,
	// its steps and tasks.
	h := newHarness(t, 1, "w-a")
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 2, oneTask())}}))
	h.step(50 * time.Millisecond)
	h.report("w-a", runner.Report{})
	starts := h.starts()
	h.report("w-a", done(1, starts...))
	h.step(50 * time.Millisecond)
	j := h.e.jobs[testJob]
	require.Empty(t, j.occurrences)
	require.Empty(t, j.spec.Spec)
	require.Empty(t, j.spec.Steps)
	state, known := h.e.State(testJob)
	require.True(t, known)
	require.Equal(t, work.Completed, state)
	task := starts[0].Start.Task
	h.report("w-a", runner.Report{Running: []runner.ActiveRun{{Task: task, Run: 9}}})
	var stopped []SendStop
	for _, x := range h.effects {
		if s, ok := x.(SendStop); ok {
			stopped = append(stopped, s)
		}
	}
	require.Len(t, stopped, 1, "a late run of it")
	h.report("w-a", runner.Report{Ended: []runner.Completion{{Number: 2, Task: task, Run: 9, Outcome: runner.Stopped}}})
	require.EqualValues(t, 2, h.e.workers["w-a"].ackedCompletion)
}

func TestAdviceIsRequestedForQuickStepsBesideSlowOnes(t *testing.T) {
	// A hundred quick jobs waited beside idle daemons and workers: many steps with slow calls
	// for advice wait for one of the daemons that take such calls, and used up the count of
	// idle daemons in each round, although their calls could not be sent.
	h := newHarness(t, 1, "w-a", "w-b")
	h.e.Members(h.now, []string{"d-1", "d-2", "d-3", "d-4"})
	var entries []store.Entry
	add := func(id string, base time.Duration, priority int) {
		entry := changed(t, jobEntry(t, 1, 2, oneTask()), func(j *work.Job) {
			j.Queue.Name, j.Queue.Priority = id, priority
			j.Queue.Advice = &work.Advice{Base: base, Valid: 2 * time.Second}
		})
		entry.Key = KeySubmission(work.JobID(id))
		entries = append(entries, entry)
	}
	for i := range 9 {
		add(fmt.Sprintf("%016x", i), time.Second, 0)
	}
	add(string(testJob), 5*time.Millisecond, 1)
	require.NoError(t, h.e.Load(0, Saved{Accepted: entries}))
	h.step(50 * time.Millisecond)
	h.report("w-a", runner.Report{})
	h.report("w-b", runner.Report{})
	asked := map[work.JobID]bool{}
	for _, x := range h.effects {
		if a, ok := x.(AskAdvice); ok {
			asked[a.Step.Job] = true
		}
	}
	require.True(t, asked[testJob])
	require.Len(t, asked, 3, "two of four daemons take slow calls")
}
