package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/standin/epochworker"
	"fennelshunt.example/fennelshunt/standin/kv"
	"fennelshunt.example/fennelshunt/version/work"
)

func longRunningTask() work.Step {
	s := oneTask()
	s.LongRunning, s.Target = true, 50*time.Millisecond
	return s
}

// live reports the started runs as running.
func live(percent float64, starts ...SendStart) []runner.ActiveRun {
	var all []runner.ActiveRun
	for _, s := range starts {
		all = append(all, runner.ActiveRun{Task: s.Start.Task, Run: s.Start.Run, Percent: percent})
	}
	return all
}

func TestLongRunningTaskIsRestartedHoweverItEnds(t *testing.T) {
	h := newHarness(t, 1, "w-a", "w-b")
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 1, longRunningTask())}}))
	h.step(50 * time.Millisecond)
	h.report("w-a", runner.Report{})
	h.report("w-b", runner.Report{})
	number := int64(0)
	for _, outcome := range []runner.Outcome{runner.Done, runner.Failed, runner.Failed, runner.Stopped, runner.Expired, runner.GangBroken} {
		starts := h.starts()
		require.Len(t, starts, 1, "before it ends as %s", outcome)
		s := starts[0]
		number++
		h.report(s.To.ID, runner.Report{Running: live(100, s)})
		h.report(s.To.ID, runner.Report{Ended: []runner.Completion{{Number: number, Task: s.Start.Task, Run: s.Start.Run, Outcome: outcome}}})
		h.step(50 * time.Millisecond)
	}
	require.Len(t, h.starts(), 1)
	state, _ := h.e.State(testJob)
	require.Equal(t, work.Running, state)
}

func TestFailureOfAServingTaskDoesNotCountAgainstItsWorker(t *testing.T) {
	// Services left good workers unused for seconds. Tasks of two long-running jobs fail on
	// one worker after hours of serving; the worker was quarantined, and then got one run at a
	// time, because only completions as done counted in its favour, which these tasks never
	// have.
	w := &worker{}
	h := newHarness(t, 1, "w-a")
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 1, longRunningTask())}}))
	h.step(50 * time.Millisecond)
	h.report("w-a", runner.Report{})
	s := h.starts()[0]
	w = h.e.workers["w-a"]
	w.probation, w.failJobs = true, []work.JobID{"another"}
	h.report("w-a", runner.Report{Running: live(100, s)})
	require.False(t, w.probation, "a task serves there")
	require.Empty(t, w.failJobs)
	h.report("w-a", runner.Report{Ended: []runner.Completion{{Number: 1, Task: s.Start.Task, Run: s.Start.Run, Outcome: runner.Failed}}})
	require.Empty(t, w.failJobs)
	require.Len(t, h.starts(), 1, "at once, on the same worker")
}

func TestCapacityIsReservedForALongRunningTask(t *testing.T) {
	// A service's task that needs most of a worker was not started as long as small tasks kept
	// coming, because each small task that ended was followed by another one that fits the
	// gap: capacity was reserved for gangs only, and work that is late for its objective came
	// first.
	h := newHarness(t, 1, "w-a")
	small := oneTask()
	small.Count = 40
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 1, small)}}))
	h.step(50 * time.Millisecond)
	h.report("w-a", runner.Report{})
	running := h.starts()
	require.Len(t, running, 4, "the worker is full")
	large := longRunningTask()
	large.Size.CPU = 3500
	service := jobEntry(t, 1, 1, large)
	service.Key = KeySubmission("00000000000000bb")
	require.NoError(t, h.e.Accepted(h.now, service))
	number := int64(0)
	for range 4 {
		number++
		first := running[0]
		running = running[1:]
		h.report("w-a", runner.Report{Running: live(10, running...), Ended: []runner.Completion{{Number: number, Task: first.Start.Task, Run: first.Start.Run, Outcome: runner.Done}}})
		h.step(150 * time.Millisecond)
		for _, s := range h.starts() {
			if s.Start.Task.Job == "00000000000000bb" {
				require.EqualValues(t, 4, number, "as soon as there is capacity")
				return
			}
			require.Failf(t, "small work took the capacity", "%s", s.Start.Task)
		}
	}
	require.Fail(t, "never started")
}

