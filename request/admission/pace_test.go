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
	begins := func(p *pace, waited, limit time.Duration) bool {
		return p.worthBeginning(now.Add(-waited), now, now.Add(limit-waited))
	}
	var p pace
	require.True(t, begins(&p, 990*time.Millisecond, time.Second), "nothing is known")
	for i := range 40 {
		p.served(time.Duration(100+100*(i%2))*time.Millisecond, now)
	}
	require.InDelta(t, 150+4*50, p.takes(now).Milliseconds(), 50)
	require.True(t, begins(&p, 500*time.Millisecond, time.Second))
	require.False(t, begins(&p, 900*time.Millisecond, time.Second))
	for range 40 {
		p.served(3*time.Second, now)
	}
	require.True(t, begins(&p, 100*time.Millisecond, time.Second), "most of its time is left")
	require.False(t, begins(&p, 600*time.Millisecond, time.Second))
	now = now.Add(2 * staleAfter)
	require.True(t, begins(&p, 900*time.Millisecond, time.Second), "the service may be quick again")
}
