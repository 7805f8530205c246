package burn_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fennelshunt.example/fennelshunt/internal/rapidtest"
	"fennelshunt.example/fennelshunt/process/burn"
	"fennelshunt.example/fennelshunt/version/spec"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

var start = time.Date(2026, 1, 10, 12, 0, 0, 0, time.UTC)

// seen is one request in the naive implementation, which keeps all requests.
type seen struct {
	key  burn.Key
	at   time.Time
	good bool
}

// naiveCounts counts the requests of the last window, in whole steps.
func naiveCounts(all []seen, k burn.Key, now time.Time, window, step time.Duration) burn.Counts {
	var c burn.Counts
	first := now.UnixNano()/int64(step) - int64(window/step)
	for _, s := range all {
		if s.key != k || s.at.UnixNano()/int64(step) <= first {
			continue
		}
		if s.good {
			c.Good++
		} else {
			c.Bad++
		}
	}
	return c
}

func naiveWindows(all []seen, k burn.Key, now time.Time) [4]burn.Counts {
	return [4]burn.Counts{
		naiveCounts(all, k, now, burn.Window5m, 15*time.Second),
		naiveCounts(all, k, now, burn.Window30m, 15*time.Second),
		naiveCounts(all, k, now, burn.Window1h, 15*time.Second),
		naiveCounts(all, k, now, burn.Window6h, 2*time.Minute),
	}
}

// TestRecordersAgainstNaiveList feeds requests to several daemons' recorders
// and to one list of all: the merged snapshot counts the same, in any order.
func TestRecordersAgainstNaiveList(t *testing.T) {
	keys := rapid.SampledFrom([]burn.Key{{Service: "a", Team: "x"}, {Service: "a", Team: "y"}, {Service: "b", Team: "x"}})
	rapid.Check(t, func(t *rapid.T) {
		recorders := []*burn.Recorder{
			burn.New(burn.Options{Start: start}), burn.New(burn.Options{Start: start}), burn.New(burn.Options{Start: start}),
		}
		var all []seen
		now := start
		for range rapid.IntRange(1, 80).Draw(t, "requests") {
			pause := rapid.SampledFrom([]time.Duration{0, time.Second, 14 * time.Second, time.Minute, 20 * time.Minute, 7 * time.Hour})
			now = now.Add(pause.Draw(t, "pause"))
			s := seen{keys.Draw(t, "key"), now, rapid.Bool().Draw(t, "good")}
			all = append(all, s)
			n := rapid.IntRange(0, len(recorders)-1).Draw(t, "daemon")
			recorders[n].Observe(s.key.Service, s.key.Team, s.good, 5*time.Millisecond, "ran", now)
		}
		a, b, c := recorders[0].Snapshot(now), recorders[1].Snapshot(now), recorders[2].Snapshot(now)
		merged := burn.Merge(a, b, c)
		require.Equal(t, merged, burn.Merge(c, burn.Merge(b, a)))
		require.Equal(t, 3, merged.Daemons)
		var points, expected uint64
		for _, s := range merged.Series {
			require.Equal(t, naiveWindows(all, s.Key, now), s.Windows, "%v", s.Key)
			expected += s.Windows[3].Total()
			for _, p := range s.Points {
				points += p.Total()
			}
		}
		require.Equal(t, expected, points, "the plot shows what the longest window counts")
		data, err := burn.EncodeSnapshot(merged)
		require.NoError(t, err)
		again, err := burn.DecodeSnapshot(data)
		require.NoError(t, err)
		require.Equal(t, merged, again)
	})
}

// TestSeriesAreBounded guards against memory that grows with the names that callers send:
// requests arrive for more series than the limit, and hours later, when the early series are
// idle, for new ones. There must be a bound on series, and idle ones must be dropped for new
// ones.
func TestSeriesAreBounded(t *testing.T) {
	r := burn.New(burn.Options{MaxSeries: 10, Start: start})
	for i := range 50 {
		r.Observe(fmt.Sprint("s", i), "t", true, 0, "ran", start)
	}
	s := r.Snapshot(start)
	require.Len(t, s.Series, 11)
	require.Equal(t, burn.Other, s.Series[0].Key)
	require.EqualValues(t, 40, s.Series[0].Windows[0].Good)

	later := start.Add(7 * time.Hour)
	r.Observe("late", "t", true, 0, "ran", later)
	s = r.Snapshot(later)
	require.Len(t, s.Series, 1)
	require.Equal(t, "late", s.Series[0].Service)
}

// TestLateRequestsCountInTheirStep guards against requests that disappear from the report, or
// appear in a step of six hours ago: two goroutines report requests out of order, one of them
// later than the rings cover, and the late request moves the newest step back, or wraps around
// the ring.
func TestLateRequestsCountInTheirStep(t *testing.T) {
	r := burn.New(burn.Options{Start: start})
	now := start.Add(8 * time.Hour)
	r.Observe("s", "t", false, 0, "ran", now)
	r.Observe("s", "t", false, 0, "ran", now.Add(-time.Minute))
	r.Observe("s", "t", false, 0, "ran", now.Add(-20*time.Minute))
	r.Observe("s", "t", false, 0, "ran", now.Add(-7*time.Hour))
	w := r.Snapshot(now).Series[0].Windows
	require.Equal(t, [4]burn.Counts{{Bad: 2}, {Bad: 3}, {Bad: 3}, {Bad: 3}}, w)
}

func TestJudge(t *testing.T) {
	objective := spec.Objective{Availability: 0.99, Latency: spec.Duration(time.Second)}
	cases := map[string]struct {
		status        int
		latency       time.Duration
		good, counted bool
	}{
		"in time":         {200, time.Second, true, true},
		"late":            {200, time.Second + 1, false, true},
		"server's error":  {503, 0, false, true},
		"caller's error":  {404, 0, false, false},
		"caller's limit":  {429, 0, false, false},
		"redirect is one": {302, 0, true, true},
	}
	for name, c := range cases {
		good, counted := burn.Judge(objective, c.status, c.latency)
		require.Equal(t, []bool{c.good, c.counted}, []bool{good, counted}, name)
	}
	good, counted := burn.Judge(spec.Objective{}, 200, time.Hour)
	require.True(t, good && counted, "no latency objective")
}
