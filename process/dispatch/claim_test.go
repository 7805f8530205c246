package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/standin/epochworker"
	"fennelshunt.example/fennelshunt/version/work"
)

// see passes on an entry of an incarnation at an address.
func (h *harness) see(id runner.WorkerID, address string) {
	h.e.WorkerSeen(h.now, runner.Worker{Ref: runner.Ref{ID: id, Address: address}, Service: "s", Capacity: work.Resources{CPU: 4000, Memory: 4000}, Labels: []string{"a", "r"}})
}

var (
	livingID  = runner.IncarnationID("w-a", 1000)
	foreignID = runner.IncarnationID("w-a", 9_000_000)
)

// livingHarness returns a leader with a worker that runs the only task, and with another one.
func livingHarness(t *testing.T) (*harness, SendStart) {
	h := newHarness(t, 1)
	h.see(livingID, "1")
	h.step(50 * time.Millisecond)
	h.report(livingID, runner.Report{Clock: time.Second})
	h.see("w-b", "2")
	h.step(50 * time.Millisecond)
	h.report("w-b", runner.Report{Clock: time.Second})
	h.step(50 * time.Millisecond)
	require.NoError(t, h.e.Accepted(h.now, changed(t, jobEntry(t, 1, 4, oneTask()), func(j *work.Job) { j.Steps[0].LongRunning = true })))
	h.e.workers["w-b"].quarantinedUntil = h.now + 100*time.Millisecond
	h.step(50 * time.Millisecond)
	starts := h.starts()
	require.Len(t, starts, 1)
	require.Equal(t, livingID, starts[0].To.ID)
	h.e.Started(h.now, livingID, starts[0].Start.Task, starts[0].Start.Run, nil)
	h.report(livingID, runner.Report{Clock: time.Second + h.now, Running: []runner.ActiveRun{{Task: starts[0].Start.Task, Run: starts[0].Start.Run}}})
	return h, starts[0]
}

// TestRunsOfALivingWorkerGoOnWhateverAnEntrySays guards against tasks that are started again, and a worker that is never used again, since
// another writer's entry under its id says that it has started later.
func TestRunsOfALivingWorkerGoOnWhateverAnEntrySays(t *testing.T) {
	for name, address := range map[string]string{"nobody is there": "3", "the worker itself is there": "1"} {
		t.Run(name, func(t *testing.T) {
			h, start := livingHarness(t)
			running := []runner.ActiveRun{{Task: start.Start.Task, Run: start.Start.Run}}
			for range 20 {
				h.see(foreignID, address)
				h.e.WorkersListed(h.now, []runner.Worker{h.e.workers[foreignID].Worker, h.e.workers["w-b"].Worker})
				for range 5 {
					h.step(100 * time.Millisecond)
					require.Empty(t, h.starts(), "it runs on")
					answer := error(&runner.IncarnationError{ID: livingID, Report: runner.Report{Clock: time.Second + h.now, Running: running}})
					if address == "3" {
						answer = runner.ErrNoConnection
					}
					if h.e.workers[foreignID] != nil {
						h.e.Renewed(h.now, foreignID, runner.Report{}, answer)
					}
					running[0].Percent += 0.5
					h.report(livingID, runner.Report{Clock: time.Second + h.now, Running: running})
					require.True(t, h.e.workers[livingID].usable(h.now))
				}
				h.see(livingID, "1") // it writes again
			}
			h.e.Renewed(h.now, foreignID, runner.Report{}, runner.ErrNoConnection)
			require.Nil(t, h.e.workers[foreignID])
			require.Zero(t, h.e.Stats().Lost)
		})
	}
}

// TestWorkerWithoutAStartTimeStaysOneWorker guards against a worker that is booked twice, since another writer's entry under its id names a
// start time, and its own do not.
func TestWorkerWithoutAStartTimeStaysOneWorker(t *testing.T) {
	h := newHarness(t, 1)
	h.see("w-b", "2")
	h.step(50 * time.Millisecond)
	h.report("w-b", runner.Report{Clock: time.Second})
	foreign := runner.IncarnationID("w-b", 5)
	h.see(foreign, "3")
	h.step(50 * time.Millisecond)
	h.see("w-b", "2")
	h.e.Renewed(h.now, foreign, runner.Report{}, runner.ErrNoConnection)
	h.step(50 * time.Millisecond)
	require.Nil(t, h.e.workers[foreign])
	require.Len(t, h.e.workers, 1)
	require.True(t, h.e.workers["w-b"].usable(h.now))
	h.see(foreign, "2")
	h.step(50 * time.Millisecond)
	h.e.Renewed(h.now, foreign, runner.Report{}, &runner.IncarnationError{ID: "w-b", Report: runner.Report{Clock: time.Second + h.now}})
	require.Len(t, h.e.workers, 1, "it answers without a start time")
	require.True(t, h.e.workers["w-b"].usable(h.now))
}

// TestLivingWorkerIsCalledWhereItAnswers guards against runs that are taken for ended, and are started a second time, since another writer's entry
// under their worker's id has the address of another worker, which refuses the calls.
func TestLivingWorkerIsCalledWhereItAnswers(t *testing.T) {
	h, _ := livingHarness(t)
	h.effects = nil
	h.see(livingID, "2")
	h.stay(time.Second, livingID)
	for _, x := range h.renewals(livingID) {
		require.Equal(t, "1", x.To.Address)
	}
	h.e.Renewed(h.now, livingID, runner.Report{}, runner.ErrUnknown)
	h.see(livingID, "2")
	require.Equal(t, "1", h.e.workers[livingID].Address, "something may run there")
	for h.e.workers[livingID].misses > 0 && !h.e.workers[livingID].idle() {
		h.step(100 * time.Millisecond)
		h.e.Renewed(h.now, livingID, runner.Report{}, runner.ErrUnknown)
		h.see(livingID, "2")
	}
	h.see(livingID, "2")
	require.Equal(t, "2", h.e.workers[livingID].Address, "nothing runs there any more")
}

