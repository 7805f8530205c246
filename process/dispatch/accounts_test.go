package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/fair"
	"fennelshunt.example/fennelshunt/process/quota"
	"fennelshunt.example/fennelshunt/version/work"
)

func accountsOf(t *testing.T, list ...work.Account) *work.Accounts {
	a, err := work.NewAccounts(list)
	require.NoError(t, err)
	return a
}

// jobOf returns the submission of a job of an account.
func jobOf(t *testing.T, account string, id work.JobID, epoch uint64, steps ...work.Step) store.Entry {
	e := changed(t, jobEntry(t, epoch, 4, steps...), func(j *work.Job) { j.Account = account })
	e.Key = KeySubmission(id)
	return e
}

// readyHarness returns an engine with workers of 64 cores that have answered.
func readyHarness(t *testing.T, ids ...runner.WorkerID) *harness {
	h := newHarness(t, 1)
	h.largeWorkers(ids...)
	h.answer(ids...)
	return h
}

func (h *harness) largeWorkers(ids ...runner.WorkerID) {
	for _, id := range ids {
		h.e.WorkerSeen(h.now, runner.Worker{Ref: runner.Ref{ID: id}, Service: "s", Capacity: work.Resources{CPU: 64000, Memory: 131072}})
	}
	h.step(50 * time.Millisecond)
}

func (h *harness) answer(ids ...runner.WorkerID) {
	for _, id := range ids {
		h.report(id, runner.Report{Clock: time.Second + h.now})
	}
}

// successor returns an engine of the second epoch over the state that the first one left, with
// two workers of 64 cores that the first one used.
func successor(t *testing.T, saved Saved, accounts ...work.Account) *harness {
	h := newHarness(t, 2)
	fleet, err := peer.Marshal(fleetRecord{Workers: []runner.Ref{{ID: "w-1"}, {ID: "w-2"}}})
	require.NoError(t, err)
	saved.Fleet = []store.Entry{{Key: keyFleet, Value: fleet, Revision: 5}}
	require.NoError(t, h.e.Load(h.now, saved))
	h.e.SetAccounts(h.now, accountsOf(t, accounts...))
	h.largeWorkers("w-1", "w-2")
	return h
}

const (
	firstJob  = work.JobID("00000000000000a1")
	secondJob = work.JobID("00000000000000a2")
)

// tasksOf returns a step of tasks of one core (1,000 milli-CPU) and 100 MB each.
func tasksOf(n int, gang bool) work.Step {
	return work.Step{Count: n, Size: work.Resources{CPU: 1000, Memory: 100}, Estimate: time.Second, Gang: gang}
}

func TestAccountStaysWithinItsCap(t *testing.T) {
	// An account that submits more than its cap allows ran a tenth and more above the cap on a
	// cell with capacity for everything, because its running tasks were not counted.
	h := readyHarness(t, "w-1", "w-2")
	h.e.SetAccounts(h.now, accountsOf(t, work.Account{Name: "north", Cap: work.Resources{CPU: 5000, Memory: 10000}}))
	require.NoError(t, h.e.Accepted(h.now, jobOf(t, "north", firstJob, 1, tasksOf(8, false))))
	require.NoError(t, h.e.Accepted(h.now, jobOf(t, "south", secondJob, 1, tasksOf(8, false))))
	h.step(tickPeriod)
	starts := h.starts()
	count := func(id work.JobID) (n int) {
		for _, s := range starts {
			if s.Start.Task.Job == id {
				n++
			}
		}
		return n
	}
	require.Equal(t, 5, count(firstJob), "its cap is five tasks")
	require.Equal(t, 8, count(secondJob), "an account that is not configured has no cap")

	// A start without an answer may still be carried out, and counts.
	first := starts[0]
	h.e.Started(h.now, first.To.ID, first.Start.Task, first.Start.Run, runner.ErrUnknown)
	h.step(100 * time.Millisecond)
	for _, s := range h.starts() {
		require.Equal(t, first.Start.Run, s.Start.Run, "the same run again, no new one")
	}
	// A known completion frees capacity for one.
	var other SendStart
	for _, s := range starts[1:] {
		if s.Start.Task.Job == firstJob {
			other = s
		}
	}
	h.report(other.To.ID, done(1, other))
	h.step(tickPeriod)
	require.Len(t, h.starts(), 1)
}

