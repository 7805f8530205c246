package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/version/work"
)

// TestStepThatWaitsBesideRoomIsToldOnce guards against a step that never starts in an idle cell, and of which no log line or metric says so.
func TestStepThatWaitsBesideRoomIsToldOnce(t *testing.T) {
	told := func(workers ...runner.WorkerID) (n uint64, why string) {
		h := newHarness(t, 1, workers...)
		h.e.o.Decide = func(d Decision) {
			if d.What == "step waits beside room" {
				why = d.Why
			}
		}
		h.step(50 * time.Millisecond)
		h.answer(workers...)
		wide := tasksOf(4, true)
		require.NoError(t, h.e.Accepted(h.now, changed(t, jobOf(t, "", testJob, 1, wide), slowAdvice))) // there is no daemon to ask through
		h.stay(startPromise, workers...)
		require.Zero(t, h.e.Stats().BesideRoom, "not before its time")
		h.stay(3*startPromise, workers...)
		return h.e.Stats().BesideRoom, why
	}
	n, why := told("w-a", "w-b", "w-c", "w-d")
	require.EqualValues(t, 1, n)
	require.Contains(t, why, waitProxy.String())
	n, _ = told("w-a")
	require.Zero(t, n, "one worker has no room twice over")
}

// TestTakeoverThatHoldsAJobBesideRoomIsTold guards against a wait for an earlier leader's workers that is not told as what it is.
func TestTakeoverThatHoldsAJobBesideRoomIsTold(t *testing.T) {
	why := ""
	h := newHarness(t, 2)
	h.e.o.Decide = func(d Decision) {
		if d.What == "step waits beside room" {
			why = d.Why
		}
	}
	fleet := fleetEntry(t, "w-a", "w-gone")
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 2, oneTask())}, Fleet: []store.Entry{fleet}}))
	h.e.WorkerSeen(h.now, runner.Worker{Ref: runner.Ref{ID: "w-a"}, Service: "s", Capacity: work.Resources{CPU: 4000, Memory: 4000}, Labels: []string{"a", "r"}})
	h.step(50 * time.Millisecond)
	h.answer("w-a")
	h.stay(startPromise+time.Second, "w-a")
	require.Contains(t, why, "1 workers of an earlier leader have not answered")
	require.EqualValues(t, 1, h.e.Stats().BesideRoom)
}
