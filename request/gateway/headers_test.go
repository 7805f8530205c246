package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/standin/endpoint"
)

// startScripted starts an instance that calls script to answer each request.
func startScripted(t *testing.T, p *pool, script func(c net.Conn, r *http.Request)) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	p.add(plan.Endpoint{Service: testService, Address: ln.Addr().String(), Slots: 8, Conns: 64})
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serveScripted(c, script)
		}
	}()
}

func serveScripted(c net.Conn, script func(c net.Conn, r *http.Request)) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		script(c, r)
	}
}

const emptyAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

func TestConnectionHeaderDoesNotChangeTheRequestsNature(t *testing.T) {
	// Guards against retries of a PUT that is marked as non-idempotent: when a
	// proxy of the caller lists Fennel-Idempotent in Connection, the forwarding
	// daemon would drop the header after reading it, and the key owner would go by
	// the method and retry, so that the request ran three times.
	for _, listed := range []string{IdempotentHeader, KeyHeader, "Content-Type"} {
		t.Run(listed, func(t *testing.T) {
			c := newCell(t, 2, 1, Options{})
			c.pool.returnUnknown = time.Millisecond
			c.setFaults(endpoint.Faults{Reset: 1})
			for i := range 8 { // some keys are owned by the other daemon
				key := fmt.Sprintf("put-%d", i)
				r := do(t, "PUT", c.urls[0], key, "x", KeyHeader, key, IdempotentHeader, "false",
					"Content-Type", "text/plain", "Connection", listed)
				require.Equal(t, "may-have-run", r.verdict(), "%s", r.body)
				require.LessOrEqual(t, c.runs(key), 1, key)
				// The same request through the other daemon has the same outcome.
				again := do(t, "PUT", c.urls[1], key, "x", KeyHeader, key, IdempotentHeader, "false",
					"Content-Type", "text/plain")
				require.Equal(t, "may-have-run", again.verdict(), "%s", again.body)
			}
		})
	}
}

func TestInstanceSeesTheVerifiedIdentity(t *testing.T) {
	// Guards against an instance that works for a team to which the caller does
	// not belong: a caller with a verified certificate also sends Fennel-Team, and
	// the forged header, which the daemon itself ignores, is passed on.
	for _, id := range []Identity{{Team: "authority", Caller: "officer-1"}, {}} {
		p := newPool()
		seen := make(chan http.Header, 1)
		startScripted(t, p, func(c net.Conn, r *http.Request) {
			seen <- r.Header
			_, _ = io.WriteString(c, emptyAnswer)
		})
		_, url := startGateway(t, Options{Slots: p, Identify: func(*http.Request) Identity { return id }})
		do(t, "POST", url, "k", "x", TeamHeader, "guild", CallerHeader, "registrar")
		h := <-seen
		require.Equal(t, id, Identity{Team: h.Get(TeamHeader), Caller: h.Get(CallerHeader)})
		require.Equal(t, id.Team != "", h[TeamHeader] != nil, "an empty name is left out")
	}
}
