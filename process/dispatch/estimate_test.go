package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/version/work"
)

// speedHarness has fast workers f-N and slow ones s-N that each run one task at a time. Runs take
// 800 ms on a fast worker and 2 s on a slow one.
type speedHarness struct {
	*harness
	live   map[runner.WorkerID]SendStart
	since  map[runner.WorkerID]time.Duration
	number map[runner.WorkerID]int64
	began  []SendStart // starts since they were last cleared
}

func newSpeedHarness(t *testing.T, policy Policy, fast, slow int) *speedHarness {
	h := &speedHarness{harness: newHarness(t, 1), live: map[runner.WorkerID]SendStart{}, since: map[runner.WorkerID]time.Duration{}, number: map[runner.WorkerID]int64{}}
	h.e.o.Policy = policy.complete()
	h.e.speed = newSpeedModel(h.e.o.Policy)
	for i := range fast + slow {
		id := runner.WorkerID(fmt.Sprint("s-", i))
		if i < fast {
			id = runner.WorkerID(fmt.Sprint("f-", i))
		}
		h.see(id)
	}
	return h
}

func (h *speedHarness) see(id runner.WorkerID) {
	h.e.WorkerSeen(h.now, runner.Worker{Ref: runner.Ref{ID: id}, Service: "s", Capacity: work.Resources{CPU: 1000, Memory: 4000}, Labels: []string{string(id[:1]), "r"}})
	h.step(50 * time.Millisecond)
	h.report(id, runner.Report{Clock: h.now})
}

func takes(id runner.WorkerID) time.Duration {
	if id[0] == 'f' {
		return 800 * time.Millisecond
	}
	return 2 * time.Second
}

// play lets the workers run for a time, with reports every 100 ms.
func (h *speedHarness) play(d time.Duration) {
	for until := h.now + d; h.now < until; {
		for _, s := range h.starts() {
			h.live[s.To.ID], h.since[s.To.ID] = s, h.now
			h.began = append(h.began, s)
			h.e.Started(h.now, s.To.ID, s.Start.Task, s.Start.Run, nil)
		}
		for _, w := range h.e.workerList {
			s, ok := h.live[w.ID]
			if !ok {
				continue
			}
			r := runner.Report{Clock: h.now}
			if ran := h.now - h.since[w.ID]; ran < takes(w.ID) {
				r.Running = []runner.ActiveRun{{Task: s.Start.Task, Run: s.Start.Run, Percent: 100 * ran.Seconds() / takes(w.ID).Seconds()}}
			} else {
				h.number[w.ID]++
				delete(h.live, w.ID)
				r.Ended = []runner.Completion{{Number: h.number[w.ID], Task: s.Start.Task, Run: s.Start.Run, Outcome: runner.Done}}
			}
			h.e.Renewed(h.now, w.ID, r, nil)
		}
		h.step(100 * time.Millisecond)
	}
}

// submit submits a job of one step.
func (h *speedHarness) submit(id work.JobID, s work.Step) {
	entry := jobEntry(h.t, 1, 3, s)
	entry.Key = KeySubmission(id)
	require.NoError(h.t, h.e.Accepted(h.now, entry))
}

func stepOf(n int, gang bool) work.Step {
	return work.Step{Count: n, Size: work.Resources{CPU: 1000, Memory: 100}, Estimate: time.Second, Gang: gang}
}

// workersOf returns the kinds of the workers on which a job's tasks have started.
func (h *speedHarness) workersOf(id work.JobID) (fast, slow int) {
	for _, s := range h.began {
		switch {
		case s.Start.Task.Job != id:
		case s.To.ID[0] == 'f':
			fast++
		default:
			slow++
		}
	}
	return fast, slow
}

// TestGangTakesWorkersOfLikeSpeed guards against a gang that ends late because one of its members
// is on a slow worker, while fast workers are idle; before the first run on the slow ones has
// ended, only its progress shows that they are slow.
func TestGangTakesWorkersOfLikeSpeed(t *testing.T) {
	for _, policy := range []Policy{{}, {NoSpeedModel: true}} {
		h := newSpeedHarness(t, policy, 4, 4)
		short := stepOf(8, false)
		short.Estimate = 500 * time.Millisecond // too low: on average, fast workers look slow
		h.submit("00000000000000aa", short)
		h.play(1900 * time.Millisecond) // the runs on slow workers have not ended
		require.Len(t, h.live, 4)
		h.see("s-8") // two more of the slow kind, without runs of their own
		h.see("s-9")
		h.submit("00000000000000bb", stepOf(4, true))
		h.play(300 * time.Millisecond)
		fast, slow := h.workersOf("00000000000000bb")
		require.Equal(t, 4, fast+slow)
		if policy.NoSpeedModel {
			require.Equal(t, 2, slow)
			continue
		}
		require.Equal(t, 4, fast)
	}
}

