package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/version/work"
)

// noGang returns a change of fullCell by which the waiting step is two tasks that start one by one
// and must start soon, and then makes another change.
func noGang(change func(e *Engine, many, waiting *work.Job)) func(e *Engine, many, waiting *work.Job) {
	return func(e *Engine, many, waiting *work.Job) {
		e.o.Policy.UrgentPreemption = true
		waiting.Steps[0].Gang = false
		waiting.Queue.Slack, waiting.Queue.Allowance = 1.5, 0
		if change != nil {
			change(e, many, waiting)
		}
	}
}

// until steps until an effect is out, at most for a time.
func until[T Effect](h *harness, most time.Duration) []T {
	for end := h.now + most; h.now < end; {
		h.step(tickPeriod)
		for _, x := range h.effects {
			if _, ok := x.(T); ok {
				return sent[T](h)
			}
		}
	}
	return nil
}

// adviseAndStops answers the call of a step that is no gang, and returns the stops.
func adviseAndStops(t *testing.T, h *harness) []SendStop {
	calls := until[AskAdvice](h, 4*time.Second)
	require.Len(t, calls, 1)
	require.ElementsMatch(t, []runner.WorkerID{"w-a", "w-b"}, calls[0].Workers)
	require.Empty(t, sent[SendStop](h), "nothing is stopped without tickets")
	h.advise(calls[0])
	stops := until[SendStop](h, 200*time.Millisecond)
	require.Len(t, stops, 8)
	return stops
}

func TestUrgentTasksStartInsteadOfWorkWithSlack(t *testing.T) {
	// Guards against urgent steps that are late although the cell is full of work with slack.
	for _, advised := range []bool{true, false} {
		h, s, _ := fullCell(t, noGang(func(_ *Engine, _, waiting *work.Job) {
			if !advised {
				waiting.Queue.Advice = nil
			}
		}))
		var stops []SendStop
		if advised {
			stops = adviseAndStops(t, h)
		} else {
			stops = until[SendStop](h, 4*time.Second)
			require.Len(t, stops, 8)
		}
		h.reportStopped("w-a", stops)
		starts := h.starts()
		require.Len(t, starts, 1, "tasks start one by one")
		require.Equal(t, testJob, starts[0].Start.Task.Job)
		h.accept(otherJob, &work.Job{Queue: work.Queue{Name: "q", Service: "s", Attempts: 2, Slack: 2}, Spec: "x", Steps: []work.Step{oneTask()}, Epoch: 1})
		h.reportStopped("w-b", stops)
		starts = h.starts()
		require.Len(t, starts, 1, "what became free is the step's")
		require.Equal(t, testJob, starts[0].Start.Task.Job)
		require.LessOrEqual(t, h.now+5*time.Second, s.occurrence.due, "in time")
		h.step(50 * time.Millisecond)
		require.Nil(t, s.preemption)
		require.False(t, s.gangReserved)
		stats := h.e.Stats()
		require.Equal(t, []uint64{8, 0, 1, 0}, []uint64{stats.Preempted, stats.Reclaimed, stats.Preemptions, stats.PreemptionWasted})
	}
}

func TestBorrowedCapacityIsReclaimedForTasks(t *testing.T) {
	// Guards against a step within its account's entitlement that is late because work beyond the
	// entitlement of another account keeps the cell full, also if plans for urgent steps are off.
	for _, on := range []bool{false, true} {
		h, _, _ := fullCell(t, noGang(lending(func(e *Engine, _, _ *work.Job) { e.o.Policy.UrgentPreemption = on })))
		stops := adviseAndStops(t, h)
		h.reportStopped("w-a", stops)
		h.reportStopped("w-b", stops)
		require.Len(t, h.starts(), 2)
		h.step(50 * time.Millisecond)
		stats := h.e.Stats()
		require.Equal(t, []uint64{8, 8, 1, 0}, []uint64{stats.Preempted, stats.Reclaimed, stats.Preemptions, stats.PreemptionWasted})
	}
}

