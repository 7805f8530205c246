package sched

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/sched/gang"
	"fennelshunt.example/fennelshunt/process/sched/naive"
	"fennelshunt.example/fennelshunt/process/sched/snapshot"
	"fennelshunt.example/fennelshunt/version/spec"
)

func gangAsks(n int, size spec.Resources) []Ask {
	asks := make([]Ask, n)
	for i := range asks {
		asks[i] = batchAsk("gang", i, size)
		asks[i].Kind = spec.Gang
	}
	return asks
}

// scatter places random tasks on random workers and returns when each of them ends.
func scatter(t *rapid.T, p *Planner, n *naive.Scheduler) map[worker.Ref]time.Duration {
	ends := map[worker.Ref]time.Duration{}
	r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "scatter"), 1))
	for i := range rapid.IntRange(0, 150).Draw(t, "tasks") {
		a := batchAsk("running", i, res(1+r.Int64N(30), 1+r.Int64N(30)))
		w := &n.Workers[r.IntN(len(n.Workers))]
		if n.Fits(&a, w) && p.Assume(a, Decision{Worker: w.ID}) {
			n.Start(&a, w.ID)
			ends[a.Ref()] = time.Duration(1+r.Int64N(100)) * time.Minute
		}
	}
	return ends
}

func TestGangsAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pair := newPair(t)
		scatter(t, pair.planner, pair.naive)
		asks := gangAsks(rapid.IntRange(1, 40).Draw(t, "gang"), res(rapid.Int64Range(1, 20).Draw(t, "cpu"), rapid.Int64Range(1, 20).Draw(t, "memory")))
		limit := rapid.IntRange(0, 3).Draw(t, "max per worker")
		mixed := rapid.IntRange(0, 4).Draw(t, "mixed") == 0
		for i := range asks {
			asks[i].Constraints.MaxPerWorker = limit
			if mixed {
				asks[i].Size.MilliCPU += int64(i % 3)
			}
		}
		d := pair.planner.PlaceGang(asks)
		_, ok := pair.naive.PlaceGang(asks)
		require.Equal(t, ok, d.Placed)
		require.NoError(t, pair.planner.View().Check())
		if !ok {
			require.Less(t, d.Fit, len(asks))
			return
		}
		require.Len(t, d.Decisions, len(asks))
		rackFits := fitsOneRack(pair.naive, asks)
		racks := map[string]bool{}
		for i, one := range d.Decisions {
			w := pair.naive.Worker(one.Worker)
			require.True(t, pair.naive.Fits(&asks[i], w))
			pair.naive.Start(&asks[i], w.ID)
			racks[w.Rack] = true
		}
		if rackFits && !mixed {
			require.Len(t, racks, 1)
		}
	})
}

func fitsOneRack(n *naive.Scheduler, asks []Ask) bool {
	for i := range n.Workers {
		narrowed := append([]Ask(nil), asks...)
		for j := range narrowed {
			narrowed[j].Constraints.Racks = []string{n.Workers[i].Rack}
		}
		if _, ok := n.PlaceGang(narrowed); ok {
			return true
		}
	}
	return false
}

func TestGangThatNeverFitsIsInfeasible(t *testing.T) {
	states := guild.states(nil, false)
	snap := cacheOf(states).Snapshot()
	d := PlaceGang(snap, gangAsks(97, res(8000, 100)))
	require.Contains(t, d.Infeasible, "needs 97 places at once; all allowed VMs together have 96")
	require.True(t, PlaceGang(snap, gangAsks(96, res(8000, 100))).Placed)
	require.NotEmpty(t, PlaceGang(snap, gangAsks(1, res(17000, 100))).Infeasible)
}

