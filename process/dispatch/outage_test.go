package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/process/lead/evidence"
)

// withoutStore lets a time pass in which the store answers nothing and the workers answer each renewal, and returns the renewals.
func (h *harness) withoutStore(d time.Duration, ids ...runner.WorkerID) (all []SendRenew) {
	h.answerAll(ids...)
	for until := h.now + d; h.now < until; {
		renewals, _ := h.tick(tickPeriod)
		all = append(all, renewals...)
		for _, x := range renewals {
			for _, id := range ids {
				if x.To.ID == id {
					h.e.Renewed(h.now, id, runner.Report{Clock: time.Second + h.now}, nil)
				}
			}
		}
	}
	return all
}

// leasedLast returns when a worker was last given a lease, and how long that lasts on its clock, which is a second ahead of the leader's.
func leasedLast(all []SendRenew, id runner.WorkerID) (until time.Duration) {
	for _, x := range all {
		if x.To.ID == id {
			until = max(until, x.Renewal.Until)
		}
	}
	return until - time.Second
}

// TestLeasesOutlastABlipWhileTheStoreIsAway guards against runs that end since their worker left two renewals without an answer, and its list, by which
// it may be used again, cannot be stored.
func TestLeasesOutlastABlipWhileTheStoreIsAway(t *testing.T) {
	all := []runner.WorkerID{"w-a", "w-b", "w-c", "w-d", "w-e"}
	h := newHarness(t, 1, all...)
	h.step(50 * time.Millisecond)
	h.answer(all...)
	h.step(time.Second)
	for range cordonMisses {
		for _, id := range all[:3] {
			h.e.Renewed(h.now, id, runner.Report{}, runner.ErrUnknown)
		}
		h.withoutStore(2*probePause, all[3:]...)
	}
	require.Len(t, h.e.workers, 5)
	require.True(t, h.e.workers["w-a"].cordoned)
	sent := h.withoutStore(4*testLease, all...)
	for _, id := range all {
		require.Greater(t, leasedLast(sent, id), h.now+testLease/2, "%s", id)
	}
	require.False(t, h.e.workers["w-a"].usable(h.now), "the list does not say so")
}

// TestLeasesGoOnWhileAListWithManyNewWorkersIsOnItsWay guards against runs that end since the store fails while it is given a list with more new workers
// than there were, and no majority of that list is evidence that there is no successor.
func TestLeasesGoOnWhileAListWithManyNewWorkersIsOnItsWay(t *testing.T) {
	old, joined := []runner.WorkerID{"w-a", "w-b"}, []runner.WorkerID{"w-1", "w-2", "w-3"}
	h := newHarness(t, 1, old...)
	h.step(50 * time.Millisecond)
	h.answer(old...)
	h.step(time.Second)
	for _, id := range joined {
		h.resize(id, h.e.workers["w-a"].Capacity)
	}
	sent := h.withoutStore(evidence.MaxAge+4*testLease, append(old, joined...)...)
	for _, id := range old {
		require.Greater(t, leasedLast(sent, id), h.now+testLease/2, "%s", id)
	}
	for _, id := range joined {
		require.Negative(t, leasedLast(sent, id), "%s is in no list", id)
		require.False(t, h.e.workers[id].usable(h.now))
	}
}
