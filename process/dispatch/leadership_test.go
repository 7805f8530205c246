package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/runner"
)

// answerAll answers the renewals of workers, without a tick.
func (h *harness) answerAll(ids ...runner.WorkerID) {
	for _, id := range ids {
		h.e.Renewed(h.now, id, runner.Report{Clock: time.Second + h.now}, nil)
	}
}

// tick lets the time jump to a tick, and returns the renewals and starts that it sends.
func (h *harness) tick(d time.Duration) (renewals []SendRenew, starts []SendStart) {
	h.effects = nil
	h.now += d
	h.e.Tick(h.now)
	for _, x := range h.e.Flush(h.now) {
		switch x := x.(type) {
		case SendRenew:
			renewals = append(renewals, x)
		case SendStart:
			starts = append(starts, x)
		}
	}
	return renewals, starts
}

// leadingHarness returns a leader of three workers, whose answers it has just handled, and a job of one
// task that is not placed yet.
func leadingHarness(t *testing.T) *harness {
	h := newHarness(t, 1, "w-a", "w-b", "w-c")
	h.step(50 * time.Millisecond)
	h.answerAll("w-a", "w-b", "w-c")
	h.step(time.Second)
	h.answerAll("w-a", "w-b", "w-c")
	require.NoError(t, h.e.Accepted(h.now, jobEntry(t, 1, 2, oneTask())))
	return h
}

// TestFirstTickAfterAStandstillGivesNoLeases guards against a former leader that gives leases and
// starts tasks when it runs again after seconds, before it has heard anything of a successor.
func TestFirstTickAfterAStandstillGivesNoLeases(t *testing.T) {
	h := leadingHarness(t)
	renewals, starts := h.tick(4 * time.Second)
	require.Len(t, renewals, 3)
	for _, x := range renewals {
		require.Zero(t, x.Renewal.Until, "the lease of %s", x.To.ID)
	}
	require.Empty(t, starts)
}
