package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// newWork returns the work of a new step.
func (m *Model) newWork(queue string, estimate time.Duration) *Work {
	s := &Work{}
	s.Init(m.Queue(queue), estimate)
	return s
}

// fleet is a cell of workers that each run several tasks at a time, in steps of 25 tasks whose
// estimates are off with a sigma of 0.9.
type fleet struct {
	m       *Model
	rng     *rand.Rand
	workers []*Worker
	speeds  []float64
	long    float64 // share of runs that take seven times as long
}

func newFleet(seed uint64, n int, kindOf func(i int) (kind string, speed float64)) *fleet {
	f := &fleet{m: New(false), rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range n {
		kind, s := kindOf(i)
		f.workers = append(f.workers, f.m.AddWorker(kind, fmt.Sprint(i/12)))
		f.speeds = append(f.speeds, s)
	}
	return f
}

// play runs tasks for a time: on each worker that has a task of its step running at any time,
// with progress every half second.
func (f *fleet) play(length time.Duration) {
	type active struct {
		i    int
		s    *Work
		r    Run
		from time.Duration
		took time.Duration
	}
	var running []*active
	var s *Work
	var whole time.Duration
	left := 0
	start := func(now time.Duration, i int) {
		if left == 0 {
			left = 25
			whole = time.Duration(3.4e9 * math.Exp(f.rng.NormFloat64()*0.47))
			s = f.m.newWork("many", time.Duration(float64(whole)*math.Exp(f.rng.NormFloat64()*0.9)))
		}
		left--
		took := float64(whole) / f.speeds[i] * (1 + 0.3*(f.rng.Float64()-0.5))
		if f.rng.Float64() < f.long {
			took *= 7
		}
		a := &active{i: i, s: s, from: now, took: time.Duration(took)}
		a.r.Begin(now, true)
		running = append(running, a)
	}
	for now := time.Duration(0); now < length; now += 100 * time.Millisecond {
		f.m.Refresh()
		if now == 0 {
			for k := range 6 * len(f.workers) {
				start(now, k%len(f.workers))
			}
		}
		kept := running
		running = nil
		for _, a := range kept {
			switch done := now - a.from; {
			case done >= a.took:
				f.m.LearnEnd(f.workers[a.i], a.s, &a.r, a.from+a.took)
				start(now, f.rng.IntN(len(f.workers)))
			default:
				if done > 0 && done%(500*time.Millisecond) == 0 {
					a.r.Report(now, 100*done.Seconds()/a.took.Seconds())
					f.m.LearnProgress(f.workers[a.i], a.s, &a.r)
				}
				running = append(running, a)
			}
		}
	}
	f.m.Refresh()
}

// TestSlowQuarterIsFoundWithinFiveSeconds guards against a scheduler that sends work to slow
// workers as to any other: with estimates that are off by a factor of two, an average over
// estimates does not tell a slow worker from an underestimated task.
func TestSlowQuarterIsFoundWithinFiveSeconds(t *testing.T) {
	for _, labels := range []bool{true, false} {
		f := newFleet(1, 350, func(i int) (string, float64) {
			kind, s := "", 1.2
			if i%4 == 0 {
				s = 0.55
			}
			if labels {
				kind = fmt.Sprint(s)
			}
			return kind, s
		})
		f.long = 0.03
		f.play(5 * time.Second)
		wrong := 0
		for i, w := range f.workers {
			if slow := w.Factor/f.m.Typical() > 1.35; slow != (f.speeds[i] < 1) {
				wrong++
			}
		}
		t.Logf("labels %v: %d of %d workers wrong", labels, wrong, len(f.workers))
		require.LessOrEqual(t, wrong, 350/20, "labels %v", labels)
	}
}

// TestEqualWorkersAndRightEstimatesChangeNothing guards against decisions that change without
// cause where the model has nothing to tell.
func TestEqualWorkersAndRightEstimatesChangeNothing(t *testing.T) {
	m := New(false)
	a, b := m.AddWorker("k", "r"), m.AddWorker("k", "r")
	for i := range 200 {
		s := m.newWork("q", time.Duration(1+i%7)*time.Second)
		m.Learn(a, s, s.estimate, End)
		m.Learn(b, s, s.estimate, Progress)
		m.Refresh()
		require.InDelta(t, 1, s.Factor(), 1e-9)
		require.InDelta(t, 1, a.Factor, 1e-9)
		require.InDelta(t, 1, b.Factor, 1e-9)
		require.InDelta(t, 1, m.Typical(), 1e-9)
	}
}

// TestOneRunHasBoundedInfluence guards against predictions that follow a single run that takes a
// hundred times as long as the others, as a plain average does.
func TestOneRunHasBoundedInfluence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(false)
		w, other := m.AddWorker("k", "r"), m.AddWorker("k", "r")
		n := rapid.IntRange(0, 30).Draw(t, "runs before")
		for range n {
			s := m.newWork("q", time.Second)
			for _, x := range []*Worker{w, other} {
				m.Learn(x, s, time.Duration(rapid.Float64Range(0.8, 1.2).Draw(t, "usual")*1e9), End)
			}
		}
		m.Refresh()
		before, typical := w.Factor, m.newWork("q", time.Second).Factor()
		s := m.newWork("q", time.Second)
		took := time.Duration(math.Exp(rapid.Float64Range(-9, 9).Draw(t, "logarithm")) * 1e9)
		m.Learn(w, s, took, Progress)
		m.Learn(w, s, took, End)
		bound := 2.0
		if n >= 10 {
			bound = 1.25
		}
		require.LessOrEqual(t, math.Abs(math.Log(w.Factor/before)), math.Log(bound), "worker")
		if n > 0 {
			require.LessOrEqual(t, math.Abs(math.Log(m.newWork("q", time.Second).Factor()/typical)), math.Log(2), "queue")
		}
		require.False(t, math.IsNaN(w.Factor) || math.IsInf(s.Factor(), 0))
	})
}

