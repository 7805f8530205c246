package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/version/work"
)

// undecodableHarness returns a leader whose worker reports the completion of a job that cannot be decoded, and of the one task of another
// job, and the store that it writes to. The first one has been read.
func undecodableHarness(t *testing.T) (*harness, *slowStore) {
	h := newHarness(t, 2, "w-a")
	s := newSlowStore(h, 0)
	require.NoError(t, h.e.Accepted(h.now, jobOf(t, "", secondJob, 2, oneTask())))
	h.step(50 * time.Millisecond)
	h.report("w-a", runner.Report{Clock: time.Second})
	starts := h.starts()
	require.Len(t, starts, 1)
	h.report("w-a", runner.Report{Clock: time.Second, Ended: []runner.Completion{{Number: 1, Task: work.TaskID{Job: testJob}, Run: 1, Outcome: runner.Done},
		{Number: 2, Task: starts[0].Start.Task, Run: starts[0].Start.Run, Outcome: runner.Done}}})
	require.Equal(t, []ReadJob{{Job: testJob}}, sent[ReadJob](h))
	require.Error(t, h.e.JobRead(h.now, testJob, store.Entry{Key: KeySubmission(testJob), Value: []byte("of a newer version")}, true, nil))
	return h, s
}

// TestUndecodableSubmissionHoldsNoAcknowledgements guards against a worker that may never drop its completions again, and then lists no new ones, since
// one of them is of a job that a newer version has accepted.
func TestUndecodableSubmissionHoldsNoAcknowledgements(t *testing.T) {
	h, _ := undecodableHarness(t)
	require.Zero(t, h.e.workers["w-a"].ackedCompletion, "not before it is stored")
	h.step(200 * time.Millisecond)
	require.EqualValues(t, 2, h.e.workers["w-a"].ackedCompletion)
	h.step(9 * time.Second)
	require.Empty(t, sent[ReadJob](h), "it is not read again and again")
}

// TestCompletionOfAnUndecodableJobIsProcessedLater guards against a task that starts again after its completion was acknowledged, under a leader that
// can decode its job, and against completions that stay in the store for ever.
func TestCompletionOfAnUndecodableJobIsProcessedLater(t *testing.T) {
	h, s := undecodableHarness(t)
	h.step(200 * time.Millisecond)
	between := newHarness(t, 3, "w-a") // one more that cannot
	between.wrote = s.apply
	require.NoError(t, between.e.Load(0, Saved{Fleet: s.withPrefix(prefixFleet)}))
	require.Equal(t, []ReadJob{{Job: testJob}}, func() []ReadJob { between.step(50 * time.Millisecond); return sent[ReadJob](between) }())
	require.Error(t, between.e.JobRead(between.now, testJob, store.Entry{Value: []byte("of a newer version")}, true, nil))
	between.e.fleetChanged, between.e.unreadChanged = true, true
	between.step(200 * time.Millisecond)

	next := newHarness(t, 4, "w-a")
	next.wrote = s.apply
	require.NoError(t, next.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 4, oneTask())}, Fleet: s.withPrefix(prefixFleet)}))
	next.step(50 * time.Millisecond)
	next.report("w-a", runner.Report{Clock: time.Second})
	next.step(time.Second)
	require.Empty(t, next.starts())
	state, _ := next.e.State(testJob)
	require.Equal(t, work.Completed, state)
	last := newHarness(t, 5)
	require.NoError(t, last.e.Load(0, Saved{Fleet: s.withPrefix(prefixFleet)}))
	require.Empty(t, last.e.unread)
}

// TestCompletionOfAJobThatIsGoneIsDropped guards against completions that stay in the store for ever since their job has ended otherwise.
func TestCompletionOfAJobThatIsGoneIsDropped(t *testing.T) {
	h, s := undecodableHarness(t)
	h.step(200 * time.Millisecond)
	next := newHarness(t, 3, "w-a")
	next.wrote = s.apply
	require.NoError(t, next.e.Load(0, Saved{Fleet: s.withPrefix(prefixFleet)}))
	require.Len(t, next.e.unread, 1)
	next.step(50 * time.Millisecond)
	require.NoError(t, next.e.JobRead(next.now, testJob, store.Entry{}, false, nil))
	next.step(200 * time.Millisecond)
	last := newHarness(t, 4)
	require.NoError(t, last.e.Load(0, Saved{Fleet: s.withPrefix(prefixFleet)}))
	require.Empty(t, last.e.unread)
}
