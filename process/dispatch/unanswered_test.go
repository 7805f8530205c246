package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/version/work"
)

// listedIn returns the workers of the stored list.
func listedIn(t *testing.T, fleet map[string]store.Entry) (ids []runner.WorkerID) {
	var f fleetRecord
	require.NoError(t, peer.Unmarshal(fleet[keyFleet].Value, &f))
	for _, ref := range f.Workers {
		ids = append(ids, ref.ID)
	}
	return ids
}

// TestWorkerThatHasNeverAnsweredHoldsNoJob guards against a successor that waits, with every job of the moment, for the lease of a
// worker that has only an entry, at an address where nobody is, and was never given one.
func TestWorkerThatHasNeverAnsweredHoldsNoJob(t *testing.T) {
	h := newHarness(t, 1, "w-a")
	fleet := map[string]store.Entry{}
	h.stepInto(fleet, 50*time.Millisecond)
	h.report("w-a", runner.Report{Clock: time.Second})
	h.stepInto(fleet, 50*time.Millisecond)
	for i := range 5 { // they join while the leader works
		h.resize(runner.WorkerID(fmt.Sprint("w-odd", i)), work.Resources{CPU: 4000, Memory: 4000})
	}
	for range 20 {
		for i := range 5 {
			h.e.Renewed(h.now, runner.WorkerID(fmt.Sprint("w-odd", i)), runner.Report{}, runner.ErrNoConnection)
		}
		h.stepInto(fleet, 100*time.Millisecond)
	}
	h.e.fleetChanged = true
	h.stepInto(fleet, 100*time.Millisecond)
	require.Equal(t, []runner.WorkerID{"w-a"}, listedIn(t, fleet))

	next := newHarness(t, 2, "w-odd0")
	require.NoError(t, next.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 2, oneTask())}, Fleet: []store.Entry{fleet[keyFleet]}}))
	next.resize("w-a", work.Resources{CPU: 4000, Memory: 4000})
	next.step(50 * time.Millisecond)
	next.report("w-a", runner.Report{Clock: time.Second})
	next.step(50 * time.Millisecond)
	require.Len(t, next.starts(), 1)
	next.requireResolved()
}

// TestWorkerIsCalledBeforeItIsListed guards against a worker that joins and starts its first task a write to the store later than needed,
// and against a lease or a start before the list is stored.
func TestWorkerIsCalledBeforeItIsListed(t *testing.T) {
	h := newHarness(t, 1, "w-a")
	s := newSlowStore(h, 300*time.Millisecond)
	require.NoError(t, h.e.Accepted(h.now, jobEntry(t, 1, 2, oneTask())))
	for _, x := range h.flushed() {
		_, isWrite := x.(SendCommit)
		require.False(t, isWrite, "there is nothing to list")
	}
	require.True(t, h.e.workers["w-a"].renewing)
	h.e.Renewed(h.now, "w-a", runner.Report{Clock: time.Second}, nil)
	answered := h.now
	for len(h.starts()) == 0 {
		require.Zero(t, h.e.workers["w-a"].leaseUntil)
		s.step()
		require.Less(t, h.now-answered, 300*time.Millisecond+3*tickPeriod)
	}
	require.Contains(t, s.entries, keyFleet)
}

// TestWorkersThatJoinTogetherAreListedTogether guards against workers that join together and wait for two writes to a slow store, since the
// first one to answer is listed alone.
func TestWorkersThatJoinTogetherAreListedTogether(t *testing.T) {
	const answer = 300 * time.Millisecond
	ids := []runner.WorkerID{"w-a", "w-b", "w-c", "w-d", "w-e"}
	h := newHarness(t, 1, append(ids, "w-odd")...)
	s := newSlowStore(h, answer)
	h.flushed()
	first := h.now
	for _, id := range ids {
		h.now += 3 * time.Millisecond
		h.e.Renewed(h.now, id, runner.Report{Clock: time.Second}, nil)
		for _, x := range h.e.Flush(h.now) {
			_, isWrite := x.(SendCommit)
			require.False(t, isWrite, "others are about to answer")
		}
	}
	for _, id := range ids {
		for !h.e.workers[id].usable(h.now) {
			s.step()
			require.Less(t, h.now-first, joinDelay+answer+3*tickPeriod, "%s", id)
		}
	}
	require.Equal(t, 1, s.writes)
}

