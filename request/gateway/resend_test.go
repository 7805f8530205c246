package gateway

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/request/verdict"
)

func TestResentArrivalIsCounted(t *testing.T) {
	// Guards against a false report of TestRandomFaults, once in some hundred
	// runs, of a request that ran although all its arrivals got "not run". A GET
	// runs, its kept-alive connection breaks before the first byte of the answer,
	// and the client's transport resends it: the second arrival gets "not run",
	// which is true, and the first one must be counted too.
	var arrivals atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		switch arrivals.Add(1) {
		case 1: // makes the connection a kept-alive one
			w.Header().Set(verdict.Header, verdict.Ran.String())
		case 2:
			panic(http.ErrAbortHandler) // after it ran
		default:
			w.Header().Set(verdict.Header, verdict.NotRun.String())
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer server.Close()
	resp, err := http.Get(server.URL)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())

	o := &trackedRequest{key: "k", method: "GET", arrivals: 1, idempotent: true, timeout: testTimeout, verdicts: map[string]int{}}
	o.send(t, server.URL)
	require.EqualValues(t, 3, arrivals.Load())
	require.Equal(t, 1, o.verdicts["not-run"])
	o.check(t, 1)
}
