package cell

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/request/verdict"
	"fennelshunt.example/fennelshunt/standin/endpoint"
	"fennelshunt.example/fennelshunt/standin/platform"
	"fennelshunt.example/fennelshunt/version/spec"
)

func testLog(t *testing.T) zerolog.Logger {
	if os.Getenv("FENNEL_LOG") == "" {
		return zerolog.Nop()
	}
	return zerolog.New(zerolog.NewTestWriter(t)).With().Timestamp().Logger()
}

func smallFile() *spec.File {
	size := spec.Resources{MilliCPU: 1000, MemoryMB: 1024}
	return &spec.File{
		Name:  "small",
		Teams: []spec.Team{{Name: "surveyors"}},
		Jobs: []spec.Job{
			{Name: "survey-desk", Team: "surveyors", Kind: spec.Service, Count: 6, Size: size,
				Service: &spec.ServiceSettings{Slots: 8, Connections: 64, RequestTimeout: spec.Duration(5 * time.Second)}},
			{Name: "overlays", Team: "surveyors", Kind: spec.Batch, Count: 20, Size: size, RunTime: spec.Duration(50 * time.Millisecond)},
			{Name: "region-map", Team: "surveyors", Kind: spec.Gang, Count: 8, Size: size, RunTime: spec.Duration(50 * time.Millisecond)},
		},
	}
}

// TestWholePath covers the path from an applied file to the response to a caller.
func TestWholePath(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	c, err := Start(ctx, Options{Platform: platform.Options{Shape: platform.Authority(), Seed: 1}, Daemons: 3, Log: testLog(t)})
	require.NoError(t, err)
	defer func() { require.NoError(t, c.Close()) }()
	_, err = c.Apply(ctx, smallFile())
	require.NoError(t, err)
	require.NoError(t, c.WaitPlaced(ctx, 6, 28))

	client := &http.Client{Transport: c.Balancer().Transport()}
	for _, key := range []string{"a", "b", "c"} {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://cell/report", strings.NewReader("dwelling "+key))
		require.NoError(t, err)
		r.Header.Set("Fennel-Service", "survey-desk")
		r.Header.Set("Idempotency-Key", key)
		res, err := client.Do(r)
		require.NoError(t, err)
		body, err := io.ReadAll(res.Body)
		require.NoError(t, err)
		require.NoError(t, res.Body.Close())
		require.Equal(t, http.StatusOK, res.StatusCode, string(body))
		require.Equal(t, verdict.Ran.String(), res.Header.Get(verdict.Header))
		require.Equal(t, string(endpoint.ResponseBody(key, []byte("dwelling "+key))), string(body))
	}
	report := c.Platform.FullReport()
	require.Empty(t, report.Tasks.Violations)
	require.Empty(t, report.Endpoints.Violations)
	require.Empty(t, c.Violations())
	require.Equal(t, map[string]int{"a": 1, "b": 1, "c": 1}, report.Endpoints.Runs)
}