func TestNoPreemptionForTasks(t *testing.T) {
	// Guards against stops by which a step that is no gang gains nothing, or others lose too much.
	for name, change := range map[string]func(e *Engine, many, waiting *work.Job){
		"not switched on":                func(e *Engine, _, _ *work.Job) { e.o.Policy.UrgentPreemption = false },
		"preemption is switched off":     func(e *Engine, _, _ *work.Job) { e.o.Policy.NoPreemption = true },
		"in time without":                func(_ *Engine, _, waiting *work.Job) { waiting.Queue.Allowance = time.Minute },
		"late all the same":              func(_ *Engine, _, waiting *work.Job) { waiting.Queue.Slack = 1 },
		"runs end by themselves in time": func(_ *Engine, many, _ *work.Job) { many.Steps[0].Estimate = 2500 * time.Millisecond },
		"victims write no checkpoints":   func(_ *Engine, many, _ *work.Job) { many.Steps[0].Checkpoints = false },
		"victims are as urgent":          func(_ *Engine, many, _ *work.Job) { many.Queue.Priority = 1 },
		"victims would be late":          func(_ *Engine, many, _ *work.Job) { many.Queue.Slack = 1 },
		"the step's account has no quota": func(e *Engine, many, waiting *work.Job) {
			lowCap(e, many, waiting)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h, _, _ := fullCell(t, noGang(change))
			for range 20 {
				h.step(200 * time.Millisecond)
				for _, x := range sent[AskAdvice](h) {
					h.advise(x)
				}
				require.Empty(t, sent[SendStop](h))
			}
			require.Zero(t, h.e.Stats().Preempted)
		})
	}
}

func TestFewerTasksThanWaitNeedAPlan(t *testing.T) {
	// Guards against stops for tasks that find capacity in time by themselves: of four tasks, two
	// can start in what a run of the other worker frees soon.
	h, _, starts := fullCell(t, noGang(func(e *Engine, _, waiting *work.Job) {
		e.o.Policy.NoSpeedModel = true // by which the progress of one worker would tell of the other
		waiting.Queue.Advice = nil
		waiting.Steps[0].Count, waiting.Steps[0].Size.CPU = 4, 2000
	}))
	r := runner.Report{Clock: time.Second + h.now}
	for _, x := range starts {
		if x.To.ID == "w-a" {
			r.Running = append(r.Running, runner.ActiveRun{Task: x.Start.Task, Run: x.Start.Run, Percent: 80})
		}
	}
	h.report("w-a", r)
	stops := until[SendStop](h, 4*time.Second)
	require.Len(t, stops, 4, "capacity for two tasks")
}

func TestTasksDoNotStartOnAWorkerThatDoesNotAnswer(t *testing.T) {
	// Guards against two runs in the same capacity, or of the same task, if the worker of a victim
	// does not answer, and against a plan that goes on for ever.
	h, s, _ := fullCell(t, noGang(nil))
	stops := adviseAndStops(t, h)
	for _, x := range stops {
		if x.To.ID == "w-a" {
			h.e.StopAnswered(h.now, x.To.ID, x.Task, x.Run, runner.ErrUnknown)
		}
	}
	h.e.Renewed(h.now, "w-a", runner.Report{}, runner.ErrUnknown)
	h.reportStopped("w-b", stops)
	starts := h.starts()
	require.Len(t, starts, 1)
	require.Equal(t, runner.WorkerID("w-b"), starts[0].To.ID)
	h.step(2 * time.Second)
	require.Nil(t, s.preemption)
	require.False(t, s.gangReserved)
	require.Equal(t, uint64(1), h.e.Stats().PreemptionWasted)
	require.Equal(t, uint64(8), h.e.Stats().Preempted)
	require.Empty(t, h.starts())
}

func TestTasksThatStartElsewhereNeedNoFurtherStops(t *testing.T) {
	// Guards against a reservation that is kept, and a plan that counts as wasted, once all tasks of
	// the step have started on other workers.
	h, s, _ := fullCell(t, noGang(func(_ *Engine, _, waiting *work.Job) { waiting.Queue.Advice = nil }))
	stops := until[SendStop](h, 4*time.Second)
	require.Len(t, stops, 8)
	h.e.WorkerSeen(h.now, runner.Worker{Ref: runner.Ref{ID: "w-c"}, Service: "s", Capacity: work.Resources{CPU: 16000, Memory: 4000}, Labels: []string{"a", "r"}})
	h.step(50 * time.Millisecond)
	h.report("w-c", runner.Report{Clock: time.Second})
	h.step(50 * time.Millisecond)
	require.Len(t, h.starts(), 2)
	require.Nil(t, s.preemption)
	require.False(t, s.gangReserved)
	require.Zero(t, h.e.Stats().PreemptionWasted)
}

