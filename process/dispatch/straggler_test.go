package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/version/work"
)

// longRun plays a step of n tasks of which the last one started takes seven times as long as the
// others, and returns that run once its progress shows it.
func longRun(t *testing.T, policy Policy, s work.Step) (h *speedHarness, long SendStart) {
	h = newSpeedHarness(t, policy, 6, 0)
	h.submit(testJob, s)
	h.step(50 * time.Millisecond)
	all := h.starts()
	require.Len(t, all, s.Count)
	long = all[len(all)-1]
	begun := h.now
	for _, x := range all {
		h.e.Started(h.now, x.To.ID, x.Start.Task, x.Start.Run, nil)
	}
	for h.now-begun < 1500*time.Millisecond {
		h.step(100 * time.Millisecond)
		for _, x := range all {
			took := 800 * time.Millisecond
			if x.To.ID == long.To.ID {
				took *= 7
			}
			r := runner.Report{Clock: h.now}
			if ran := h.now - begun; ran < took {
				r.Running = []runner.ActiveRun{{Task: x.Start.Task, Run: x.Start.Run, Percent: 100 * ran.Seconds() / took.Seconds()}}
			} else {
				r.Ended = []runner.Completion{{Number: 1, Task: x.Start.Task, Run: x.Start.Run, Outcome: runner.Done}}
			}
			if s.Gang { // its members end together
				r.Ended = nil
				r.Running = []runner.ActiveRun{{Task: x.Start.Task, Run: x.Start.Run, Percent: min(100, 100*(h.now-begun).Seconds()/took.Seconds())}}
			}
			h.e.Renewed(h.now, x.To.ID, r, nil)
		}
	}
	return h, long
}

// TestLongRunIsMovedOnce guards against jobs that are late because one run takes seven times as
// long as the others, and against a second run of a task whose stop is not answered.
func TestLongRunIsMovedOnce(t *testing.T) {
	h, long := longRun(t, Policy{StragglerMoves: true}, stepOf(5, false))
	require.EqualValues(t, 1, h.e.Stats().StragglerMoves)
	require.EqualValues(t, 1, h.e.Stats().Stragglers)
	require.Empty(t, h.starts(), "the stop is not answered")
	for range 20 {
		h.e.StopAnswered(h.now, long.To.ID, long.Start.Task, long.Start.Run, runner.ErrUnknown)
		h.step(100 * time.Millisecond)
		for _, w := range h.e.workerList {
			if w.ID != long.To.ID {
				h.e.Renewed(h.now, w.ID, runner.Report{Clock: h.now}, nil)
			}
		}
	}
	stops := 0
	for _, x := range h.effects {
		switch x := x.(type) {
		case SendStart:
			require.Fail(t, "second start before the end of the first run is known")
		case SendStop:
			require.Equal(t, long.Start.Run, x.Run)
			stops++
		}
	}
	require.Greater(t, stops, 2, "the stop is repeated")
	h.effects = nil
	h.e.Renewed(h.now, long.To.ID, runner.Report{Clock: h.now, Ended: []runner.Completion{{Number: 1, Task: long.Start.Task, Run: long.Start.Run, Outcome: runner.Stopped}}}, nil)
	h.step(50 * time.Millisecond)
	again := h.starts()
	require.Len(t, again, 1)
	require.Equal(t, long.Start.Task, again[0].Start.Task)
	require.NotEqual(t, long.To.ID, again[0].To.ID)
}

// TestStragglerStaysWithoutAPlace guards against a run that is stopped although no other worker
// has capacity for it.
func TestStragglerStaysWithoutAPlace(t *testing.T) {
	for name, policy := range map[string]Policy{"off": {}, "no model": {StragglerMoves: true, NoSpeedModel: true}} {
		h, _ := longRun(t, policy, stepOf(5, false))
		require.Zero(t, h.e.Stats().StragglerMoves, name)
		require.Empty(t, sent[SendStop](h.harness), name)
	}
	s := stepOf(5, false)
	s.Labels = []string{"f"}
	h, long := longRun(t, Policy{}, s)
	for _, w := range h.e.workerList {
		if w.ID != long.To.ID {
			w.quarantinedUntil = time.Hour
		}
	}
	h.e.o.Policy.StragglerMoves = true
	h.step(time.Second)
	require.EqualValues(t, 1, h.e.Stats().Stragglers)
	require.Zero(t, h.e.Stats().StragglerMoves)
}

// TestStragglerIsMovedAtMostTwice guards against a task that is slow wherever it runs and is
// stopped again and again.
func TestStragglerIsMovedAtMostTwice(t *testing.T) {
	h, long := longRun(t, Policy{}, stepOf(5, false))
	h.e.workers[long.To.ID].allocs[long.Start.Task].task().moves = 2
	h.e.o.Policy.StragglerMoves = true
	h.step(time.Second)
	require.EqualValues(t, 1, h.e.Stats().StragglersAgain)
	require.Zero(t, h.e.Stats().StragglerMoves)
}

// TestGangMovesAsAWhole guards against a gang of which only the slow member is stopped: the
// others would be broken by it, or wait for a member that runs alone.
func TestGangMovesAsAWhole(t *testing.T) {
	h, _ := longRun(t, Policy{StragglerMoves: true}, stepOf(5, true))
	require.EqualValues(t, 1, h.e.Stats().StragglerMoves)
	require.True(t, h.e.jobs[testJob].occurrences[0].steps[0].gang.stopping)
	stopped := map[work.TaskID]bool{}
	for _, x := range sent[SendStop](h.harness) {
		stopped[x.Task] = true
	}
	require.Len(t, stopped, 5)
}
