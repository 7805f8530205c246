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

// successorOf returns an engine of the next epoch over a store, with the same workers, none of
// which has answered.
func successorOf(t *testing.T, s *slowStore, ids ...runner.WorkerID) *harness {
	next := newHarness(t, 2)
	require.NoError(t, next.e.Load(0, Saved{Accepted: s.withPrefix(PrefixJobs), States: s.withPrefix(PrefixState), Batches: s.withPrefix(PrefixBatches), Fleet: s.withPrefix(prefixFleet)}))
	next.e.SetAccounts(0, nil)
	for _, id := range ids {
		next.e.WorkerSeen(next.now, runner.Worker{Ref: runner.Ref{ID: id}, Service: "s", Capacity: work.Resources{CPU: 4000, Memory: 4000}, Labels: []string{"a", "r"}})
	}
	next.step(50 * time.Millisecond)
	return next
}

// putJob submits a job and passes it to the engine.
func (s *slowStore) putJob(id work.JobID, steps ...work.Step) {
	entry := jobEntry(s.h.t, s.h.e.o.Epoch, 2, steps...)
	entry.Key = KeySubmission(id)
	s.put(entry.Key, entry.Value)
	require.NoError(s.h.t, s.h.e.Accepted(s.h.now, s.entries[entry.Key]))
}

func startedJobs(starts []SendStart) (ids []work.JobID) {
	for _, s := range starts {
		ids = append(ids, s.Start.Task.Job)
	}
	return ids
}

func TestSuccessorNeedNotWaitForACordonedWorker(t *testing.T) {
	// After a change of the leader all waiting work stood still for eight seconds: a worker
	// loses its power; a while later the leader fails, with jobs waiting, some of which were
	// submitted before the worker became unresponsive. Its successor could not tell what runs on that
	// worker, and waited until its lease had certainly expired.
	h := newHarness(t, 1, "w-a", "w-b")
	s := newSlowStore(h, 0)
	s.run(100 * time.Millisecond)
	h.report("w-a", runner.Report{Clock: time.Second})
	h.report("w-b", runner.Report{Clock: time.Second})
	full := work.Step{Count: 4, Size: work.Resources{CPU: 2000, Memory: 100}, Estimate: time.Minute}
	s.putJob("00000000000000a1", full)
	s.run(50 * time.Millisecond)
	running := h.starts()
	require.Len(t, running, 4, "two on each worker")
	s.putJob("00000000000000a2", oneTask()) // there is no capacity for it
	var near runner.Report
	for _, x := range running {
		h.e.Started(h.now, x.To.ID, x.Start.Task, x.Start.Run, nil)
		if x.To.ID == "w-a" {
			near.Running = append(near.Running, runner.ActiveRun{Task: x.Start.Task, Run: x.Start.Run})
		}
	}
	for range 40 {
		near.Clock = time.Second + h.now
		h.e.Renewed(h.now, "w-a", near, nil)
		h.e.Renewed(h.now, "w-b", runner.Report{}, runner.ErrUnknown)
		s.step()
	}
	require.Empty(t, h.starts())
	s.putJob("00000000000000a3", oneTask())

	next := successorOf(t, s, "w-a", "w-b")
	next.e.WorkerSeen(next.now, runner.Worker{Ref: runner.Ref{ID: "w-a"}, Service: "s", Capacity: work.Resources{CPU: 64000, Memory: 64000}})
	next.report("w-a", runner.Report{Clock: time.Second}) // it has lost its runs
	next.step(time.Second)
	starts := next.starts()
	require.Len(t, starts, 4)
	for _, x := range starts {
		if x.Start.Task.Job == "00000000000000a1" {
			require.Contains(t, []int{near.Running[0].Task.Index, near.Running[1].Task.Index}, x.Start.Task.Index, "the others may run on the unresponsive worker")
		}
	}
	require.ElementsMatch(t, []work.JobID{"00000000000000a1", "00000000000000a1", "00000000000000a2", "00000000000000a3"}, startedJobs(starts))

	// The tasks of the unresponsive worker start when its lease has expired.
	for next.e.workers["w-b"] != nil {
		require.Empty(t, next.starts())
		var rows []runner.ActiveRun
		for _, alloc := range next.e.workers["w-a"].allocs {
			rows = append(rows, runner.ActiveRun{Task: alloc.id(), Run: alloc.run, Percent: next.now.Seconds()})
		}
		next.report("w-a", runner.Report{Clock: time.Second + next.now, Running: rows})
	}
	require.Greater(t, next.now, evidence.MaxAge+testLease)
	next.step(time.Second)
	require.Len(t, next.starts(), 2)
}