func TestEpochEndsWhenItsRunNumbersDo(t *testing.T) {
	// After weeks a service's task was refused by every worker. It fails at once wherever it
	// starts, tens of thousands of times in one epoch, so that the epoch's run numbers had
	// reached those of the next epoch when another leader took over.
	h := newHarness(t, 1, "w-a")
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 1, longRunningTask())}}))
	h.e.jobs[testJob].occurrences[0].steps[0].tasks[0].runs = 1<<runBits - 1
	h.step(50 * time.Millisecond)
	h.report("w-a", runner.Report{})
	require.True(t, h.e.Deposed())
	require.Empty(t, h.starts())
}

func TestBestEffortWorkAvoidsServingTasks(t *testing.T) {
	// A service answered too late while best-effort work ran beside it. Best-effort work books
	// no processors, so that it fits on a worker with a serving task, and neither was
	// considered when the other was placed.
	fill := oneTask()
	fill.BestEffort, fill.Count, fill.Size.CPU = true, 3, 4000
	t.Run("best-effort work comes second", func(t *testing.T) {
		h := newHarness(t, 1, "w-a", "w-b")
		require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 1, longRunningTask())}}))
		h.step(50 * time.Millisecond)
		h.report("w-a", runner.Report{})
		serves := h.starts()[0].To.ID
		h.report("w-b", runner.Report{})
		other := jobEntry(t, 1, 1, fill)
		other.Key = KeySubmission("00000000000000bb")
		require.NoError(t, h.e.Accepted(h.now, other))
		h.step(50 * time.Millisecond)
		starts := h.starts()
		require.Len(t, starts, 3)
		for _, s := range starts {
			require.NotEqual(t, serves, s.To.ID)
		}
	})
	t.Run("serving task comes second", func(t *testing.T) {
		h := newHarness(t, 1, "w-a")
		require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 1, fill)}}))
		h.step(50 * time.Millisecond)
		h.report("w-a", runner.Report{})
		require.Len(t, h.starts(), 3)
		service := jobEntry(t, 1, 1, longRunningTask())
		service.Key = KeySubmission("00000000000000bb")
		require.NoError(t, h.e.Accepted(h.now, service))
		h.step(50 * time.Millisecond)
		stops := 0
		for _, x := range h.effects {
			if _, ok := x.(SendStop); ok {
				stops++
			}
		}
		require.Equal(t, 3, stops, "best-effort work there is stopped")
		require.Len(t, h.starts(), 1)
	})
}

// TestLongRunningJobsUnderRandomFaults keeps services running while daemons are killed and the
// store fails. No faults are injected into the workers, so the system itself must not stop a
// task.
func TestLongRunningJobsUnderRandomFaults(t *testing.T) {
	overSeeds(t, 3, longRunningUnderFaults)
}

func longRunningUnderFaults(t *testing.T, seed uint64) {
	c := newTestCell(t, seed, 16, 3, func(rng *rand.Rand, task work.TaskID) epochworker.Behaviour {
		if task.Index == 0 && rng.IntN(3) == 0 {
			return epochworker.Behaviour{Takes: time.Duration(rng.IntN(20_000)) * time.Millisecond, Fails: true}
		}
		return epochworker.Behaviour{Takes: 24 * time.Hour}
	})
	time.Sleep(2 * time.Second)
	var services []work.JobID
	for range 8 {
		j := drawJob(c.rng, c.rng.IntN(2) == 0)
		j.Steps = j.Steps[:1]
		s := &j.Steps[0]
		s.Gang, s.LongRunning, s.MaxInterrupted = false, true, 1
		services = append(services, c.submit(j))
		time.Sleep(200 * time.Millisecond)
	}
	for range 10 {
		c.injectFaultOf(0, 1, 2, 3, 4, 8)
		time.Sleep(time.Duration(2000+c.rng.IntN(6000)) * time.Millisecond)
	}
	c.kv.SetFaults(kv.Faults{})
	time.Sleep(time.Minute)
	for _, id := range services {
		require.GreaterOrEqual(t, c.fleet.Serving(id), c.jobs[id].Steps[0].Count-1, "%s", id) // the first task may fail just now
		require.False(t, c.state(id).Final(), "%s", id)
		c.cancelJob(id)
	}
	time.Sleep(20 * time.Second)
	require.Zero(t, c.fleet.Running())
	c.stop()
	require.Empty(t, c.fleet.Violations())
	require.Zero(t, c.fleet.ExcessStops())
	require.Empty(t, c.broken)
}

