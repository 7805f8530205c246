package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/version/work"
)

const testJob = work.JobID("00000000000000aa")

// bench is an engine whose calls a test answers by hand.
type bench struct {
	t   *testing.T
	e   *Engine
	now time.Duration
	out []Effect
}

func newBench(t *testing.T, epoch uint64, workers ...runner.WorkerID) *bench {
	b := &bench{t: t, e: NewEngine(Options{Epoch: epoch, Bounds: Bounds{Lease: testLease, MaxLease: testLease, Gang: 3 * time.Second, Keep: time.Minute},
		Violation: func(what string, _ work.TaskID, _ runner.WorkerID) { t.Errorf("invariant: %s", what) }})}
	for _, id := range workers {
		b.e.WorkerSeen(b.now, runner.Worker{Ref: runner.Ref{ID: id}, Service: "s", Capacity: work.Resources{CPU: 4000, Memory: 4000}, Labels: []string{"a", "r"}})
	}
	return b
}

// step moves time on and carries commits out at once; other effects are kept.
func (b *bench) step(d time.Duration) {
	for until := b.now + d; b.now < until; {
		b.now += tickPeriod
		b.e.Tick(b.now)
		for _, x := range b.e.Flush(b.now) {
			if c, ok := x.(SendCommit); ok {
				b.e.Committed(b.now, c.Chain)
				continue
			}
			b.out = append(b.out, x)
		}
	}
}

// report answers a worker's renewal.
func (b *bench) report(id runner.WorkerID, r runner.Report) {
	b.now += time.Millisecond
	b.e.Renewed(b.now, id, r, nil)
	b.step(tickPeriod)
}

// sent returns the effects of one kind, and forgets all.
func sent[T Effect](b *bench) []T {
	var all []T
	for _, x := range b.out {
		if s, ok := x.(T); ok {
			all = append(all, s)
		}
	}
	b.out = nil
	return all
}

// starts returns and forgets the starts that were sent.
func (b *bench) starts() []SendStart { return sent[SendStart](b) }

func jobEntry(t *testing.T, epoch uint64, attempts int, steps ...work.Step) store.Entry {
	j := &work.Job{Queue: work.Queue{Name: "q", Service: "s", Attempts: attempts, Slack: 2}, Spec: "x", Steps: steps, Epoch: epoch}
	value, err := work.EncodeJob(j)
	require.NoError(t, err)
	return store.Entry{Key: KeyIn(testJob), Value: value}
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
	// Symptom: a task is started again after it failed as often as its queue
	//   allows.
	// Sequence: a leader that the store turns away can not write two failures
	//   down; its successor hears of the second run's end first, since that
	//   worker answers first, and then of the first run's.
	// Cause: only the highest counted run was kept, and the lower one taken for
	//   one that had been counted.
	b := newBench(t, 2, "w-a", "w-b")
	require.NoError(t, b.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 2, oneTask())}}))
	b.step(50 * time.Millisecond)
	task := work.TaskID{Job: testJob}
	b.report("w-b", runner.Report{Clock: time.Second, Ended: []runner.End{{Number: 1, Task: task, Run: 2, How: runner.Failed}}})
	b.report("w-a", runner.Report{Clock: time.Second, Ended: []runner.End{{Number: 1, Task: task, Run: 1, How: runner.Failed}}})
	b.step(50 * time.Millisecond)
	state, known := b.e.State(testJob)
	require.True(t, known)
	require.Equal(t, work.Failed, state)
}

func TestFailureReportedAgainCountsOnce(t *testing.T) {
	// Symptom: a job is shown as failed though its task may still be tried.
	// Sequence: a failure is in the store and not yet acknowledged when the
	//   leader is lost; the successor reads it and hears of it again.
	// Cause: an end is told apart from another one only by its run's number.
	b := newBench(t, 2, "w-a")
	progress, err := work.EncodeProgress(&work.Progress{State: work.Running, Ends: []work.StepEnds{{Failed: []work.Fail{{Runs: []uint64{1}}}}}})
	require.NoError(t, err)
	require.NoError(t, b.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 2, oneTask())}, States: []store.Entry{{Key: KeyState(testJob), Value: progress}}}))
	b.step(50 * time.Millisecond)
	b.report("w-a", runner.Report{Clock: time.Second, Ended: []runner.End{{Number: 1, Task: work.TaskID{Job: testJob}, Run: 1, How: runner.Failed}}})
	b.step(avoidPatience + 100*time.Millisecond) // there is no other worker
	state, _ := b.e.State(testJob)
	require.Equal(t, work.Running, state)
	require.Len(t, b.starts(), 1)
}

