package slots

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// reserveAt makes the daemon keep idle credits and one in use.
func (c *cell) reserveAt(d *daemon) (used Slot) {
	held := c.hold(d, 20)
	time.Sleep(time.Second)
	for _, s := range held[1:] {
		s.Release(Ended)
	}
	time.Sleep(2 * time.Second)
	return held[0]
}

// cellWithReserve returns a cell whose pool d0 owns and in which d1 keeps a reserve.
func cellWithReserve(t *testing.T, daemons int) *cell {
	c := newCell(t, 1, daemons)
	c.setEndpoints(4, 8)
	c.own(c.daemons["d0"])
	time.Sleep(time.Second)
	c.reserveAt(c.daemons["d1"])
	return c
}

// TestPlannedStopReturnsIdleCredits guards against callers that wait although slots are idle
// during a rolling upgrade: the credits in reserve at a stopping daemon count as taken until they
// expire, unless it returns them. It must do so even when a call is lost or the pool has just got
// a new owner.
func TestPlannedStopReturnsIdleCredits(t *testing.T) {
	for name, disturb := range map[string]func(*cell){
		"same owner": func(*cell) {},
		"loss":       func(c *cell) { c.net.SetLoss(0.2) },
		"new owner": func(c *cell) {
			if err := c.daemons["d0"].Releasing(c.t.Context(), serviceResource(testService)); err != nil {
				c.t.Error(err)
			}
			c.claims.Release(serviceResource(testService))
			c.own(c.daemons["d2"])
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := cellWithReserve(t, 3)
				defer c.close()
				disturb(c)
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				require.NoError(t, c.daemons["d1"].ReturnIdle(ctx))
				c.net.SetLoss(0)
				c.crash("d1")
				time.Sleep(2 * time.Second)
				// The request of the credit in use may still run.
				require.Equal(t, 31, c.available(c.daemons["d2"]))
			})
		})
	}
}

// TestIdleCreditsAreReturnedToAnOwnerThatWasUnreachable guards against a planned stop that
// abandons the return of its credits although they are still valid and their owner becomes
// reachable again: they would count as taken.
func TestIdleCreditsAreReturnedToAnOwnerThatWasUnreachable(t *testing.T) {
	for _, back := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			c := cellWithReserve(t, 2)
			defer c.close()
			c.net.Cut("d0", "d1")
			if back {
				time.AfterFunc(DefaultTTL/2, func() { c.net.Heal("d0", "d1") })
			}
			began := time.Now()
			err := c.daemons["d1"].ReturnIdle(t.Context())
			require.Equal(t, back, err == nil, "%v", err)
			require.LessOrEqual(t, time.Since(began), DefaultTTL+time.Second)
		})
	}
}

// TestIdleCreditsAreReturnedToASlowOwner guards against a planned stop that says it has lost its
// credits because each answer of their owner, which is short of processor time, takes longer than the
// timeout of a call.
func TestIdleCreditsAreReturnedToASlowOwner(t *testing.T) {
	for _, answer := range []time.Duration{DefaultCallTimeout + 100*time.Millisecond, 3 * DefaultCallTimeout} {
		synctest.Test(t, func(t *testing.T) {
			c := cellWithReserve(t, 2)
			defer c.close()
			c.net.SetDelay(answer / 2)
			require.NoError(t, c.daemons["d1"].ReturnIdle(t.Context()), "%v", answer)
			c.net.SetDelay(time.Millisecond)
			c.crash("d1")
			time.Sleep(2 * time.Second)
			require.Equal(t, 31, c.available(c.daemons["d0"]), "the request of the credit in use may still run")
		})
	}
}

// TestCreditsAreCollectedFromASlowMember guards against slots that count as taken until their credits
// have expired, and against callers that wait for them, because a new owner discards each answer that
// takes longer than half the margin, although the earlier owner has handed the pool over.
func TestCreditsAreCollectedFromASlowMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := cellWithReserve(t, 3)
		defer c.close()
		require.NoError(t, c.daemons["d0"].Releasing(t.Context(), serviceResource(testService)))
		c.claims.Release(serviceResource(testService))
		c.net.SetDelay((DefaultMargin/2 + 100*time.Millisecond) / 2)
		c.own(c.daemons["d2"])
		require.NoError(t, c.daemons["d1"].ReturnIdle(t.Context()))
		c.net.SetDelay(time.Millisecond)
		c.crash("d1")
		time.Sleep(2 * time.Second)
		require.Equal(t, 31, c.available(c.daemons["d2"]), "the request of the credit in use may still run")
	})
}

// TestLateAnswersCountOnlyAfterTheEarlierOwners guards against an instance that gets more requests than
// it has slots: while an earlier owner may still grant, a late answer may list a credit whose slot the
// earlier owner has granted again since.
func TestLateAnswersCountOnlyAfterTheEarlierOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := cellWithReserve(t, 3)
		defer c.close()
		c.daemons["d0"].setDisconnected(time.Now()) // it does not learn of the new owner and grants on
		c.net.Cut("d0", "d2")
		c.net.SetDelay((DefaultMargin/2 + 100*time.Millisecond) / 2)
		c.own(c.daemons["d2"])
		ctx, cancel := context.WithTimeout(t.Context(), DefaultTTL/2)
		defer cancel()
		require.Error(t, c.daemons["d1"].ReturnIdle(ctx), "the answer has not been taken")
	})
}

// TestReturnOfIdleCreditsIsBounded guards against a planned stop that does not end while the
// owner of its credits is unreachable, because it waits for a reply without a limit.
func TestReturnOfIdleCreditsIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := cellWithReserve(t, 2)
		defer c.close()
		c.crash("d0")
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		require.ErrorIs(t, c.daemons["d1"].ReturnIdle(ctx), context.DeadlineExceeded)
	})
}
