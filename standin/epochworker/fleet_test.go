package epochworker

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/version/work"
)

const id = work.JobID("00000000000000aa")

func twoWorkers(steps ...work.Step) *Fleet {
	f := New(Options{Seed: 1, Lease: 6 * time.Second, GangTimeout: 3 * time.Second, StopDelay: 100 * time.Millisecond, Delay: time.Millisecond, Attempts: 1,
		Work: func(work.TaskID, uint64, runner.WorkerID) Behaviour { return Behaviour{Takes: time.Second} }})
	f.AddJob(id, &work.Job{Steps: steps})
	for _, w := range []runner.WorkerID{"a", "b"} {
		f.Add(runner.Worker{Ref: runner.Ref{ID: w}, Capacity: work.Resources{CPU: 1000}})
	}
	return f
}

// order starts a task as epoch 1.
func order(t *testing.T, f *Fleet, w runner.WorkerID, task work.TaskID, run uint64) error {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := f.Start(ctx, runner.Ref{ID: w}, runner.Start{Task: task, Run: run, Epoch: 1, Until: time.Hour})
	return err
}

// TestViolationsAreRecorded violates guarantees on purpose and checks that the stand-in records
// it, so that a run without violations is evidence.
func TestViolationsAreRecorded(t *testing.T) {
	small := work.Step{Count: 2, Size: work.Resources{CPU: 600}}
	after := work.Step{Count: 1, After: []int{0}}
	for name, violate := range map[string]func(t *testing.T, f *Fleet){
		"twice": func(t *testing.T, f *Fleet) {
			require.NoError(t, order(t, f, "a", work.TaskID{Job: id}, 1))
			require.NoError(t, order(t, f, "b", work.TaskID{Job: id}, 2))
		},
		"capacity": func(t *testing.T, f *Fleet) {
			require.NoError(t, order(t, f, "a", work.TaskID{Job: id}, 1))
			require.NoError(t, order(t, f, "a", work.TaskID{Job: id, Index: 1}, 1))
		},
		"order": func(t *testing.T, f *Fleet) {
			require.NoError(t, order(t, f, "a", work.TaskID{Job: id, Step: 1}, 1))
		},
		"after its completion was acknowledged": func(t *testing.T, f *Fleet) {
			require.NoError(t, order(t, f, "a", work.TaskID{Job: id}, 1))
			time.Sleep(2 * time.Second)
			_, err := f.Renew(t.Context(), runner.Ref{ID: "a"}, runner.Renewal{Epoch: 1, Acknowledge: 1})
			require.NoError(t, err)
			require.NoError(t, order(t, f, "b", work.TaskID{Job: id}, 2))
		},
		"unknown job": func(t *testing.T, f *Fleet) {
			require.NoError(t, order(t, f, "a", work.TaskID{Job: "ff"}, 1))
		},
		"long after its cancellation": func(t *testing.T, f *Fleet) {
			f.Cancelled(id)
			time.Sleep(time.Minute)
			require.NoError(t, order(t, f, "a", work.TaskID{Job: id}, 1))
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := twoWorkers(small, after)
				violate(t, f)
				require.NotEmpty(t, f.Violations())
				time.Sleep(time.Minute)
			})
		})
	}
}

func TestLowerEpochsAndRunsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := twoWorkers(work.Step{Count: 1})
		task := work.TaskID{Job: id}
		require.NoError(t, f.Stop(t.Context(), runner.Ref{ID: "a"}, task, 5, 1))
		require.ErrorIs(t, order(t, f, "a", task, 5), runner.ErrStaleRun)
		_, err := f.Renew(t.Context(), runner.Ref{ID: "a"}, runner.Renewal{Epoch: 2})
		require.NoError(t, err)
		require.ErrorIs(t, order(t, f, "a", task, 6), runner.ErrFenced)
		require.Empty(t, f.Violations())
	})
}
