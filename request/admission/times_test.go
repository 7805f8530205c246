package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTimeLeftIsComparedWithWhatRequestsTake guards against requests that are begun without the
// time to end, and against refusing all requests of a service that has become slow.
func TestTimeLeftIsComparedWithWhatRequestsTake(t *testing.T) {
	now := time.Now()
	begins := func(s *times, waited, limit time.Duration) bool {
		return s.enough(now.Add(-waited), now, now.Add(limit-waited))
	}
	var s times
	require.True(t, begins(&s, 990*time.Millisecond, time.Second), "nothing is known")
	for i := range 40 {
		s.note(time.Duration(100+100*(i%2))*time.Millisecond, now)
	}
	require.InDelta(t, 150+4*50, s.likely(now).Milliseconds(), 50)
	require.True(t, begins(&s, 500*time.Millisecond, time.Second))
	require.False(t, begins(&s, 900*time.Millisecond, time.Second))
	for range 40 {
		s.note(3*time.Second, now)
	}
	require.True(t, begins(&s, 100*time.Millisecond, time.Second), "most of its time is left")
	require.False(t, begins(&s, 600*time.Millisecond, time.Second))
	now = now.Add(2 * staleAfter)
	require.True(t, begins(&s, 900*time.Millisecond, time.Second), "the service may be quick again")
}
