package endpoint

import (
	"net"
	"net/http"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRequestsOfAnotherProcessAreNotCounted(t *testing.T) {
	// Guards against requests of another test process, which an endpoint reported as over
	// its slots: all processes listened on the same address, the endpoint got the port
	// of a server that another process had closed, and clients of that server still
	// sent to it.
	if runtime.GOOS != "linux" {
		t.Skip("only Linux can bind all of 127.0.0.0/8 without configuration")
	}
	e := New(Options{Slots: 1})
	require.NoError(t, e.Start())
	defer func() { require.NoError(t, e.Close()) }()
	_, port, err := net.SplitHostPort(e.Address())
	require.NoError(t, err)

	resp, err := http.Get("http://127.0.0.1:" + port) // the address that the other process would use
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