func TestDrainingWorkerIsCordoned(t *testing.T) {
	// After a change of the leader waiting work stood still for eight seconds: workers leave
	// at short notice and the leader fails at the same moment, so that it has never seen them
	// unresponsive.
	h := newHarness(t, 1, "w-a", "w-b")
	s := newSlowStore(h, 0)
	s.run(100 * time.Millisecond)
	h.report("w-a", runner.Report{Clock: time.Second})
	h.report("w-b", runner.Report{Clock: time.Second})
	s.putJob("00000000000000a1", oneTask())
	h.e.WorkerSeen(h.now, runner.Worker{Ref: runner.Ref{ID: "w-b"}, Service: "s", Capacity: work.Resources{CPU: 4000, Memory: 4000}, Draining: true})
	s.run(100 * time.Millisecond)
	h.report("w-b", runner.Report{Clock: time.Second + h.now})
	s.run(100 * time.Millisecond)
	require.True(t, h.e.workers["w-b"].cordoned, "an answer does not uncordon it")
	s.putJob("00000000000000a2", oneTask())
	next := successorOf(t, s, "w-a")
	next.report("w-a", runner.Report{Clock: time.Second})
	next.step(time.Second)
	require.ElementsMatch(t, []work.JobID{"00000000000000a1", "00000000000000a2"}, startedJobs(next.starts()))
}

func TestUnstoredCompletionsStayWithTheirWorker(t *testing.T) {
	// A task must not run a second time if its worker has reported its completion, but the
	// worker becomes unresponsive and is cordoned, and the leader fails, before that is
	// stored.
	h := newHarness(t, 1, "w-a", "w-b")
	s := newSlowStore(h, 0)
	s.run(100 * time.Millisecond)
	h.report("w-b", runner.Report{Clock: time.Second})
	s.putJob("00000000000000a1", oneTask())
	s.run(50 * time.Millisecond)
	starts := h.starts()
	require.Len(t, starts, 1)
	require.EqualValues(t, "w-b", starts[0].To.ID)
	h.e.Renewed(h.now, "w-b", done(1, starts[0]), nil)
	require.Contains(t, h.e.workers["w-b"].tasks(), starts[0].Start.Task)
}

func TestCordonedWorkersOfAnEarlierVersionAreWaitedFor(t *testing.T) {
	// A task must not run twice after an upgrade: a leader of the previous version, which
	// lists only the cordoned workers and not what they run, is followed by one of this
	// version, and that by another.
	value, err := peer.Marshal(fleetRecord{Workers: []runner.Ref{{ID: "w-a"}, {ID: "w-b"}}, Cordoned: []runner.WorkerID{"w-b"}})
	require.NoError(t, err)
	h := newHarness(t, 2)
	s := newSlowStore(h, 0)
	s.put(keyFleet, value)
	entry := jobEntry(t, 1, 2, oneTask())
	entry.Key, entry.Revision = KeySubmission("00000000000000a1"), 1
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{entry}, Fleet: s.withPrefix(prefixFleet)}))
	h.e.WorkerSeen(h.now, runner.Worker{Ref: runner.Ref{ID: "w-a"}, Service: "s", Capacity: work.Resources{CPU: 4000, Memory: 4000}})
	s.run(50 * time.Millisecond)
	h.report("w-a", runner.Report{Clock: time.Second})
	s.run(time.Second)
	require.Empty(t, h.starts(), "submitted before the list was written")
	h.e.cordonsChanged = true
	s.run(100 * time.Millisecond)
	require.Equal(t, 1, h.e.cordonedUnlisted)
	next := newHarness(t, 3)
	require.NoError(t, next.e.Load(0, Saved{Fleet: s.withPrefix(prefixFleet)}))
	require.False(t, next.e.workers["w-b"].cordoned && !next.e.workers["w-b"].unlisted, "it must not be written with an empty list of what it runs")
}

func TestWorkerIsReusedOnlyAfterItsUncordonIsStored(t *testing.T) {
	// A task must not start on a worker that the store still lists as cordoned, since a
	// successor would start it a second time.
	h := newHarness(t, 1, "w-a")
	s := newSlowStore(h, 300*time.Millisecond)
	s.run(time.Second)
	h.report("w-a", runner.Report{Clock: time.Second})
	s.run(time.Second)
	for range 100 {
		h.e.Renewed(h.now, "w-a", runner.Report{}, runner.ErrUnknown)
		s.step()
	}
	cordoned := func() []cordonedWorker {
		var cordons cordonRecord
		require.NoError(t, peer.Unmarshal(s.entries[keyCordoned].Value, &cordons))
		return cordons.Workers
	}
	require.Len(t, cordoned(), 1)
	require.NoError(t, h.e.Accepted(h.now, jobEntry(t, 1, 2, oneTask())))
	h.effects = nil
	for range 40 {
		h.e.Renewed(h.now, "w-a", runner.Report{Clock: time.Second + h.now}, nil)
		s.step()
		if len(h.starts()) > 0 {
			require.Empty(t, cordoned())
			return
		}
	}
	t.Fatal("it is not used again")
}

// TestUnreadableListOfWorkersIsWaitedFor guards against a second run of a task on a worker that is on a stored list which cannot be decoded, and
// against jobs that wait for such a list for ever.
func TestUnreadableListOfWorkersIsWaitedFor(t *testing.T) {
	h := newHarness(t, 2, "w-a")
	require.Error(t, h.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 2, oneTask())}, Fleet: []store.Entry{{Key: keyFleet, Value: []byte("of another writer")}}}))
	h.step(50 * time.Millisecond)
	for h.now < h.e.inheritedLease() {
		require.Empty(t, h.starts())
		h.report("w-a", runner.Report{Clock: time.Second + h.now})
		h.step(100 * time.Millisecond)
	}
	h.step(200 * time.Millisecond)
	require.Len(t, h.starts(), 1)
}