func TestNothingIsStoppedIfTheCallOfAStepFails(t *testing.T) {
	// Guards against stops for a step that has no tickets.
	h, s, _ := fullCell(t, noGang(nil))
	calls := until[AskAdvice](h, 4*time.Second)
	require.Len(t, calls, 1)
	h.e.Advised(h.now, calls[0].Member, calls[0].Step, nil, runner.ErrUnknown)
	h.step(300 * time.Millisecond)
	require.Empty(t, sent[SendStop](h))
	require.Nil(t, s.preemption)
}

func TestVictimsStartAgainWhenTheStepIsCancelled(t *testing.T) {
	// Guards against capacity that stays reserved for a cancelled step.
	h, s, _ := fullCell(t, noGang(nil))
	stops := adviseAndStops(t, h)
	require.NoError(t, h.e.Accepted(h.now, store.Entry{Key: KeyCancel(testJob)}))
	h.reportStopped("w-a", stops)
	h.reportStopped("w-b", stops)
	starts := h.starts()
	require.Len(t, starts, 8)
	for _, x := range starts {
		require.Equal(t, manyJob, x.Start.Task.Job)
		require.Equal(t, "half", x.Start.Checkpoint)
	}
	require.False(t, s.gangReserved)
	require.Empty(t, h.e.preempting.plans)
	for _, w := range h.e.workerList {
		require.Empty(t, w.gangReservations)
	}
}

func TestFollowingStepsAreVisitedOnce(t *testing.T) {
	// Guards against a round that takes exponential time for a job in which many paths lead from a step
	// to its last one: this job has 2 to the power of 60. Without estimates, the time of what follows is 0.
	for _, estimate := range []time.Duration{time.Second, 0} {
		h := newHarness(t, 1, "w-a")
		j := &work.Job{Queue: work.Queue{Name: "q", Service: "s", Attempts: 2, Slack: 2}, Spec: "x", Epoch: 1}
		for i := range 122 {
			step := oneTask()
			step.Estimate = estimate
			if layer := i / 2; layer > 0 {
				step.After = []int{2*layer - 2, 2*layer - 1}
			}
			j.Steps = append(j.Steps, step)
		}
		h.accept(testJob, j)
		first := h.e.jobs[testJob].occurrences[0].steps[0]
		require.Equal(t, 60*estimate, h.e.followingNow(first))
		require.Equal(t, 60*estimate, h.e.following(first))
	}
}

func TestWorkOfOtherServicesCausesNoStops(t *testing.T) {
	// Guards against stops for tasks that find capacity in time by themselves because steps of another
	// service, which use other workers, lack capacity as well.
	h, _, _ := fullCell(t, noGang(func(_ *Engine, many, waiting *work.Job) {
		waiting.Queue.Advice = nil
		many.Steps[0].Estimate = 2500 * time.Millisecond
	}))
	step := oneTask()
	step.Count, step.Size = 4, work.Resources{CPU: 4000, Memory: 100}
	h.accept(otherJob, &work.Job{Queue: work.Queue{Name: "q", Service: "elsewhere", Attempts: 2, Slack: 2, Allowance: 10 * time.Second}, Spec: "x", Steps: []work.Step{step}, Epoch: 1})
	for range 20 {
		h.step(200 * time.Millisecond)
		require.Empty(t, sent[SendStop](h))
	}
}

func TestTaskThatStartsElsewhereIsNotCountedInThePlan(t *testing.T) {
	// Guards against a plan for more tasks than wait: it would keep quota from the account's other
	// steps, and hide what the steps after it lack.
	h, s, _ := fullCell(t, noGang(func(_ *Engine, _, waiting *work.Job) { waiting.Queue.Advice = nil }))
	require.Len(t, until[SendStop](h, 4*time.Second), 8)
	require.Equal(t, 2, s.preemption.left())
	h.e.WorkerSeen(h.now, runner.Worker{Ref: runner.Ref{ID: "w-c"}, Service: "s", Capacity: work.Resources{CPU: 4000, Memory: 4000}, Labels: []string{"a", "r"}})
	h.step(50 * time.Millisecond)
	h.report("w-c", runner.Report{Clock: time.Second})
	h.step(50 * time.Millisecond)
	require.Len(t, h.starts(), 1)
	require.Len(t, s.pending, 1)
	require.Equal(t, 1, s.preemption.left())
}
