package forward

import (
	"bufio"
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/url"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/request/verdict"
)

// wire is a server whose behaviour on the raw connection is scripted by a test.
type wire struct {
	ln       net.Listener
	requests atomic.Int32 // read completely by read
	accepted atomic.Int32
}

// newWire starts a server that calls script for each connection and closes it
// when script returns.
func newWire(t *testing.T, script func(w *wire, c net.Conn, r *bufio.Reader)) *wire {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	w := &wire{ln: ln}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			w.accepted.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				script(w, c, bufio.NewReader(c))
			}()
		}
	}()
	return w
}

func (w *wire) endpoint() plan.Endpoint {
	return plan.Endpoint{Service: "s", Address: w.ln.Addr().String(), Slots: 8, Conns: 64}
}

// read reads one request from the connection and returns its id.
func (w *wire) read(r *bufio.Reader) (string, bool) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return "", false
	}
	w.requests.Add(1)
	return req.Header.Get(RequestIDHeader), true
}

func TestMain(m *testing.M) {
	log.SetOutput(io.Discard) // net/http logs unsolicited answers
	os.Exit(m.Run())
}

func outgoing(method, id, body string) *Outgoing {
	h := http.Header{"Idempotency-Key": {"k"}}
	PrepareRequest(h, id)
	return &Outgoing{Method: method, URL: &url.URL{Path: "/x"}, Host: "s", Header: h, ID: id,
		Body: strings.NewReader(body), ContentLength: int64(len(body))}
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// sendOnce makes one attempt and returns the body of the answer.
func sendOnce(ctx context.Context, f *Forwarder, e plan.Endpoint, o *Outgoing) (string, error) {
	a, err := f.Send(ctx, e, o)
	if err != nil {
		return "", err
	}
	defer a.Close()
	rec := httptest.NewRecorder()
	if _, err := a.Deliver(rec); err != nil {
		return "", err
	}
	return rec.Body.String(), nil
}

func TestNoSilentResendOnBrokenKeptAliveConnection(t *testing.T) {
	// Guards against a non-idempotent request that runs twice: the endpoint reads
	// it on a kept-alive connection, which breaks before the answer, and net/http's
	// Transport resends it on its own when the method is idempotent or an
	// Idempotency-Key header is present.
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete} {
		for _, body := range []string{"", "tiles"} {
			t.Run(method+body, func(t *testing.T) {
				w := newWire(t, func(w *wire, c net.Conn, r *bufio.Reader) {
					if _, read := w.read(r); read {
						_, _ = io.WriteString(c, ok)
					}
					w.read(r) // the second request is read, then the connection is closed
				})
				f := New(Options{})
				got, err := sendOnce(t.Context(), f, w.endpoint(), outgoing(method, "1", body))
				require.NoError(t, err)
				require.Equal(t, "ok", got)
				_, err = sendOnce(t.Context(), f, w.endpoint(), outgoing(method, "2", body))
				require.Equal(t, verdict.MayHaveRun, verdict.Of(err), "%v", err)
				require.EqualValues(t, 2, w.requests.Load(), "requests that reached the server")
			})
		}
	}
}

func TestVerdictByPointOfFailure(t *testing.T) {
	// Guards against a "not run" for a request that ran, because the verdict is
	// taken from the error's text instead of from the bytes that were written. Each
	// case has a fault at another point of the attempt.
	head := "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n"
	cases := []struct {
		name   string
		script func(w *wire, c net.Conn, r *bufio.Reader)
		want   verdict.Verdict
		code   string
	}{
		{"closed while the request is read", func(_ *wire, c net.Conn, r *bufio.Reader) {
			_, _ = r.ReadByte()
			_ = c.(*net.TCPConn).SetLinger(0)
		}, verdict.MayHaveRun, CodeLost},
		{"closed after the request", func(w *wire, _ net.Conn, r *bufio.Reader) { w.read(r) }, verdict.MayHaveRun, CodeLost},
		{"not an answer", func(w *wire, c net.Conn, r *bufio.Reader) {
			w.read(r)
			_, _ = io.WriteString(c, "nonsense\r\n\r\n")
		}, verdict.MayHaveRun, CodeLost},
		{"closed after the header", func(w *wire, c net.Conn, r *bufio.Reader) {
			w.read(r)
			_, _ = io.WriteString(c, head)
		}, verdict.MayHaveRun, CodeTruncated},
		{"closed in the body", func(w *wire, c net.Conn, r *bufio.Reader) {
			w.read(r)
			_, _ = io.WriteString(c, head+"half")
		}, verdict.MayHaveRun, CodeTruncated},
		{"closed in a chunk", func(w *wire, c net.Conn, r *bufio.Reader) {
			w.read(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n")
		}, verdict.MayHaveRun, CodeTruncated},
		{"refused before work", func(w *wire, c net.Conn, r *bufio.Reader) {
			w.read(r)
			_, _ = io.WriteString(c, "HTTP/1.1 503 X\r\nFennel-Refused: before-work\r\nContent-Length: 0\r\n\r\n")
		}, verdict.NotRun, CodeRefused},
		{"answer of another request", func(w *wire, c net.Conn, r *bufio.Reader) {
			w.read(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nFennel-Request-Id: 7\r\nContent-Length: 0\r\n\r\n")
		}, verdict.MayHaveRun, CodeForeign},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			w := newWire(t, tc.script)
			_, err := sendOnce(t.Context(), New(Options{}), w.endpoint(), outgoing("POST", "1", "order"))
			var e *verdict.Error
			require.ErrorAs(t, err, &e)
			require.Equal(t, tc.want, e.Verdict, "%v", err)
			require.Equal(t, tc.code, e.Code, "%v", err)
		})
	}
}

