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

func TestReservationsHaveNoGaps(t *testing.T) {
	// Symptom: gangs wait longer than the room kept for them would need.
	// Sequence: a gang begins to wait between two plannings; all reservations
	//   are cleared, and for as long as its own was young it is not renewed.
	// Cause: a reservation counted as standing for a whole period from when it
	//   was made, also after it had been cleared.
	for phase := range planPeriod / tickPeriod {
		b := newBench(t, 1, "w-a")
		small := oneTask()
		small.Count = 4
		require.NoError(t, b.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 2, small)}}))
		b.step(50 * time.Millisecond)
		b.report("w-a", runner.Report{})
		require.Len(t, b.starts(), 4, "the worker is full")
		b.step(planPeriod + phase*tickPeriod)
		gang := oneTask()
		gang.Gang, gang.Count = true, 4
		waits := jobEntry(t, 1, 2, gang)
		waits.Key = KeyIn("00000000000000bb")
		require.NoError(t, b.e.Accepted(b.now, waits))
		for range 12 {
			b.step(tickPeriod)
			require.NotEmpty(t, b.e.workers["w-a"].reserved, "phase %d, at %v", phase, b.now)
		}
	}
}

func TestGangAsksForTheTicketsThatAreMissing(t *testing.T) {
	// Symptom: gangs wait for tens of seconds beside free workers once several
	//   of them wait.
	// Sequence: part of the workers that are good for a gang have tickets that
	//   hold for another second, the others' have run out.
	// Cause: nothing was asked for while some tickets held, and then the same
	//   part was asked for again.
	gang := work.Step{Count: 3, Size: work.Resources{CPU: 3000, Memory: 100}, Estimate: time.Second, Gang: true}
	b := newBench(t, 1, "w-a", "w-b", "w-c")
	entry := jobEntry(t, 1, 2, gang)
	j, err := work.DecodeJob(entry.Value)
	require.NoError(t, err)
	j.Queue.Advice = &work.Advice{Base: 400 * time.Millisecond, Valid: 2 * time.Second}
	entry.Value, err = work.EncodeJob(j)
	require.NoError(t, err)
	require.NoError(t, b.e.Load(0, Saved{Accepted: []store.Entry{entry}}))
	b.step(50 * time.Millisecond)
	for _, id := range []runner.WorkerID{"w-a", "w-b", "w-c"} {
		b.report(id, runner.Report{Clock: time.Second})
	}
	s := b.e.jobs[testJob].occurrences[0].steps[0]
	s.advice = &advice{good: map[runner.WorkerID]bool{"w-a": true, "w-b": true, "w-c": true}}
	for _, id := range []runner.WorkerID{"w-a", "w-b"} {
		s.advice.add(ticket{id, b.e.workers[id], "t", b.now + 1500*time.Millisecond})
	}
	b.out = nil
	b.e.Members(b.now, []string{"d"})
	b.step(50 * time.Millisecond)
	var asked []AskAdvice
	for _, x := range b.out {
		if a, ok := x.(AskAdvice); ok {
			asked = append(asked, a)
		}
	}
	require.Len(t, asked, 1)
	require.Equal(t, []runner.WorkerID{"w-c"}, asked[0].Workers)
	b.e.Advised(b.now, "d", asked[0].Step, []runner.Ticket{{Worker: "w-c", Ticket: "t"}}, nil)
	b.out = nil
	b.step(50 * time.Millisecond)
	require.Len(t, b.starts(), 3)
}

