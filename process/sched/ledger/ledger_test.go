package ledger

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/internal/rapidtest"
	"fennelshunt.example/fennelshunt/version/spec"
)

func TestMain(m *testing.M) { rapidtest.MainChecks(m, 200) }

func cpu(n int64) spec.Resources { return spec.Resources{MilliCPU: n, MemoryMB: 1} }

func TestReserveRefusals(t *testing.T) {
	l := New()
	l.SetWorker("w", spec.Resources{MilliCPU: 1000, MemoryMB: 10, Accelerators: 1})
	require.NoError(t, l.Reserve("w", "a", cpu(600)))
	require.ErrorIs(t, l.Reserve("w", "b", cpu(500)), ErrNoCapacity)
	require.ErrorIs(t, l.Reserve("w", "a", cpu(1)), ErrHeld)
	require.ErrorIs(t, l.Reserve("x", "a", cpu(1)), ErrNoWorker)
	require.ErrorIs(t, l.Reserve("w", "c", spec.Resources{}), ErrSize)
	require.ErrorIs(t, l.Reserve("w", "c", cpu(-1)), ErrSize)
	require.Equal(t, cpu(600), l.Held("w"))
	require.True(t, l.Free("w", "a"))
	require.False(t, l.Free("w", "a"))
	require.NoError(t, l.Reserve("w", "b", cpu(1000)))
}

// TestRemovedWorkerKeepsWhatIsHeld guards against a worker with twice its capacity
// reserved after it was missing from the VM list for a moment: if its state were
// dropped when its entry expires, as if its tasks had stopped, new tasks would start
// beside them once the entry is back.
func TestRemovedWorkerKeepsWhatIsHeld(t *testing.T) {
	l := New()
	l.SetWorker("w", cpu(1000))
	require.NoError(t, l.Reserve("w", "a", cpu(800)))
	l.RemoveWorker("w")
	require.ErrorIs(t, l.Reserve("w", "b", cpu(100)), ErrNoWorker)
	l.SetWorker("w", cpu(1000))
	require.ErrorIs(t, l.Reserve("w", "b", cpu(300)), ErrNoCapacity)
	require.True(t, l.Free("w", "a"))
	l.RemoveWorker("w")
	require.Empty(t, l.workers)
}

// TestAdoptCountsBeyondCapacityAndCheckReportsIt guards against a running task that is
// not counted after a takeover, so that more tasks start beside it. The tasks sized by
// an earlier owner exceed the capacity that the VM declares now, and the last of them
// would not be counted if Adopt required free capacity.
func TestAdoptCountsBeyondCapacityAndCheckReportsIt(t *testing.T) {
	l := New()
	l.SetWorker("w", cpu(1000))
	require.NoError(t, l.Adopt("w", "a", cpu(1200)))
	require.ErrorIs(t, l.Check(), ErrInvariant)
	require.ErrorIs(t, l.Reserve("w", "b", cpu(1)), ErrNoCapacity)
}

func TestAgainstPlainSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New()
		naive := map[worker.ID]map[string]spec.Resources{}
		capacity := spec.Resources{MilliCPU: 20, MemoryMB: 20, Accelerators: 2}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := worker.ID(fmt.Sprint("w", rapid.IntRange(0, 2).Draw(t, "worker")))
			holder := fmt.Sprint("t", rapid.IntRange(0, 8).Draw(t, "holder"))
			size := spec.Resources{
				MilliCPU: rapid.Int64Range(1, 9).Draw(t, "cpu"), MemoryMB: rapid.Int64Range(0, 9).Draw(t, "memory"),
				Accelerators: rapid.Int64Range(0, 1).Draw(t, "accelerators"),
			}
			if naive[id] == nil {
				naive[id] = map[string]spec.Resources{}
				l.SetWorker(id, capacity)
			}
			if rapid.Bool().Draw(t, "free") {
				_, held := naive[id][holder]
				require.Equal(t, held, l.Free(id, holder))
				delete(naive[id], holder)
			} else {
				sum := size
				for _, s := range naive[id] {
					sum = sum.Add(s)
				}
				_, held := naive[id][holder]
				err := l.Reserve(id, holder, size)
				require.Equal(t, !held && sum.Fits(capacity), err == nil, "%v", err)
				if err == nil {
					naive[id][holder] = size
				}
			}
			require.NoError(t, l.Check())
		}
	})
}
