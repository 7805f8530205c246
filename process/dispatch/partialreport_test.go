package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/lead/evidence"
	"fennelshunt.example/fennelshunt/version/work"
)

// unlistedCompletions is how many completions do not fit into the first report of a worker.
const unlistedCompletions = 20

// partialReportHarness returns a leader that took over w-a, on which every task of a job is done, and its
// completions. w-b has answered.
func partialReportHarness(t *testing.T, cordons *cordonRecord) (*harness, []runner.Completion) {
	step := oneTask()
	step.Count = runner.MaxCompletions + unlistedCompletions
	var all []runner.Completion
	for i := range step.Count {
		all = append(all, runner.Completion{Number: int64(i + 1), Task: work.TaskID{Job: testJob, Index: i}, Run: 1, Outcome: runner.Done})
	}
	value, err := peer.Marshal(fleetRecord{Workers: []runner.Ref{{ID: "w-a"}}})
	require.NoError(t, err)
	fleet := []store.Entry{{Key: keyFleet, Value: value}}
	if cordons != nil {
		for _, x := range all {
			cordons.Workers[0].Tasks = append(cordons.Workers[0].Tasks, x.Task)
		}
		value, err := peer.Marshal(cordons)
		require.NoError(t, err)
		fleet = append(fleet, store.Entry{Key: keyCordoned, Value: value})
	}
	h := newHarness(t, 2)
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 4, step)}, Fleet: fleet}))
	h.resize("w-a", work.Resources{CPU: 4000, Memory: 4000})
	h.resize("w-b", work.Resources{CPU: 4000, Memory: 4000})
	h.step(50 * time.Millisecond)
	h.report("w-b", runner.Report{Clock: time.Second})
	return h, all
}

// partialReportCordons are the states in which w-a can be inherited.
func partialReportCordons() map[string]*cordonRecord {
	return map[string]*cordonRecord{"in use": nil, "cordoned": {Workers: []cordonedWorker{{ID: "w-a"}}}}
}

// TestTasksWaitForAllCompletionsOfAnInheritedWorker guards against tasks that start again after a change of the
// leader, since their completions do not fit into the first report of their worker.
func TestTasksWaitForAllCompletionsOfAnInheritedWorker(t *testing.T) {
	for name, cordons := range partialReportCordons() {
		t.Run(name, func(t *testing.T) {
			h, all := partialReportHarness(t, cordons)
			h.report("w-a", runner.Report{Clock: time.Second, Ended: all[:runner.MaxCompletions]})
			h.step(300 * time.Millisecond)
			require.Empty(t, h.starts())
			h.report("w-a", runner.Report{Clock: 2 * time.Second, Ended: all[runner.MaxCompletions:]})
			h.step(300 * time.Millisecond)
			require.Empty(t, h.starts())
			state, _ := h.e.State(testJob)
			require.Equal(t, work.Completed, state)
			h.requireResolved()
			require.True(t, h.e.workers["w-a"].usable(h.now))
		})
	}
}

// TestTasksDoNotWaitForCompletionsBeyondALease guards against tasks that never start, since their worker becomes
// silent, or leaves, before it has listed all its completions.
func TestTasksDoNotWaitForCompletionsBeyondALease(t *testing.T) {
	for name, cordons := range partialReportCordons() {
		t.Run(name, func(t *testing.T) {
			h, all := partialReportHarness(t, cordons)
			h.report("w-a", runner.Report{Clock: time.Second, Ended: all[:runner.MaxCompletions]})
			for h.now < evidence.MaxAge+2*testLease {
				h.e.Renewed(h.now, "w-a", runner.Report{}, runner.ErrUnknown)
				h.report("w-b", runner.Report{Clock: time.Second + h.now})
				h.step(100 * time.Millisecond)
			}
			require.NotEmpty(t, h.starts())
			h.requireResolved()
		})
	}
}
