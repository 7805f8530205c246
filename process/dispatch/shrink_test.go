package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/version/work"
)

// resize reports a worker with another capacity to the engine.
func (h *harness) resize(id runner.WorkerID, capacity work.Resources) {
	h.e.WorkerSeen(h.now, runner.Worker{Ref: runner.Ref{ID: id}, Service: "s", Capacity: capacity, Labels: []string{"a", "r"}})
}

// TestNothingStartsOnAWorkerThatHasBecomeTooSmall guards against starts beyond a capacity that
// has shrunk.
func TestNothingStartsOnAWorkerThatHasBecomeTooSmall(t *testing.T) {
	h := newHarness(t, 1, "w-a")
	step := oneTask()
	step.Count = 6
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 4, step)}}))
	h.step(50 * time.Millisecond)
	h.report("w-a", runner.Report{Clock: time.Second})
	first := h.starts()
	require.Len(t, first, 4)
	h.resize("w-a", work.Resources{CPU: 2000, Memory: 4000})
	h.report("w-a", runner.Report{Clock: time.Second + h.now, Ended: []runner.Completion{{Number: 1, Task: first[0].Start.Task, Run: first[0].Start.Run}, {Number: 2, Task: first[1].Start.Task, Run: first[1].Start.Run}}})
	require.Empty(t, h.starts(), "two run, and there is capacity for two")
	h.report("w-a", runner.Report{Clock: time.Second + h.now, Ended: []runner.Completion{{Number: 3, Task: first[2].Start.Task, Run: first[2].Start.Run}}})
	require.Len(t, h.starts(), 1)
	h.resize("w-a", work.Resources{CPU: 4000, Memory: 4000})
	h.step(100 * time.Millisecond)
	require.Len(t, h.starts(), 1, "it has grown again")
}

// TestUnansweredStartIsNotSentAgainToAWorkerThatHasBecomeTooSmall guards against a start that
// fitted when it was decided but not when it arrives.
func TestUnansweredStartIsNotSentAgainToAWorkerThatHasBecomeTooSmall(t *testing.T) {
	h := newHarness(t, 1, "w-a")
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 4, oneTask())}}))
	h.step(50 * time.Millisecond)
	h.report("w-a", runner.Report{Clock: time.Second})
	first := h.starts()
	require.Len(t, first, 1)
	h.resize("w-a", work.Resources{CPU: 500, Memory: 4000})
	h.now += tickPeriod
	h.e.Started(h.now, "w-a", first[0].Start.Task, first[0].Start.Run, runner.ErrUnknown)
	h.effects = append(h.effects, h.e.Flush(h.now)...)
	stops := 0
	for _, x := range h.effects {
		if _, ok := x.(SendStop); ok {
			stops++
		}
	}
	require.Empty(t, h.starts())
	require.Equal(t, 1, stops, "in case it has arrived")
}

// TestTrialIsNotSentToAWorkerThatHasBecomeTooSmall guards against a trial whose worker shrinks
// while the trial waits to be recorded.
func TestTrialIsNotSentToAWorkerThatHasBecomeTooSmall(t *testing.T) {
	h := loadSuspect(t, twoCrashes, "w-a")
	h.e.Renewed(h.now, "w-a", runner.Report{Clock: time.Second}, nil)
	var streams []int
	for range 10 { // the write of the trial's record is slow
		h.now += tickPeriod
		h.e.Tick(h.now)
		for _, x := range h.e.Flush(h.now) {
			switch x := x.(type) {
			case SendCommit:
				streams = append(streams, x.Stream)
			case SendStart:
				t.Fatal("started before it was recorded")
			}
		}
	}
	require.NotEmpty(t, streams)
	h.resize("w-a", work.Resources{CPU: 500, Memory: 4000})
	for _, stream := range streams {
		h.e.Committed(h.now, stream)
	}
	h.step(100 * time.Millisecond)
	require.Empty(t, h.starts())
	h.resize("w-a", work.Resources{CPU: 4000, Memory: 4000})
	h.step(time.Second)
	require.Len(t, h.starts(), 1)
}

// TestSuccessorUsesShrunkCapacities guards against a leader that fills a worker up to the
// capacity that it had before the takeover.
func TestSuccessorUsesShrunkCapacities(t *testing.T) {
	overSeeds(t, 6, func(t *testing.T, seed uint64) {
		c := newTestCell(t, seed, 16, 3, usualBehaviour(0))
		randomFaultsOf(t, c, func(rng *rand.Rand) *work.Job { return drawJob(rng, rng.IntN(2) == 0) }, func(c *cell) {
			c.resizeSome()
			c.injectFaultOf(0, 0, 1, 3, 4, 5, 9)
		})
	})
}

// capacityLag is how long the engine's record of a worker's capacity may be out of date: the
// directory is watched with pauses, over a store that may answer late.
const capacityLag = 4500 * time.Millisecond

// resizeSome draws new capacities for some workers, and restores each after a while.
func (c *cell) resizeSome() {
	for _, id := range c.fleet.IDs() {
		if c.rng.IntN(3) > 0 {
			continue
		}
		c.fleet.Resize(id, work.Resources{CPU: 16000 + c.rng.IntN(40000), Memory: 40000 + c.rng.IntN(60000)}, capacityLag)
		time.AfterFunc(time.Duration(2000+c.rng.IntN(6000))*time.Millisecond, func() {
			c.fleet.Resize(id, work.Resources{CPU: 64000, Memory: 131072}, capacityLag)
		})
	}
}
