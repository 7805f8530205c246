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

// TestCreditWhoseReturnWasNotAnsweredIsNotUsedAgain guards against an instance that gets more requests
// than it has slots: its owner has received a returned credit and granted the slot to another daemon,
// the answer was lost, and the next report is refused, since the owner is the owner no more.
func TestCreditWhoseReturnWasNotAnsweredIsNotUsedAgain(t *testing.T) {
	for seed := range uint64(20) { // which report carries the return depends on the order of goroutines
		synctest.Test(t, func(t *testing.T) { returnWithoutAnAnswer(t, seed) })
	}
}

func returnWithoutAnAnswer(t *testing.T, seed uint64) {
	c := newCell(t, seed, 3)
	defer c.close()
	c.setEndpoints(1, 1)
	c.own(c.daemons["d0"])
	time.Sleep(20 * time.Second)
	first := c.hold(c.daemons["d1"], 1)[0]
	var clients sync.WaitGroup
	for _, d := range []*daemon{c.daemons["d2"], c.daemons["d1"]} {
		clients.Go(func() { _, _ = c.request(d, 8*time.Second, 3*time.Second) }) // waits for the one slot
		time.Sleep(time.Second)                                                  // d2 waits longer than d1
	}
	c.net.SetDelay(100 * time.Millisecond)
	c.daemons["d1"].directory.Freeze() // it does not hear of the next owner
	first.Release(Ended)
	time.Sleep(150 * time.Millisecond) // the report has arrived, the answer has not
	c.net.Cut("d0", "d1")
	time.Sleep(2 * time.Second)
	require.NoError(t, c.daemons["d0"].Releasing(t.Context(), serviceResource(testService)))
	c.net.Heal("d0", "d1")
	clients.Wait()
	require.Equal(t, 1, c.instances.most)
}