// TestRunTimeIsThatOfTheWorker guards against ends that are predicted alike for a fast and a slow
// worker, so that capacity is reserved where it becomes free last.
func TestRunTimeIsThatOfTheWorker(t *testing.T) {
	for _, policy := range []Policy{{}, {NoSpeedModel: true}} {
		h := newSpeedHarness(t, policy, 4, 4)
		h.submit("00000000000000aa", stepOf(40, false))
		h.play(9 * time.Second)
		s := h.e.jobs["00000000000000aa"].occurrences
		require.Empty(t, s, "the job is done")
		h.submit("00000000000000bb", stepOf(8, false))
		h.play(200 * time.Millisecond) // too little progress for their own pace
		for _, w := range h.e.workerList {
			for _, alloc := range w.allocs {
				predicted, actual := alloc.predicted.Seconds(), takes(w.ID).Seconds()
				if policy.NoSpeedModel {
					continue
				}
				require.InDelta(t, actual, predicted, 0.25*actual, "%s", w.ID)
			}
		}
		ends := func(id runner.WorkerID) time.Duration {
			for _, alloc := range h.e.workers[id].allocs {
				return h.e.remaining(alloc)
			}
			return 0
		}
		if policy.NoSpeedModel {
			require.InDelta(t, ends("f-0").Seconds(), ends("s-4").Seconds(), 0.1)
			continue
		}
		require.Greater(t, ends("s-4"), 2*ends("f-0"))
	}
}

// TestNewIncarnationHasNoHistory guards against a replaced machine that is judged by its
// predecessor's runs.
func TestNewIncarnationHasNoHistory(t *testing.T) {
	h := newSpeedHarness(t, Policy{}, 2, 0)
	h.see(runner.IncarnationID("s-x", 1))
	h.submit("00000000000000aa", stepOf(9, false))
	h.play(6 * time.Second)
	require.Greater(t, h.e.workers[runner.IncarnationID("s-x", 1)].speed.Factor, 1.3)
	h.see(runner.IncarnationID("s-x", 2))
	require.Nil(t, h.e.workers[runner.IncarnationID("s-x", 1)])
	require.InDelta(t, 1, h.e.workers[runner.IncarnationID("s-x", 2)].speed.Factor, 1e-9)
}

// TestProgressThatGoesBackIsIgnored guards against a run whose end is predicted from reports that
// arrive out of order.
func TestProgressThatGoesBackIsIgnored(t *testing.T) {
	h := newSpeedHarness(t, Policy{}, 1, 0)
	h.submit("00000000000000aa", stepOf(1, false))
	h.step(50 * time.Millisecond)
	s := h.starts()[0]
	h.e.Started(h.now, s.To.ID, s.Start.Task, s.Start.Run, nil)
	h.step(time.Second)
	report := func(percent float64) time.Duration {
		h.e.Renewed(h.now, s.To.ID, runner.Report{Clock: h.now, Running: []runner.ActiveRun{{Task: s.Start.Task, Run: s.Start.Run, Percent: percent}}}, nil)
		return h.now + h.e.remaining(h.e.workers[s.To.ID].allocs[s.Start.Task])
	}
	ends := report(20)
	h.step(time.Second)
	require.Equal(t, ends, report(5))
	require.Equal(t, ends, report(20))
	require.EqualValues(t, 1, h.e.Stats().SpeedSamples)
}