func TestGangStartsWholeOrNotWithinItsCap(t *testing.T) {
	h := readyHarness(t, "w-1", "w-2")
	h.e.SetAccounts(h.now, accountsOf(t, work.Account{Name: "north", Cap: work.Resources{CPU: 5000}}))
	require.NoError(t, h.e.Accepted(h.now, jobOf(t, "north", firstJob, 1, tasksOf(3, false))))
	h.step(tickPeriod)
	require.Len(t, h.starts(), 3)
	require.NoError(t, h.e.Accepted(h.now, jobOf(t, "north", secondJob, 1, tasksOf(3, true))))
	h.step(tickPeriod)
	require.Empty(t, h.starts(), "two of its three members are within the cap")
	require.Equal(t, uint64(1), h.e.Stats().OverQuota)
	h.e.SetAccounts(h.now, accountsOf(t, work.Account{Name: "north", Cap: work.Resources{CPU: 6000}}))
	h.step(tickPeriod)
	require.Len(t, h.starts(), 3, "a raised cap applies at once")
}

func TestCapLoweredBelowWhatRunsStopsNothingAndStartsNothing(t *testing.T) {
	h := readyHarness(t, "w-1", "w-2")
	h.e.SetAccounts(h.now, accountsOf(t, work.Account{Name: "north", Cap: work.Resources{CPU: 5000}}))
	require.NoError(t, h.e.Accepted(h.now, jobOf(t, "north", firstJob, 1, tasksOf(8, false))))
	h.step(tickPeriod)
	starts := h.starts()
	require.Len(t, starts, 5)
	h.e.SetAccounts(h.now, accountsOf(t, work.Account{Name: "north", Cap: work.Resources{CPU: 2000}}))
	for i, s := range starts[:3] {
		h.report(s.To.ID, done(int64(i+1), s))
		h.step(tickPeriod)
		require.Empty(t, h.starts(), "%d still run", 4-i)
		require.Empty(t, h.stops())
	}
	h.report(starts[3].To.ID, done(4, starts[3]))
	h.step(tickPeriod)
	require.Len(t, h.starts(), 1)

	// An account that is no longer configured keeps its last cap.
	h.e.SetAccounts(h.now, accountsOf(t))
	h.step(tickPeriod)
	require.Empty(t, h.starts())
}

func TestJobsOfAccountsWaitUntilCapsAreKnown(t *testing.T) {
	// A new leader that has read the jobs, but has no configuration yet, must not run an
	// account over its cap.
	h := readyHarness(t, "w-1")
	require.NoError(t, h.e.Accepted(h.now, jobOf(t, "north", firstJob, 1, tasksOf(2, false))))
	require.NoError(t, h.e.Accepted(h.now, jobOf(t, "", secondJob, 1, tasksOf(2, false))))
	h.step(tickPeriod)
	for _, s := range h.starts() {
		require.Equal(t, secondJob, s.Start.Task.Job, "the job without an account")
	}
	h.e.SetAccounts(h.now, nil)
	h.step(tickPeriod)
	require.Len(t, h.starts(), 2)
}

