package bench

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/process/capacity"
)

func TestCostCountsBothWaysAndNamesTheLimits(t *testing.T) {
	c := Cost{Rate: capacity.Rate{
		Core: 0.04, RSSBytes: 100 << 20,
		Sent:     map[capacity.Kind]float64{capacity.Peers: 3000, capacity.Workers: 2000},
		Received: map[capacity.Kind]float64{capacity.Workers: 2500, capacity.Store: 1000},
	}}
	require.InDelta(t, 2*3000+2000+2500+1000, c.bytes(), 1e-9)
	require.Equal(t, "core", c.over())
	c.Core, c.Sent[capacity.Peers], c.RSSBytes = 0.01, 9000, 129<<20
	require.Equal(t, "memory,bytes", c.over())
	c.Sent[capacity.Peers], c.RSSBytes = 0, 1
	require.Equal(t, "-", c.over())
}

// Symptom: a daemon looks cheap, or its cost is negative.
// Sequence: it is restarted while the tool measures.
// Cause: counters of two processes compared as those of one.
func TestDriveRefusesADaemonThatWasStartedAnew(t *testing.T) {
	var calls atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 1 {
			_, _ = w.Write([]byte(`{"process": {"cpu_seconds": 9}}`)) // a lost answer fails the test
			return
		}
		_, _ = w.Write([]byte(`{"process": {"cpu_seconds": 1}}`)) // as above
	}))
	defer s.Close()
	_, err := Drive(t.Context(), DriveOptions{
		Callers: []string{"127.0.0.1:1"}, Admins: []string{s.URL}, Idle: time.Millisecond,
		Setting: Setting{User: "authority", Seconds: 1}, Progress: t.Output(),
	})
	require.ErrorContains(t, err, "started anew")
}

func TestDriveNeedsProcessCounters(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{}`)) // a lost answer fails the test
	}))
	defer s.Close()
	_, err := Drive(context.Background(), DriveOptions{
		Callers: []string{"127.0.0.1:1"}, Admins: []string{s.URL}, Idle: time.Second,
		Setting: Setting{User: "guild", Seconds: 1}, Progress: t.Output(),
	})
	require.ErrorIs(t, err, errNoUsage)
	_, err = Drive(context.Background(), DriveOptions{Admins: []string{s.URL}})
	require.ErrorContains(t, err, "same daemons")
}
