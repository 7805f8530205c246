package outlier

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fennelshunt.example/fennelshunt/internal/rapidtest"
	"fennelshunt.example/fennelshunt/process/plan"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

func address(i int) string { return fmt.Sprintf("10.0.0.%d:80", i) }

func newTracker(n int) *Tracker {
	t := New(Options{})
	var s plan.State
	s.EndpointsChanged = true
	for i := range n {
		s.Endpoints = append(s.Endpoints, plan.Endpoint{Service: "s", Address: address(i)})
	}
	t.Apply(s)
	return t
}

func TestEjectedInstanceIsEjectedAgainAtItsFirstFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newTracker(6)
		for range DefaultFailures - 1 {
			tr.Report("s", address(0), Failed, 0)
		}
		require.True(t, tr.Usable(address(0)))
		tr.Report("s", address(0), Failed, 0)
		require.False(t, tr.Usable(address(0)))
		time.Sleep(DefaultEjection)
		require.True(t, tr.Usable(address(0)))
		tr.Report("s", address(0), Failed, 0)
		require.False(t, tr.Usable(address(0)), "the first failure after the ejection")
		time.Sleep(2*DefaultEjection - 1)
		require.False(t, tr.Usable(address(0)), "the second ejection is longer")
	})
}

func TestInstanceIsComparedWithItsService(t *testing.T) {
	cases := []struct {
		name    string
		deviate func(tr *Tracker)
		usual   Outcome
		want    bool
	}{
		{"slow", func(tr *Tracker) { tr.Report("s", address(0), OK, time.Second) }, OK, false},
		{"errors", func(tr *Tracker) { tr.Report("s", address(0), Errored, 10*time.Millisecond) }, OK, false},
		{"errors everywhere", func(tr *Tracker) { tr.Report("s", address(0), Errored, 10*time.Millisecond) }, Errored, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			tr := newTracker(6)
			for range 5 * DefaultMinSamples {
				for i := 1; i < 6; i++ {
					tr.Report("s", address(i), tc.usual, 10*time.Millisecond)
				}
				tc.deviate(tr)
			}
			require.Equal(t, tc.want, tr.Usable(address(0)))
			for i := 1; i < 6; i++ {
				require.True(t, tr.Usable(address(i)))
			}
		})
	}
}

func TestBadSignalNeverEmptiesTheSet(t *testing.T) {
	// A fault on the daemon's own side makes all attempts fail. When each instance was judged on
	// its own, every instance of a healthy service was ejected at once.
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(rt, "instances")
		reports := rapid.SliceOfN(rapid.IntRange(0, 4*n-1), 1, 400).Draw(rt, "reports")
		synctest.Test(t, func(t *testing.T) {
			tr := newTracker(n)
			for _, r := range reports {
				outcome := Failed
				if r%4 == 3 {
					outcome = Outcome(r % 3)
				}
				tr.Report("s", address(r/4), outcome, time.Duration(r)*time.Millisecond)
				require.LessOrEqual(t, tr.Ejected(), int(DefaultMaxEjected*float64(n)))
				require.Less(t, tr.Ejected(), n)
				time.Sleep(time.Duration(r) * 10 * time.Millisecond)
			}
		})
	})
}