func TestTasksOfASilentWorkerStartElsewhere(t *testing.T) {
	// Symptom: tasks that ran on a worker that lost its power never start again.
	// Sequence: the worker stops answering; the leader goes on asking it.
	// Cause: each renewal without an answer put off the time at which everything
	//   there has ended for sure.
	b := newBench(t, 1, "w-a")
	require.NoError(t, b.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 2, oneTask())}}))
	b.step(50 * time.Millisecond)
	b.report("w-a", runner.Report{Clock: time.Second})
	first := b.starts()
	require.Len(t, first, 1)
	b.e.Started(b.now, "w-a", first[0].Start.Task, first[0].Start.Run, nil)
	b.e.WorkerSeen(b.now, runner.Worker{Ref: runner.Ref{ID: "w-b"}, Service: "s", Capacity: work.Resources{CPU: 4000, Memory: 4000}, Labels: []string{"a", "r"}})
	b.step(50 * time.Millisecond)
	b.report("w-b", runner.Report{Clock: time.Second})
	for range 60 {
		b.e.Renewed(b.now, "w-a", runner.Report{}, runner.ErrUnknown)
		b.e.Renewed(b.now, "w-b", runner.Report{Clock: time.Second + b.now}, nil)
		for _, x := range b.out {
			if s, ok := x.(SendStart); ok {
				require.Equal(t, runner.WorkerID("w-b"), s.To.ID)
				require.Greater(t, b.now, testLease, "before the lease has run out")
				return
			}
		}
		b.out = nil
		b.step(200 * time.Millisecond)
	}
	t.Fatal("the task never started again")
}

func TestInvariantsAreNoticed(t *testing.T) {
	var seen []string
	b := newBench(t, 1, "w-a")
	b.e.o.Violation = func(what string, _ work.TaskID, _ runner.WorkerID) { seen = append(seen, what) }
	second := oneTask()
	second.After = []int{0}
	second.Size.CPU = 5000 // more than the worker has
	require.NoError(t, b.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 2, oneTask(), second)}}))
	b.step(50 * time.Millisecond)
	b.report("w-a", runner.Report{Clock: time.Second})
	j, w := b.e.jobs[testJob], b.e.workers["w-a"]
	require.Nil(t, b.e.start(w, j.occurrences[0].steps[0], 0, 9, ""), "a task that has a run")
	require.Nil(t, b.e.start(w, j.occurrences[0].steps[1], 0, 9, ""), "before the step it follows")
	b.e.finish(j.occurrences[0].steps[0], 0)
	require.Nil(t, b.e.start(w, j.occurrences[0].steps[0], 0, 9, ""), "a task that is done")
	require.Nil(t, b.e.start(w, j.occurrences[0].steps[1], 0, 9, ""), "over the capacity")
	b.e.end(j, work.Cancelled, "test")
	require.Nil(t, b.e.start(w, j.occurrences[0].steps[1], 0, 9, ""), "after the cancellation")
	require.Len(t, seen, 5)
	require.Contains(t, seen, "start over the worker's capacity")
	require.EqualValues(t, 5, b.e.Stats().Violations)
}

func TestUnansweredStartKeepsItsRoomUntilItIsResolved(t *testing.T) {
	// Symptom looked for: a start that was carried out late finds its room given
	//   to another task, or its task running elsewhere.
	// Sequence: three tries of a start are not answered, nor is the first stop;
	//   then the stop is answered, and a report lists neither run nor end.
	b := newBench(t, 1, "w-a", "w-b")
	require.NoError(t, b.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 2, oneTask())}}))
	b.step(50 * time.Millisecond)
	b.report("w-a", runner.Report{Clock: time.Second})
	b.report("w-b", runner.Report{Clock: time.Second})
	first := b.starts()
	require.Len(t, first, 1)
	to, task, run := first[0].To.ID, first[0].Start.Task, first[0].Start.Run
	for range maxStarts {
		b.e.Started(b.now, to, task, run, runner.ErrUnknown)
	}
	w := b.e.workers[to]
	b.step(2 * time.Second)
	require.Empty(t, b.otherStarts(to, run))
	b.out = nil // the tries
	require.Equal(t, 1000, w.used.CPU)
	b.e.StopAnswered(b.now, to, task, run, nil)
	b.step(time.Second)
	require.Equal(t, 1000, w.used.CPU, "the report was not asked for after the stop yet")
	b.e.Renewed(b.now, to, runner.Report{}, runner.ErrUnknown) // the one on its way
	b.step(time.Second)
	b.report(to, runner.Report{Clock: 4 * time.Second})
	b.step(time.Second)
	again := b.starts()
	require.NotEmpty(t, again)
	require.Greater(t, again[0].Start.Run, run)
}

