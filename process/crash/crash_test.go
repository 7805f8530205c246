package crash

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestGivenUpOnlyOnAttributedCrashes guards against a healthy task that is given up because
// workers crashed while other work ran there as well.
func TestGivenUpOnlyOnAttributedCrashes(t *testing.T) {
	for _, c := range []struct {
		sole, shared, open int
		givenUp            bool
	}{
		{sole: 1}, {sole: 2}, {shared: 3}, {sole: 2, open: 4}, {open: 6},
		{sole: 1, shared: 2, givenUp: true}, {sole: 2, shared: 1, givenUp: true}, {sole: 3, givenUp: true}, {shared: 4, givenUp: true},
	} {
		var r Records
		n := 0
		addLosses := func(times int, sole, ended bool) {
			for range times {
				n++
				r.AddLoss(uint64(n), fmt.Sprint("w-", n), sole, ended)
			}
		}
		addLosses(c.sole, true, true)
		addLosses(c.shared, false, true)
		addLosses(c.open, false, false)
		require.Equal(t, c.givenUp, r.LimitReached(), "%+v", c)
	}
}

// TestWorkerThatAnswersClearsItsRecords guards against network cuts that count as crashes.
func TestWorkerThatAnswersClearsItsRecords(t *testing.T) {
	var r Records
	r.AddLoss(1, "w-1", true, false)
	r.AddLoss(2, "w-1", true, true)
	r.Begin(3, "w-1", true)
	r.AddLoss(4, "w-2", true, true)
	require.True(t, r.Settle("w-1", false, 3), "the run that exists stays on record")
	require.Len(t, r, 2)
	require.True(t, r.Drop(3))
	require.False(t, r.Drop(4), "a crash stays on record")
	require.False(t, r.Settle("w-1", true, 0))
}

// TestRecordsAreBounded guards against unbounded records of workers that stay unreachable.
func TestRecordsAreBounded(t *testing.T) {
	var r Records
	r.AddLoss(1, "w-1", true, true)
	for i := range 100 {
		r.AddLoss(uint64(i+2), fmt.Sprint("w-", i+2), false, false)
	}
	require.Len(t, r, maxRecords)
	require.False(t, r[0].Undecided, "a crash stays")
}

// TestRecordsUnderAnyOrder compares the records with a plain list of what happened: in no
// order of events does a crash count twice, or count for a worker that still runs.
func TestRecordsUnderAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Records
		crashed := map[string]bool{}
		lost := map[string]bool{}
		run := uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			w := fmt.Sprint("w-", rapid.IntRange(0, 3).Draw(t, "worker"))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				if !crashed[w] {
					run++
					r.Begin(run, w, rapid.Bool().Draw(t, "sole"))
				}
			case 1, 2:
				ended := rapid.Bool().Draw(t, "ended")
				if !crashed[w] {
					run++
					r.AddLoss(run, w, false, ended)
					lost[w], crashed[w] = lost[w] || ended, crashed[w] || ended
					if ended {
						r.Settle(w, true, 0)
					}
				}
			case 3:
				if !crashed[w] {
					r.Settle(w, false, 0)
				}
			case 4:
				r.Drop(run)
			}
		}
		for _, c := range r {
			require.Equal(t, crashed[c.Worker], !c.Undecided, "%+v", c)
		}
		if len(lost) == 0 {
			require.False(t, r.LimitReached())
		}
	})
}

// TestOneRunCrashesOneWorkerAtMost guards against a job that is given up for one run that was
// lost with two incarnations of a worker: it was in flight to the first, and may have been
// started by the second.
func TestOneRunCrashesOneWorkerAtMost(t *testing.T) {
	var r Records
	r.AddLoss(1, "w-a", false, true)
	r.AddLoss(2, "w-b@1", true, true)
	r.AddLoss(2, "w-b@2", true, true)
	require.Len(t, r, 2)
	require.False(t, r.LimitReached())
	r.AddLoss(3, "w-c@1", true, false) // it may only be unreachable
	r.AddLoss(3, "w-c@2", true, true)
	require.Len(t, r, 3)
	require.True(t, r.LimitReached())
}
