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
	// Gangs waited longer than their reservations should have needed. A gang begins to wait
	// between two plannings; all reservations are cleared, and its own was not renewed,
	// because a reservation counted as current for a whole period after it was made, even
	// after it had been cleared.
	for phase := range planPeriod / tickPeriod {
		h := newHarness(t, 1, "w-a")
		small := oneTask()
		small.Count = 4
		require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 2, small)}}))
		h.step(50 * time.Millisecond)
		h.report("w-a", runner.Report{})
		require.Len(t, h.starts(), 4, "the worker is full")
		h.step(planPeriod + phase*tickPeriod)
		gang := oneTask()
		gang.Gang, gang.Count = true, 4
		waits := jobEntry(t, 1, 2, gang)
		waits.Key = KeySubmission("00000000000000bb")
		require.NoError(t, h.e.Accepted(h.now, waits))
		for range 12 {
			h.step(tickPeriod)
			require.NotEmpty(t, h.e.workers["w-a"].reserved, "phase %d, at %v", phase, h.now)
		}
	}
}

func TestGangAsksForTheTicketsThatAreMissing(t *testing.T) {
	// Gangs waited for tens of seconds beside idle workers once several of them waited. While
	// the tickets for a part of a gang's workers were valid for another second, those of the
	// others, which had expired, were not requested; then the same part was requested again.
	gang := work.Step{Count: 3, Size: work.Resources{CPU: 3000, Memory: 100}, Estimate: time.Second, Gang: true}
	h := newHarness(t, 1, "w-a", "w-b", "w-c")
	entry := changed(t, jobEntry(t, 1, 2, gang), func(j *work.Job) {
		j.Queue.Advice = &work.Advice{Base: 400 * time.Millisecond, Valid: 2 * time.Second}
	})
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{entry}}))
	h.step(50 * time.Millisecond)
	for _, id := range []runner.WorkerID{"w-a", "w-b", "w-c"} {
		h.report(id, runner.Report{Clock: time.Second})
	}
	s := h.e.jobs[testJob].occurrences[0].steps[0]
	s.advice = &advice{}
	for _, id := range []runner.WorkerID{"w-a", "w-b", "w-c"} {
		s.advice.record(h.e.workers[id], good)
	}
	for _, id := range []runner.WorkerID{"w-a", "w-b"} {
		s.advice.add(ticket{h.e.workers[id], "t", h.now + 1500*time.Millisecond})
	}
	h.effects = nil
	h.e.Members(h.now, []string{"d"})
	h.step(50 * time.Millisecond)
	var asked []AskAdvice
	for _, x := range h.effects {
		if a, ok := x.(AskAdvice); ok {
			asked = append(asked, a)
		}
	}
	require.Len(t, asked, 1)
	require.Equal(t, []runner.WorkerID{"w-c"}, asked[0].Workers)
	h.e.Advised(h.now, "d", asked[0].Step, []runner.Ticket{{Worker: "w-c", Ticket: "t"}}, nil)
	h.effects = nil
	h.step(50 * time.Millisecond)
	require.Len(t, h.starts(), 3)
}

func TestGangsThatCanNotFitDoNotHoldUpOthers(t *testing.T) {
	// Gangs that are wider than the workers can run must not count among the gangs that a
	// round tries, oldest first; otherwise later gangs wait beside idle workers.
	h := newHarness(t, 1, "w-a")
	wide := work.Step{Count: 5, Size: work.Resources{CPU: 1000, Memory: 100}, Estimate: time.Second, Gang: true}
	entries := make([]store.Entry, 0, maxTried+1)
	for i := range maxTried {
		entry := jobEntry(t, 1, 2, wide)
		entry.Key = KeySubmission(work.JobID(fmt.Sprintf("%016x", i+1)))
		entries = append(entries, entry)
	}
	wide.Count = 4
	entries = append(entries, jobEntry(t, 1, 2, wide)) // id ...aa sorts last
	require.NoError(t, h.e.Load(0, Saved{Accepted: entries}))
	h.step(50 * time.Millisecond)
	h.report("w-a", runner.Report{Clock: time.Second})
	h.step(50 * time.Millisecond)
	require.Len(t, h.starts(), 4)
}

