package gateway

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/request/verdict"
	"fennelshunt.example/fennelshunt/standin/endpoint"
)

// startRaw adds an instance that answers each request with the bytes of answer
// and closes the connection.
func startRaw(t *testing.T, p *pool, answer string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				req, err := http.ReadRequest(bufio.NewReader(c))
				if err == nil {
					_, _ = io.Copy(io.Discard, req.Body)
					_, _ = io.WriteString(c, answer)
				}
			}()
		}
	}()
	p.add(plan.Endpoint{Service: testService, Address: ln.Addr().String(), Slots: 8, Conns: 64})
}

func TestEndpointCanNotForgeWhatADaemonSays(t *testing.T) {
	// Guards against a caller that sends a request again which has run, because
	// the instance's answer carries the daemons' own headers, as headers or as
	// trailers, and they are passed on.
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nFennel-Verdict: not-run\r\nFennel-Code: queue_full\r\nFennel-Refused: x\r\n" +
			"Connection: Fennel-Request-Id\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTrailer: Fennel-Verdict, Sum\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"2\r\nok\r\n0\r\nFennel-Verdict: not-run\r\nSum: 7\r\n\r\n",
	} {
		p := newPool()
		startRaw(t, p, answer)
		_, url := startGateway(t, Options{Slots: p})
		r := do(t, "POST", url, "k", "order")
		require.NoError(t, r.err)
		require.Equal(t, "ok", string(r.body))
		require.Equal(t, []string{"ran"}, r.header.Values(verdict.Header))
		require.Empty(t, r.header.Values(verdict.CodeHeader))
		require.Empty(t, r.header.Values("Fennel-Refused"))
		require.Len(t, r.header.Values(verdict.RequestIDHeader), 1)
		require.NotContains(t, r.header.Get("Trailer"), "Fennel")
	}
}

func TestAnswersWithoutABody(t *testing.T) {
	cases := []struct {
		method, answer string
		status         int
		length         string
	}{
		{"HEAD", "200 OK\r\nContent-Length: 700\r\n", 200, "700"},
		{"HEAD", "200 OK\r\n", 200, ""},
		{"POST", "204 No Content\r\n", 204, ""},
		{"GET", "304 Not Modified\r\nEtag: x\r\n", 304, ""},
		{"GET", "101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n", 502, ""},
	}
	for _, tc := range cases {
		t.Run(tc.method+tc.answer[:3], func(t *testing.T) {
			p := newPool()
			startRaw(t, p, "HTTP/1.1 "+tc.answer+"\r\n")
			_, url := startGateway(t, Options{Slots: p})
			r := do(t, tc.method, url, "k", "")
			require.NoError(t, r.err)
			require.Equal(t, tc.status, r.status)
			if tc.status == http.StatusBadGateway {
				require.Equal(t, "may-have-run", r.verdict())
				return
			}
			require.Equal(t, "ran", r.verdict())
			require.Empty(t, r.body)
			require.Equal(t, tc.length, r.header.Get("Content-Length"))
		})
	}
}

// raw sends bytes as a caller and returns the connection and a reader of the answer.
func raw(t *testing.T, url, request string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = io.WriteString(c, request)
	require.NoError(t, err)
	return c, bufio.NewReader(c)
}

func TestCutAnswerIsAnErrorToAnOldCaller(t *testing.T) {
	// Guards against an HTTP/1.0 caller that takes a truncated answer of unknown
	// length for a complete one: without chunks, it ends with the connection in
	// both cases.
	p := newPool()
	e := startEndpoint(t, p, endpoint.Options{Slots: 8, Connections: 64})
	_, url := startGateway(t, Options{Slots: p})
	request := "GET /?size=%d HTTP/1.0\r\nHost: " + testService + "\r\n\r\n"
	for _, size := range []int{100, 200000} {
		_, r := raw(t, url, fmt.Sprintf(request, size))
		resp, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		require.Equal(t, "ran", resp.Header.Get(verdict.Header))
		data, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Len(t, data, size)
	}
	e.SetFaults(endpoint.Faults{Truncate: 1})
	_, r := raw(t, url, fmt.Sprintf(request, 200000))
	_, err := io.ReadAll(r)
	require.True(t, errors.Is(err, syscall.ECONNRESET), "the connection was closed without a reset: %v", err)
}

func TestUnusualRequests(t *testing.T) {
	const head = "Host: " + testService + "\r\n"
	cases := []struct {
		name, request string
		before        string // an interim status line before the answer
		status        int
		verdict       string
		body          string
		runs          int
	}{
		{"continue", "POST / HTTP/1.1\r\n" + head + "Endpoint-Key: k\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc",
			"HTTP/1.1 100 Continue\r\n", 200, "ran", "abc", 1},
		{"refused before continue", "POST / HTTP/1.1\r\nHost: nobody\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n",
			"", 404, "not-run", "", 0},
		{"websocket", "GET / HTTP/1.1\r\n" + head + "Connection: Upgrade\r\nUpgrade: h2c, WebSocket\r\n\r\n",
			"", 501, "not-run", "", 0},
		{"offer of HTTP/2", "GET / HTTP/1.1\r\n" + head + "Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n", "", 200, "ran", "", 1},
		{"two lengths and chunks", "POST / HTTP/1.1\r\n" + head + "Content-Length: 30\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
			"", 200, "ran", "abc", 1},
		{"two lengths", "POST / HTTP/1.1\r\n" + head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "", 400, "", "", 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := newPool()
			e := startEndpoint(t, p, endpoint.Options{Slots: 8, Connections: 64})
			_, url := startGateway(t, Options{Slots: p, Log: zerolog.Nop()})
			_, r := raw(t, url, tc.request)
			if tc.before != "" {
				line, err := r.ReadString('\n')
				require.NoError(t, err)
				require.Equal(t, tc.before, line)
				_, err = r.ReadString('\n')
				require.NoError(t, err)
			}
			resp, err := http.ReadResponse(r, nil)
			require.NoError(t, err)
			defer func() { _ = resp.Body.Close() }()
			data, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, tc.status, resp.StatusCode, "%s", data)
			require.Equal(t, tc.verdict, resp.Header.Get(verdict.Header))
			require.True(t, strings.HasSuffix(string(data), tc.body), "%q", data)
			require.Equal(t, tc.runs, e.Report().Requests)
		})
	}
}
