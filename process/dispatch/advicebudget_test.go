package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/advicebudget"
	"fennelshunt.example/fennelshunt/version/work"
)

// advised returns an entry for a job of one step whose queue has slow advice.
func advised(t *testing.T, id work.JobID, queue string, priority int, slack float64, step work.Step) store.Entry {
	entry := changed(t, jobEntry(t, 1, 4, step), func(j *work.Job) {
		j.Queue.Name, j.Queue.Priority, j.Queue.Slack = queue, priority, slack
		j.Queue.Advice = &work.Advice{Base: 500 * time.Millisecond, Valid: 2 * time.Second}
	})
	entry.Key = KeySubmission(id)
	return entry
}

// crowdedCell returns a cell in which a gang that can be in time waits for w-a, which is full, and
// a hundred small tasks with slack need slow calls to use w-b.
func crowdedCell(t *testing.T, policy Policy) (h *harness, gang work.JobID) {
	h = newHarness(t, 1, "w-a", "w-b")
	h.e.o.Policy = policy.complete()
	blocker := oneTask()
	blocker.Count = 4
	full := jobEntry(t, 1, 4, blocker)
	full.Key = KeySubmission("00000000000000f0")
	wide := work.Step{Count: 4, Size: work.Resources{CPU: 1000, Memory: 100}, Estimate: time.Second, Gang: true}
	entries := []store.Entry{full, advised(t, "00000000000000f1", "wide", 1, 20, wide)}
	for i := range 100 {
		entries = append(entries, advised(t, work.JobID(fmt.Sprintf("%016x", i+1)), "many", 2, 200, oneTask()))
	}
	require.NoError(t, h.e.Load(0, Saved{Accepted: entries[:1]}))
	h.step(50 * time.Millisecond)
	h.report("w-a", runner.Report{Clock: time.Second})
	require.Len(t, h.starts(), 4, "w-a is full")
	h.report("w-b", runner.Report{Clock: time.Second})
	for _, entry := range entries[1:] {
		require.NoError(t, h.e.Accepted(h.now, entry))
	}
	return h, "00000000000000f1"
}

// callsFor counts the calls for advice among the kept effects for a job, and for all others, and
// drops the effects.
func callsFor(h *harness, id work.JobID) (own, others int) {
	for _, x := range sent[AskAdvice](h) {
		if x.Step.Job == id {
			own++
		} else {
			others++
		}
	}
	return own, others
}

func TestGangFindsAProxyBesideSmallTasksWithSlack(t *testing.T) {
	// Guards against gangs that have capacity and find no proxy, because small tasks with slack
	// occupy every proxy for slow calls.
	for _, policy := range []Policy{{}, {NoAdviceBudget: true}} {
		h, gang := crowdedCell(t, policy)
		s := h.e.jobs[gang].occurrences[0].steps[0]
		s.advice = &advice{}
		s.advice.record(h.e.workers["w-a"], good)
		s.advice.record(h.e.workers["w-b"], bad)
		h.effects = nil
		h.e.Members(h.now, []string{"d-1", "d-2", "d-3", "d-4", "d-5", "d-6", "d-7", "d-8"})
		h.step(200 * time.Millisecond)
		own, others := callsFor(h, gang)
		require.Zero(t, own, "w-a is full")
		require.NoError(t, h.e.Accepted(h.now, store.Entry{Key: KeyCancel("00000000000000f0")}))
		for _, alloc := range sortedAllocs(h.e.workers["w-a"]) {
			h.e.release(alloc)
		}
		h.step(400 * time.Millisecond)
		own, _ = callsFor(h, gang)
		if policy.NoAdviceBudget {
			require.Equal(t, 5, others)
			require.Zero(t, own)
			continue
		}
		require.Equal(t, 1, others, "a quarter of five")
		require.Equal(t, 1, own)
		require.Positive(t, h.e.Stats().AdvicePostponed)
	}
}

func TestBudgetChangesNothingWhileProxiesAreNotScarce(t *testing.T) {
	// Guards against small tasks that are held back for a gang though there are proxies for all.
	var names []string
	for i := range 200 {
		names = append(names, fmt.Sprintf("d-%03d", i))
	}
	counts := map[bool]int{}
	for _, off := range []bool{false, true} {
		h, gang := crowdedCell(t, Policy{NoAdviceBudget: off})
		h.effects = nil
		h.e.Members(h.now, names)
		h.step(200 * time.Millisecond)
		_, counts[off] = callsFor(h, gang)
		require.Zero(t, h.e.Stats().AdvicePostponed)
	}
	require.Equal(t, 100, counts[false])
	require.Equal(t, counts[true], counts[false])
}

