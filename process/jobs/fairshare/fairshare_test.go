package fairshare

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fennelshunt.example/fennelshunt/internal/rapidtest"
	"fennelshunt.example/fennelshunt/version/spec"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

// TestChargesAgainstRecount compares the accounts with a sum over all charges.
func TestChargesAgainstRecount(t *testing.T) {
	amount := rapid.Custom(func(rt *rapid.T) spec.Resources {
		return spec.Resources{
			MilliCPU: rapid.Int64Range(0, 20).Draw(rt, "cpu"), MemoryMB: rapid.Int64Range(0, 20).Draw(rt, "memory"),
			Accelerators: rapid.Int64Range(0, 2).Draw(rt, "accelerators"),
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		a, quota := New(), amount.Draw(rt, "quota")
		a.SetTeam("t", 2, quota)
		a.SetCapacity(spec.Resources{MilliCPU: 100, MemoryMB: 200})
		var held []spec.Resources
		sum := func(extra spec.Resources) (s spec.Resources) {
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
				a.Refund("t", held[0])
				held = held[1:]
				continue
			}
			total := sum(size)
			exceeds := over(total.MilliCPU, size.MilliCPU, quota.MilliCPU) ||
				over(total.MemoryMB, size.MemoryMB, quota.MemoryMB) ||
				over(total.Accelerators, size.Accelerators, quota.Accelerators)
			err := a.Charge("t", size)
			require.Equal(rt, exceeds, err != nil)
			if err == nil {
				held = append(held, size)
			}
			require.Equal(rt, sum(spec.Resources{}), a.Held("t"))
		}
		now := sum(spec.Resources{})
		want := max(float64(now.MilliCPU)/100, float64(now.MemoryMB)/200) / 2
		require.InDelta(rt, want, a.Share("t"), 1e-9)
	})
}
