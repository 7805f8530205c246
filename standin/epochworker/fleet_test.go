package epochworker

import (
	"context"
	"strings"
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

// renew renews the lease of a worker as epoch 1 for a time and acknowledges its completions up to a number.
func renew(t *testing.T, f *Fleet, w runner.WorkerID, lease time.Duration, acknowledge int64) {
	f.mu.Lock()
	until := f.workers[w].clock() + lease
	f.mu.Unlock()
	_, err := f.Renew(t.Context(), runner.Ref{ID: w}, runner.Renewal{Epoch: 1, Until: until, Acknowledge: acknowledge})
	require.NoError(t, err)
}

// TestStartsOfATaskThatMustRunOnce guards against a check that misses one of the ways to run a task
// twice, or that reports what is allowed.
func TestStartsOfATaskThatMustRunOnce(t *testing.T) {
	task := work.TaskID{Job: id}
	done := func(t *testing.T, f *Fleet) { // on worker a, whose lease then ends in 4 s
		require.NoError(t, order(t, f, "a", task, 1))
		time.Sleep(2 * time.Second)
	}
	again := func(t *testing.T, f *Fleet) { require.NoError(t, order(t, f, "b", task, 2)) }
	for name, x := range map[string]struct {
		do   func(t *testing.T, f *Fleet)
		want string // part of the violation; none if empty
	}{
		"beside a run": {func(t *testing.T, f *Fleet) {
			require.NoError(t, order(t, f, "a", task, 1))
			again(t, f)
		}, "runs twice"},
		"beside a run on a worker that is cut off": {func(t *testing.T, f *Fleet) {
			require.NoError(t, order(t, f, "a", task, 1))
			f.SetDisconnected("a", true)
			again(t, f)
		}, "runs twice"},
		"after its worker crashed": {func(t *testing.T, f *Fleet) {
			require.NoError(t, order(t, f, "a", task, 1))
			f.Crash("a")
			again(t, f)
		}, ""},
		"after an acknowledged end": {func(t *testing.T, f *Fleet) {
			done(t, f)
			renew(t, f, "a", 0, 1)
			again(t, f)
		}, "starts after its completion was acknowledged"},
		"after an end that is acknowledged later": {func(t *testing.T, f *Fleet) {
			done(t, f)
			again(t, f)
			renew(t, f, "a", 0, 1)
		}, "its completion is acknowledged after the task was started again"},
		"after an end that is acknowledged much later, the lease being renewed all the time": {func(t *testing.T, f *Fleet) {
			done(t, f)
			again(t, f)
			for range 10 {
				renew(t, f, "a", 3*time.Second, 0)
				time.Sleep(2 * time.Second)
			}
			renew(t, f, "a", 0, 1)
		}, "its completion is acknowledged after the task was started again"},
		"after the second of two ends, the first one being excused": {func(t *testing.T, f *Fleet) {
			done(t, f)
			time.Sleep(6 * time.Second)
			again(t, f)
			time.Sleep(2 * time.Second)
			require.NoError(t, order(t, f, "a", task, 3))
			renew(t, f, "b", 0, 1)
		}, "run 2 on b: its completion is acknowledged after"},
		"after an end that is never acknowledged": {func(t *testing.T, f *Fleet) {
			done(t, f)
			again(t, f)
			time.Sleep(20 * time.Second)
		}, ""},
		"after an end that is lost with its worker": {func(t *testing.T, f *Fleet) {
			done(t, f)
			f.Crash("a")
			again(t, f)
		}, ""},
		"after an end and a lease that expired, before the acknowledgement": {func(t *testing.T, f *Fleet) {
			done(t, f)
			time.Sleep(6 * time.Second)
			again(t, f)
			renew(t, f, "a", 0, 1)
		}, ""},
		"between an end and a lease that expires before the acknowledgement": {func(t *testing.T, f *Fleet) {
			done(t, f)
			again(t, f)
			time.Sleep(6 * time.Second)
			renew(t, f, "a", 0, 1)
		}, ""},
		"after an end and a lease that expired and was renewed for long": {func(t *testing.T, f *Fleet) {
			done(t, f)
			time.Sleep(6 * time.Second)
			again(t, f)
			for range 10 {
				renew(t, f, "a", 3*time.Second, 0)
				time.Sleep(2 * time.Second)
			}
			renew(t, f, "a", 0, 1)
		}, ""},
		"after a lease that expired before the end": {func(t *testing.T, f *Fleet) {
			renew(t, f, "a", time.Second, 0)
			time.Sleep(2 * time.Second)
			done(t, f)
			again(t, f)
			renew(t, f, "a", 0, 1)
		}, "its completion is acknowledged after the task was started again"},
		"long after the job was shown as completed": {func(t *testing.T, f *Fleet) {
			f.Completed(id)
			time.Sleep(1100 * time.Millisecond)
			f.Completed(id) // the first time counts
			again(t, f)
		}, "after its job was shown as completed"},
		"right after the job was shown as completed": {func(t *testing.T, f *Fleet) {
			f.Completed(id)
			time.Sleep(900 * time.Millisecond)
			again(t, f)
		}, ""},
		"by an order that the worker carries out late, after the job was shown as completed": {func(t *testing.T, f *Fleet) {
			f.SetFaults(Faults{Late: 1})
			require.Error(t, order(t, f, "a", task, 1))
			f.Completed(id)
			time.Sleep(13 * time.Second)
			require.True(t, f.Started(id))
		}, ""},
		"by an order that the worker carries out late, beside a run": {func(t *testing.T, f *Fleet) {
			f.SetFaults(Faults{Late: 1})
			require.Error(t, order(t, f, "a", task, 1))
			f.SetFaults(Faults{})
			for range 13 {
				renew(t, f, "b", 3*time.Second, 0)
				_ = order(t, f, "b", task, 2) // refused once it has ended
				time.Sleep(900 * time.Millisecond)
			}
		}, "runs twice"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := twoWorkers(work.Step{Count: 1})
				if strings.HasSuffix(name, "late, beside a run") {
					f.o.Work = func(work.TaskID, uint64, runner.WorkerID) Behaviour { return Behaviour{Takes: time.Minute} }
				}
				x.do(t, f)
				found := strings.Join(f.Violations(), "\n")
				if x.want == "" {
					require.Empty(t, found)
				} else {
					require.Contains(t, found, x.want)
				}
				time.Sleep(2 * time.Minute)
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

// TestLateOrderReachesWhoeverIsThere guards against a stand-in that is kinder than workers are: an incarnation knows nothing of
// the runs and the refusals of those before it.
func TestLateOrderReachesWhoeverIsThere(t *testing.T) {
	task := work.TaskID{Job: id}
	first := runner.IncarnationID("w", 1)
	for name, before := range map[string]func(t *testing.T, f *Fleet){
		"had it": func(t *testing.T, f *Fleet) { require.NoError(t, order(t, f, first, task, 1)) },
		"was told to stop it": func(t *testing.T, f *Fleet) {
			require.NoError(t, f.Stop(t.Context(), runner.Ref{ID: first}, task, 1, 1))
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := New(Options{Seed: 1, Lease: 6 * time.Second, StopDelay: 100 * time.Millisecond, Delay: time.Millisecond, Restart: time.Second, SameName: true,
					Work: func(work.TaskID, uint64, runner.WorkerID) Behaviour { return Behaviour{Takes: time.Hour} }})
				f.AddJob(id, &work.Job{Steps: []work.Step{{Count: 1, Size: work.Resources{CPU: 600}}}})
				f.Add(runner.Worker{Ref: runner.Ref{ID: first}, Capacity: work.Resources{CPU: 1000}})
				f.SetFaults(Faults{Late: 1})
				require.ErrorIs(t, order(t, f, first, task, 1), runner.ErrUnknown)
				f.SetFaults(Faults{})
				before(t, f)
				f.Crash(first)
				started, _ := f.Counts()
				time.Sleep(12 * time.Second)
				all, _ := f.Counts()
				require.Equal(t, started+1, all)
				require.Empty(t, f.Violations())
				time.Sleep(time.Minute)
			})
		})
	}
}
