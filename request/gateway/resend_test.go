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
	// Symptom: the randomised run reports, once in some hundred runs, an order
	//   that was told "not run" by all its arrivals though it ran.
	// Sequence: a GET goes out on a kept-alive connection and runs; the
	//   connection is cut before a byte of the answer; the client's transport
	//   sends the GET again by itself; the second arrival is told "not run".
	// Cause: the test counted one arrival where the daemon saw two. The verdict
	//   of each arrival was true.
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
