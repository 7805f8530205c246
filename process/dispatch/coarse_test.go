package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/version/work"
)

// coarseRun is a run that never ends and shows its progress in steps.
type coarseRun struct {
	start runner.Start
	began time.Duration
}

// coarse plays jobs of one task each, as large as a worker, whose runs gain a percent per step, and returns how often runs were stopped
// until when.
func coarse(t *testing.T, jobs int, step time.Duration, d time.Duration) (h *harness, stops int, last time.Duration) {
	ids := []runner.WorkerID{"w-a", "w-b", "w-c", "w-d"}
	h = newHarness(t, 1, ids...)
	task := oneTask()
	task.Size.CPU = 4000
	var accepted []store.Entry
	for i := range jobs {
		entry := jobEntry(t, 1, 4, task)
		entry.Key = KeySubmission(testJob[:len(testJob)-1] + work.JobID(rune('0'+i)))
		accepted = append(accepted, entry)
	}
	require.NoError(t, h.e.Load(0, Saved{Accepted: accepted}))
	runs, ended := map[runner.WorkerID]*coarseRun{}, map[runner.WorkerID][]runner.Completion{}
	for h.now < d {
		h.step(50 * time.Millisecond)
		for _, effect := range sent[Effect](h) {
			switch x := effect.(type) {
			case SendStart:
				h.e.Started(h.now, x.To.ID, x.Start.Task, x.Start.Run, nil)
				runs[x.To.ID] = &coarseRun{x.Start, h.now}
			case SendStop:
				h.e.StopAnswered(h.now, x.To.ID, x.Task, x.Run, nil)
				if r := runs[x.To.ID]; r != nil && r.start.Task == x.Task {
					runs[x.To.ID] = nil
					ended[x.To.ID] = append(ended[x.To.ID], runner.Completion{Number: int64(len(ended[x.To.ID]) + 1), Task: x.Task, Run: x.Run, Outcome: runner.Stopped})
					stops, last = stops+1, h.now
				}
			}
		}
		for _, id := range ids {
			report := runner.Report{Clock: time.Second + h.now, Ended: ended[id]}
			if r := runs[id]; r != nil {
				report.Running = []runner.ActiveRun{{Task: r.start.Task, Run: r.start.Run, Percent: float64((h.now - r.began) / step)}}
			}
			if h.e.workers[id].renewing {
				h.e.Renewed(h.now, id, report, nil)
			}
		}
	}
	return h, stops, last
}

// TestRunOfCoarseProgressIsLeftAloneInTheEnd guards against a task that takes much longer than estimated and is stopped again and again, as
// its progress is shown in steps that take longer than a run may stand still.
func TestRunOfCoarseProgressIsLeftAloneInTheEnd(t *testing.T) {
	_, stops, last := coarse(t, 1, 6*time.Second, time.Minute)
	require.NotZero(t, stops)
	require.LessOrEqual(t, stops, 2)
	require.Less(t, last, 10*time.Second)
}

// TestRunThatStandsStillIsMovedAgainAndAgain guards against a run that is left alone on a worker on which it stands still, since it stood
// still on others.
func TestRunThatStandsStillIsMovedAgainAndAgain(t *testing.T) {
	_, stops, _ := coarse(t, 1, time.Hour, time.Minute)
	require.GreaterOrEqual(t, stops, 4)
}

// TestWorkersAreNotBlamedForTasksThatStandStillOnEach guards against a cell without usable workers because some tasks stand still
// wherever they run.
func TestWorkersAreNotBlamedForTasksThatStandStillOnEach(t *testing.T) {
	h, stops, _ := coarse(t, 3, time.Hour, time.Minute)
	require.Greater(t, stops, 6)
	require.LessOrEqual(t, h.e.Stats().Quarantined, uint64(1))
}
