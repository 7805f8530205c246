package slots

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSlotsAreUsedWhileThePoolHasNoOwner guards against a service that serves nothing between
// two owners of its pool, because credits that were returned to the first owner cannot be
// granted.
func TestSlotsAreUsedWhileThePoolHasNoOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1, 2)
		defer c.close()
		c.setEndpoints(2, 2)
		c.own(c.daemons["d0"])
		time.Sleep(20 * time.Second)
		const gap = 3 * time.Second
		var served atomic.Int64
		var clients sync.WaitGroup
		end := time.Now().Add(gap + time.Second)
		for i := range 16 { // four times the number of slots
			clients.Go(func() {
				for time.Now().Before(end) {
					if _, err := c.request(c.daemons[memberID(i%2)], 10*time.Second, 10*time.Millisecond); err == nil {
						served.Add(1)
					}
				}
			})
		}
		time.Sleep(500 * time.Millisecond)
		require.NoError(t, c.daemons["d0"].Releasing(t.Context(), serviceResource(testService)))
		before := served.Load()
		time.Sleep(gap)
		during := served.Load() - before
		c.own(c.daemons["d1"])
		clients.Wait()
		require.GreaterOrEqual(t, during, int64(gap/(10*time.Millisecond)), "at least one of four slots' worth")
	})
}
