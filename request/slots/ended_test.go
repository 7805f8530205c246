package slots

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/request/verdict"
)

// TestWaitersAreRefusedWhenTheIncarnationEnds guards against callers of a daemon that the others
// list as ended, who wait until their deadline for a slot that will not be granted: the waiter
// checked only its own deadline.
func TestWaitersAreRefusedWhenTheIncarnationEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1, 2)
		defer c.close()
		c.setEndpoints(1, 1)
		c.own(c.daemons["d0"])
		time.Sleep(time.Second)
		d := c.daemons["d1"]
		held := c.hold(d, 1)
		require.Len(t, held, 1)

		time.AfterFunc(time.Second, d.stop)
		wait, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		began := time.Now()
		_, err := d.Acquire(wait, testService)
		require.ErrorIs(t, err, errIncarnationEnded)
		require.Equal(t, verdict.NotRun, verdict.Of(err))
		require.Equal(t, time.Second, time.Since(began))
		held[0].Release(Ended)
	})
}
