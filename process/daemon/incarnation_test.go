package daemon_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/process/daemon"
	"fennelshunt.example/fennelshunt/standin/cell"
	"fennelshunt.example/fennelshunt/standin/platform"
	"fennelshunt.example/fennelshunt/version/spec"
)

const (
	testLease = 12 * time.Second // a busy machine may starve a process for seconds
	testLimit = 30 * time.Second
	testPoll  = 20 * time.Millisecond
)

func deskFile() *spec.File {
	return &spec.File{
		Name:  "desk",
		Teams: []spec.Team{{Name: "surveyors"}},
		Jobs: []spec.Job{{
			Name: "survey-desk", Team: "surveyors", Kind: spec.Service, Count: 3, Size: spec.Resources{MilliCPU: 1000, MemoryMB: 1024},
			Service: &spec.ServiceSettings{Slots: 8, Connections: 64, RequestTimeout: spec.Duration(time.Second)},
		}},
	}
}

// startDesk starts a cell of two daemons with the desk in force and placed.
func startDesk(ctx context.Context, t *testing.T) *cell.Cell {
	t.Helper()
	c, err := cell.Start(ctx, cell.Options{
		Platform: platform.Options{Shape: platform.Authority(), Seed: 1}, Daemons: 2, Log: zerolog.Nop(), MemberLease: testLease,
	})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, c.Close()) })
	_, err = c.Apply(ctx, deskFile())
	require.NoError(t, err)
	require.NoError(t, c.WaitPlaced(ctx, 3, 0))
	return c
}

// statusBy returns the status of a request by way of the daemon.
func statusBy(ctx context.Context, d *daemon.Daemon) (int, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.CallerAddr()+"/", nil)
	if err != nil {
		return 0, err
	}
	r.Header.Set("Fennel-Service", "survey-desk")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// answers reports whether a request by way of the daemon succeeds.
func answers(ctx context.Context, d *daemon.Daemon) bool {
	status, err := statusBy(ctx, d)
	return err == nil && status == http.StatusOK
}

// TestComponentPanicStartsANewIncarnation guards against a daemon that keeps its claims forever after one
// of its components has panicked, because only that component is restarted, and against the whole
// process ending, because the panic is not recovered.
func TestComponentPanicStartsANewIncarnation(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	c := startDesk(ctx, t)
	e := c.Entries()[0]
	before := e.Incarnation()
	e.FailComponent()
	require.Eventually(t, func() bool { return e.Incarnation() > before }, testLimit, testPoll)
	require.Eventually(t, func() bool { return answers(ctx, e.Daemon) }, testLimit, testPoll)
	require.Empty(t, c.Violations())
	require.Empty(t, c.Platform.EndpointReport().Violations)
}