// TestManyEntriesOfNobodyAreCalledSeldom guards against a leader that spends its processor time on calls to workers that have never
// answered, and against one that finds a worker late which answers after a while.
func TestManyEntriesOfNobodyAreCalledSeldom(t *testing.T) {
	h := newHarness(t, 1, "w-odd")
	for range 200 {
		h.step(100 * time.Millisecond)
		h.e.Renewed(h.now, "w-odd", runner.Report{}, runner.ErrNoConnection)
	}
	require.LessOrEqual(t, len(sent[SendRenew](h)), 20)
	require.LessOrEqual(t, h.e.workers["w-odd"].nextRenew-h.now, 1200*time.Millisecond)
}

// TestEntryOfNobodyIsForgotten guards against workers that have never answered and are called for ever once their entry is gone.
func TestEntryOfNobodyIsForgotten(t *testing.T) {
	h := newHarness(t, 1, "w-odd")
	h.step(50 * time.Millisecond)
	h.e.WorkerUnlisted(h.now, "w-odd")
	h.e.Renewed(h.now, "w-odd", runner.Report{}, runner.ErrNoConnection)
	require.Nil(t, h.e.workers["w-odd"])
}

// TestJobsStartAfterATakeoverBesideEntriesOfNobody guards against jobs that wait for a lease that never was after each change of the
// leader, whenever such an entry has come.
func TestJobsStartAfterATakeoverBesideEntriesOfNobody(t *testing.T) {
	overSeeds(t, 6, func(t *testing.T, seed uint64) {
		c := idleCell(t, seed)
		defer c.stop()
		for i := range 1 + seed%3 {
			id := runner.WorkerID(fmt.Sprint("x-", i))
			c.addKind(id, string(id), "a", "r0")
			c.fleet.SetDisconnected(id, true)
			time.Sleep(time.Duration(c.rng.IntN(1000)) * time.Millisecond)
		}
		for range 4 {
			id := c.submit(c.drawIdleJob(c.rng))
			c.takeOver()
			c.requireSoonDone(time.Now(), id)
		}
		c.requireSound()
	})
}

// TestRoomOfWorkersThatHaveNeverAnsweredCountsForNothing guards against jobs that are accepted, gangs that reserve capacity, and accounts that are
// charged, by the room that an entry names and nobody has.
func TestRoomOfWorkersThatHaveNeverAnsweredCountsForNothing(t *testing.T) {
	h := newHarness(t, 2)
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 2, 2, tasksOf(8, true))}, Fleet: []store.Entry{fleetEntry(t, "w-gone")}}))
	h.resize("w-a", work.Resources{CPU: 4000, Memory: 4000})
	h.step(50 * time.Millisecond)
	h.report("w-a", runner.Report{Clock: time.Second})
	s := h.e.jobs[testJob].occurrences[0].steps[0]
	state := func() string {
		s.feasibleUntil = 0
		return fmt.Sprint(h.e.cellLoad().Cores, h.e.gangFeasible(s), h.e.unresolvedCapacity(), h.e.mostlyIdle("s"))
	}
	h.e.workers["w-a"].used.CPU = 3000
	before := state()
	h.resize("w-odd", work.Resources{CPU: 1_000_000_000, Memory: 1_000_000_000})
	require.Equal(t, before, state())
	h.e.workers["w-a"].used.CPU = 0
	h.report("w-odd", runner.Report{Clock: time.Second})
	require.NotEqual(t, before, state(), "it has answered")
}
