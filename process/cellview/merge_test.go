package cellview

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/internal/rapidtest"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/version/spec"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

// TestMergedStatesEqualWholeOnes compares the merging of deltas, some of them skipped,
// with the naive implementation: the whole list each time.
func TestMergedStatesEqualWholeOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMerger()
		running := make(map[worker.Ref]plan.RunningTask)
		known := false
		now := time.Unix(1000, 0)
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Second)
			var added []plan.RunningTask
			var ended []worker.Ref
			for ref := range running {
				if rapid.IntRange(0, 3).Draw(t, "end") == 0 {
					ended = append(ended, ref)
					delete(running, ref)
				}
			}
			for n := range rapid.IntRange(0, 3).Draw(t, "added") {
				ref := worker.Ref{Task: spec.TaskID{Job: fmt.Sprintf("j%d", i), Index: n}, Attempt: 1}
				running[ref] = plan.RunningTask{Ref: ref, Class: spec.Low, StartedMillis: 0}
				added = append(added, running[ref])
			}
			s := plan.State{Workers: []plan.WorkerState{{ID: "w", Partial: true, Tasks: added, Ended: ended}}}
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0: // the reader was too far behind
				s.Workers[0] = plan.WorkerState{ID: "w", Tasks: values(running)}
			case 1:
				s = plan.State{Full: true, Workers: []plan.WorkerState{{ID: "w", Tasks: values(running)}}}
			}
			whole := !s.Workers[0].Partial
			require.Equal(t, known || whole, m.complete(&s, now), "a delta on nothing cannot be completed")
			known = known || whole
			if known {
				require.False(t, s.Workers[0].Partial)
				require.ElementsMatch(t, values(running), s.Workers[0].Tasks)
			}
		}
	})
}

func TestTaskAgeContinues(t *testing.T) {
	m := newMerger()
	task := plan.RunningTask{Ref: worker.Ref{Attempt: 1}, StartedMillis: 500}
	now := time.Unix(1000, 0)
	first := plan.State{Full: true, Workers: []plan.WorkerState{{ID: "w", Tasks: []plan.RunningTask{task}}}}
	require.True(t, m.complete(&first, now))
	later := plan.State{Workers: []plan.WorkerState{{ID: "w", Partial: true}}}
	require.True(t, m.complete(&later, now.Add(2*time.Second)))
	require.EqualValues(t, 2500, later.Workers[0].Tasks[0].StartedMillis)
	removed := plan.State{Workers: []plan.WorkerState{{ID: "w", Removed: true}}}
	require.True(t, m.complete(&removed, now))
	require.False(t, m.complete(&plan.State{Workers: []plan.WorkerState{{ID: "w", Partial: true}}}, now))
}

func values(m map[worker.Ref]plan.RunningTask) []plan.RunningTask {
	list := make([]plan.RunningTask, 0, len(m))
	for _, t := range m {
		list = append(list, t)
	}
	return list
}
