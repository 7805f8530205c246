package dispatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/version/work"
)

// rackHarness returns a leader with two workers on each of three racks, all idle, and a gang for one rack that needs
// two whole workers.
func rackHarness(t *testing.T, change func(j *work.Job)) (*harness, *step) {
	h := newHarness(t, 1)
	for i := range 6 {
		id := runner.WorkerID(fmt.Sprint("w-", i+1))
		h.e.WorkerSeen(h.now, runner.Worker{Ref: runner.Ref{ID: id}, Service: "s", Capacity: work.Resources{CPU: 2000, Memory: 4000}, Labels: []string{"a", fmt.Sprint("r", i/2+1)}})
	}
	h.step(50 * time.Millisecond)
	h.answer(rackWorkers...)
	h.e.Members(h.now, []string{"d-1", "d-2", "d-3"})
	gang := tasksOf(4, true)
	gang.SameRack = true
	require.NoError(t, h.e.Accepted(h.now, changed(t, jobOf(t, "", testJob, 1, gang), change)))
	return h, h.e.jobs[testJob].occurrences[0].steps[0]
}

var rackWorkers = []runner.WorkerID{"w-1", "w-2", "w-3", "w-4", "w-5", "w-6"}

func slowAdvice(j *work.Job) {
	j.Queue.Advice = &work.Advice{Base: 400 * time.Millisecond, Valid: 2 * time.Second}
}

// racksOf returns how many racks the workers of starts are on.
func (h *harness) racksOf(starts []SendStart) int {
	racks := map[string]bool{}
	for _, s := range starts {
		racks[h.e.workers[s.To.ID].rack] = true
	}
	return len(racks)
}

// TestGangAsksAboutTheRackThatItSeeks guards against a gang that renews its tickets on several racks for ever, since they
// are enough together, and never asks about the workers that one rack lacks.
func TestGangAsksAboutTheRackThatItSeeks(t *testing.T) {
	h, s := rackHarness(t, slowAdvice)
	s.advice = &advice{}
	for id, v := range map[runner.WorkerID]verdict{"w-1": good, "w-2": bad, "w-3": good, "w-4": bad, "w-5": good} {
		s.advice.record(h.e.workers[id], v)
		if v == good {
			s.advice.add(ticket{h.e.workers[id], "t", h.now + 500*time.Millisecond})
		}
	}
	h.step(50 * time.Millisecond)
	asked := sent[AskAdvice](h)
	require.Len(t, asked, 1)
	require.Contains(t, asked[0].Workers, runner.WorkerID("w-6"))
	h.e.Advised(h.now, asked[0].Member, asked[0].Step, []runner.Ticket{{Worker: "w-5", Ticket: "t"}, {Worker: "w-6", Ticket: "t"}}, nil)
	h.step(50 * time.Millisecond)
	starts := h.starts()
	require.Len(t, starts, 4)
	require.Equal(t, 1, h.racksOf(starts))
}

// TestGangStartsOnSeveralRacksIfNoneCanHoldIt guards against a gang that waits for a rack after the advice has excluded a
// worker of each.
func TestGangStartsOnSeveralRacksIfNoneCanHoldIt(t *testing.T) {
	h, _ := rackHarness(t, slowAdvice)
	allowed := []runner.WorkerID{"w-1", "w-3", "w-5"}
	var starts []SendStart
	for len(starts) == 0 && h.now < idleStart {
		h.stay(100*time.Millisecond, rackWorkers...)
		effects := h.effects
		h.effects = nil
		for _, x := range effects {
			switch x := x.(type) {
			case SendStart:
				starts = append(starts, x)
			case AskAdvice:
				var good []runner.Ticket
				for _, id := range allowed {
					good = append(good, runner.Ticket{Worker: id, Ticket: "t"})
				}
				h.e.Advised(h.now, x.Member, x.Step, good, nil)
			}
		}
	}
	require.Len(t, starts, 4)
	require.Greater(t, h.racksOf(starts), 1)
}

// TestGangOfACellWithoutTheAdviceBudgetSeeksARack guards against a leader that ends at its first look at the racks, since the gang has no advice yet.
func TestGangOfACellWithoutTheAdviceBudgetSeeksARack(t *testing.T) {
	h, s := rackHarness(t, slowAdvice)
	h.e.o.Policy.NoAdviceBudget = true
	h.step(50 * time.Millisecond)
	require.NotEmpty(t, s.search.rack)
	require.NotEmpty(t, sent[AskAdvice](h))
}

// TestGangStartsOnOneRackThatCanHoldIt guards against a gang that runs slowly on several racks although one is free.
func TestGangStartsOnOneRackThatCanHoldIt(t *testing.T) {
	h, _ := rackHarness(t, func(*work.Job) {})
	h.step(50 * time.Millisecond)
	starts := h.starts()
	require.Len(t, starts, 4)
	require.Equal(t, 1, h.racksOf(starts))
}