// otherStarts returns the starts sent but for one run.
func (b *bench) otherStarts(to runner.WorkerID, run uint64) []SendStart {
	var all []SendStart
	for _, x := range b.out {
		if s, ok := x.(SendStart); ok && (s.To.ID != to || s.Start.Run != run) {
			all = append(all, s)
		}
	}
	return all
}

func TestTakeoverWaitsForWorkersOutOfReach(t *testing.T) {
	// Symptom looked for: a task runs twice after the loss of all memory.
	// Sequence: an earlier epoch has started a task on a worker that the new
	//   leader does not reach; the store does not say which tasks have started.
	ref := runner.Ref{ID: "w-far"}
	fleet, err := peer.Marshal(fleetRecord{Workers: []runner.Ref{ref}})
	require.NoError(t, err)
	b := newBench(t, 2, "w-near")
	require.NoError(t, b.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 2, oneTask())}, Fleet: []store.Entry{{Key: keyFleet, Value: fleet}}}))
	b.step(50 * time.Millisecond)
	b.report("w-near", runner.Report{Clock: time.Second})
	for b.now < noticeTime+testLease {
		b.e.Renewed(b.now, "w-far", runner.Report{}, runner.ErrUnknown)
		b.step(100 * time.Millisecond)
		require.Empty(t, b.starts(), "after %v", b.now)
		b.report("w-near", runner.Report{Clock: time.Second + b.now})
	}
	for range 40 {
		b.e.Renewed(b.now, "w-far", runner.Report{}, runner.ErrUnknown)
		b.report("w-near", runner.Report{Clock: time.Second + b.now})
		if len(b.starts()) == 1 {
			return
		}
		b.step(100 * time.Millisecond)
	}
	t.Fatal("the task never starts")
}

func TestEndIsAcknowledgedOnlyOnceItIsInTheStore(t *testing.T) {
	b := newBench(t, 1, "w-a")
	require.NoError(t, b.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 2, oneTask())}}))
	b.step(50 * time.Millisecond)
	b.report("w-a", runner.Report{Clock: time.Second})
	s := b.starts()[0]
	b.e.Started(b.now, "w-a", s.Start.Task, s.Start.Run, nil)
	b.e.Flush(b.now)
	b.e.Renewed(b.now, "w-a", runner.Report{Clock: time.Second, Ended: []runner.End{{Number: 1, Task: s.Start.Task, Run: s.Start.Run, How: runner.Done}}}, nil)
	for range 40 { // the store does not take the write
		b.now += tickPeriod
		b.e.Tick(b.now)
		for _, x := range b.e.Flush(b.now) {
			if r, ok := x.(SendRenew); ok {
				require.Zero(t, r.Renewal.Acknowledge)
				b.e.Renewed(b.now, "w-a", runner.Report{Clock: time.Second + b.now}, nil)
			}
		}
		state, _ := b.e.State(testJob)
		require.Equal(t, work.Running, state)
	}
	b.e.Committed(b.now, 0)
	state, _ := b.e.State(testJob)
	require.Equal(t, work.Completed, state)
	require.EqualValues(t, 1, b.e.workers["w-a"].ack)
}

func TestFailedTaskGoesToAnotherWorker(t *testing.T) {
	// Symptom: a job fails though only one worker fails what it starts.
	// Sequence: the task fails there; its ticket for that worker is the only one
	//   at hand, and it is tried there again at once.
	b := newBench(t, 1, "w-a", "w-b")
	entry := changed(t, jobEntry(t, 1, 2, oneTask()), func(j *work.Job) {
		j.Queue.Advice = &work.Advice{Base: 5 * time.Millisecond, Valid: 2 * time.Second}
	})
	require.NoError(t, b.e.Load(0, Saved{Accepted: []store.Entry{entry}}))
	b.step(50 * time.Millisecond)
	b.report("w-a", runner.Report{Clock: time.Second})
	b.report("w-b", runner.Report{Clock: time.Second})
	s := b.e.jobs[testJob].occurrences[0].steps[0]
	s.advice = &advice{}
	for _, id := range []runner.WorkerID{"w-a"} {
		s.advice.learn(b.e.workers[id], good)
	}
	s.advice.add(ticket{b.e.workers["w-a"], "t", b.now + 2*time.Second})
	b.step(50 * time.Millisecond)
	first := b.starts()
	require.Len(t, first, 1)
	b.e.Started(b.now, "w-a", first[0].Start.Task, first[0].Start.Run, nil)
	b.e.Members(b.now, []string{"d"})
	b.report("w-a", runner.Report{Clock: 2 * time.Second, Ended: []runner.End{{Number: 1, Task: first[0].Start.Task, Run: first[0].Start.Run, How: runner.Failed}}})
	b.step(50 * time.Millisecond)
	var asked []runner.WorkerID
	for _, x := range b.out {
		if a, ok := x.(AskAdvice); ok {
			asked = append(asked, a.Workers...)
		}
	}
	require.Empty(t, b.starts())
	require.Equal(t, []runner.WorkerID{"w-b"}, asked)
}

