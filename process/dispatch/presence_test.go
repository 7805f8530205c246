package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/crash"
)

// acknowledgedHarness returns a leader that has acknowledged a completion of w-a, whose clock is a second
// ahead of the leader's, and waits for the answer to the next renewal.
func acknowledgedHarness(t *testing.T) *harness {
	h := newHarness(t, 1, "w-a")
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 4, oneTask())}}))
	h.step(50 * time.Millisecond)
	h.report("w-a", h.clocked(runner.Report{}))
	start := h.starts()[0].Start
	h.report("w-a", h.clocked(runner.Report{Ended: []runner.Completion{{Number: 1, Task: start.Task, Run: start.Run}}}))
	h.step(100 * time.Millisecond)
	h.report("w-a", h.clocked(runner.Report{}))
	require.Equal(t, int64(1), h.renewals("w-a")[len(h.renewals("w-a"))-1].Renewal.Acknowledge)
	h.effects = nil
	return h
}

// clocked returns a report that is given now.
func (h *harness) clocked(r runner.Report) runner.Report {
	r.Clock = time.Second + h.now
	return r
}

// nextRenewal returns the next renewal to w-a, which a leader without recent evidence of its leadership
// sends after evidencePause.
func (h *harness) nextRenewal() SendRenew {
	h.effects = nil
	h.step(100 * time.Millisecond)
	if len(h.renewals("w-a")) == 0 {
		h.step(evidencePause)
	}
	all := h.renewals("w-a")
	require.Len(h.t, all, 1)
	return all[0]
}

// TestAnswerFromBeforeAPauseDoesNotCountAsFresh guards against a count of completions that is told to the
// next incarnation of a worker, since the answer of the one before lay in the leader's process while it stood
// still: the next one drops as many completions, which no leader has received.
func TestAnswerFromBeforeAPauseDoesNotCountAsFresh(t *testing.T) {
	h := acknowledgedHarness(t)
	old := h.clocked(runner.Report{})
	h.now += 5 * time.Second // the leader stands still
	h.e.Renewed(h.now, "w-a", old, nil)
	require.Zero(t, h.nextRenewal().Renewal.Acknowledge)
	h.e.Renewed(h.now, "w-a", h.clocked(runner.Report{}), nil)
	require.Equal(t, int64(1), h.nextRenewal().Renewal.Acknowledge)
}

// TestAnswerAfterALongWaitCountsAsFresh guards against completions that are acknowledged one renewal later
// than needed, since the renewal that listed them had waited for them.
func TestAnswerAfterALongWaitCountsAsFresh(t *testing.T) {
	h := acknowledgedHarness(t)
	h.step(900 * time.Millisecond)
	h.e.Renewed(h.now, "w-a", h.clocked(runner.Report{}), nil)
	require.Equal(t, int64(1), h.nextRenewal().Renewal.Acknowledge)
}

// TestSlowClockDelaysFewAcknowledgements guards against acknowledgements that come a renewal late again and
// again on a worker whose clock is 2 % slow and whose renewals wait their full time.
func TestSlowClockDelaysFewAcknowledgements(t *testing.T) {
	h := acknowledgedHarness(t)
	late := 0
	for range 100 { // renewals
		h.e.Renewed(h.now, "w-a", runner.Report{Clock: time.Second + scale(h.now, 0.98)}, nil)
		x := h.nextRenewal()
		if x.Renewal.Acknowledge > 0 {
			h.step(x.Renewal.Wait - 100*time.Millisecond)
		} else { // the worker answers at once
			late++
		}
	}
	require.LessOrEqual(t, late, 5, "one each 25 s")
}

// TestRunsAreNotClearedByAnAnswerFromBeforeAPause guards against a task that crashes its workers and is not
// suspected, so that healthy ones are, since an answer from before a pause of the leader counts as one of now.
func TestRunsAreNotClearedByAnAnswerFromBeforeAPause(t *testing.T) {
	h := newHarness(t, 1, "w-a")
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 4, oneTask())}}))
	h.step(50 * time.Millisecond)
	h.report("w-a", h.clocked(runner.Report{}))
	start := h.starts()[0].Start
	h.e.Started(h.now, "w-a", start.Task, start.Run, nil)
	old := h.clocked(runner.Report{Running: []runner.ActiveRun{{Task: start.Task, Run: start.Run}}})
	h.now += 5 * time.Second // the leader stands still
	h.e.Renewed(h.now, "w-a", old, nil)
	w := h.e.workers["w-a"]
	suspects, _ := w.suspects(false)
	require.Len(t, suspects, 1)
	h.step(100 * time.Millisecond)
	require.Greater(t, h.now, crash.Window)
	h.e.Renewed(h.now, "w-a", h.clocked(old), nil)
	suspects, _ = w.suspects(false)
	require.Empty(t, suspects)
}

