package gateway

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/request/forward"
	"fennelshunt.example/fennelshunt/request/verdict"
	"fennelshunt.example/fennelshunt/standin/endpoint"
)

// FuzzHeaders checks the parsers of callers' headers with arbitrary input.
func FuzzHeaders(f *testing.F) {
	f.Add("survey-desk", "survey-desk.cell:80", "1.5s", "key-1", "true", "POST")
	f.Add("", "[::1]:80", "-1s", "a b", "maybe", "GET")
	f.Add("x", "", "99999h", strings.Repeat("k", 300), "", "CONNECT")
	f.Fuzz(func(t *testing.T, service, host, timeout, key, idempotent, method string) {
		if name := ServiceName(service, host); service != "" {
			require.Equal(t, service, name)
		}
		if d, err := ParseTimeout(timeout, time.Second); err == nil {
			require.Positive(t, d)
			require.LessOrEqual(t, d, time.Second)
		}
		if k, err := ParseKey([]string{key}); err == nil {
			require.Equal(t, key, k)
			require.NotContains(t, k, " ")
			require.LessOrEqual(t, len(k), maxKey)
		}
		if v, err := ParseIdempotent(idempotent, method); err == nil && idempotent == "" && method == "POST" {
			require.False(t, v)
		}
	})
}

// FuzzWire writes raw bytes to a gateway: each answer has a verdict or is an
// error of net/http itself, and the gateway continues to serve.
func FuzzWire(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nHost: survey-desk\r\nContent-Length: 3\r\n\r\nabc"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: survey-desk\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX: y\r\n\r\n"))
	f.Add([]byte("GET /?size=9 HTTP/1.1\r\nHost: survey-desk\r\nFennel-Timeout: 1x\r\nConnection: Host\r\n\r\n"))
	f.Add([]byte("OPTIONS * HTTP/1.1\r\nHost: survey-desk\r\n\r\n"))
	f.Add([]byte("GET / HTTP/1.1\r\nHost: survey-desk\r\nUpgrade: x\r\nConnection: upgrade\r\nExpect: 100-continue\r\n\r\n"))
	p := newPool()
	e := startEndpoint(f, p, endpoint.Options{Slots: 4, Connections: 64})
	_, url := startGateway(f, Options{Slots: p, BodyTimeout: 20 * time.Millisecond, MaxBody: 1 << 16, Config: testConfig(time.Second)})
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		_, _ = c.Write(data)
		_ = c.(*net.TCPConn).CloseWrite()
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			text := resp.Header.Get(verdict.Header)
			if _, err := verdict.Parse(text); err != nil {
				require.Contains(t, []int{400, 413, 417, 431, 501, 505}, resp.StatusCode)
			}
		}
		require.Equal(t, http.StatusOK, do(t, "POST", url, "after", "").status)
		require.Empty(t, e.Report().Violations)
	})
}

// FuzzErrorBody checks that the body written by WriteHTTP is always JSON with
// the same verdict as the header.
func FuzzErrorBody(f *testing.F) {
	f.Add("code", "message \x00 \xff", int64(1500), 1)
	f.Fuzz(func(t *testing.T, code, message string, retry int64, v int) {
		rec := httptest.NewRecorder()
		e := &verdict.Error{Verdict: verdict.Verdict(v), Status: http.StatusBadGateway, Code: code,
			RetryAfterMillis: retry, Err: io.ErrUnexpectedEOF}
		if message != "" {
			e.Err = &forwardError{message}
		}
		e.WriteHTTP(rec, "id")
		var b verdict.Body
		require.NoError(t, json.Unmarshal(rec.Body.Bytes(), &b))
		require.Equal(t, rec.Header().Get(verdict.Header), b.Verdict.String())
	})
}

type forwardError struct{ text string }

func (e *forwardError) Error() string { return e.text }

// forAll matches headers that are meant for all recipients, which Connection
// must not name.
var forAll = regexp.MustCompile(`(?i)^(fennel-.*|idempotency-key|content-type|content-encoding|authorization|cookie)$`)

// FuzzHopHeaders checks that all headers named by Connection are removed, except
// those that are meant for all recipients, which are kept.
func FuzzHopHeaders(f *testing.F) {
	f.Add("close, X-Secret", "X-Secret")
	f.Add(", ,\t", "Te")
	f.Add("cookie", "Cookie")
	f.Add("x, FENNEL-IDEMPOTENT", "Fennel-Idempotent")
	f.Fuzz(func(t *testing.T, connection, name string) {
		h := http.Header{"Connection": {connection}}
		if name == "" {
			return // net/http refuses it
		}
		h.Set(name, "v")
		forward.RemoveHopHeaders(h)
		require.Empty(t, h.Get("Connection"))
		for _, n := range strings.Split(connection, ",") {
			if n = strings.Trim(n, " \t"); !forAll.MatchString(n) {
				require.Empty(t, h.Get(n))
			}
		}
		if forAll.MatchString(name) {
			require.Equal(t, "v", h.Get(name))
		}
	})
}
