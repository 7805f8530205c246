package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/standin/endpoint"
	"fennelshunt.example/fennelshunt/version/spec"
)

func TestCallerThatSendsNoBodyDoesNotRefuseOthers(t *testing.T) {
	// Guards against a caller that makes the daemon refuse all others as
	// overloaded: it opens MaxConcurrent connections, announces a body of one byte
	// on each and never sends it. Requests count as in progress before their body
	// has arrived, so each caller's share of them must be bounded.
	const limit = 64
	cases := []struct {
		name  string
		flood func(i int) string
		held  int64
	}{
		{"one caller", func(int) string { return "flood" }, limit / callerShareDivisor},
		{"names invented", strconv.Itoa, limit - limit/teamReserveDivisor},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := newPool()
			startEndpoint(t, p, endpoint.Options{Slots: 8, Connections: 64})
			config := testConfig(5 * time.Second)
			config.config.Teams = map[string]*spec.Team{"authority": {Name: "authority"}}
			g, url := startGateway(t, Options{Slots: p, MaxConcurrent: limit, Config: config})
			for i := range limit {
				raw(t, url, fmt.Sprintf("POST / HTTP/1.1\r\nHost: %s\r\nFennel-Caller: %s\r\nContent-Length: 1\r\n\r\n",
					testService, tc.flood(i)))
			}
			require.Eventually(t, func() bool {
				refused := g.counts.Codes.Get(CodeOverloaded)
				return refused != nil && refused.String() == strconv.FormatInt(limit-tc.held, 10) && g.InFlight() == tc.held
			}, 4*time.Second, time.Millisecond)
			r := do(t, "POST", url, "k", "x", CallerHeader, "officer", TeamHeader, "authority")
			require.Equal(t, http.StatusOK, r.status, "%s", r.body)
		})
	}
}

func TestSharesAreReleased(t *testing.T) {
	p := newPool()
	startEndpoint(t, p, endpoint.Options{Slots: 8, Connections: 64})
	g, url := startGateway(t, Options{Slots: p, MaxConcurrent: 4})
	for i := range 20 {
		r := do(t, "POST", url, strconv.Itoa(i), "x", CallerHeader, "officer")
		require.Equal(t, http.StatusOK, r.status, "%s", r.body)
		require.Eventually(t, func() bool { return g.InFlight() == 0 }, 10*time.Second, time.Millisecond)
	}
	g.shares.mu.Lock()
	defer g.shares.mu.Unlock()
	require.Empty(t, g.shares.callers)
	require.Empty(t, g.shares.teams)
}