func TestMembersThatWaitForTheirGangAreLeftAlone(t *testing.T) {
	// Gangs were stopped shortly before their end, and their work was lost: a member on a fast
	// worker has all of its work done and waits for one on a slow worker. Its progress no
	// longer rises, which was taken for a stall.
	gang := work.Step{Count: 2, Size: work.Resources{CPU: 3000, Memory: 100}, Estimate: time.Second, Gang: true}
	for _, percent := range []float64{100, 50} {
		h := newHarness(t, 1, "w-a", "w-b")
		require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 2, gang)}}))
		h.step(50 * time.Millisecond)
		h.report("w-a", runner.Report{Clock: time.Second})
		h.report("w-b", runner.Report{Clock: time.Second})
		starts := h.starts()
		require.Len(t, starts, 2)
		for _, s := range starts {
			h.e.Started(h.now, s.To.ID, s.Start.Task, s.Start.Run, nil)
		}
		stops := 0
		for i := range 12 {
			for k, s := range starts {
				row := runner.ActiveRun{Task: s.Start.Task, Run: s.Start.Run, Percent: percent}
				if k == 1 {
					row.Percent = float64(i) // it makes progress
				}
				h.report(s.To.ID, runner.Report{Clock: time.Second + h.now, Running: []runner.ActiveRun{row}})
			}
			h.step(500 * time.Millisecond)
			for _, x := range h.effects {
				if _, ok := x.(SendStop); ok {
					stops++
				}
			}
			h.effects = nil
		}
		require.Equal(t, percent < nearlyDone, stops > 0, "at %v percent", percent)
	}
}

func TestGangsBehindBlockedOnesAreTried(t *testing.T) {
	// Gangs waited for minutes beside idle workers. A dozen gangs that need a rare kind of
	// worker wait for the only one; others that fit any worker wait behind them, and the
	// blocked ones used up the number of gangs that a round tries in every round.
	h := newHarness(t, 1, "w-a", "w-b")
	rare := oneTask()
	rare.Gang, rare.Count, rare.Size.CPU, rare.Labels = true, 1, 4000, []string{"rare"}
	var entries []store.Entry
	for i := range 3 * maxTried {
		entry := jobEntry(t, 1, 2, rare)
		entry.Key = KeySubmission(work.JobID(fmt.Sprintf("%016x", i)))
		entries = append(entries, entry)
	}
	any := rare
	any.Labels = nil
	entries = append(entries, jobEntry(t, 1, 2, any)) // id ...aa sorts last
	h.e.WorkerSeen(h.now, runner.Worker{Ref: runner.Ref{ID: "w-a"}, Service: "s", Capacity: work.Resources{CPU: 4000, Memory: 4000}, Labels: []string{"rare", "r"}})
	require.NoError(t, h.e.Load(0, Saved{Accepted: entries}))
	h.step(50 * time.Millisecond)
	h.report("w-a", runner.Report{})
	require.Len(t, h.starts(), 1, "one on the worker of the rare kind")
	h.report("w-b", runner.Report{})
	h.step(2 * time.Second)
	starts := h.starts()
	require.Len(t, starts, 1)
	require.Equal(t, testJob, starts[0].Start.Task.Job)
}

// advisedGang returns a harness with a gang of that many tasks, each as large as a worker, for
// which every worker has a good verdict.
func advisedGang(t *testing.T, policy Policy, tasks int) (*harness, *step) {
	h := newHarness(t, 1, "w-a", "w-b", "w-c")
	h.e.o.Policy = policy.complete()
	gang := work.Step{Count: tasks, Size: work.Resources{CPU: 4000, Memory: 100}, Estimate: time.Second, Gang: true}
	entry := changed(t, jobEntry(t, 1, 2, gang), func(j *work.Job) {
		j.Queue.Advice = &work.Advice{Base: 600 * time.Millisecond, Valid: 1500 * time.Millisecond}
		j.Queue.Priority = 1
	})
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{entry}}))
	h.step(50 * time.Millisecond)
	for _, id := range []runner.WorkerID{"w-a", "w-b", "w-c"} {
		h.report(id, runner.Report{Clock: time.Second})
	}
	s := h.e.jobs[testJob].occurrences[0].steps[0]
	s.advice = &advice{}
	for _, id := range []runner.WorkerID{"w-a", "w-b", "w-c"} {
		s.advice.record(h.e.workers[id], good)
	}
	h.e.Members(h.now, []string{"d-1", "d-2", "d-3"})
	h.step(50 * time.Millisecond)
	return h, s
}

func TestGangSlotsAreReservedWhileTicketsAreRequested(t *testing.T) {
	// Gangs waited beside sufficient capacity until the load ended: a gang requests tickets;
	// before they arrive, a quick job takes a part of its capacity, because it was not
	// reserved for the duration of the call.
	for _, reserved := range []bool{true, false} {
		h, s := advisedGang(t, Policy{NoGangReservations: !reserved}, 3)
		require.Equal(t, reserved, s.gangReserved)
		quick := jobEntry(t, 1, 2, oneTask())
		require.NoError(t, h.e.Accepted(h.now, store.Entry{Key: KeySubmission("00000000000000bb"), Value: quick.Value}))
		h.step(100 * time.Millisecond)
		if !reserved {
			require.Len(t, h.starts(), 1, "the quick job takes a worker")
			continue
		}
		require.Empty(t, h.starts())
		h.e.Advised(h.now, "d-3", s.id(), []runner.Ticket{{Worker: "w-a", Ticket: "t"}, {Worker: "w-b", Ticket: "t"}, {Worker: "w-c", Ticket: "t"}}, nil)
		h.step(25 * time.Millisecond)
		starts := h.starts()
		require.Len(t, starts, 3)
		for _, x := range starts {
			require.Equal(t, testJob, x.Start.Task.Job)
		}
		require.False(t, s.gangReserved)
	}
}

