package slots

import (
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
