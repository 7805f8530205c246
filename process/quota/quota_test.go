package quota

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fennelshunt.example/fennelshunt/internal/rapidtest"
)

// checks is the number of runs per property. A Plan that ignores which version a shard applies
// is detected after some 4,000 runs.
const checks = 6000

func TestMain(m *testing.M) { rapidtest.MainChecks(m, checks) }

// TestChargesAgainstRecount compares an account with the sum of all its charges.
func TestChargesAgainstRecount(t *testing.T) {
	amount := rapid.Custom(func(rt *rapid.T) Size {
		return Size{
			MilliCPU: rapid.Int64Range(0, 20).Draw(rt, "cpu"), MemoryMB: rapid.Int64Range(0, 20).Draw(rt, "memory"),
			Accelerators: rapid.Int64Range(0, 2).Draw(rt, "accelerators"),
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		l, quota := NewLedger(), amount.Draw(rt, "quota")
		a := l.Account("t")
		a.Configure(2, quota)
		l.SetCapacity(Size{MilliCPU: 100, MemoryMB: 200})
		var held []Size
		sum := func(extra Size) (s Size) {
			s = extra
			for _, h := range held {
				s = s.Add(h)
			}
			return s
		}
		over := func(total, size, quota int64) bool { return quota > 0 && size > 0 && total > quota }
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			size := amount.Draw(rt, "size")
			if len(held) > 0 && rapid.Bool().Draw(rt, "refund") {
				a.Refund(held[0])
				held = held[1:]
				continue
			}
			total := sum(size)
			exceeds := over(total.MilliCPU, size.MilliCPU, quota.MilliCPU) ||
				over(total.MemoryMB, size.MemoryMB, quota.MemoryMB) ||
				over(total.Accelerators, size.Accelerators, quota.Accelerators)
			err := a.Charge(size)
			require.Equal(rt, exceeds, err != nil)
			if err == nil {
				held = append(held, size)
			}
			require.Equal(rt, sum(Size{}), a.Held())
		}
		now := sum(Size{})
		want := max(float64(now.MilliCPU)/100, float64(now.MemoryMB)/200) / 2
		require.InDelta(rt, want, l.Share(a), 1e-9)
	})
}

func TestSharesOfACapAddUpToTheCap(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		whole := rapid.Int64Range(1, 1<<40).Draw(rt, "cap")
		rest, sum := int64(FullShare), int64(0)
		for rest > 0 {
			share := rapid.Int64Range(0, rest).Draw(rt, "share")
			if rapid.Bool().Draw(rt, "last") {
				share = rest
			}
			rest -= share
			l := NewLedger()
			l.SetShares(func(string) int64 { return share })
			a := l.Account("t")
			a.Configure(1, Size{MilliCPU: whole})
			n := a.FitCount(Size{MilliCPU: 1}, 1<<62)
			require.NoError(rt, a.Charge(Size{MilliCPU: int64(n)}))
			require.False(rt, a.Over(Size{MilliCPU: 1}))
			if n > 0 || share == 0 {
				require.False(rt, a.Fits(Size{MilliCPU: 1}), "a share of zero admits nothing")
			}
			sum += int64(n)
		}
		require.LessOrEqual(rt, sum, whole)
	})
}

func TestUnconfirmedWorkCountsAsHeld(t *testing.T) {
	a := NewLedger().Account("t")
	a.Configure(1, Size{MilliCPU: 10})
	a.Adopt(Size{MilliCPU: 4, MemoryMB: 900})
	a.SetUnconfirmed(Size{MilliCPU: 5})
	require.True(t, a.Fits(Size{MilliCPU: 1, MemoryMB: 5}), "no cap on memory")
	require.False(t, a.Fits(Size{MilliCPU: 2}))
	require.Equal(t, 1, a.FitCount(Size{MilliCPU: 1}, 3))
	a.SetUnconfirmed(Size{})
	require.Equal(t, 3, a.FitCount(Size{MilliCPU: 2}, 3))
	require.True(t, a.CanEverFit(Size{MilliCPU: 10}))
	require.False(t, a.CanEverFit(Size{MilliCPU: 11}))
	a.Adopt(Size{MilliCPU: 7})
	require.True(t, a.Over(Size{MilliCPU: 1}))
	require.False(t, a.Over(Size{MemoryMB: 1}))
}