// fillingHarness returns a leader with a step of filling tasks that serve on w-a, of which one may be interrupted, and a job with a
// response time target that has just come. The other workers are empty.
func fillingHarness(t *testing.T, others ...runner.WorkerID) (h *harness, fills []SendStart) {
	fill := oneTask()
	fill.BestEffort, fill.LongRunning, fill.Count, fill.MaxInterrupted = true, true, 4, 1
	h = newHarness(t, 1, "w-a")
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 1, fill)}}))
	h.step(50 * time.Millisecond)
	h.report("w-a", runner.Report{Clock: time.Second})
	fills = h.starts()
	require.Len(t, fills, 4)
	for _, s := range fills {
		h.e.Started(h.now, "w-a", s.Start.Task, s.Start.Run, nil)
	}
	h.report("w-a", runner.Report{Clock: 2 * time.Second, Running: live(100, fills...)})
	for _, id := range others {
		h.resize(id, work.Resources{CPU: 4000, Memory: 4000})
		h.step(50 * time.Millisecond)
		h.report(id, runner.Report{Clock: time.Second})
	}
	service := jobEntry(t, 1, 1, longRunningTask())
	service.Key = KeySubmission("00000000000000bb")
	require.NoError(t, h.e.Accepted(h.now, service))
	h.step(50 * time.Millisecond)
	return h, fills
}

// TestServingTaskLeavesFillingTasksAlone guards against filling tasks that are stopped for a task with a response time target though
// other workers are empty.
func TestServingTaskLeavesFillingTasksAlone(t *testing.T) {
	h, _ := fillingHarness(t, "w-b")
	require.Empty(t, sentKept[SendStop](h))
	starts := h.starts()
	require.Len(t, starts, 1)
	require.EqualValues(t, "w-b", starts[0].To.ID)
}

// sentKept returns the kept effects of one type.
func sentKept[T Effect](h *harness) (all []T) {
	for _, x := range h.effects {
		if s, ok := x.(T); ok {
			all = append(all, s)
		}
	}
	return all
}

// TestFillingTasksMakeWayAsFarAsTheyMayBeMissed guards against filling tasks that are all stopped at once, and against ones that stay beside
// a task with a response time target for good.
func TestFillingTasksMakeWayAsFarAsTheyMayBeMissed(t *testing.T) {
	h, fills := fillingHarness(t)
	stops := sentKept[SendStop](h)
	require.Len(t, stops, 1)
	service := h.starts()
	require.Len(t, service, 1)
	h.e.Started(h.now, "w-a", service[0].Start.Task, service[0].Start.Run, nil)
	left := map[work.TaskID]SendStart{}
	for _, s := range fills {
		left[s.Start.Task] = s
	}
	var ended []runner.Completion
	var elsewhere []SendStart
	h.resize("w-b", work.Resources{CPU: 4000, Memory: 4000})
	report := func() {
		rows := live(100, service...)
		for _, s := range left {
			rows = append(rows, live(100, s)...)
		}
		h.report("w-a", runner.Report{Clock: time.Second + h.now, Running: rows, Ended: ended})
		h.report("w-b", runner.Report{Clock: time.Second + h.now, Running: live(100, elsewhere...)})
		h.step(100 * time.Millisecond)
	}
	for n := 1; n <= 4; n++ {
		require.Len(t, stops, 1, "one at a time")
		x := stops[0]
		h.e.StopAnswered(h.now, "w-a", x.Task, x.Run, nil)
		delete(left, x.Task)
		ended = append(ended, runner.Completion{Number: int64(n), Task: x.Task, Run: x.Run, Outcome: runner.Stopped})
		h.effects = nil
		report()
		require.Empty(t, sentKept[SendStop](h), "the one that was stopped does not serve yet")
		again := sentKept[SendStart](h)
		require.Len(t, again, 1)
		require.EqualValues(t, "w-b", again[0].To.ID)
		h.e.Started(h.now, "w-b", again[0].Start.Task, again[0].Start.Run, nil)
		elsewhere = append(elsewhere, again...)
		h.effects = nil
		report()
		stops = sentKept[SendStop](h)
	}
	require.Empty(t, stops)
	require.Empty(t, left)
}