func TestSilentProxyIsNotUsedUntilItAnswers(t *testing.T) {
	// Guards against calls that are sent again through a daemon that does not answer, and
	// against tickets of a call that was given up.
	h := newHarness(t, 1, "w-a")
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{advised(t, testJob, "many", 2, 50, oneTask())}}))
	h.step(50 * time.Millisecond)
	h.report("w-a", runner.Report{Clock: time.Second})
	h.effects = nil
	h.e.Members(h.now, []string{"d-1", "d-2", "d-3"})
	h.step(50 * time.Millisecond)
	first := sent[AskAdvice](h)
	require.Len(t, first, 1)
	h.step(first[0].Timeout + advicePause + 2*tickPeriod)
	second := sent[AskAdvice](h)
	require.Len(t, second, 1)
	require.NotEqual(t, first[0].Member, second[0].Member)
	require.EqualValues(t, 1, h.e.Stats().AdviceFailed)
	require.False(t, h.e.usableProxy(h.e.proxies[first[0].Member]))

	tickets := []runner.Ticket{{Worker: "w-a", Ticket: "t"}}
	h.e.Advised(h.now, first[0].Member, first[0].Step, tickets, nil)
	h.step(50 * time.Millisecond)
	require.Empty(t, h.starts(), "the answer came after the call was given up")
	require.True(t, h.e.usableProxy(h.e.proxies[first[0].Member]), "it answers again")
	h.e.Advised(h.now, second[0].Member, second[0].Step, tickets, nil)
	h.step(50 * time.Millisecond)
	require.Len(t, h.starts(), 1)
}

func TestProxyThatAnswersLateComesLast(t *testing.T) {
	// Guards against tickets that arrive after the capacity reserved for them is released,
	// because the call was sent through a daemon whose calls take twice their cost.
	h := newHarness(t, 1, "w-a")
	h.e.Members(0, []string{"d-1", "d-2"})
	for range 5 {
		h.e.proxies["d-2"].state.Answered(0, 2*time.Second, time.Second)
	}
	require.Equal(t, "d-1", h.e.pickProxy(true).member)
	require.Equal(t, "d-1", h.e.pickProxy(false).member)
	h.e.proxies["d-1"].calls = []adviceCall{{s: &step{}}}
	require.Equal(t, "d-2", h.e.pickProxy(true).member, "it is better than none")
}

func TestSuccessorAsksAgain(t *testing.T) {
	// Guards against a takeover after which a step waits for an answer to its predecessor.
	h := newHarness(t, 2, "w-a")
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{advised(t, testJob, "wide", 1, 20, oneTask())}}))
	h.step(50 * time.Millisecond)
	h.report("w-a", runner.Report{Clock: time.Second})
	h.effects = nil
	h.e.Members(h.now, []string{"d-1"})
	h.e.Advised(h.now, "d-1", work.TaskID{Job: testJob}, []runner.Ticket{{Worker: "w-a", Ticket: "old"}}, nil)
	h.step(50 * time.Millisecond)
	asked := sent[AskAdvice](h)
	require.Len(t, asked, 1)
	h.e.Advised(h.now, "d-1", asked[0].Step, []runner.Ticket{{Worker: "w-a", Ticket: "new"}}, nil)
	h.step(50 * time.Millisecond)
	starts := h.starts()
	require.Len(t, starts, 1)
	require.Equal(t, "new", starts[0].Start.Ticket)
}

func TestPreemptionMayAskForAPostponedGang(t *testing.T) {
	// Guards against a request made for a gang by preemption that is dropped because the gang's
	// own calls are postponed.
	h, gang := crowdedCell(t, Policy{})
	s := h.e.jobs[gang].occurrences[0].steps[0]
	s.advice = &advice{}
	s.advice.record(h.e.workers["w-a"], good)
	s.advice.record(h.e.workers["w-b"], bad)
	h.e.Members(h.now, []string{"d-1", "d-2", "d-3", "d-4", "d-5", "d-6", "d-7", "d-8"})
	h.step(200 * time.Millisecond)
	h.e.countProxies()
	require.Less(t, h.e.now, h.e.proxiesScarceUntil)
	s.advice.budget.grant, s.advice.inFlight, s.advice.next, s.advice.toAsk = advicebudget.Postponed, 0, 0, nil
	require.Positive(t, h.e.idleForSlow)
	require.False(t, h.e.mayAsk(s))
	require.True(t, h.e.requestAdvice(s, []runner.WorkerID{"w-a"}))
	require.True(t, slices.Equal(s.advice.toAsk, []runner.WorkerID{"w-a"}))
}