// TestBackfillNeverDelaysTheGang guards against a large gang that never starts:
// capacity is freed one VM at a time, and small tasks take it each time, because
// nothing is reserved for the gang or tasks are backfilled that end too late.
// Conversely, small tasks that end in time must not wait.
func TestBackfillNeverDelaysTheGang(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pair := newPair(t)
		ends := scatter(t, pair.planner, pair.naive)
		asks := gangAsks(rapid.IntRange(1, 30).Draw(t, "gang"), res(rapid.Int64Range(5, 40).Draw(t, "cpu"), 20))
		p := pair.planner
		remaining := func(task *snapshot.Task) (time.Duration, bool) { return ends[task.Ref()], true }
		now := time.Now()
		shadow, ok := gang.Plan(p.View(), asks, now, remaining)
		want, wantOK := earliest(pair.naive, asks, ends)
		require.Equal(t, wantOK, ok)
		if !ok {
			return
		}
		start := shadow.Start.Sub(now)
		require.Equal(t, want, start)
		p.Protect(&shadow)
		backfill(t, pair, ends, start)
		for ref, end := range ends {
			if end <= start {
				p.Forget(ref)
			}
		}
		require.True(t, p.PlaceGang(asks).Placed)
	})
}

// backfill places small tasks with exact run times and records when they end.
func backfill(t *rapid.T, pair *pair, ends map[worker.Ref]time.Duration, start time.Duration) {
	for i := range rapid.IntRange(0, 60).Draw(t, "small") {
		a := batchAsk("small", i, res(rapid.Int64Range(1, 10).Draw(t, "cpu"), rapid.Int64Range(1, 10).Draw(t, "memory")))
		// Add half a minute, so that no task ends at the gang's start.
		if minutes := rapid.Int64Range(-20, 120).Draw(t, "minutes"); minutes >= 0 {
			a.RunTime = time.Duration(minutes)*time.Minute + time.Minute/2
		}
		d := pair.planner.Place(a)
		_, feasible := pair.naive.PlaceBatch(&a)
		if a.RunTime > 0 && a.RunTime <= start {
			require.Equal(t, feasible, d.Placed(), "a task that ends before the gang starts must not wait")
		}
		if !d.Placed() || !pair.planner.Assume(a, d) {
			continue
		}
		pair.naive.Start(&a, d.Worker)
		ends[a.Ref()] = a.RunTime
		if a.RunTime == 0 {
			ends[a.Ref()] = 1 << 60
		}
	}
}

// earliest returns when the gang can start at the earliest, by trying the end of each
// task with the naive scheduler.
func earliest(n *naive.Scheduler, asks []Ask, ends map[worker.Ref]time.Duration) (time.Duration, bool) {
	best, found := time.Duration(0), false
	for _, at := range append([]time.Duration{0}, values(ends)...) {
		if found && at >= best {
			continue
		}
		later := naive.New(n.Workers)
		for i := range later.Workers {
			for _, task := range append([]worker.Ref(nil), refs(later, i)...) {
				if ends[task] <= at {
					later.End(task, later.Workers[i].ID)
				}
			}
		}
		if _, ok := later.PlaceGang(asks); ok {
			best, found = at, true
		}
	}
	return best, found
}

func values(ends map[worker.Ref]time.Duration) []time.Duration {
	out := make([]time.Duration, 0, len(ends))
	for _, end := range ends {
		out = append(out, end)
	}
	return out
}

func refs(n *naive.Scheduler, i int) []worker.Ref {
	var out []worker.Ref
	for _, t := range n.Workers[i].Tasks {
		out = append(out, t.Ref)
	}
	return out
}

// BenchmarkGang measures the decision on a gang of 100 tasks at 80 % load, the plan
// of a gang that has to wait, and for comparison the naive scheduler.
func BenchmarkGang(b *testing.B) {
	for _, n := range cellSizes {
		states := loaded(authority(n))
		p, plain := NewPlanner(cacheOf(states).Snapshot()), naive.New(states)
		asks, large := gangAsks(100, res(1000, 2000)), gangAsks(n, res(40000, 80000))
		remaining := func(task *snapshot.Task) (time.Duration, bool) {
			return time.Duration(task.Ref().Task.Index%600) * time.Second, true
		}
		b.Run("place/"+size(n), func(b *testing.B) {
			for b.Loop() {
				require.True(b, p.PlaceGang(asks).Placed)
			}
		})
		b.Run("plan/"+size(n), func(b *testing.B) {
			for b.Loop() {
				_, ok := p.PlanGang(large, remaining)
				require.True(b, ok)
			}
		})
		b.Run("naive/"+size(n), func(b *testing.B) {
			for b.Loop() {
				_, ok := plain.PlaceGang(asks)
				require.True(b, ok)
			}
		})
	}
}