// TestRunIsNotMovedByAnAnswerFromBeforeAPause guards against a sound run that is stopped as stalled, because the
// last answer from before a pause of the leader shows no progress since.
func TestRunIsNotMovedByAnAnswerFromBeforeAPause(t *testing.T) {
	h := newHarness(t, 1, "w-a")
	require.NoError(t, h.e.Load(0, Saved{Accepted: []store.Entry{jobEntry(t, 1, 4, oneTask())}}))
	h.step(50 * time.Millisecond)
	h.report("w-a", h.clocked(runner.Report{}))
	start := h.starts()[0].Start
	h.e.Started(h.now, "w-a", start.Task, start.Run, nil)
	rows := []runner.ActiveRun{{Task: start.Task, Run: start.Run, Percent: 10}}
	h.report("w-a", h.clocked(runner.Report{Running: rows}))
	h.step(50 * time.Millisecond)
	old := h.clocked(runner.Report{Running: rows})
	h.now += 2 * stallTimeout // the leader stands still
	h.e.Renewed(h.now, "w-a", old, nil)
	h.step(100 * time.Millisecond)
	require.Empty(t, sent[SendStop](h))
}

// TestClockThatStoodStillIsNotTrusted guards against answers that count as later than they can be: the
// leader's machine was suspended, and its clock with it, while the worker's went on.
func TestClockThatStoodStillIsNotTrusted(t *testing.T) {
	var p presence
	p.note(10*time.Second, 9*time.Second, 100*time.Second)
	require.Equal(t, 9*time.Second, p.at)
	p.note(11*time.Second, 10*time.Second, 200*time.Second)
	require.Equal(t, 10*time.Second, p.at, "by its call")
	p.note(12*time.Second, 11*time.Second, 201500*time.Millisecond)
	require.InDelta(t, float64(11500*time.Millisecond), float64(p.at), float64(5*time.Millisecond), "by the clock since")
}

// recordingRunner records the renewals that it is asked for, and does not answer them.
type recordingRunner struct {
	runner.Runner
	renewals []runner.Renewal
}

func (r *recordingRunner) Renew(_ context.Context, _ runner.Ref, x runner.Renewal) (runner.Report, error) {
	r.renewals = append(r.renewals, x)
	return runner.Report{}, runner.ErrUnknown
}

// TestAcknowledgementDecidedBeforeAPauseIsNotSent guards against a count of completions that is told to the
// next incarnation of a worker, since the leader stood still between deciding and sending the renewal.
func TestAcknowledgementDecidedBeforeAPauseIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &recordingRunner{}
		h := heldHost(t)
		h.o.Runner = r
		x := SendRenew{To: runner.Ref{ID: "w-a"}, Renewal: runner.Renewal{Epoch: 1, Until: time.Minute, Acknowledge: 7}, Timeout: time.Second,
			AcknowledgeUntil: h.now() + ackFreshness}
		h.sendRenew(t.Context(), x)
		time.Sleep(ackFreshness + time.Millisecond)
		h.sendRenew(t.Context(), x)
		require.Len(t, r.renewals, 2)
		require.Equal(t, int64(7), r.renewals[0].Acknowledge)
		require.Zero(t, r.renewals[1].Acknowledge)
		require.Equal(t, time.Minute, r.renewals[1].Until, "the lease is on the worker's clock")
	})
}

// startingRunner counts starts.
type startingRunner struct {
	recordingRunner
	starts int
}

func (r *startingRunner) Start(context.Context, runner.Ref, runner.Start) (time.Duration, error) {
	r.starts++
	return 0, nil
}

// TestStartDecidedBeforeAPauseIsNotSent guards against a task that runs again after it was done elsewhere, since the
// leader stood still between deciding and sending its start.
func TestStartDecidedBeforeAPauseIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &startingRunner{}
		h := heldHost(t)
		h.o.Runner, h.o.Bounds = r, Bounds{Gang: 3 * time.Second}
		x := SendStart{To: runner.Ref{ID: "w-a"}, Before: h.now() + maxStartDelay}
		h.sendStart(t.Context(), x)
		require.Equal(t, 1, r.starts)
		time.Sleep(maxStartDelay + time.Millisecond)
		h.sendStart(t.Context(), x)
		require.Equal(t, 1, r.starts)
		require.ErrorIs(t, errStartDelayed, runner.ErrNotRun)
	})
}
