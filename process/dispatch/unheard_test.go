package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/version/work"
)

// unheardHarness returns a leader that has taken over a worker, and a job that the former leader has
// started there since this one read the submissions.
func unheardHarness(t *testing.T) (*harness, work.TaskID) {
	h := newHarness(t, 2, "w-a", "w-b")
	h.step(50 * time.Millisecond)
	h.report("w-b", runner.Report{Clock: time.Second})
	return h, work.TaskID{Job: testJob}
}

// hear delivers the submission of the job, and returns the start orders of the next second.
func (h *harness) hear() []SendStart {
	sent[SendRenew](h)
	require.NoError(h.t, h.e.Accepted(h.now, jobEntry(h.t, 1, 2, oneTask())))
	h.step(50 * time.Millisecond)
	return h.starts()
}

// TestCompletionOfAJobNotHeardOfYetIsKept guards against a task that starts again after its completion
// was acknowledged: its job is submitted after a successor has read the submissions, the former leader starts
// it, and the successor hears of the completion before it hears of the job.
func TestCompletionOfAJobNotHeardOfYetIsKept(t *testing.T) {
	h, task := unheardHarness(t)
	h.report("w-a", runner.Report{Clock: time.Second, Ended: []runner.Completion{{Number: 1, Task: task, Run: 1, Outcome: runner.Done}}})
	h.step(time.Second)
	for _, x := range sent[SendRenew](h) {
		require.Zero(t, x.Renewal.Acknowledge, "to %s", x.To.ID)
	}
	require.Empty(t, h.hear())
	state, known := h.e.State(testJob)
	require.True(t, known)
	require.Equal(t, work.Completed, state)
}

// TestRunOfAJobNotHeardOfYetIsTakenOver guards against a task that starts beside a run of it that is being
// stopped, since its job is heard of only after the run.
func TestRunOfAJobNotHeardOfYetIsTakenOver(t *testing.T) {
	h, task := unheardHarness(t)
	h.report("w-a", runner.Report{Clock: time.Second, Running: []runner.ActiveRun{{Task: task, Run: 1, Percent: 20}}})
	require.Empty(t, h.hear())
}

// TestCompletionOfAJobThatDoesNotExistIsAcknowledged guards against completions that a worker lists for
// ever, with all that follow them, since their job has ended and been forgotten; and against a
// failed read that is taken for a job that does not exist.
func TestCompletionOfAJobThatDoesNotExistIsAcknowledged(t *testing.T) {
	h, task := unheardHarness(t)
	h.report("w-a", runner.Report{Clock: time.Second, Ended: []runner.Completion{{Number: 1, Task: task, Run: 1, Outcome: runner.Done}}})
	require.Equal(t, []ReadJob{{Job: testJob}}, sent[ReadJob](h))
	require.Error(t, h.e.JobRead(h.now, testJob, store.Entry{}, false, store.ErrUnavailable))
	h.step(time.Second)
	require.Zero(t, h.e.workers["w-a"].ackedCompletion)
	require.Equal(t, []ReadJob{{Job: testJob}}, sent[ReadJob](h))
	require.NoError(t, h.e.JobRead(h.now, testJob, store.Entry{}, false, nil))
	require.EqualValues(t, 1, h.e.workers["w-a"].ackedCompletion)
}

// TestRunOfAJobThatDoesNotExistIsStopped guards against a run that goes on although nobody needs it.
func TestRunOfAJobThatDoesNotExistIsStopped(t *testing.T) {
	h, task := unheardHarness(t)
	running := runner.Report{Clock: time.Second, Running: []runner.ActiveRun{{Task: task, Run: 1, Percent: 20}}}
	h.report("w-a", running)
	require.Empty(t, sent[SendStop](h))
	require.NoError(t, h.e.JobRead(h.now, testJob, store.Entry{}, false, nil))
	h.report("w-a", running)
	require.Equal(t, []SendStop{{To: h.e.workers["w-a"].Ref, Task: task, Run: 1}}, sent[SendStop](h))
}

// TestSubmissionThatIsReadIsTakenOver guards against a job that waits for the watch of the submissions
// although the read of a run's submission has found it.
func TestSubmissionThatIsReadIsTakenOver(t *testing.T) {
	h, task := unheardHarness(t)
	h.report("w-a", runner.Report{Clock: time.Second, Ended: []runner.Completion{{Number: 1, Task: task, Run: 1, Outcome: runner.Done}}})
	require.NoError(t, h.e.JobRead(h.now, testJob, jobEntry(t, 1, 2, oneTask()), true, nil))
	h.step(50 * time.Millisecond)
	require.Empty(t, h.starts())
	require.EqualValues(t, 1, h.e.workers["w-a"].ackedCompletion)
	state, _ := h.e.State(testJob)
	require.Equal(t, work.Completed, state)
}

// TestWorkerWithARunNotHeardOfIsNotIdle guards against a task that starts beside a run whose job is not known yet, since its
// worker, which has no entry, misses a renewal and is taken for one on which nothing runs.
func TestWorkerWithARunNotHeardOfIsNotIdle(t *testing.T) {
	h := newHarness(t, 2)
	require.NoError(t, h.e.Load(0, Saved{Fleet: []store.Entry{fleetEntry(t, "w-a", "w-b")}}))
	h.resize("w-b", work.Resources{CPU: 4000, Memory: 4000})
	h.step(50 * time.Millisecond)
	h.report("w-b", runner.Report{Clock: time.Second})
	h.report("w-a", runner.Report{Clock: time.Second, Running: []runner.ActiveRun{{Task: work.TaskID{Job: testJob}, Run: 1, Percent: 20}}})
	h.step(200 * time.Millisecond)
	h.e.Renewed(h.now, "w-a", runner.Report{}, runner.ErrUnknown)
	require.NotNil(t, h.e.workers["w-a"])
	h.e.Renewed(h.now, "w-b", runner.Report{Clock: time.Second + h.now}, nil)
	require.Empty(t, h.hear())
}