func TestSuccessorCountsUnconfirmedWork(t *testing.T) {
	// A successor that counts only reported runs lets an account run twice its cap: a leader
	// starts work up to the cap and fails, one of the workers does not answer the successor,
	// and the account submits more work.
	old := jobOf(t, "north", firstJob, 1, tasksOf(5, false))
	h := successor(t, Saved{Accepted: []store.Entry{old}}, work.Account{Name: "north", Cap: work.Resources{CPU: 5000}})
	h.answer("w-1")
	require.NoError(t, h.e.Accepted(h.now, jobOf(t, "north", secondJob, 2, tasksOf(3, false))))
	h.step(tickPeriod)
	require.Empty(t, h.starts(), "all five tasks may run on the worker that has not answered")
	run := h.e.nextRun(0)
	h.report("w-2", runner.Report{Clock: time.Second + h.now, Running: []runner.ActiveRun{
		{Task: work.TaskID{Job: firstJob, Index: 0}, Run: run}, {Task: work.TaskID{Job: firstJob, Index: 1}, Run: run}}})
	require.Len(t, h.starts(), 3, "two run, and three more are within the cap")
}

func TestUnconfirmedWorkIsBoundedByItsWorkers(t *testing.T) {
	// After a takeover an account started nothing for as long as one unreachable worker might
	// hold a lease, because all of its waiting work was assumed to run there, more than the
	// worker can run.
	h := successor(t, Saved{Accepted: []store.Entry{jobOf(t, "north", firstJob, 1, tasksOf(500, false))}}, work.Account{Name: "north", Cap: work.Resources{CPU: 66000}})
	h.answer("w-1")
	require.NoError(t, h.e.Accepted(h.now, jobOf(t, "north", secondJob, 2, tasksOf(3, false))))
	h.step(tickPeriod)
	require.Len(t, h.starts(), 2, "64 of its 66 cores may be in use there")
}

func TestRunsOfEndedJobsCountOverATakeover(t *testing.T) {
	// What an ended job was still running has to be stored with its end. Otherwise an account
	// runs over its cap if a leader fails after a cancelled job's state is written and before
	// the stops are carried out: the successor has the job's final state, but not its tasks.
	h := readyHarness(t, "w-1")
	h.e.SetAccounts(h.now, nil)
	require.NoError(t, h.e.Accepted(h.now, jobOf(t, "north", firstJob, 1, tasksOf(4, false))))
	h.step(tickPeriod)
	starts := h.starts()
	require.NoError(t, h.e.Accepted(h.now, store.Entry{Key: KeyCancel(firstJob)}))
	state, err := work.EncodeProgress(h.e.jobs[firstJob].progress())
	require.NoError(t, err)
	p, err := work.DecodeProgress(state)
	require.NoError(t, err)
	require.Equal(t, work.Resources{CPU: 4000, Memory: 400}, p.InUse)

	next := successor(t, Saved{States: []store.Entry{{Key: KeyState(firstJob), Value: state, Revision: 3}}},
		work.Account{Name: "north", Cap: work.Resources{CPU: 5000}})
	require.NoError(t, next.e.Accepted(next.now, jobOf(t, "north", secondJob, 2, tasksOf(3, false))))
	next.answer("w-2")
	require.Len(t, next.starts(), 1, "four may run on the other worker")
	untracked := runner.Report{Clock: time.Second + next.now}
	for _, s := range starts {
		untracked.Running = append(untracked.Running, runner.ActiveRun{Task: s.Start.Task, Run: s.Start.Run})
	}
	next.report("w-1", untracked)
	require.Empty(t, next.starts(), "they run there, and are being stopped")
	next.answer("w-1")
	require.Len(t, next.starts(), 2)
}

