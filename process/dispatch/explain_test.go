package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/version/work"
)

// TestExplanationNamesTheWaitCause guards against a waiting job for which no cause is shown.
func TestExplanationNamesTheWaitCause(t *testing.T) {
	h := newHarness(t, 1, "w-a")
	second := oneTask()
	second.After = []int{0}
	first := oneTask()
	first.Count = 6
	entry := changed(t, jobEntry(t, 1, 4, first, second), func(j *work.Job) { j.Account = "north" })
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{entry}}))
	h.step(50 * time.Millisecond)
	waits := func() (x Explanation, first, second string) {
		x, known := h.e.Explain(h.now, testJob)
		require.True(t, known)
		require.Len(t, x.Steps, 2)
		return x, x.Steps[0].WaitsFor, x.Steps[1].WaitsFor
	}
	h.report("w-a", runner.Report{Clock: time.Second})
	_, step, after := waits()
	require.Equal(t, "quota", step, "the caps are not known")
	require.Equal(t, waitsForEarlierSteps, after)
	h.e.SetAccounts(h.now, accountsOf(t, work.Account{Name: "north", Weight: 1, Cap: work.Resources{CPU: 2000}}))
	h.step(200 * time.Millisecond)
	x, step, _ := waits()
	require.Equal(t, "quota", step)
	require.Equal(t, int64(2000), x.Held.MilliCPU)
	require.Equal(t, int64(2000), x.Cap.MilliCPU)
	require.Equal(t, 2, x.Steps[0].Running)
	require.Equal(t, h.now.Milliseconds(), x.Steps[0].OpenMS)
	h.e.SetAccounts(h.now, accountsOf(t, work.Account{Name: "north", Weight: 1, Cap: work.Resources{CPU: 500}}))
	_, step, _ = waits()
	require.Equal(t, waitsForHigherCap, step)
	h.e.SetAccounts(h.now, accountsOf(t, work.Account{Name: "north", Weight: 1}))
	h.step(200 * time.Millisecond)
	x, step, _ = waits()
	require.Equal(t, "room", step)
	require.Equal(t, 4, x.Steps[0].Running)
	require.Positive(t, x.Waited["quota"])
	_, known := h.e.Explain(h.now, "00000000000000ff")
	require.False(t, known)
}
