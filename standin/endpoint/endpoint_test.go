package endpoint

import (
	"net"
	"net/http"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRequestsOfAnotherProcessAreNotCounted(t *testing.T) {
	// Symptom: beside other test processes an endpoint reported a request
	//   without key, over its slots, that no daemon of the test had sent.
	// Sequence: a server of another process closes; the endpoint is given its
	//   port; clients of that process go on sending there.
	// Cause: all processes listened on the same address.
	if runtime.GOOS != "linux" {
		t.Skip("only Linux has the whole of 127.0.0.0/8 without set-up")
	}
	e := New(Options{Slots: 1})
	require.NoError(t, e.Start())
	defer func() { require.NoError(t, e.Close()) }()
	_, port, err := net.SplitHostPort(e.Address())
	require.NoError(t, err)

	resp, err := http.Get("http://127.0.0.1:" + port) // as the other process knows it
	if err == nil {
		_ = resp.Body.Close()
	}
	require.Zero(t, e.Report().Requests)
	require.Zero(t, e.Report().Accepted)
	require.Error(t, err)

	own, err := http.Get("http://" + e.Address())
	require.NoError(t, err)
	require.NoError(t, own.Body.Close())
	require.Equal(t, 1, e.Report().Requests)
}