// TestWorkerThatHasStartedBeforeItsEntrySaidIsUsed guards against a worker that is shut out for as long as its clock was ahead when its last
// incarnation started.
func TestWorkerThatHasStartedBeforeItsEntrySaidIsUsed(t *testing.T) {
	h, start := livingHarness(t)
	earlier := runner.IncarnationID("w-a", 500)
	h.e.Renewed(h.now, livingID, runner.Report{}, runner.ErrNoConnection)
	h.see(earlier, "1")
	h.step(50 * time.Millisecond)
	require.Empty(t, h.starts(), "the other incarnation may still be there")
	h.report(earlier, runner.Report{Clock: time.Second})
	h.step(100 * time.Millisecond)
	require.Nil(t, h.e.workers[livingID])
	require.True(t, h.e.workers[earlier].usable(h.now))
	starts := h.starts()
	require.Len(t, starts, 1, "what ran on the other incarnation starts again")
	require.Equal(t, start.Start.Task, starts[0].Start.Task)
}

// TestClaimAtAnotherAddressWaitsForTheCurrentWorker guards against tasks that run twice, since two processes answer under one id.
func TestClaimAtAnotherAddressWaitsForTheCurrentWorker(t *testing.T) {
	h, start := livingHarness(t)
	running := []runner.ActiveRun{{Task: start.Start.Task, Run: start.Start.Run}}
	h.see(foreignID, "3")
	for range 20 {
		h.step(100 * time.Millisecond)
		h.e.Renewed(h.now, foreignID, runner.Report{Clock: time.Second}, nil)
		h.report(livingID, runner.Report{Clock: time.Second + h.now, Running: running})
		running[0].Percent++
		require.Empty(t, h.starts())
	}
	h.e.Renewed(h.now, livingID, runner.Report{}, runner.ErrUnknown)
	h.e.Renewed(h.now, foreignID, runner.Report{Clock: time.Second}, nil)
	h.step(100 * time.Millisecond)
	require.Len(t, h.starts(), 1, "it was the next incarnation")
}

// TestInheritedWorkerIsAskedWhateverAnEntrySays guards against a successor that takes a worker for ended, and counts its end as a crash by
// its task, since an entry says that it has started later.
func TestInheritedWorkerIsAskedWhateverAnEntrySays(t *testing.T) {
	task := work.TaskID{Job: testJob}
	h := newHarness(t, 2)
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 4, oneTask())}, Fleet: []store.Entry{fleetEntry(t, livingID)}}))
	h.see(foreignID, "3")
	h.see("w-b", "2")
	h.step(50 * time.Millisecond)
	h.report("w-b", runner.Report{Clock: time.Second})
	require.Empty(t, h.starts())
	h.report(livingID, runner.Report{Clock: time.Second, Running: []runner.ActiveRun{{Task: task, Run: 1}}})
	h.step(100 * time.Millisecond)
	require.Empty(t, h.starts(), "it runs there")
	require.EqualValues(t, 1, h.e.Stats().Adopted)
	h.requireResolved()
}

// TestJobsStartBesideEntriesThatClaimLivingWorkers guards against a label that no worker seems to have, and runs that are started twice, after
// another writer's entries under the ids of living workers; leaders change meanwhile.
func TestJobsStartBesideEntriesThatClaimLivingWorkers(t *testing.T) {
	overSeeds(t, 6, func(t *testing.T, seed uint64) {
		c := restartingCell(t, 8, 3, epochworker.Options{Seed: seed, SameName: true, Work: func(work.TaskID, uint64, runner.WorkerID) epochworker.Behaviour {
			return epochworker.Behaviour{Takes: 300 * time.Millisecond}
		}})
		defer c.stop()
		special := runner.IncarnationID("w-special", 1)
		c.addKind(special, "10.0.1.1", "special", "r9")
		time.Sleep(3 * time.Second)
		for i := range 12 {
			entry := runner.Worker{Ref: runner.Ref{ID: runner.IncarnationID("w-special", int64(1000+i)), Address: "10.0.9.9"}, Service: "s", Labels: []string{"b", "r1"}}
			if c.rng.IntN(2) == 0 {
				entry.Address = "10.0.1.1"
			}
			c.fleet.PutForeign(entry, 200*time.Millisecond+time.Duration(c.rng.IntN(1500))*time.Millisecond)
			time.Sleep(time.Duration(c.rng.IntN(300)) * time.Millisecond)
			j := &work.Job{Queue: work.Queue{Name: "q", Service: "s", Attempts: 4, Slack: 2, Allowance: time.Second}, Spec: fmt.Sprint(i),
				Steps: []work.Step{{Count: 2, Size: work.Resources{CPU: 1000, Memory: 100}, Estimate: time.Second, Labels: []string{"special"}}}}
			id := c.submit(j)
			since := time.Now()
			if i%3 == 2 {
				c.takeOver()
				since = time.Now()
			}
			c.requireSoonDone(since, id)
		}
		require.Empty(t, c.fleet.Violations())
		require.Empty(t, c.broken)
	})
}
