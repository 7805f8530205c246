package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/version/work"
)

// outcomes submits one job after the other, each with a task for every worker, and reports
// every run as done or failed, depending on the job's number.
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
			h.step(200 * time.Millisecond) // longer than the pause before another attempt
			for _, s := range h.starts() {
				h.e.Started(h.now, s.To.ID, s.Start.Task, s.Start.Run, nil)
				number[s.To.ID]++
				outcome := runner.Done
				if fails(jobNumber[s.Start.Task.Job]) {
					outcome = runner.Failed
				}
				h.report(s.To.ID, runner.Report{Clock: h.now, Ended: []runner.Completion{{Number: number[s.To.ID], Task: s.Start.Task, Run: s.Start.Run, Outcome: outcome}}})
			}
		}
	}
}

// maxAttemptsOfTest is the number of attempts that jobOf allows.
const maxAttemptsOfTest = 4

func TestJobsThatFailEverywhereDoNotQuarantineWorkers(t *testing.T) {
	// Healthy workers were idle for two seconds, a few times a second: two jobs that fail
	// wherever they run had runs on the same worker one after the other, and the second
	// failure quarantined it, although each job had failed on other workers before.
	workers := []runner.WorkerID{"w-1", "w-2", "w-3", "w-4"}
	h := readyHarness(t, workers...)
	outcomes(t, h, 40, len(workers), func(job int) bool { return job%8 < 2 })
	require.GreaterOrEqual(t, h.e.Stats().Failed, uint64(10*maxAttemptsOfTest))
	require.Zero(t, h.e.Stats().Quarantined)
}

func TestWorkerThatFailsSomeOfItsRunsIsQuarantined(t *testing.T) {
	// A worker that fails one run in two, but never two in a row, has to be quarantined as
	// well; otherwise gangs with a member there fail again and again.
	var h health
	for i := range 2 {
		require.False(t, h.noteFailure(0, work.JobID(fmt.Sprint(i))))
		h.noteSuccess()
	}
	require.True(t, h.noteFailure(time.Minute, "2"))
	require.Equal(t, time.Minute+quarantineMin, h.quarantinedUntil)
	require.True(t, h.noteFailure(2*time.Minute, "3"), "no failure is allowed on probation")
	require.Equal(t, 2*time.Minute+2*quarantineMin, h.quarantinedUntil)
}

func TestWorkerThatFailsFewOfItsRunsIsNotQuarantined(t *testing.T) {
	var h health
	for i := range 100 {
		require.False(t, h.noteFailure(0, work.JobID(fmt.Sprint(i))))
		for range 19 {
			h.noteSuccess()
		}
	}
	require.Zero(t, h.suspicion)
	require.False(t, h.noteFailure(0, "x"))
	require.NotZero(t, h.suspicion, "but it has a lower score")
}
