package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/lead/evidence"
)

// answerAll answers the renewals of workers, without a tick.
func (h *harness) answerAll(ids ...runner.WorkerID) {
	for _, id := range ids {
		h.e.Renewed(h.now, id, runner.Report{Clock: time.Second + h.now}, nil)
	}
}

// tick lets the time jump to a tick, and returns the renewals and starts that it sends.
func (h *harness) tick(d time.Duration) (renewals []SendRenew, starts []SendStart) {
	h.effects = nil
	h.now += d
	h.e.Tick(h.now)
	for _, x := range h.e.Flush(h.now) {
		switch x := x.(type) {
		case SendRenew:
			renewals = append(renewals, x)
		case SendStart:
			starts = append(starts, x)
		}
	}
	return renewals, starts
}

// fleetEntry returns the stored list of workers.
func fleetEntry(t *testing.T, ids ...runner.WorkerID) store.Entry {
	var f fleetRecord
	for _, id := range ids {
		f.Workers = append(f.Workers, runner.Ref{ID: id})
	}
	value, err := peer.Marshal(f)
	require.NoError(t, err)
	return store.Entry{Key: keyFleet, Value: value}
}

// leadingHarness returns a leader of three workers, whose answers it has just handled, and a job of one
// task that is not placed yet.
func leadingHarness(t *testing.T) *harness {
	h := newHarness(t, 1, "w-a", "w-b", "w-c")
	h.step(50 * time.Millisecond)
	h.answerAll("w-a", "w-b", "w-c")
	h.step(tickPeriod + evidence.ConfirmAfter) // the list is stored, and then the claim is confirmed
	h.answerAll("w-a", "w-b", "w-c")
	require.NoError(t, h.e.Accepted(h.now, jobEntry(t, 1, 2, oneTask())))
	return h
}

// TestFirstTickAfterAStandstillGivesNoLeases guards against a former leader that gives leases and
// starts tasks when it runs again after seconds, before it has heard anything of a successor.
func TestFirstTickAfterAStandstillGivesNoLeases(t *testing.T) {
	h := leadingHarness(t)
	renewals, starts := h.tick(4 * time.Second)
	require.Len(t, renewals, 3)
	for _, x := range renewals {
		require.Zero(t, x.Renewal.Until, "the lease of %s", x.To.ID)
	}
	require.Empty(t, starts)
}

// TestAnswersFromBeforeAStandstillAreNoEvidence guards against answers that lay in the process while it
// stood still, and are handled as if they had just been asked for.
func TestAnswersFromBeforeAStandstillAreNoEvidence(t *testing.T) {
	h := leadingHarness(t)
	h.tick(tickPeriod) // renewals are on their way
	h.now += 4 * time.Second
	h.answerAll("w-a", "w-b", "w-c")
	renewals, starts := h.tick(evidencePause)
	require.Len(t, renewals, 3)
	for _, x := range renewals {
		require.Zero(t, x.Renewal.Until, "the lease of %s", x.To.ID)
		require.Zero(t, x.Renewal.Wait, "the answer is needed at once")
	}
	require.Empty(t, starts)
}

// TestLeaderThatStoodStillGoesOnAfterOneRoundTrip guards against a leader that gives no leases any more
// although its claim, or a majority of the workers, shows that it has no successor.
func TestLeaderThatStoodStillGoesOnAfterOneRoundTrip(t *testing.T) {
	for name, confirm := range map[string]func(h *harness){
		"by the store": func(h *harness) { h.e.Confirmed(h.now, nil) },
		"by workers":   func(h *harness) { h.answerAll("w-a", "w-b") },
	} {
		t.Run(name, func(t *testing.T) {
			h := leadingHarness(t)
			h.tick(4 * time.Second)
			confirm(h)
			h.answerAll("w-c")
			renewals, starts := h.tick(tickPeriod)
			require.NotEmpty(t, renewals)
			for _, x := range renewals {
				require.NotZero(t, x.Renewal.Until, "the lease of %s", x.To.ID)
			}
			require.Len(t, starts, 1)
		})
	}
}

