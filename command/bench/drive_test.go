package bench

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/process/procusage"
)

func TestCostCountsBothWaysAndNamesTheLimits(t *testing.T) {
	c := Cost{Rate: procusage.Rate{
		Core: 0.04, RSSBytes: 100 << 20,
		Sent:     map[procusage.Kind]float64{procusage.Peers: 3000, procusage.Workers: 2000},
		Received: map[procusage.Kind]float64{procusage.Workers: 2500, procusage.Store: 1000},
	}}
	require.InDelta(t, 2*3000+2000+2500+1000, c.bytes(), 1e-9)
	require.Equal(t, "core", c.over())
	c.Core, c.Sent[procusage.Peers], c.RSSBytes = 0.01, 9000, 129<<20
	require.Equal(t, "memory,bytes", c.over())
	c.Sent[procusage.Peers], c.RSSBytes = 0, 1
	require.Equal(t, "-", c.over())
}

// TestDriveRefusesADaemonThatRestarted guards against a cost that is too low or negative: a
// daemon restarts during the measurement, and the counters of two processes are subtracted.
func TestDriveRefusesADaemonThatRestarted(t *testing.T) {
	var calls atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 1 {
			_, _ = w.Write([]byte(`{"process": {"cpu_seconds": 9}}`)) // a lost response fails the test
			return
		}
		_, _ = w.Write([]byte(`{"process": {"cpu_seconds": 1}}`)) // a lost response fails the test
	}))
	defer s.Close()
	d, err := newDriver(DriveOptions{
		Callers: []string{"127.0.0.1:1"}, Admins: []string{s.URL}, Idle: time.Millisecond, Repetitions: 1,
		Setting: Setting{User: "authority", Seconds: 1}, Progress: t.Output(),
	})
	require.NoError(t, err)
	_, err = d.repeat(t.Context(), 0)
	require.ErrorContains(t, err, "restarted during the measurement")
}

func TestDriveNeedsProcessCounters(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{}`)) // a lost response fails the test
	}))
	defer s.Close()
	d, err := newDriver(DriveOptions{
		Callers: []string{"127.0.0.1:1"}, Admins: []string{s.URL}, Idle: time.Second, Repetitions: 1,
		Setting: Setting{User: "guild", Seconds: 1}, Progress: t.Output(),
	})
	require.NoError(t, err)
	_, err = d.repeat(t.Context(), 0)
	require.ErrorIs(t, err, errNoUsage)
	_, err = Drive(context.Background(), DriveOptions{Admins: []string{s.URL}})
	require.ErrorContains(t, err, "same daemons")
}

func TestDriveResultHasTheMaximumOfEachRepetition(t *testing.T) {
	phase := func(cores ...float64) Phase {
		p := Phase{Seconds: 1}
		for _, c := range cores {
			p.Daemons = append(p.Daemons, Cost{Rate: procusage.Rate{Core: c, RSSBytes: 1, Sent: map[procusage.Kind]float64{}}})
		}
		return p
	}
	r := &DriveReport{Repetitions: []Repetition{{Idle: phase(0.01, 0.03), Load: phase(0.3, 0.1)}, {Idle: phase(0.01, 0.02), Load: phase(0.2, 0.4)}}}
	result := r.Result(&Setting{User: "guild"})
	require.Len(t, result.Repetitions, 2)
	require.InDelta(t, 0.02, result.Repetitions[1][idleCore], 1e-9)
	smallest, largest, ok := result.span(loadCore)
	require.True(t, ok)
	require.InDeltaSlice(t, []float64{0.3, 0.4}, []float64{smallest, largest}, 1e-9)
}