func TestGangsThatNothingHoldsDoNotHoldUpOthers(t *testing.T) {
	// Symptom: late in the day gangs wait beside free workers.
	// Sequence: one after the other gangs are handed in that are wider than the
	//   workers can hold; then one comes that is not.
	// Cause: a round tries a number of gangs, the oldest first, and those that
	//   can never start were counted.
	b := newBench(t, 1, "w-a")
	wide := work.Step{Count: 5, Size: work.Resources{CPU: 1000, Memory: 100}, Estimate: time.Second, Gang: true}
	entries := make([]store.Entry, 0, maxTried+1)
	for i := range maxTried {
		entry := jobEntry(t, 1, 2, wide)
		entry.Key = KeyIn(work.JobID(fmt.Sprintf("%016x", i+1)))
		entries = append(entries, entry)
	}
	wide.Count = 4
	entries = append(entries, jobEntry(t, 1, 2, wide)) // id ...aa sorts last
	require.NoError(t, b.e.Load(0, Saved{Accepted: entries}))
	b.step(50 * time.Millisecond)
	b.report("w-a", runner.Report{Clock: time.Second})
	b.step(50 * time.Millisecond)
	require.Len(t, b.starts(), 4)
}

func TestMembersThatWaitForTheirGangAreLeftAlone(t *testing.T) {
	// Symptom: gangs are stopped shortly before their end, and their work is
	//   thrown away.
	// Sequence: a member on a fast worker has all of its work done and waits for
	//   one on a slow worker.
	// Cause: its progress does not rise any more, which was taken for standing
	//   still.
	gang := work.Step{Count: 2, Size: work.Resources{CPU: 3000, Memory: 100}, Estimate: time.Second, Gang: true}
	for _, percent := range []float64{100, 50} {
		b := newBench(t, 1, "w-a", "w-b")
		require.NoError(t, b.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 2, gang)}}))
		b.step(50 * time.Millisecond)
		b.report("w-a", runner.Report{Clock: time.Second})
		b.report("w-b", runner.Report{Clock: time.Second})
		starts := b.starts()
		require.Len(t, starts, 2)
		for _, s := range starts {
			b.e.Started(b.now, s.To.ID, s.Start.Task, s.Start.Run, nil)
		}
		stops := 0
		for i := range 12 {
			for k, s := range starts {
				row := runner.Live{Task: s.Start.Task, Run: s.Start.Run, Percent: percent}
				if k == 1 {
					row.Percent = float64(i) // it makes progress
				}
				b.report(s.To.ID, runner.Report{Clock: time.Second + b.now, Running: []runner.Live{row}})
			}
			b.step(500 * time.Millisecond)
			for _, x := range b.out {
				if _, ok := x.(SendStop); ok {
					stops++
				}
			}
			b.out = nil
		}
		require.Equal(t, percent < nearlyDone, stops > 0, "at %v percent", percent)
	}
}

func TestGangsBehindBlockedOnesAreTried(t *testing.T) {
	// Symptom: gangs wait for minutes beside empty workers.
	// Sequence: a dozen gangs that need a rare kind of worker wait for the one
	//   there is; others, which any worker could hold, wait behind them.
	// Cause: a round tries a bounded number of gangs, and those that wait for
	//   what is taken used it up in every round.
	b := newBench(t, 1, "w-a", "w-b")
	rare := oneTask()
	rare.Gang, rare.Count, rare.Size.CPU, rare.Labels = true, 1, 4000, []string{"rare"}
	var entries []store.Entry
	for i := range 3 * maxTried {
		entry := jobEntry(t, 1, 2, rare)
		entry.Key = KeyIn(work.JobID(fmt.Sprintf("%016x", i)))
		entries = append(entries, entry)
	}
	any := rare
	any.Labels = nil
	entries = append(entries, jobEntry(t, 1, 2, any)) // id ...aa sorts last
	b.e.WorkerSeen(b.now, runner.Worker{Ref: runner.Ref{ID: "w-a"}, Service: "s", Capacity: work.Resources{CPU: 4000, Memory: 4000}, Labels: []string{"rare", "r"}})
	require.NoError(t, b.e.Load(0, Saved{Accepted: entries}))
	b.step(50 * time.Millisecond)
	b.report("w-a", runner.Report{})
	require.Len(t, b.starts(), 1, "one on the rare worker")
	b.report("w-b", runner.Report{})
	b.step(2 * time.Second)
	starts := b.starts()
	require.Len(t, starts, 1)
	require.Equal(t, testJob, starts[0].Start.Task.Job)
}
