package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTimeLeftIsComparedWithWhatRequestsTake guards against requests that are sent without
// enough time to end, and against refusing all requests of a service that has become slow.
func TestTimeLeftIsComparedWithWhatRequestsTake(t *testing.T) {
	now := time.Now()
	sendable := func(s *serviceTimes, waited, limit time.Duration) bool {
		return s.sufficient(now.Add(-waited), now, now.Add(limit-waited))
	}
	var s serviceTimes
	require.True(t, sendable(&s, 990*time.Millisecond, time.Second), "no measurement yet")
	for i := range 40 {
		s.observe(time.Duration(100+100*(i%2))*time.Millisecond, now)
	}
	require.InDelta(t, 150+4*50, s.upperEstimate(now).Milliseconds(), 50)
	require.True(t, sendable(&s, 500*time.Millisecond, time.Second))
	require.False(t, sendable(&s, 900*time.Millisecond, time.Second))
	for range 40 {
		s.observe(3*time.Second, now)
	}
	require.True(t, sendable(&s, 100*time.Millisecond, time.Second), "most of its time is left")
	require.False(t, sendable(&s, 600*time.Millisecond, time.Second))
	now = now.Add(2 * staleAfter)
	require.True(t, sendable(&s, 900*time.Millisecond, time.Second), "the service may be fast again")
}
