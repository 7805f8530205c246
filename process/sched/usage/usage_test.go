package usage

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/internal/rapidtest"
	"fennelshunt.example/fennelshunt/version/spec"
)

func TestMain(m *testing.M) { rapidtest.MainChecks(m, 200) }

var vm = spec.Resources{MilliCPU: 16000, MemoryMB: 32768, Accelerators: 4}

func ref(i int) worker.Ref { return worker.Ref{Task: spec.TaskID{Job: "j", Index: i}} }

func run(l *Learner, from, n int, used spec.Resources, ran time.Duration) {
	for i := from; i < from+n; i++ {
		l.Observe(ref(i), used)
		l.Ended(ref(i), ran, true)
	}
}

func TestSizeFollowsUsage(t *testing.T) {
	declared := spec.Resources{MilliCPU: 3000, MemoryMB: 3000, Accelerators: 2}
	third := spec.Resources{MilliCPU: 1000, MemoryMB: 1000}
	l := New()
	l.Declare("j", declared, 0)
	run(l, 0, MinEnded-1, third, time.Second)
	require.Equal(t, declared, l.Size("j", vm), "too few tasks have ended to reserve less")
	run(l, 10, 60, third, time.Second)
	got := l.Size("j", vm)
	require.Equal(t, int64(2), got.Accelerators)
	require.Equal(t, withMargin(1000, Window), got.MemoryMB)
	require.Equal(t, int64(1088), got.MilliCPU)

	l.Observe(ref(100), spec.Resources{MilliCPU: 1000, MemoryMB: 9000})
	require.Greater(t, l.Size("j", vm).MemoryMB, int64(9000), "memory grows at the first report")
	l.Declare("j", declared, time.Minute)
	require.Greater(t, l.Size("j", vm).MemoryMB, int64(9000), "a new generation keeps what was learned")
	l.Declare("j", third, 0)
	require.Equal(t, third, l.Size("j", vm), "a new declared size drops it")
}

func TestSizeKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New()
		declared := spec.Resources{MilliCPU: rapid.Int64Range(1, 20000).Draw(t, "cpu"), MemoryMB: rapid.Int64Range(1, 40000).Draw(t, "memory")}
		l.Declare("j", declared, 0)
		var peaks []int64
		for i := range rapid.IntRange(0, 100).Draw(t, "reports") {
			used := spec.Resources{MilliCPU: rapid.Int64Range(1, 60000).Draw(t, "used cpu"), MemoryMB: rapid.Int64Range(1, 100000).Draw(t, "used memory")}
			run(l, i, 1, used, 0)
			peaks = append(peaks, used.MemoryMB)
		}
		size := l.Size("j", vm)
		if !declared.Fits(vm) {
			require.False(t, size.Fits(vm))
			return
		}
		require.True(t, size.Fits(vm))
		require.GreaterOrEqual(t, float64(size.MilliCPU), float64(declared.MilliCPU)*Floor)
		require.GreaterOrEqual(t, float64(size.MemoryMB), float64(declared.MemoryMB)*Floor)
		if len(peaks) >= MinEnded {
			recent := slices.Max(peaks[max(0, len(peaks)-Window):])
			require.GreaterOrEqual(t, size.MemoryMB, min(recent, vm.MemoryMB), "memory covers every recent peak")
		}
	})
}

func TestRunTime(t *testing.T) {
	l := New()
	require.Zero(t, l.RunTime("j"))
	l.Declare("j", spec.Resources{MilliCPU: 1}, time.Minute)
	require.Equal(t, 3*time.Minute, l.RunTime("j"))
	for i := range 10 {
		l.Ended(ref(i), time.Duration(i+1)*time.Second, true)
	}
	l.Ended(ref(11), time.Hour, false)
	require.Equal(t, scaled(9*time.Second, runMargin), l.RunTime("j"))
}

func TestRelief(t *testing.T) {
	load := func(i int, class spec.Class, kind spec.Kind, reserved, used spec.Resources) Load {
		return Load{Ref: ref(i), Kind: kind, Class: class, Reserved: reserved, Used: used}
	}
	size := func(cpu, memory int64) spec.Resources { return spec.Resources{MilliCPU: cpu, MemoryMB: memory} }
	capacity := size(100, 100)
	once := load(0, spec.Low, spec.Batch, size(10, 10), size(10, 60))
	once.NonIdempotent = true
	tests := []struct {
		name  string
		loads []Load
		want  []Action
	}{
		{"within capacity", []Load{load(0, spec.Low, spec.Batch, size(10, 10), size(90, 90))}, nil},
		{"lowest class is throttled first", []Load{
			load(0, spec.High, spec.Service, size(40, 10), size(60, 10)),
			load(1, spec.Low, spec.Batch, size(40, 10), size(60, 10)),
		}, []Action{{Ref: ref(1), Step: Throttle, MilliCPU: 40}}},
		{"tasks within their reservation are not affected", []Load{
			load(0, spec.Low, spec.Batch, size(80, 10), size(80, 10)),
			load(1, spec.High, spec.Batch, size(20, 10), size(60, 10)),
		}, []Action{{Ref: ref(1), Step: Throttle, MilliCPU: 20}}},
		{"memory: a checkpoint also counts as freed CPU", []Load{
			load(0, spec.Normal, spec.Batch, size(50, 40), size(60, 70)),
			load(1, spec.Normal, spec.Batch, size(50, 40), size(60, 40)),
		}, []Action{{Ref: ref(0), Step: Checkpoint}}},
		{"memory: instances after batch tasks, non-idempotent tasks last", []Load{
			once,
			load(1, spec.High, spec.Service, size(10, 10), size(10, 50)),
			load(2, spec.High, spec.Batch, size(10, 10), size(10, 20)),
		}, []Action{{Ref: ref(2), Step: Checkpoint}, {Ref: ref(1), Step: Stop}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { require.Equal(t, test.want, Relieve(capacity, test.loads)) })
	}
}
