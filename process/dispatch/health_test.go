package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/version/work"
)

// outcomes hands one job after the other in, each a task for every worker, and tells how
// each run ends, by the job's number, until every job has ended.
func outcomes(t *testing.T, h *harness, jobs, workers int, fails func(job int) bool) {
	t.Helper()
	wide := tasksOf(workers, false)
	wide.Size.CPU = 64000
	number := map[runner.WorkerID]int64{}
	jobNumber := map[work.JobID]int{}
	for i := range jobs {
		id := work.JobID(fmt.Sprintf("%016x", i+1))
		jobNumber[id] = i
		require.NoError(t, h.e.Accepted(h.now, jobOf(t, "", id, 1, wide)))
		h.step(tickPeriod)
		for range 2 * maxAttemptsOfTest {
			h.step(200 * time.Millisecond) // longer than the pause before another try
			for _, s := range h.starts() {
				h.e.Started(h.now, s.To.ID, s.Start.Task, s.Start.Run, nil)
				number[s.To.ID]++
				how := runner.Done
				if fails(jobNumber[s.Start.Task.Job]) {
					how = runner.Failed
				}
				h.report(s.To.ID, runner.Report{Clock: h.now, Ended: []runner.End{{Number: number[s.To.ID], Task: s.Start.Task, Run: s.Start.Run, How: how}}})
			}
		}
	}
}

// maxAttemptsOfTest is what jobOf allows.
const maxAttemptsOfTest = 4

func TestJobsThatFailEverywhereDoNotSetWorkersAside(t *testing.T) {
	// Symptom: workers that are well stand empty for two seconds, a few times a second.
	// Sequence: two jobs, one after the other, fail wherever they run, each of their tries
	//   on another worker.
	// Cause: the second failed run of different jobs set a worker aside, though each of
	//   the jobs had failed on others before.
	workers := []runner.WorkerID{"w-1", "w-2", "w-3", "w-4"}
	h := readyHarness(t, workers...)
	outcomes(t, h, 40, len(workers), func(job int) bool { return job%8 < 2 })
	require.GreaterOrEqual(t, h.e.Stats().Failed, uint64(10*maxAttemptsOfTest))
	require.Zero(t, h.e.Stats().Aside)
}

func TestWorkerThatFailsAPartOfItsRunsIsSetAside(t *testing.T) {
	// Symptom: gangs with a member on one of a few workers fail again and again.
	// Sequence: the worker fails one run in two, never two in a row.
	// Cause: only failures in a row set a worker aside.
	var h health
	for i := range 2 {
		require.False(t, h.noteFailure(0, work.JobID(fmt.Sprint(i))))
		h.noteSuccess()
	}
	require.True(t, h.noteFailure(time.Minute, "2"))
	require.Equal(t, time.Minute+quarantineMin, h.quarantinedUntil)
	require.True(t, h.noteFailure(2*time.Minute, "3"), "on trial it may not fail")
	require.Equal(t, 2*time.Minute+2*quarantineMin, h.quarantinedUntil)
}

func TestWorkerThatFailsFewOfItsRunsIsNotSetAside(t *testing.T) {
	var h health
	for i := range 100 {
		require.False(t, h.noteFailure(0, work.JobID(fmt.Sprint(i))))
		for range 19 {
			h.noteSuccess()
		}
	}
	require.Zero(t, h.suspicion)
	require.False(t, h.noteFailure(0, "x"))
	require.NotZero(t, h.suspicion, "but runs that may choose avoid it")
}