// TestChargesEqualWhatIsPlaced compares the charges of accounts with a recount after each step
// of random cells. The workers' own count in the random tests checks the same.
func TestChargesEqualWhatIsPlaced(t *testing.T) {
	h := readyHarness(t, "w-1", "w-2", "w-3")
	rng := rand.New(rand.NewPCG(1, 2))
	h.e.SetAccounts(h.now, accountsOf(t, work.Account{Name: "a", Cap: work.Resources{CPU: 9000}}, work.Account{Name: "b", Cap: work.Resources{CPU: 20000}}))
	var running []SendStart
	number := map[runner.WorkerID]int64{}
	for i := range 300 {
		if i%5 == 0 {
			id := work.JobID([]byte("0000000000000000")[:13]) + work.JobID([]byte{'0' + byte(i/100), '0' + byte(i/10%10), '0' + byte(i%10)})
			require.NoError(t, h.e.Accepted(h.now, jobOf(t, []string{"a", "b"}[rng.IntN(2)], id, 1, tasksOf(1+rng.IntN(6), rng.IntN(3) == 0))))
		}
		h.step(20 * time.Millisecond)
		running = append(running, h.starts()...)
		if len(running) > 0 && rng.IntN(2) == 0 {
			k := rng.IntN(len(running))
			s := running[k]
			running = append(running[:k], running[k+1:]...)
			number[s.To.ID]++
			h.report(s.To.ID, done(number[s.To.ID], s))
		}
		want := map[string]quota.Size{}
		for _, w := range h.e.workerList {
			for _, alloc := range w.allocs {
				name := alloc.s.job.spec.Account
				want[name] = want[name].Add(alloc.s.charge())
			}
			for _, x := range w.untracked {
				want[x.account.Name] = want[x.account.Name].Add(x.size)
			}
		}
		h.e.ledger.Each(func(a *quota.Account) { require.Equal(t, want[a.Name], a.Held(), a.Name) })
	}
}

// TestAccountsUnderRandomFaults is TestJobsUnderRandomFaults with accounts whose caps are tight and
// change. The workers count the runs of each account.
func TestAccountsUnderRandomFaults(t *testing.T) {
	overSeeds(t, 6, func(t *testing.T, seed uint64) {
		c := newTestCell(t, seed, 16, 3, usualBehaviour(0.05))
		c.changeCaps()
		names := []string{"north", "south", "east"}
		randomFaultsOf(t, c, func(rng *rand.Rand) *work.Job {
			j := drawJob(rng, rng.IntN(2) == 0)
			j.Account = names[rng.IntN(len(names))]
			return j
		}, func(c *cell) {
			if c.rng.IntN(3) == 0 {
				c.changeCaps()
			}
			c.injectFault()
		})
	})
}

func TestHotAccountDoesNotTakeTheCapacityOfOthers(t *testing.T) {
	// An account that submits twice what it is entitled to made the jobs of others late,
	// because jobs were ordered by their due time alone.
	h := newHarness(t, 1)
	h.e = NewEngine(Options{Epoch: 1, Bounds: Bounds{Lease: testLease, MaxLease: testLease, Gang: 3 * time.Second, Keep: time.Minute,
		Entitled: fair.Entitlement{Window: 2 * time.Second, Slack: 10}},
		Violation: func(what string, _ work.TaskID, _ runner.WorkerID) { t.Errorf("invariant: %s", what) }})
	h.largeWorkers("w-1")
	h.answer("w-1")
	h.e.SetAccounts(h.now, accountsOf(t, work.Account{Name: "hot", Weight: 10}, work.Account{Name: "calm", Weight: 10}))
	full := tasksOf(1, false)
	full.Size.CPU = 64000 // a worker's whole capacity
	var all []store.Entry
	for i := range 60 {
		all = append(all, jobOf(t, "hot", work.JobID(fmt.Sprintf("%016x", i+1)), 1, full))
	}
	calm := work.JobID("00000000000000ff")
	for _, x := range append(all, jobOf(t, "calm", calm, 1, full)) {
		require.NoError(t, h.e.Accepted(h.now, x))
	}
	before := 0
	for {
		h.step(tickPeriod)
		s := h.starts()
		require.Len(t, s, 1)
		if s[0].Start.Task.Job == calm {
			break
		}
		before++
		h.report(s[0].To.ID, done(int64(before), s[0]))
	}
	require.Less(t, before, 31, "what the hot account is entitled to: ten a second over two seconds, and ten")
}
