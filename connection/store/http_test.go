package store_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/standin/kv"
)

// flakyServer answers the first request of each connection and closes the
// connection after it has read the second one.
type flakyServer struct {
	listener net.Listener
	requests atomic.Int64
}

func newFlakyServer(t *testing.T) *flakyServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &flakyServer{listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go s.accept()
	return s
}

func (s *flakyServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

func (s *flakyServer) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		s.requests.Add(1)
		if n == 2 {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"revision\":1}")
	}
}

// TestHTTPNeverReplaysAWrite guards against writes that are applied twice or reported as
// a conflict although they took effect: the service reads a write on a kept-alive
// connection and closes the connection before it answers, and the transport repeats the
// request by itself.
func TestHTTPNeverReplaysAWrite(t *testing.T) {
	writes := map[string]func(*store.HTTP) error{
		"put": func(s *store.HTTP) error {
			_, err := s.Put(context.Background(), "k", []byte("v"), 1, 0)
			return err
		},
		"delete": func(s *store.HTTP) error { return s.Delete(context.Background(), "k", 1) },
		"grant": func(s *store.HTTP) error {
			_, err := s.GrantLease(context.Background(), time.Second)
			return err
		},
		"renew":  func(s *store.HTTP) error { return s.RenewLease(context.Background(), 1) },
		"revoke": func(s *store.HTTP) error { return s.RevokeLease(context.Background(), 1) },
	}
	for name, write := range writes {
		t.Run(name, func(t *testing.T) {
			server := newFlakyServer(t)
			s := store.NewHTTP("http://"+server.listener.Addr().String(), nil)
			require.NoError(t, write(s))
			require.ErrorIs(t, write(s), store.ErrUnknownOutcome)
			require.EqualValues(t, 2, server.requests.Load())
		})
	}
}

// TestHTTPReportsTheOutcomeOfAWrite guards against reporting a write that may have taken
// effect as refused, if a response that is not the service's own counts as one, or a
// write that was never sent as unknown.
func TestHTTPReportsTheOutcomeOfAWrite(t *testing.T) {
	answer := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Location", "/v1/put")
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		}
	}
	cases := map[string]struct {
		handler http.HandlerFunc
		want    error
	}{
		"refusal of the service":  {answer(503, `{"code":"unavailable"}`), store.ErrUnavailable},
		"conflict":                {answer(409, `{"code":"conflict"}`), store.ErrConflict},
		"load balancer's error":   {answer(503, `<html>`), store.ErrUnknownOutcome},
		"unknown code":            {answer(500, `{"code":"oops"}`), store.ErrUnknownOutcome},
		"redirect":                {answer(307, ``), store.ErrUnknownOutcome},
		"reply that does not end": {answer(200, `{"revision":1`), store.ErrUnknownOutcome},
		"connection cut":          {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, store.ErrUnknownOutcome},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(c.handler)
			defer server.Close()
			_, err := store.NewHTTP(server.URL, nil).Put(context.Background(), "k", nil, 0, 0)
			require.ErrorIs(t, err, c.want)
			require.Equal(t, c.want == store.ErrUnknownOutcome, errors.Is(err, store.ErrUnknownOutcome))
		})
	}
	t.Run("no connection", func(t *testing.T) {
		server := httptest.NewServer(http.NotFoundHandler())
		server.Close()
		_, err := store.NewHTTP(server.URL, nil).Put(context.Background(), "k", nil, 0, 0)
		require.ErrorIs(t, err, store.ErrUnavailable)
	})
}

func TestSwapOverHTTPWithLostAnswers(t *testing.T) {
	m := kv.New()
	server := httptest.NewServer(kv.Handler(m))
	defer server.Close()
	h := store.NewClient(store.NewHTTP(server.URL, nil), store.Options{FleetSize: 1}).Role(store.RoleClaims)
	rev, err := h.Swap(context.Background(), "k", nil, 0, 0)
	require.NoError(t, err)
	m.SetFaults(kv.Faults{LoseAnswers: 0.3})
	for i := range 20 {
		before := m.Revision()
		rev, err = h.Swap(context.Background(), "k", []byte{byte(i)}, rev, 0)
		require.NoError(t, err)
		require.Equal(t, before+1, m.Revision(), "applied once")
	}
}