// TestHalfOfTheWorkersAreNoMajority guards against two leaders that each take the answers of one half of
// the workers as evidence.
func TestHalfOfTheWorkersAreNoMajority(t *testing.T) {
	h := newHarness(t, 1, "w-a", "w-b", "w-c", "w-d")
	h.step(50 * time.Millisecond)
	h.answerAll("w-a", "w-b", "w-c", "w-d")
	h.step(tickPeriod) // the list is stored
	h.tick(4 * time.Second)
	h.answerAll("w-a", "w-b")
	renewals, _ := h.tick(evidencePause)
	require.NotEmpty(t, renewals)
	for _, x := range renewals {
		require.Zero(t, x.Renewal.Until, "the lease of %s", x.To.ID)
	}
}

// TestLeaderWhoseClockStoodStillGivesNoLeases guards against a leader on a VM that was suspended: its
// own clock shows nothing, that of the workers has gone on.
func TestLeaderWhoseClockStoodStillGivesNoLeases(t *testing.T) {
	h := leadingHarness(t)
	h.tick(tickPeriod)
	h.now += time.Millisecond
	h.e.Renewed(h.now, "w-a", runner.Report{Clock: 6*time.Second + h.now}, nil)
	renewals, starts := h.tick(evidencePause)
	require.NotEmpty(t, renewals)
	for _, x := range renewals {
		require.Zero(t, x.Renewal.Until, "the lease of %s", x.To.ID)
	}
	require.Empty(t, starts)
}

// TestClaimIsReadOnceASecondWithoutWrites guards against reads, which are priced, beside writes that
// confirm the claim, and more than one a second without.
func TestClaimIsReadOnceASecondWithoutWrites(t *testing.T) {
	h := leadingHarness(t)
	reads := 0
	for range 400 { // ten seconds
		h.now += tickPeriod
		h.e.Tick(h.now)
		for _, x := range h.e.Flush(h.now) {
			switch x := x.(type) {
			case SendRenew:
				h.answerAll(x.To.ID)
			case SendConfirm:
				reads++
				h.e.Confirmed(h.now, nil)
			}
		}
	}
	require.InDelta(t, 10, reads, 1)
}

// TestRunningWorkKeepsItsLeasesWhileTheStoreIsDown guards against runs that end with their leases in an
// outage of minutes, in which the workers answer.
func TestRunningWorkKeepsItsLeasesWhileTheStoreIsDown(t *testing.T) {
	h := leadingHarness(t)
	due := map[runner.WorkerID]time.Duration{} // when the pending renewals are answered
	leases := map[runner.WorkerID]time.Duration{}
	down := h.now
	for h.now < down+3*time.Minute {
		h.now += tickPeriod
		for id, at := range due {
			if h.now >= at {
				delete(due, id)
				h.answerAll(id)
			}
		}
		h.e.Tick(h.now)
		for _, x := range h.e.Flush(h.now) {
			switch x := x.(type) {
			case SendRenew:
				due[x.To.ID] = h.now + x.Renewal.Wait + tickPeriod
				leases[x.To.ID] = max(leases[x.To.ID], x.Renewal.Until)
			case SendConfirm:
				h.e.Confirmed(h.now, runner.ErrUnknown)
			}
		}
		for id, until := range leases {
			require.Greater(t, until, time.Second+h.now+testLease/2, "the lease of %s", id)
		}
	}
	require.Len(t, leases, 3)
}

// TestLeasesGoOnWhenMostWorkersAreLost guards against runs that end with their leases on the few
// workers that are left, while the store confirms the claim.
func TestLeasesGoOnWhenMostWorkersAreLost(t *testing.T) {
	h := leadingHarness(t)
	h.effects = nil
	leases := 0
	for range 200 {
		h.step(100 * time.Millisecond)
		h.e.Renewed(h.now, "w-b", runner.Report{}, runner.ErrUnknown)
		h.e.Renewed(h.now, "w-c", runner.Report{}, runner.ErrUnknown)
		for _, x := range sent[SendRenew](h) {
			if x.To.ID == "w-a" {
				leases++
				require.NotZero(t, x.Renewal.Until, "after %v", h.now)
				h.answerAll("w-a")
			}
		}
	}
	require.Greater(t, leases, 10)
}