// TestWaitForARackIsExplained guards against a gang of which an operator cannot tell for which rack it waits.
func TestWaitForARackIsExplained(t *testing.T) {
	h, s := rackHarness(t, slowAdvice)
	h.step(200 * time.Millisecond)
	x, ok := h.e.Explain(h.now, testJob)
	require.True(t, ok)
	require.Len(t, x.Steps, 1)
	require.Equal(t, s.search.rack, x.Steps[0].Rack)
	require.Positive(t, x.Steps[0].RackMS)
	require.False(t, x.Steps[0].AnyRacks)
	h.stay(2*time.Second, rackWorkers...) // no call is answered
	x, _ = h.e.Explain(h.now, testJob)
	require.True(t, x.Steps[0].AnyRacks)
}

// TestGangDoesNotWaitForARackThatLastingTasksHold guards against a gang that waits beside idle workers for a rack on which
// tasks that last hold what it needs.
func TestGangDoesNotWaitForARackThatLastingTasksHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := idleCellOf(t, 1, func(id work.JobID) time.Duration {
			if id <= "0000000000000006" {
				return time.Hour
			}
			return idleTask
		})
		defer c.stop()
		queue := work.Queue{Name: "q", Service: "s", Attempts: 4, Slack: 2, Allowance: time.Second}
		for rack := range 6 {
			lasts := work.Step{Count: 1, Size: work.Resources{CPU: 30000, Memory: 100}, Estimate: time.Hour, LongRunning: true, Labels: []string{fmt.Sprint("r", rack)}}
			c.submit(&work.Job{Queue: queue, Spec: "x", Steps: []work.Step{lasts}})
		}
		time.Sleep(2 * time.Second)
		require.Equal(t, 6, c.fleet.Running())
		gang := work.Step{Count: 8, Size: work.Resources{CPU: 40000, Memory: 100}, Estimate: 3 * idleTask, Gang: true, SameRack: true}
		id := c.submit(&work.Job{Queue: queue, Spec: "x", Steps: []work.Step{gang}})
		since := time.Now()
		c.requireSoonDone(since, id)
		require.Less(t, time.Since(since), idleRackWait, "it does not wait until seeking a rack ends")
	})
}

// TestRackIsChosenByWhenTheGangCanStart guards against a gang that seeks a rack which cannot hold it, or another one than
// the soonest.
func TestRackIsChosenByWhenTheGangCanStart(t *testing.T) {
	racks := []rackState{
		{name: "small", whole: 3, good: 3},
		{name: "later", whole: 9, at: 5 * time.Second},
		{name: "unlikely", whole: 9, free: 9, good: 2},
		{name: "likely", whole: 9, free: 9, good: 6},
		{name: "unknown", whole: 9, at: forever},
	}
	names := func(near string) (all []string) {
		for _, r := range chooseRack(racks, 4, 2*time.Second, near, 10*time.Second) {
			all = append(all, r.name)
		}
		return all
	}
	require.Equal(t, []string{"likely", "unlikely", "later", "unknown"}, names(""))
	require.Equal(t, []string{"later", "likely", "unlikely", "unknown"}, names("later"), "its data is there")
}

// TestAsMoreRacksAreNamedAsTheFirstAreUnlikely guards against calls one after the other for racks that could be asked about at once,
// and against calls that name racks which are not needed.
func TestAsMoreRacksAreNamedAsTheFirstAreUnlikely(t *testing.T) {
	slow := func(workers int) time.Duration {
		return 410*time.Millisecond + time.Duration(workers)*5900*time.Microsecond
	}
	rack := func(workers int, known bool) (all []asked) {
		for range workers {
			all = append(all, asked{fits: 3, known: known})
		}
		return all
	}
	whole := [][]asked{rack(8, false), rack(8, false), rack(8, false), rack(8, false), rack(8, false)}
	require.Equal(t, 5, racksToName(whole, 8, 0.2, slow), "one rack in six holds it")
	require.Equal(t, 1, racksToName(whole, 8, 0.95, slow), "the first one holds it")
	require.Equal(t, 1, racksToName(append([][]asked{rack(3, true)}, whole...), 8, 0.2, slow), "the first one is known to hold it")
	each := func(workers int) time.Duration { return time.Duration(workers) * 5900 * time.Microsecond }
	require.Equal(t, 1, racksToName(whole, 8, 0.4, each), "a call for each costs no more")
	require.Zero(t, racksToName(nil, 8, 0.4, slow))
	require.InDelta(t, 0.203, holds(rack(8, false), 8, 0.2), 0.001)
	require.InDelta(t, 0.36, holds(append(rack(1, true), rack(2, false)...), 7, 0.6), 0.001, "both others are good")
}
