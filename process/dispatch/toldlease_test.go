package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/version/work"
)

// lostWorker is a leader with a task on w-a, which has been silent for the time after which the lists tell when its lease ends. Others
// answer.
func lostWorker(t *testing.T) (h *harness, fleet map[string]store.Entry, run runner.Start) {
	h, fleet = newHarness(t, 1, "w-a"), map[string]store.Entry{}
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 4, oneTask())}}))
	h.stepInto(fleet, 50*time.Millisecond)
	h.e.Renewed(h.now, "w-a", runner.Report{Clock: time.Second}, nil)
	h.stepInto(fleet, 50*time.Millisecond)
	run = h.starts()[0].Start
	h.e.Started(h.now, "w-a", run.Task, run.Run, nil)
	for _, id := range []runner.WorkerID{"w-b", "w-c", "w-d"} {
		h.resize(id, work.Resources{CPU: 4000, Memory: 4000})
	}
	for until := h.now + cordonAfter; h.now <= until; {
		h.e.Renewed(h.now, "w-a", runner.Report{}, runner.ErrUnknown)
		for _, id := range []runner.WorkerID{"w-b", "w-c", "w-d"} {
			h.e.Renewed(h.now, id, runner.Report{Clock: time.Second + h.now}, nil)
		}
		h.stepInto(fleet, 100*time.Millisecond)
	}
	require.True(t, h.e.workers["w-a"].leaseTold)
	return h, fleet, run
}

// toldSuccessor returns the successor of a leader that has left lists of workers.
func toldSuccessor(t *testing.T, epoch uint64, fleet map[string]store.Entry) *harness {
	h := newHarness(t, epoch)
	var entries []store.Entry
	for _, entry := range fleet {
		entries = append(entries, entry)
	}
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 4, oneTask())}, Fleet: entries}))
	for _, id := range []runner.WorkerID{"w-b", "w-c", "w-d"} {
		h.resize(id, work.Resources{CPU: 4000, Memory: 4000})
	}
	return h
}

// lostFor lets w-a be silent, and the others answer, for a time, and returns when a task started.
func (h *harness) lostFor(d time.Duration, fleet map[string]store.Entry) time.Duration {
	for until := h.now + d; h.now < until; {
		h.e.Renewed(h.now, "w-a", runner.Report{}, runner.ErrUnknown)
		for _, id := range []runner.WorkerID{"w-b", "w-c", "w-d"} {
			h.e.Renewed(h.now, id, runner.Report{Clock: time.Second + h.now}, nil)
		}
		h.stepInto(fleet, 50*time.Millisecond)
		if len(h.starts()) > 0 {
			return h.now
		}
	}
	return 0
}

// TestSuccessorDoesNotWaitForAWholeLeaseAnew guards against a task that has no run for two leases when the leader changes while its
// worker is lost, and against one that starts before the first lease has ended.
func TestSuccessorDoesNotWaitForAWholeLeaseAnew(t *testing.T) {
	first, fleet, _ := lostWorker(t)
	left := first.e.workers["w-a"].expiry - first.now
	next := toldSuccessor(t, 2, fleet)
	require.Zero(t, next.lostFor(2*time.Second, fleet), "its list, with a majority reached, is stored meanwhile")
	third := toldSuccessor(t, 3, fleet)
	at := next.now + third.lostFor(time.Minute, fleet)
	require.Greater(t, at, left)
	require.Less(t, at, left+retellPause+300*time.Millisecond)
}

// TestNoLeaseWhileTheListTellsItsEnd guards against a run that goes on, by a lease that was given after the list had told its end, while a
// successor starts its task elsewhere.
func TestNoLeaseWhileTheListTellsItsEnd(t *testing.T) {
	for name, draining := range map[string]bool{"it answers": false, "it answers, and leaves": true} {
		t.Run(name, func(t *testing.T) {
			h, _, run := lostWorker(t)
			all := []runner.WorkerID{"w-a", "w-b", "w-c", "w-d"}
			w := h.e.workers["w-a"]
			w.Draining = draining
			h.e.Renewed(h.now, "w-a", runner.Report{Clock: time.Second + h.now, Running: []runner.ActiveRun{{Task: run.Task, Run: run.Run}}}, nil)
			require.Negative(t, leasedLast(h.withoutStore(time.Second, all...), "w-a"))
			for h.step(50 * time.Millisecond); h.e.writes[fleetStream] != nil; h.step(50 * time.Millisecond) {
				h.e.Committed(h.now, fleetStream)
			}
			h.effects = nil
			require.Greater(t, leasedLast(h.withoutStore(time.Second, all...), "w-a"), h.now)
			require.Equal(t, !draining, w.usable(h.now))
		})
	}
}

// TestWorkerThatIsBackIsNotToldAsLost guards against a list that still tells of the end of a lease, or of the tasks, of a worker that was
// removed and is used again under the same id: the next successor would take its runs for ended.
func TestWorkerThatIsBackIsNotToldAsLost(t *testing.T) {
	_, fleet, _ := lostWorker(t)
	next := toldSuccessor(t, 2, fleet)
	for next.e.workers["w-a"] != nil {
		next.lostFor(100*time.Millisecond, fleet)
	}
	next.resize("w-a", work.Resources{CPU: 4000, Memory: 4000})
	for !next.e.workers["w-a"].usable(next.now) {
		for _, id := range []runner.WorkerID{"w-a", "w-b", "w-c", "w-d"} {
			next.e.Renewed(next.now, id, runner.Report{Clock: time.Second + next.now}, nil)
		}
		next.stepInto(fleet, 50*time.Millisecond)
	}
	third := toldSuccessor(t, 3, fleet)
	w := third.e.workers["w-a"]
	require.NotNil(t, w)
	require.False(t, w.cordoned)
	require.Equal(t, third.e.inheritedLease(), w.expiry)
}