// TestHistoryIsForgottenWithTheWorker guards against a new incarnation, which may be another
// machine, that is judged by the runs of the earlier one.
func TestHistoryIsForgottenWithTheWorker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(false)
		reference := m.AddWorker("k", "other")
		old := m.AddWorker("k", "r")
		for range rapid.IntRange(1, 40).Draw(t, "runs") {
			s := m.newWork("q", time.Second)
			m.Learn(reference, s, time.Second, End)
			m.Learn(old, s, time.Duration(rapid.Float64Range(0.1, 10).Draw(t, "took")*1e9), End)
		}
		m.Refresh()
		m.RemoveWorker(old)
		m.Refresh()
		w := m.AddWorker("k", "r")
		m.Refresh()
		require.InDelta(t, 1, w.Factor, 1e-9)
		require.Len(t, m.workers, 2)
		require.Len(t, m.pools, 3, "no pool without members is kept")
	})
}

// TestWorkerWithoutRunsHasThePooledFactor guards against new workers of a slow kind that are
// used as if they were typical.
func TestWorkerWithoutRunsHasThePooledFactor(t *testing.T) {
	f := newFleet(2, 60, func(i int) (string, float64) {
		if i%2 == 0 {
			return "slow", 0.6
		}
		return "fast", 1.2
	})
	f.play(10 * time.Second)
	slow, fast := f.m.AddWorker("slow", "new"), f.m.AddWorker("fast", "new")
	f.m.Refresh()
	require.InDelta(t, 2, slow.Factor/fast.Factor, 0.25)
}