// TestBoundOfAnInheritedWorkerCountsFromTheMajority guards against a worker that is taken for ended while
// a former leader may still have evidence from a majority of the workers.
func TestBoundOfAnInheritedWorkerCountsFromTheMajority(t *testing.T) {
	h := newHarness(t, 2)
	require.NoError(t, h.e.Load(0, Saved{Fleet: []store.Entry{fleetEntry(t, "w-a", "w-b", "w-c", "w-d")}}))
	h.step(3 * time.Second)
	bound := h.e.inheritedLease()
	h.answerAll("w-a", "w-b")
	require.Equal(t, bound, h.e.workers["w-d"].expiry)
	h.answerAll("w-c")
	require.Equal(t, h.now+bound, h.e.workers["w-d"].expiry)
	for h.now < 3*time.Second+bound {
		require.NotNil(t, h.e.workers["w-d"])
		h.e.Renewed(h.now, "w-d", runner.Report{}, runner.ErrUnknown)
		h.step(100 * time.Millisecond)
	}
	h.step(time.Second)
	require.Nil(t, h.e.workers["w-d"])
}

// TestInheritedWorkersEndWithoutAMajority guards against tasks that never start again when most of the
// workers are gone for good.
func TestInheritedWorkersEndWithoutAMajority(t *testing.T) {
	h := newHarness(t, 2)
	require.NoError(t, h.e.Load(0, Saved{Fleet: []store.Entry{fleetEntry(t, "w-a", "w-b", "w-c", "w-d")}}))
	h.step(50 * time.Millisecond)
	h.answerAll("w-a")
	h.step(h.e.inheritedLease())
	require.Nil(t, h.e.workers["w-d"])
}

// TestStartsHeldBackAreNoTries guards against a start that is refused or counted while it waits for
// evidence: its first try had no answer before the leader stood still.
func TestStartsHeldBackAreNoTries(t *testing.T) {
	h := leadingHarness(t)
	_, starts := h.tick(tickPeriod)
	require.Len(t, starts, 1)
	to, task, run := starts[0].To.ID, starts[0].Start.Task, starts[0].Start.Run
	h.now += 4 * time.Second
	h.e.Started(h.now, to, task, run, runner.ErrUnknown)
	_, starts = h.tick(tickPeriod)
	require.Empty(t, starts)
	require.Equal(t, 1, h.e.allocOf(to, task, run).tries)
	h.e.Confirmed(h.now, nil)
	_, starts = h.tick(tickPeriod)
	require.Len(t, starts, 1)
	require.Equal(t, run, starts[0].Start.Run)
	require.Equal(t, 2, h.e.allocOf(to, task, run).tries)
}

// TestHeldStartIsNotSentToAWorkerThatIsSilentMeanwhile guards against a start that is sent later to a worker
// that nothing may be started on any more.
func TestHeldStartIsNotSentToAWorkerThatIsSilentMeanwhile(t *testing.T) {
	h := leadingHarness(t)
	_, starts := h.tick(tickPeriod)
	require.Len(t, starts, 1)
	to, task, run := starts[0].To.ID, starts[0].Start.Task, starts[0].Start.Run
	h.now += 4 * time.Second
	h.e.Started(h.now, to, task, run, runner.ErrUnknown)
	h.e.Renewed(h.now, to, runner.Report{}, runner.ErrUnknown)
	h.tick(tickPeriod)
	h.e.Confirmed(h.now, nil)
	_, starts = h.tick(tickPeriod)
	require.Empty(t, starts)
	require.Equal(t, stopping, h.e.allocOf(to, task, run).state)
}
