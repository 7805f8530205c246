package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/version/work"
)

// ofPriority returns an entry whose queue has a priority.
func ofPriority(t *testing.T, e store.Entry, priority int) store.Entry {
	return changed(t, e, func(j *work.Job) { j.Queue.Priority = priority })
}

func TestQuickWorkFitsUnderItsAccountsCap(t *testing.T) {
	// An account's quick jobs waited for seconds beside idle workers: it submits quick jobs
	// all the time, and a burst of long tasks of a queue of lower priority; together they need
	// more than its cap, and the long tasks took all of the cap that became free.
	for _, without := range []bool{false, true} {
		h := readyHarness(t, "w-1", "w-2")
		h.e.o.Policy.QuotaHeadroom = !without
		h.e.SetAccounts(h.now, accountsOf(t, work.Account{Name: "north", Cap: work.Resources{CPU: 10000}}))
		quick, long := work.JobID("00000000000000b1"), work.JobID("00000000000000b2")
		require.NoError(t, h.e.Accepted(h.now, ofPriority(t, jobOf(t, "north", quick, 1, tasksOf(3, false)), 0)))
		h.step(tickPeriod)
		first := h.starts()
		require.Len(t, first, 3)
		for i, s := range first {
			h.report(s.To.ID, done(int64(i+1), s))
		}
		require.NoError(t, h.e.Accepted(h.now, ofPriority(t, jobOf(t, "north", long, 1, tasksOf(40, false)), 2)))
		h.step(tickPeriod)
		left := 10 - len(h.starts())
		require.NoError(t, h.e.Accepted(h.now, ofPriority(t, jobOf(t, "north", "00000000000000b3", 1, tasksOf(3, false)), 0)))
		h.step(tickPeriod)
		if without {
			require.Zero(t, left)
			require.Empty(t, h.starts(), "no quick job starts until a long task ends")
			continue
		}
		require.Equal(t, 3, left, "as much as quick jobs used recently")
		require.Len(t, h.starts(), 3)
		h.step(4 * headroomTime) // no more quick jobs are submitted
		require.NotEmpty(t, h.starts(), "unused headroom is released")
	}
}

func TestGangOfMostOfACapIsNotStarvedByItsAccountsSmallWork(t *testing.T) {
	// A gang that needs most of its account's cap started only when the account submitted
	// nothing else: small tasks of a lower-priority queue end one by one, and others take
	// their place.
	h := readyHarness(t, "w-1", "w-2")
	h.e.SetAccounts(h.now, accountsOf(t, work.Account{Name: "north", Cap: work.Resources{CPU: 10000}}))
	require.NoError(t, h.e.Accepted(h.now, ofPriority(t, jobOf(t, "north", firstJob, 1, tasksOf(60, false)), 2)))
	h.step(tickPeriod)
	running := h.starts()
	require.Len(t, running, 10)
	require.NoError(t, h.e.Accepted(h.now, ofPriority(t, jobOf(t, "north", secondJob, 1, tasksOf(8, true)), 1)))
	number := map[runner.WorkerID]int64{}
	submittedAt, after := h.now, 0
	for h.now < submittedAt+turnAfter+5*time.Second {
		x := running[0]
		number[x.To.ID]++
		h.report(x.To.ID, done(number[x.To.ID], x))
		h.step(300 * time.Millisecond)
		reserved := h.now >= submittedAt+turnAfter+300*time.Millisecond
		if reserved {
			after++
		}
		starts := h.starts()
		running = append(running[1:], starts...)
		if len(starts) > 0 && starts[0].Start.Task.Job == secondJob {
			require.Len(t, starts, 8)
			require.LessOrEqual(t, after, 8, "as soon as eight of ten are free")
			return
		}
		if reserved {
			require.Empty(t, starts, "small work leaves the gang's share of the cap free")
		}
	}
	t.Fatal("the gang has not started")
}