// TestChangeOfSpeedIsFollowed guards against a worker that becomes slow, for example because a disk
// fails, and keeps its factor for minutes because of many earlier runs.
func TestChangeOfSpeedIsFollowed(t *testing.T) {
	m := New(false)
	w, other := m.AddWorker("k", "r1"), m.AddWorker("k", "r2")
	feed := func(n int, took time.Duration) {
		for range n {
			s := m.newWork("q", time.Second)
			for range 4 {
				m.Learn(other, s, time.Second, End)
			}
			m.Learn(w, s, took, End)
		}
	}
	feed(200, time.Second)
	feed(10, 6*time.Second)
	require.Greater(t, w.Factor/other.Factor, 3.0)
	require.NotZero(t, m.Stats().Changed)
}

// TestWorkerThatRecoversPredictsItsLabelsAgain guards against a worker that was slow for some runs and
// is left out of the pools of its labels for good: in a cell in which each worker has been slow once,
// new workers would have no pooled factor any more.
func TestWorkerThatRecoversPredictsItsLabelsAgain(t *testing.T) {
	for _, c := range []struct {
		name             string
		others, slowOnes int // of the slow kind: workers that stay as they are, and those that are slow for a time
	}{{"one of three", 2, 1}, {"all", 0, 4}, {"one of many", 9, 1}} {
		m := New(false)
		var fast, slow []*Worker
		for range 4 {
			fast = append(fast, m.AddWorker("fast", "r1"))
		}
		for range c.others + c.slowOnes {
			slow = append(slow, m.AddWorker("slow", "r2"))
		}
		// play lets each worker end n runs; those that are slow for a time take the given time.
		play := func(n int, took time.Duration) {
			for range n {
				s := m.newWork("q", time.Second)
				for _, w := range fast {
					m.Learn(w, s, time.Second, End)
				}
				for i, w := range slow {
					if i < c.slowOnes {
						m.Learn(w, s, took, End)
					} else {
						m.Learn(w, s, 2*time.Second, End)
					}
				}
				m.Refresh()
			}
		}
		play(20, 2*time.Second)
		play(20, 8*time.Second)
		require.NotZero(t, m.Stats().Changed, c.name)
		for _, w := range slow[:c.slowOnes] {
			require.True(t, w.changed, "%s: it is still slow", c.name)
			require.Greater(t, w.Factor/fast[0].Factor, 6.0, c.name)
		}
		play(40, 2*time.Second)
		for _, w := range slow[:c.slowOnes] {
			require.InDelta(t, 2, w.Factor/fast[0].Factor, 0.3, c.name)
		}
		added := m.AddWorker("slow", "new")
		m.Refresh()
		require.InDelta(t, 2, added.Factor/fast[0].Factor, 0.3, c.name)
		require.Equal(t, c.others+c.slowOnes, slow[0].kind.n, c.name)
	}
}

// TestWorkerThatStaysSlowPredictsNoOther guards against healthy workers that are predicted by one of
// their labels that has become slow for good.
func TestWorkerThatStaysSlowPredictsNoOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(false)
		var all []*Worker
		for range 8 {
			all = append(all, m.AddWorker("k", "r"))
		}
		slowed := rapid.Float64Range(3, 8).Draw(t, "slowed down by")
		for i := range 80 {
			s := m.newWork("q", time.Second)
			for k, w := range all {
				took := rapid.Float64Range(0.9, 1.1).Draw(t, "took")
				if k == 0 && i >= 20 {
					took *= slowed
				}
				m.Learn(w, s, time.Duration(took*1e9), End)
			}
			m.Refresh()
			if i >= 30 {
				require.True(t, all[0].changed, "after %d runs", i)
			}
		}
	})
}

// TestInaccurateEstimatesAreCorrected guards against run times that are predicted by estimates
// whose error is larger than the differences between run times.
func TestInaccurateEstimatesAreCorrected(t *testing.T) {
	m := New(false)
	w := m.AddWorker("k", "r")
	rng := rand.New(rand.NewPCG(3, 3))
	var before, after float64
	const steps = 400
	for i := range steps {
		took := math.Exp(rng.NormFloat64() * 0.4)
		s := m.newWork("q", time.Duration(took*math.Exp(rng.NormFloat64()*0.9)*1e9))
		if i >= steps/2 {
			before += math.Abs(math.Log(s.estimate.Seconds() / took))
			after += math.Abs(math.Log(s.estimate.Seconds() * s.Factor() * w.Factor / took))
		}
		m.Learn(w, s, time.Duration(took*1e9), End)
	}
	require.Less(t, after, 0.6*before)
}

