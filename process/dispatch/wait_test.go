package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/version/work"
)

// TestWaitForCapacityIsNotShownAsAWaitForAdvice guards against waits for full workers that are
// shown as waits for the advice service, because nothing is asked about full workers.
func TestWaitForCapacityIsNotShownAsAWaitForAdvice(t *testing.T) {
	h := newHarness(t, 1, "w-a")
	blocker := oneTask()
	blocker.Count = 4
	advised := changed(t, jobEntry(t, 1, 4, oneTask()), func(j *work.Job) {
		j.Queue.Advice = &work.Advice{Base: 400 * time.Millisecond, Valid: 2 * time.Second}
	})
	const first = "00000000000000bb"
	full := jobEntry(t, 1, 4, blocker)
	full.Key = KeySubmission(first)
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{full}}))
	h.e.Members(0, []string{"d"})
	h.step(50 * time.Millisecond)
	h.report("w-a", runner.Report{Clock: time.Second})
	require.Len(t, h.starts(), 4, "the worker is full")
	require.NoError(t, h.e.Accepted(h.now, advised))
	cause := func() string {
		h.step(roomPeriod + tickPeriod)
		x, known := h.e.Explain(h.now, testJob)
		require.True(t, known)
		return x.Steps[0].WaitsFor
	}
	require.Equal(t, "room", cause())
	h.e.Members(h.now, nil)
	require.NoError(t, h.e.Accepted(h.now, store.Entry{Key: KeyCancel(first)}))
	h.report("w-a", runner.Report{Clock: 2 * time.Second})
	for _, alloc := range sortedAllocs(h.e.workers["w-a"]) {
		h.e.release(alloc)
	}
	require.Equal(t, "advice_proxy", cause(), "no daemon to call the advice service through")
	h.e.Members(h.now, []string{"d"})
	require.Equal(t, "advice", cause())
}

func TestStepThatHasUsedUpItsQuotaWaitsForIt(t *testing.T) {
	// Guards against a step of which some tasks were started within the quota, and whose other tasks are
	// shown as waiting for capacity: its account's callers would be told the wrong cause, and admission
	// control would count work that waits for a quota as work that delays other accounts.
	accounts, err := work.NewAccounts([]work.Account{{Name: "north", Weight: 1, Cap: work.Resources{CPU: 2000}}})
	require.NoError(t, err)
	h := newHarness(t, 1, "w-a")
	step := oneTask()
	step.Count, step.Estimate = 4, 10*time.Second
	entry := changed(t, jobEntry(t, 1, 4, step), func(j *work.Job) { j.Account = "north" })
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{entry}}))
	h.e.SetAccounts(0, accounts)
	h.step(50 * time.Millisecond)
	h.report("w-a", runner.Report{Clock: time.Second})
	require.Len(t, h.starts(), 2)
	s := h.e.jobs[testJob].occurrences[0].steps[0]
	require.Len(t, s.pending, 2)
	require.Equal(t, waitQuota, s.waitsFor)
}
