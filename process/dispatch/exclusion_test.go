package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/version/work"
)

// onProbation quarantines workers as two failed runs of different jobs do.
func (h *harness) onProbation(ids ...runner.WorkerID) {
	for _, id := range ids {
		for i := range quarantineFailures {
			h.e.workers[id].noteFailure(h.now, []work.JobID{"fails-1", "fails-2"}[i])
		}
	}
}

// stay advances the time, with a report of these workers each 100 ms.
func (h *harness) stay(d time.Duration, ids ...runner.WorkerID) {
	for until := h.now + d; h.now < until; {
		h.step(100 * time.Millisecond)
		h.answer(ids...)
	}
}

// TestExcludedWorkersAreShown guards against a job that waits beside idle workers, none of which
// is given work, while nothing says so.
func TestExcludedWorkersAreShown(t *testing.T) {
	h := readyHarness(t, "w-1", "w-2", "w-3")
	h.onProbation("w-1", "w-2")
	h.e.workers["w-3"].quarantinedUntil = h.now + time.Minute
	require.NoError(t, h.e.Accepted(h.now, jobOf(t, "", testJob, 1, tasksOf(2, false))))
	h.step(time.Second)
	x, known := h.e.Explain(h.now, testJob)
	require.True(t, known)
	step := x.Steps[0]
	require.Equal(t, 3, step.Fit)
	require.Len(t, step.Excluded, 1)
	require.Equal(t, "quarantine", step.Excluded[0].Why)
	require.Equal(t, 3, step.Excluded[0].Workers)
	require.InDelta(t, 1000, step.Excluded[0].SinceMS, 100)
	require.InDelta(t, 1000, step.Excluded[0].EndsMS, 100, "the first of them")
	require.EqualValues(t, 3, h.e.Stats().WorkersQuarantined)

	h.e.workers["w-1"].quarantinedUntil = 0
	h.e.workers["w-2"].probation = false
	h.step(tickPeriod)
	require.Len(t, h.starts(), 1, "a worker on probation gets one run at a time")
	x, _ = h.e.Explain(h.now, testJob)
	require.Equal(t, []string{"quarantine", "probe"}, []string{x.Steps[0].Excluded[0].Why, x.Steps[0].Excluded[1].Why})
	require.EqualValues(t, 1, h.e.Stats().WorkersOnProbation)
}

// TestStepThatWaitsForExcludedWorkersIsLogged guards against logs that tell on-call engineers
// nothing of a job that no worker is given, and against a line for it in every round.
func TestStepThatWaitsForExcludedWorkersIsLogged(t *testing.T) {
	h := readyHarness(t, "w-1", "w-2")
	var lines []string
	h.e.o.Decide = func(d Decision) {
		if d.What == "step waits for excluded workers" {
			lines = append(lines, d.Why)
		}
	}
	h.e.workers["w-1"].quarantinedUntil = time.Hour
	h.e.workers["w-2"].Draining = true
	require.NoError(t, h.e.Accepted(h.now, jobOf(t, "", testJob, 1, tasksOf(1, false))))
	h.stay(2*exclusionLogAfter+2*exclusionLogPause, "w-1")
	require.Len(t, lines, 2, "once in each %v", exclusionLogAfter)
	require.Regexp(t, `^no other worker fits: 1 leaving; 1 quarantine, the first ends in 359\d\.\d s$`, lines[0])
}
