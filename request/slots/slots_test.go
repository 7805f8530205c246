package slots

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestEverySlotIsReachableFromOneDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1, 3)
		defer c.close()
		c.setEndpoints(4, 8)
		c.own(c.daemons["d0"])
		time.Sleep(time.Second)
		c.requireAllSlots(c.daemons["d2"], 32)
		c.requireAllSlots(c.daemons["d1"], 32)
	})
}

func TestNoMessageAtLowLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1, 3)
		defer c.close()
		c.setEndpoints(4, 8)
		c.own(c.daemons["d0"])
		time.Sleep(time.Second)
		d := c.daemons["d1"]
		before := d.counts.Reports.Value()
		for range 100 {
			waited, err := c.request(d, time.Second, time.Millisecond)
			require.NoError(t, err)
			require.Zero(t, waited)
		}
		require.Equal(t, before, d.counts.Reports.Value())
	})
}

// TestSlotsAreShortOnlyWhileAllAreTaken guards against admission that holds requests back while
// slots are free, or admits all of them at once when there are none.
func TestSlotsAreShortOnlyWhileAllAreTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1, 2)
		defer c.close()
		c.setEndpoints(2, 2)
		c.own(c.daemons["d0"])
		time.Sleep(time.Second)
		d := c.daemons["d1"]
		var clients sync.WaitGroup
		for range 4 {
			clients.Go(func() { _, _ = c.request(d, 5*time.Second, 2*time.Second) })
		}
		time.Sleep(time.Second)
		require.False(t, d.Saturated(testService), "no request waits")
		clients.Go(func() { _, _ = c.request(d, 5*time.Second, time.Second) })
		time.Sleep(500 * time.Millisecond)
		require.True(t, d.Saturated(testService))
		clients.Wait()
		_, err := c.request(d, time.Second, time.Millisecond)
		require.NoError(t, err)
		require.False(t, d.Saturated(testService))
	})
}
