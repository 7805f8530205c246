package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/version/work"
)

// TestSubmissionThatTheWatchLeftOutIsRead guards against an accepted job that is lost because the watch of the
// submissions has passed its revision without bringing it, so that its offer looks like that of a job that
// was forgotten.
func TestSubmissionThatTheWatchLeftOutIsRead(t *testing.T) {
	h := newHarness(t, 2, "w-a")
	h.step(50 * time.Millisecond)
	entry := jobEntry(t, 2, 2, oneTask())
	entry.Revision = 7
	h.e.Heard(9)
	require.NoError(t, h.e.Accepted(h.now, entry))
	require.Equal(t, []ReadJob{{Job: testJob}}, sentNow[ReadJob](h))
	_, known := h.e.State(testJob)
	require.False(t, known)
	require.NoError(t, h.e.JobRead(h.now, testJob, entry, true, nil))
	state, known := h.e.State(testJob)
	require.True(t, known)
	require.Equal(t, work.Queued, state)
	require.NoError(t, h.e.JobRead(h.now, testJob, store.Entry{}, false, nil))
	_, known = h.e.State(testJob)
	require.True(t, known)
}

// sentNow returns the effects of one type that were decided without a tick.
func sentNow[T Effect](h *harness) []T {
	h.effects = append(h.effects, h.e.Flush(h.now)...)
	return sent[T](h)
}
