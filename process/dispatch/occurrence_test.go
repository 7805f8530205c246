package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/version/work"
)

// timedEntry returns the submission of a job that is due at the engine's times from,
// from+interval and so on.
func timedEntry(t *testing.T, repeat int, from, interval time.Duration, steps ...work.Step) store.Entry {
	j := &work.Job{Queue: work.Queue{Name: "q", Service: "s", Attempts: 2, Slack: 2}, Spec: "x", Steps: steps, Epoch: 1,
		Repeat: repeat, StartAt: from.Milliseconds(), Interval: interval}
	value, err := work.EncodeJob(j)
	require.NoError(t, err)
	return store.Entry{Key: KeySubmission(testJob), Value: value}
}

// done reports the started runs as done.
func done(number int64, starts ...SendStart) runner.Report {
	var r runner.Report
	for _, s := range starts {
		r.Ended = append(r.Ended, runner.Completion{Number: number, Task: s.Start.Task, Run: s.Start.Run, Outcome: runner.Done})
		number++
	}
	return r
}

func TestOccurrencesStartWhenTheyAreDue(t *testing.T) {
	// A timed job that is submitted ahead of its first time ran at once, and only once,
	// because its times were stored but not used.
	h := newHarness(t, 1, "w-a")
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{timedEntry(t, 2, time.Second, 500*time.Millisecond, oneTask())}}))
	h.step(50 * time.Millisecond)
	h.report("w-a", runner.Report{})
	h.step(900 * time.Millisecond)
	require.Empty(t, h.starts(), "before the first occurrence is due")
	h.step(100 * time.Millisecond)
	first := h.starts()
	require.Len(t, first, 1)
	require.Equal(t, work.TaskID{Job: testJob}, first[0].Start.Task)
	h.report("w-a", done(1, first...))
	h.step(300 * time.Millisecond)
	state, _ := h.e.State(testJob)
	require.Equal(t, work.Running, state, "one occurrence is still to come")
	h.step(200 * time.Millisecond)
	second := h.starts()
	require.Len(t, second, 1)
	require.Equal(t, work.TaskID{Job: testJob, Occurrence: 1}, second[0].Start.Task)
	h.report("w-a", done(2, second...))
	h.step(50 * time.Millisecond)
	state, _ = h.e.State(testJob)
	require.Equal(t, work.Completed, state)
}

func TestOccurrencesOverlap(t *testing.T) {
	h := newHarness(t, 1, "w-a")
	second := oneTask()
	second.After = []int{0}
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{timedEntry(t, 3, 0, 100*time.Millisecond, oneTask(), second)}}))
	h.step(50 * time.Millisecond)
	h.report("w-a", runner.Report{})
	h.step(300 * time.Millisecond)
	all := h.starts()
	require.Len(t, all, 3, "each occurrence's first step")
	h.report("w-a", done(1, all[1]))
	next := h.starts()
	require.Len(t, next, 1, "of the occurrence whose first step is done")
	require.Equal(t, work.TaskID{Job: testJob, Occurrence: 1, Step: 1}, next[0].Start.Task)
}

func TestRunOfALaterOccurrenceIsTakenOver(t *testing.T) {
	// A task of a timed job ran twice after a takeover: a leader starts an occurrence when it
	// comes due and fails; its successor's time of day is a little behind, so that a worker
	// reports the run or its completion before the occurrence is due there. The run was taken
	// for an untracked one.
	for name, ended := range map[string]bool{"runs": false, "ended": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2, "w-a")
			require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{timedEntry(t, 2, time.Second, time.Second, oneTask())}}))
			h.step(50 * time.Millisecond)
			task := work.TaskID{Job: testJob, Occurrence: 1}
			r := runner.Report{Running: []runner.ActiveRun{{Task: task, Run: 1}}}
			if ended {
				r = runner.Report{Ended: []runner.Completion{{Number: 1, Task: task, Run: 1, Outcome: runner.Done}}}
			}
			h.report("w-a", r)
			h.step(3 * time.Second)
			for _, x := range h.effects {
				_, stop := x.(SendStop)
				require.False(t, stop, "stopped")
			}
			for _, s := range h.starts() {
				require.NotEqual(t, 1, s.Start.Task.Occurrence, "started again")
			}
		})
	}
}

func TestDoneOccurrencesStayDoneOverATakeover(t *testing.T) {
	h := newHarness(t, 2, "w-a")
	two := oneTask()
	two.Count = 2
	progress, err := work.EncodeProgress(&work.Progress{State: work.Running, Before: 2, Completions: []work.StepCompletions{
		{Occurrence: 2, Done: []int{1}}, {Occurrence: 3, All: true}}})
	require.NoError(t, err)
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{timedEntry(t, 5, 0, 0, two)}, States: []store.Entry{{Key: KeyState(testJob), Value: progress}}}))
	h.step(50 * time.Millisecond)
	h.report("w-a", runner.Report{})
	h.step(50 * time.Millisecond)
	var started []work.TaskID
	for _, s := range h.starts() {
		started = append(started, s.Start.Task)
	}
	require.ElementsMatch(t, []work.TaskID{{Job: testJob, Occurrence: 2}, {Job: testJob, Occurrence: 4}, {Job: testJob, Occurrence: 4, Index: 1}}, started)
}

func TestOpenOccurrencesAreBounded(t *testing.T) {
	// A small submission used up the leader's memory: a job with a great many occurrences, all
	// due long ago, each of which is kept in memory with all of its tasks.
	h := newHarness(t, 1, "w-a")
	wide := oneTask()
	wide.Count = 1000
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{timedEntry(t, 1_000_000, 0, 0, wide)}}))
	h.step(50 * time.Millisecond)
	require.Len(t, h.e.jobs[testJob].occurrences, work.MaxTasks/wide.Count)
}

func TestProgressOfManyOccurrencesStaysSmall(t *testing.T) {
	h := newHarness(t, 1, "w-a")
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{timedEntry(t, 300, 0, 20*time.Millisecond, oneTask())}}))
	h.step(50 * time.Millisecond)
	h.report("w-a", runner.Report{})
	number := int64(1)
	for range 200 {
		h.step(20 * time.Millisecond)
		starts := h.starts()
		h.report("w-a", done(number, starts...))
		number += int64(len(starts))
	}
	require.Greater(t, number, int64(190))
	j := h.e.jobs[testJob]
	require.Less(t, len(j.occurrences), 10)
	data, err := work.EncodeProgress(j.progress())
	require.NoError(t, err)
	require.Less(t, len(data), 300)
}

func drawTimed(rng *rand.Rand) *work.Job {
	j := drawJob(rng, rng.IntN(2) == 0)
	j.Repeat = 1 + rng.IntN(5)
	j.StartAt = time.Now().UnixMilli() + int64(rng.IntN(3000))
	j.Interval = time.Duration(rng.IntN(4000)) * time.Millisecond
	return j
}

// TestTimedJobsUnderRandomFaults submits timed jobs under the faults of TestJobsUnderRandomFaults;
// the workers check that no start comes early.
func TestTimedJobsUnderRandomFaults(t *testing.T) {
	overSeeds(t, 3, func(t *testing.T, seed uint64) {
		randomFaults(t, seed, func(rng *rand.Rand) *work.Job {
			if rng.IntN(3) > 0 {
				return drawJob(rng, rng.IntN(2) == 0)
			}
			return drawTimed(rng)
		})
	})
}
