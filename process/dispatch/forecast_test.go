package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/loadshed"
	"fennelshunt.example/fennelshunt/version/work"
)

// loadedHarness returns an engine with a worker of four cores, a job that fills it and one that waits,
// both with an estimate of ten seconds and an objective of twenty.
func loadedHarness(t *testing.T, policy Policy) *harness {
	h := newHarness(t, 1, "w-a")
	h.e.o.Policy = policy.complete()
	step := oneTask()
	step.Count, step.Estimate = 4, 10*time.Second
	first, second := jobEntry(t, 1, 4, step), jobEntry(t, 1, 4, step)
	second.Key = KeySubmission("00000000000000bb")
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{first, second}}))
	h.e.SetAccounts(0, nil)
	h.step(50 * time.Millisecond)
	h.report("w-a", runner.Report{Clock: time.Second})
	require.Len(t, h.starts(), 4)
	return h
}

func TestNewLeaderMakesNoDigest(t *testing.T) {
	// Guards against refusals by a leader that sees what runs as waiting.
	h := loadedHarness(t, Policy{})
	began := h.now
	require.Nil(t, h.e.LoadDigest(h.now))
	for h.step(tickPeriod); h.now < began+loadshed.Settling; h.step(tickPeriod) {
		require.Nil(t, h.e.LoadDigest(h.now))
	}
	d := h.e.LoadDigest(h.now)
	require.NotNil(t, d)
	require.Equal(t, uint64(1), d.Epoch)
	require.Equal(t, 4.0, d.Cores)
	require.Equal(t, loadshed.Waiting{InTime: 40}, d.Classes[0].Work, "only what waits")
	h.step(tickPeriod)
	require.Same(t, d, h.e.LoadDigest(h.now), "at most ten a second")
	require.Equal(t, uint64(1), h.e.Stats().Digests)
}

func TestDigestFollowsTheRanks(t *testing.T) {
	// Guards against counting work that comes after a new job.
	h := loadedHarness(t, Policy{})
	h.e.LoadDigest(h.now)
	waiting := h.e.jobs[testJob]
	if len(waiting.occurrences[0].steps[0].pending) == 0 {
		waiting = h.e.jobs["00000000000000bb"]
	}
	o := waiting.occurrences[0]
	at := h.now
	work := func(objective time.Duration) []loadshed.ClassLoad {
		o.due = o.from + objective
		at += loadshed.Settling
		return h.e.LoadDigest(at).Classes
	}
	require.Equal(t, loadshed.Waiting{InTime: 40}, work(20 * time.Second)[0].Work)
	require.Equal(t, loadshed.Waiting{Late: 40}, work(9 * time.Second)[0].Work, "it takes ten seconds")
	require.Empty(t, work(time.Second), "it is of no value any more")
}

func TestSwitchMakesNoDigest(t *testing.T) {
	// Guards against refusals although admission control is off.
	for _, p := range []Policy{{NoLoadShedding: true}, {FirstCome: true}} {
		h := loadedHarness(t, p)
		for range 100 {
			h.step(tickPeriod)
			require.Nil(t, h.e.LoadDigest(h.now))
		}
	}
}

func TestWorkThatCannotRunDelaysNothing(t *testing.T) {
	// Guards against refusals because of a gang that does not fit its account's cap.
	accounts, err := work.NewAccounts([]work.Account{{Name: "north", Weight: 2, Cap: work.Resources{CPU: 2000}}})
	require.NoError(t, err)
	h := newHarness(t, 1, "w-a")
	step := oneTask()
	step.Count, step.Gang, step.Estimate = 3, true, 10*time.Second
	large := changed(t, jobEntry(t, 1, 4, step), func(j *work.Job) { j.Account = "north" })
	step.Count = 2
	fits := changed(t, jobEntry(t, 1, 4, step), func(j *work.Job) { j.Account = "north" })
	fits.Key = KeySubmission("00000000000000bb")
	next := fits
	next.Key = KeySubmission("00000000000000cc")
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{large, fits, next}}))
	h.e.SetAccounts(0, accounts)
	h.step(50 * time.Millisecond)
	h.report("w-a", runner.Report{Clock: time.Second})
	h.e.LoadDigest(h.now)
	d := h.e.LoadDigest(h.now + loadshed.Settling)
	require.Empty(t, d.Classes, "what waits for a quota delays no other account")
	require.Equal(t, 2.0, d.Weights)
	require.Len(t, d.Accounts, 1)
	require.Equal(t, 20.0, d.Accounts[0].Classes[0].Work.InTime, "the gang that fits")
	require.InDelta(t, 10, d.Accounts[0].Classes[0].Quota.InTime, 1e-9, "it takes the whole cap")
}