// TestSuccessorLearnsSpeedsFromProgress guards against a new leader that treats all workers alike
// until runs have ended.
func TestSuccessorLearnsSpeedsFromProgress(t *testing.T) {
	h := newSpeedHarness(t, Policy{}, 4, 4)
	h.submit("00000000000000aa", stepOf(8, false))
	h.play(200 * time.Millisecond)
	next := newSpeedHarness(t, Policy{}, 0, 0)
	next.now = h.now
	next.e.o.Epoch = 2
	entry := jobEntry(t, 1, 3, stepOf(8, false))
	entry.Key = KeySubmission("00000000000000aa")
	require.NoError(t, next.e.Load(next.now, Saved{Accepted: []store.Entry{entry}}))
	next.live, next.since = h.live, h.since
	for _, w := range h.e.workerList {
		next.e.WorkerSeen(next.now, w.Worker)
	}
	next.step(50 * time.Millisecond)
	next.play(450 * time.Millisecond) // adopted runs count from their first report
	require.Greater(t, next.e.workers["s-4"].speed.Factor, 1.2*next.e.workers["f-0"].speed.Factor)
	require.Zero(t, next.e.Stats().Done)
}

// TestRunFromACheckpointHasItsWholeRestLeft guards against a run that continues at 60 % and is taken
// to have done all of that in its own, short time: its end, and the start of a reservation on its
// capacity, would be expected too early. In the model of speeds its worker would also count as fast.
func TestRunFromACheckpointHasItsWholeRestLeft(t *testing.T) {
	for _, policy := range []Policy{{}, {NoSpeedModel: true}} {
		h := newSpeedHarness(t, policy, 1, 0)
		spec := stepOf(1, false)
		spec.Checkpoints, spec.Estimate = true, 10*time.Second
		h.submit("00000000000000aa", spec)
		var s SendStart
		begin := func() {
			h.step(50 * time.Millisecond)
			s = h.starts()[0]
			h.e.Started(h.now, s.To.ID, s.Start.Task, s.Start.Run, nil)
		}
		report := func(percent float64) {
			h.e.Renewed(h.now, s.To.ID, runner.Report{Clock: h.now, Running: []runner.ActiveRun{{Task: s.Start.Task, Run: s.Start.Run, Percent: percent}}}, nil)
		}
		number := int64(0)
		end := func(outcome runner.Outcome, checkpoint string) {
			number++
			c := runner.Completion{Number: number, Task: s.Start.Task, Run: s.Start.Run, Outcome: outcome, Checkpoint: checkpoint}
			h.e.Renewed(h.now, s.To.ID, runner.Report{Clock: h.now, Ended: []runner.Completion{c}}, nil)
		}
		remaining := func() float64 { return h.e.remaining(h.e.workers[s.To.ID].allocs[s.Start.Task]).Seconds() }

		begin()
		h.step(6 * time.Second)
		report(60)
		require.InDelta(t, 4, remaining(), 0.1, "%+v", policy)
		end(runner.Stopped, "a checkpoint at 60 %")
		begin()
		require.NotEmpty(t, s.Start.Checkpoint)
		h.step(100 * time.Millisecond) // the checkpoint is being restored
		report(60)
		require.InDelta(t, 4, remaining(), 0.4, "%+v", policy)
		h.step(time.Second)
		report(70)
		require.InDelta(t, 3, remaining(), 0.3, "%+v", policy)
		h.step(3 * time.Second)
		end(runner.Done, "")
		if !policy.NoSpeedModel {
			require.InDelta(t, 1, h.e.workers[s.To.ID].speed.Factor, 0.1)
		}
	}
}

// TestRunWhoseStartAnswerWasLostIsNoFastOne guards against a run that a report confirms when it is half
// done, and that is taken to have done that half since the report: it would be expected to end at once,
// and its worker would count as fast.
func TestRunWhoseStartAnswerWasLostIsNoFastOne(t *testing.T) {
	h := newSpeedHarness(t, Policy{}, 1, 0)
	spec := stepOf(1, false)
	spec.Estimate = 2 * time.Second
	h.submit("00000000000000aa", spec)
	h.step(50 * time.Millisecond)
	s := h.starts()[0]
	report := func(percent float64) {
		h.e.Renewed(h.now, s.To.ID, runner.Report{Clock: h.now, Running: []runner.ActiveRun{{Task: s.Start.Task, Run: s.Start.Run, Percent: percent}}}, nil)
	}
	h.step(time.Second)
	report(50)
	h.step(200 * time.Millisecond)
	report(60)
	alloc := h.e.workers[s.To.ID].allocs[s.Start.Task]
	require.InDelta(t, 0.8, h.e.remaining(alloc).Seconds(), 0.1)
	h.step(200 * time.Millisecond)
	report(70)
	require.InDelta(t, 0.6, h.e.remaining(alloc).Seconds(), 0.1)
	require.InDelta(t, 1, alloc.w.speed.Factor, 0.1)
}
