package advicebudget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestShareOfSlowCallsFollowsQuickOnes(t *testing.T) {
	// Guards against slow calls that starve while quick steps wait, and against a share that changes
	// although the rest of the proxies is enough for quick calls.
	rapid.Check(t, func(t *rapid.T) {
		p := Proxies{All: rapid.IntRange(1, 200).Draw(t, "all"), Quick: rapid.IntRange(0, 400).Draw(t, "quick")}
		usual, less, more := p, p, p
		usual.Quick = 0
		less.Quick = rapid.IntRange(0, p.Quick).Draw(t, "less")
		more.Quick = 1 << 20
		require.GreaterOrEqual(t, less.Slow(), p.Slow())
		require.LessOrEqual(t, p.Slow(), usual.Slow())
		require.GreaterOrEqual(t, p.Slow(), 1)
		require.GreaterOrEqual(t, more.Slow(), int(leastSlowShare*float64(p.All)))
		if p.Quick <= p.All-usual.Slow() {
			require.Equal(t, usual.Slow(), p.Slow())
		}
		if p.Slow() > more.Slow() {
			require.GreaterOrEqual(t, p.All-p.Slow(), min(p.Quick, p.All-usual.Slow()))
		}
	})
}

func TestDemandOfQuickCallsFollowsTheirRateWhileSomeWait(t *testing.T) {
	// Guards against proxies kept for quick calls that nobody waits for, and against too few of them.
	rapid.Check(t, func(t *rapid.T) {
		var d QuickDemand
		rate := rapid.IntRange(1, 1000).Draw(t, "rate")
		hold := time.Duration(rapid.IntRange(5, 59).Draw(t, "hold")) * time.Millisecond
		waiting := rapid.IntRange(1, 500).Draw(t, "waiting")
		now := time.Duration(0)
		for range 6 * rate {
			now += time.Second / time.Duration(rate)
			d.Sent(now)
			d.Answered(hold)
		}
		require.Zero(t, d.Proxies(now), "no step has waited")
		d.Waiting(now, waiting)
		calls := float64(rate) * hold.Seconds()
		require.GreaterOrEqual(t, d.Proxies(now), int(calls), "the rate goes on")
		first := d.Proxies(now)
		d.Waiting(now, 0)
		require.LessOrEqual(t, d.Proxies(now), first, "those that waited are served")
		require.InDelta(t, quickHeadroom*calls, d.Proxies(now), 2+0.2*calls)
		require.Zero(t, d.Proxies(now+quickMemory))
	})
}

func TestQuickCallsLeaveAShareToSlowOnes(t *testing.T) {
	// Guards against quick calls that take each proxy as soon as it is idle, against proxies
	// that are idle because they are kept for nobody, and against quick steps that starve because
	// the only proxy is always kept.
	rapid.Check(t, func(t *rapid.T) {
		p, waiting := drawProxies(t), rapid.IntRange(0, 50).Draw(t, "waiting")
		kept := p.KeptFromQuick(waiting)
		require.LessOrEqual(t, kept, waiting)
		require.LessOrEqual(t, kept, p.FreeForSlow(), "slow calls may use them")
		if p.Quick > 0 && kept < waiting && kept < p.Idle {
			require.GreaterOrEqual(t, kept+p.BusyWithSlow(), min(p.share(leastSlowShare), p.All-1))
		}
		require.Less(t, kept, p.All, "one is never kept")
		p.Quick = 0
		require.Zero(t, p.KeptFromQuick(waiting))
	})
}

func TestSecondCallsLeaveProxiesThatBecomeIdle(t *testing.T) {
	// Guards against slow calls that are never sent because each proxy always has a quick one.
	rapid.Check(t, func(t *rapid.T) {
		p := Proxies{All: rapid.IntRange(1, 50).Draw(t, "all")}
		p.OneQuick = rapid.IntRange(0, p.All).Draw(t, "one")
		p.TwoQuick = rapid.IntRange(0, p.All-p.OneQuick).Draw(t, "two")
		taken := rapid.IntRange(0, p.All-p.OneQuick-p.TwoQuick).Draw(t, "taken")
		n := p.SecondCalls(taken)
		require.LessOrEqual(t, n, p.OneQuick+taken, "one behind each")
		if n > 0 {
			require.LessOrEqual(t, n+p.TwoQuick, p.All-p.share(leastSlowShare))
		}
	})
}