func TestGangReservationsAreFreedWithoutAnAnswer(t *testing.T) {
	// Workers must not stay idle for a gang whose call for tickets is lost.
	h, s := advisedGang(t, Policy{}, 3)
	require.True(t, s.gangReserved)
	h.e.Members(h.now, nil) // no further calls possible
	quick := jobEntry(t, 1, 2, oneTask())
	require.NoError(t, h.e.Accepted(h.now, store.Entry{Key: KeySubmission("00000000000000bb"), Value: quick.Value}))
	h.step(2 * time.Second)
	require.False(t, s.gangReserved)
	require.Len(t, h.starts(), 1)
}

func TestGangReservationsAreFreedWhenTheJobIsCancelled(t *testing.T) {
	h, s := advisedGang(t, Policy{}, 3)
	require.True(t, s.gangReserved)
	require.NoError(t, h.e.Accepted(h.now, store.Entry{Key: KeyCancel(testJob)}))
	for _, w := range h.e.workerList {
		require.Empty(t, w.gangReservations)
	}
	require.False(t, s.gangReserved)
}

func TestGangOfWhichOnlySomeWereStartedIsStopped(t *testing.T) {
	// A successor finds one member of a gang and no trace of the other, because its
	// predecessor was replaced between the two starts. It must not adopt the one and wait: the
	// member would wait for the other until its worker ends it.
	h := newHarness(t, 2, "w-a", "w-b")
	gang := oneTask()
	gang.Count, gang.Gang = 2, true
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 2, gang)}}))
	h.step(50 * time.Millisecond)
	member := runner.ActiveRun{Task: work.TaskID{Job: testJob}, Run: 1}
	h.report("w-a", runner.Report{Clock: time.Second, Running: []runner.ActiveRun{member}})
	h.report("w-b", runner.Report{Clock: time.Second})
	h.step(300 * time.Millisecond)
	require.Empty(t, h.stops(), "the other may still be reported")
	h.step(400 * time.Millisecond)
	require.Equal(t, []SendStop{{To: runner.Ref{ID: "w-a"}, Task: member.Task, Run: 1}}, h.stops())
}

func TestWorkingGangIsNotStoppedForAnUnreportedMember(t *testing.T) {
	// A gang that makes progress must not be stopped because one of its workers does not
	// answer the new leader.
	h := newHarness(t, 2, "w-a")
	gang := oneTask()
	gang.Count, gang.Gang = 2, true
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 2, gang)}}))
	h.step(50 * time.Millisecond)
	h.report("w-a", runner.Report{Clock: time.Second, Running: []runner.ActiveRun{{Task: work.TaskID{Job: testJob}, Run: 1, Percent: 3}}})
	h.step(2 * time.Second)
	require.Empty(t, h.stops())
}

// stops returns and removes the stop orders that were sent.
func (h *harness) stops() []SendStop { return sent[SendStop](h) }

func TestGangDoesNotWaitForARackOutOfUse(t *testing.T) {
	// Guards against a gang that asks for one rack and waits beside idle workers for one whose
	// workers get no runs, for as long as these are listed.
	for name, c := range map[string]struct {
		out  func(w *worker)
		wait time.Duration
	}{
		"one drains":    {func(w *worker) { w.Draining = true }, 0},
		"one is silent": {func(w *worker) { w.misses = cordonMisses }, testLease},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			for id, rack := range map[runner.WorkerID]string{"w-1": "r1", "w-2": "r1", "w-3": "r2", "w-4": "r3"} {
				h.e.WorkerSeen(h.now, runner.Worker{Ref: runner.Ref{ID: id}, Service: "s", Capacity: work.Resources{CPU: 2000, Memory: 4000}, Labels: []string{"a", rack}})
			}
			h.step(50 * time.Millisecond)
			h.answer("w-1", "w-2", "w-3", "w-4")
			c.out(h.e.workers["w-1"])
			gang := tasksOf(4, true)
			gang.SameRack = true
			require.NoError(t, h.e.Accepted(h.now, jobOf(t, "", testJob, 1, gang)))
			if h.stay(time.Second, "w-2", "w-3", "w-4"); c.wait > 0 {
				require.Empty(t, h.starts(), "it may answer again")
				h.stay(c.wait, "w-2", "w-3", "w-4")
			}
			require.Len(t, h.starts(), 4, "on two racks")
		})
	}
}