func TestConnectFailureIsNotRun(t *testing.T) {
	// Guards against a "may have run" for requests to an endpoint that has left: its
	// port is closed, and the dial error is taken for an error after the connection
	// was established.
	w := newWire(t, nil)
	require.NoError(t, w.ln.Close())
	_, err := sendOnce(t.Context(), New(Options{}), w.endpoint(), outgoing("POST", "1", "order"))
	require.Equal(t, verdict.NotRun, verdict.Of(err))
	require.Equal(t, CodeConnect, verdict.As(err).Code)
}

func TestDeadlineVerdict(t *testing.T) {
	// Guards against a "not run" for a request that an endpoint reads and never
	// answers: the deadline's error does not show what was written.
	w := newWire(t, func(w *wire, _ net.Conn, r *bufio.Reader) {
		w.read(r)
		_, _ = r.ReadByte()
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := sendOnce(ctx, New(Options{}), w.endpoint(), outgoing("POST", "1", "order"))
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
	require.Equal(t, CodeDeadline, verdict.As(err).Code)
}

func TestUnsolicitedAnswerNeverReachesTheNextCaller(t *testing.T) {
	// Guards against a caller that gets the answer to another caller's request: an
	// endpoint answers a request twice on a kept-alive connection, and the second
	// answer arrives while the connection is assigned to another request. HTTP/1.1
	// matches answers to requests by their order only. Bytes that arrive before the
	// request is written are discarded with their connection; later ones are
	// distinguished by the id that the endpoint echoes.
	w := newWire(t, func(w *wire, c net.Conn, r *bufio.Reader) {
		for {
			id, read := w.read(r)
			if !read {
				return
			}
			for _, header := range []string{"Fennel-Request-Id: " + id + "\r\n", ""} {
				answer := "HTTP/1.1 200 OK\r\n" + header + "Content-Length: 8\r\n\r\n" + id
				if _, err := io.WriteString(c, answer); err != nil {
					return
				}
			}
		}
	})
	f := New(Options{})
	const pad = "00000000"
	for i := range 300 {
		id := (pad + string(rune('a'+i%26)))[1:]
		got, err := sendOnce(t.Context(), f, w.endpoint(), outgoing("POST", id, "order"))
		if err == nil {
			require.Equal(t, id, got)
		}
	}
}

func TestBytesBeforeTheRequestCutTheConnection(t *testing.T) {
	// Guards against the same failure with an endpoint that does not echo the id:
	// bytes arrive after a connection was assigned to a request and before that is
	// written, so that they can only belong to an earlier request.
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	target := &target{changed: make(chan struct{}), open: 1}
	c := &conn{Conn: near, target: target}
	x := &exchange{cancel: func(error) {}}
	x.use(httptrace.GotConnInfo{Conn: c})
	go func() { _, _ = io.WriteString(far, ok) }()
	n, err := c.Read(make([]byte, 10))
	require.Zero(t, n)
	require.ErrorIs(t, err, errUnsolicited)
	_, err = c.Write([]byte("x"))
	require.Error(t, err)
	require.False(t, x.seal(), "a write that wrote nothing counts as written")
	require.Zero(t, target.open)
}

func TestNothingIsWrittenAfterTheSeal(t *testing.T) {
	// Guards against a request that runs after its caller got "not run": the
	// deadline passes between the choice of a connection and the write, RoundTrip
	// returns without waiting for the Transport's write loop, and that writes.
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	c := &conn{Conn: near, target: &target{changed: make(chan struct{})}}
	x := &exchange{cancel: func(error) {}}
	x.use(httptrace.GotConnInfo{Conn: c})
	require.False(t, x.seal())
	_, err := c.Write([]byte("GET"))
	require.ErrorIs(t, err, errSealed)
}

func TestGiveUpCountsAnAnsweredAttempt(t *testing.T) {
	// Guards against a "not run" at the deadline for a request that ran: the answer
	// to an attempt was truncated, a retry has started and has written nothing when
	// the deadline passes, and only the attempt in progress is considered.
	w := newWire(t, func(w *wire, c net.Conn, r *bufio.Reader) {
		w.read(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
	})
	o := outgoing("GET", "1", "")
	_, err := sendOnce(t.Context(), New(Options{}), w.endpoint(), o)
	require.Equal(t, CodeTruncated, verdict.As(err).Code)
	require.True(t, o.begin(&exchange{}))
	require.True(t, o.GiveUp())
}