// TestStepFollowsItsOwnRuns guards against tasks of a step that are predicted by its estimate
// although other tasks of it have ended.
func TestStepFollowsItsOwnRuns(t *testing.T) {
	m := New(false)
	w := m.AddWorker("k", "r")
	s := m.newWork("q", time.Second)
	for range 3 {
		m.Learn(w, s, 2500*time.Millisecond, End)
	}
	require.InDelta(t, 2.5, s.Factor()*w.Factor, 0.5)
}

// TestProgressThatDoesNotRiseIsNotUsed guards against predictions from progress that stands
// still or goes back, as after a report that was delayed.
func TestProgressThatDoesNotRiseIsNotUsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Run
		r.Begin(0, rapid.Bool().Draw(t, "from the start"))
		now, highest := time.Duration(0), 0.0
		for range rapid.IntRange(1, 20).Draw(t, "reports") {
			now += time.Duration(rapid.IntRange(0, 1000).Draw(t, "after")) * time.Millisecond
			percent := rapid.Float64Range(-10, 120).Draw(t, "percent")
			before := r
			if used := r.Report(now, percent); used != (percent > highest && percent <= 100) {
				require.Failf(t, "wrongly used", "%v after %v: %v", percent, highest, used)
			} else if !used {
				require.Equal(t, before, r)
				continue
			}
			highest = percent
			require.GreaterOrEqual(t, r.Ends(time.Second), r.lastAt)
			if p, ok := r.Pace(); ok {
				require.Positive(t, p)
			}
		}
	})
}

// TestRunFromACheckpointIsJudgedByItsOwnProgress guards against a run that started at 80 % and
// is taken for a fast one.
func TestRunFromACheckpointIsJudgedByItsOwnProgress(t *testing.T) {
	var r Run
	r.Begin(0, false)
	require.True(t, r.Report(time.Second, 60))
	_, ok := r.Pace()
	require.False(t, ok)
	require.True(t, r.Report(2*time.Second, 70))
	p, ok := r.Pace()
	require.True(t, ok)
	require.Equal(t, 10*time.Second, p)
	require.Equal(t, 5*time.Second, r.Ends(time.Second))
}

// TestRunCountsOnceByItsProgress guards against a long run that outweighs many others by its
// number of reports.
func TestRunCountsOnceByItsProgress(t *testing.T) {
	m := New(false)
	w := m.AddWorker("k", "r")
	s := m.newWork("q", time.Second)
	var r Run
	r.Begin(0, true)
	for i := range 100 {
		r.Report(time.Duration(i)*time.Second, float64(i))
		m.LearnProgress(w, s, &r)
	}
	require.EqualValues(t, 1, m.Stats().Samples)
}

// TestReadingFactorsAllocatesNothing guards against rounds that allocate memory for each step and
// worker.
func TestReadingFactorsAllocatesNothing(t *testing.T) {
	m := New(false)
	w := m.AddWorker("k", "r")
	s := m.newWork("q", time.Second)
	require.Zero(t, testing.AllocsPerRun(100, func() {
		m.Learn(w, s, 1100*time.Millisecond, End)
		_ = s.Factor() * w.Factor * m.Typical()
		m.Refresh()
	}))
}

// BenchmarkRefresh measures what the model costs several times a second.
func BenchmarkRefresh(b *testing.B) {
	f := newFleet(1, 540, func(i int) (string, float64) { return fmt.Sprint(i % 2), 1 })
	f.play(5 * time.Second)
	for b.Loop() {
		f.m.Refresh()
	}
}
