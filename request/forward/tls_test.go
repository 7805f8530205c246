package forward

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/request/verdict"
)

func TestAttemptsOverTLS(t *testing.T) {
	// Guards against failures of every request over TLS, and against automatic
	// resends when the server breaks a kept-alive connection after it has read a
	// request. The checks of conn are made beneath TLS, whose handshake and session
	// tickets are bytes outside any request.
	var requests atomic.Int32
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		requests.Add(1)
		if string(body) == "break" {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "%s over %d", body, r.TLS.Version)
	}))
	defer server.Close()
	roots := x509.NewCertPool()
	roots.AddCert(server.Certificate())
	f := New(Options{TLS: &tls.Config{RootCAs: roots}})
	defer f.CloseIdle()
	e := plan.Endpoint{Address: server.Listener.Addr().String(), Slots: 4, Conns: 16}
	for i := range 20 {
		body := fmt.Sprint("order ", i)
		got, err := sendOnce(t.Context(), f, e, outgoing("POST", "id", body))
		require.NoError(t, err)
		require.Equal(t, fmt.Sprint(body, " over ", tls.VersionTLS13), got)
	}
	_, err := sendOnce(t.Context(), f, e, outgoing("PUT", "id", "break"))
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err), "%v", err)
	require.EqualValues(t, 21, requests.Load())

	refused, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, refused.Close())
	e.Address = refused.Addr().String()
	_, err = sendOnce(t.Context(), f, e, outgoing("POST", "id", "x"))
	require.Equal(t, verdict.NotRun, verdict.Of(err))
	distrusting := New(Options{TLS: &tls.Config{}})
	e.Address = server.Listener.Addr().String()
	_, err = sendOnce(t.Context(), distrusting, e, outgoing("POST", "id", "x"))
	require.Equal(t, verdict.NotRun, verdict.Of(err), "a failed handshake is taken for a request")
	require.EqualValues(t, 21, requests.Load())
}