func TestLateCancellationIsRemovedFromTheStore(t *testing.T) {
	// Symptom looked for: keys of cancellations stay in the store for good.
	// Sequence: a cancellation is written just before the leader writes its
	//   job's end, and reaches the leader after it.
	b := newBench(t, 1, "w-a")
	require.NoError(t, b.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 2, oneTask())}}))
	b.step(50 * time.Millisecond)
	b.report("w-a", runner.Report{})
	b.report("w-a", done(1, b.starts()...))
	b.step(50 * time.Millisecond)
	state, _ := b.e.State(testJob)
	require.Equal(t, work.Completed, state)
	require.NoError(t, b.e.Accepted(b.now, store.Entry{Key: KeyCancel(testJob)}))
	var deleted []string
	for until := b.now + 2*b.e.o.Bounds.Keep; b.now < until; {
		b.now += time.Second
		b.e.Tick(b.now)
		for _, x := range b.e.Flush(b.now) {
			if c, ok := x.(SendCommit); ok {
				deleted = append(deleted, c.Deletes...)
				b.e.Committed(b.now, c.Chain)
			}
		}
	}
	require.Contains(t, deleted, KeyCancel(testJob))
}

func TestEndedJobsKeepTheirStateOnly(t *testing.T) {
	// Symptom: the leader's memory grows to half of a small VM's in a minute.
	// Sequence: thousands of jobs end; each is kept for two minutes, to answer
	//   for its state.
	// Cause: it was kept with its text, its steps and tasks.
	b := newBench(t, 1, "w-a")
	require.NoError(t, b.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 2, oneTask())}}))
	b.step(50 * time.Millisecond)
	b.report("w-a", runner.Report{})
	starts := b.starts()
	b.report("w-a", done(1, starts...))
	b.step(50 * time.Millisecond)
	j := b.e.jobs[testJob]
	require.Empty(t, j.occurrences)
	require.Empty(t, j.spec.Spec)
	require.Empty(t, j.spec.Steps)
	state, known := b.e.State(testJob)
	require.True(t, known)
	require.Equal(t, work.Completed, state)
	task := starts[0].Start.Task
	b.report("w-a", runner.Report{Running: []runner.Live{{Task: task, Run: 9}}})
	var stopped []SendStop
	for _, x := range b.out {
		if s, ok := x.(SendStop); ok {
			stopped = append(stopped, s)
		}
	}
	require.Len(t, stopped, 1, "a late run of it")
	b.report("w-a", runner.Report{Ended: []runner.End{{Number: 2, Task: task, Run: 9, How: runner.Stopped}}})
	require.EqualValues(t, 2, b.e.workers["w-a"].ack)
}

func TestQuickStepsAreAskedForBesideSlowOnes(t *testing.T) {
	// Symptom: a hundred quick jobs wait beside idle daemons and free workers.
	// Sequence: many steps with slow calls for advice wait for one of the daemons
	//   that take such calls; a quick step comes after them.
	// Cause: each round they used up the count of idle daemons, though their calls
	//   could not go out.
	b := newBench(t, 1, "w-a", "w-b")
	b.e.Members(b.now, []string{"d-1", "d-2", "d-3", "d-4"})
	var entries []store.Entry
	add := func(id string, base time.Duration, priority int) {
		entry := changed(t, jobEntry(t, 1, 2, oneTask()), func(j *work.Job) {
			j.Queue.Name, j.Queue.Priority = id, priority
			j.Queue.Advice = &work.Advice{Base: base, Valid: 2 * time.Second}
		})
		entry.Key = KeyIn(work.JobID(id))
		entries = append(entries, entry)
	}
	for i := range 9 {
		add(fmt.Sprintf("%016x", i), time.Second, 0)
	}
	add(string(testJob), 5*time.Millisecond, 1)
	require.NoError(t, b.e.Load(0, Saved{Accepted: entries}))
	b.step(50 * time.Millisecond)
	b.report("w-a", runner.Report{})
	b.report("w-b", runner.Report{})
	asked := map[work.JobID]bool{}
	for _, x := range b.out {
		if a, ok := x.(AskAdvice); ok {
			asked[a.Step.Job] = true
		}
	}
	require.True(t, asked[testJob])
	require.Len(t, asked, 3, "two of four daemons take slow calls")
}
