package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/request/verdict"
	"fennelshunt.example/fennelshunt/standin/endpoint"
)

// trackedRequest is one request of a caller, with the outcomes of its arrivals.
type trackedRequest struct {
	key, body  string
	method     string
	keyed      bool
	arrivals   int // sent on the wire, by the test or by the client's transport
	timeout    time.Duration
	idempotent bool
	sends      int // sent by the test

	mu       sync.Mutex
	verdicts map[string]int
	whole    int
	cut      int // without an answer or with a truncated one
	events   []string
}

// event records an event of the request with its time, so that a single failure
// can be traced: tests in real time cannot be reproduced from their seed.
func (o *trackedRequest) event(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.events = append(o.events, time.Now().Format("05.000000 ")+fmt.Sprintf(format, args...))
}

// testTimeout is the timeout of a caller that does not give up early.
const testTimeout = time.Minute

func drawRequest(rng *rand.Rand, i int) *trackedRequest {
	o := &trackedRequest{key: fmt.Sprintf("order-%d", i), body: strings.Repeat("b", rng.IntN(3000)), method: "POST",
		arrivals: 1, timeout: testTimeout, verdicts: map[string]int{}}
	if rng.IntN(3) == 0 {
		o.method, o.body, o.idempotent = "GET", "", true
	}
	if o.keyed = rng.IntN(2) == 0; o.keyed {
		o.arrivals += rng.IntN(3)
	}
	o.sends = o.arrivals
	if rng.IntN(8) == 0 {
		o.timeout = time.Duration(rng.IntN(20)) * time.Millisecond
	}
	return o
}

// send makes one arrival and checks the answer.
func (o *trackedRequest) send(t *testing.T, url string) {
	ctx, cancel := context.WithTimeout(t.Context(), o.timeout)
	defer cancel()
	conns := 0
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conns++
		o.event("%s: connection %s, reused %t", url, info.Conn.LocalAddr(), info.Reused)
	}, WroteRequest: func(info httptrace.WroteRequestInfo) { o.event("%s: written, error %v", url, info.Err) }})
	defer func() { o.noteResent(conns - 1) }()
	req, err := http.NewRequestWithContext(ctx, o.method, url, strings.NewReader(o.body))
	if err != nil {
		t.Error(err)
		return
	}
	req.Header.Set(ServiceHeader, testService)
	req.Header.Set(endpoint.KeyHeader, o.key)
	if o.keyed {
		req.Header.Set(KeyHeader, o.key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		o.event("%s: %v", url, err)
		o.note("", false, true)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	v := resp.Header.Get("Fennel-Verdict")
	whole := err == nil && resp.StatusCode == http.StatusOK
	o.event("%s: status %d, verdict %q, code %q, error %v", url, resp.StatusCode, v, resp.Header.Get(verdict.CodeHeader), err)
	if whole && (v != "ran" || string(data) != string(endpoint.ResponseBody(o.key, []byte(o.body)))) {
		t.Errorf("%s got a foreign or partial answer: %s, %.80q", o.key, v, data)
	}
	if err == nil && v == "" {
		t.Errorf("%s got no verdict: status %d, %.80q", o.key, resp.StatusCode, data)
	}
	o.note(v, whole, err != nil)
}

func (o *trackedRequest) note(v string, whole, cut bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if cut {
		o.cut++
		return
	}
	o.verdicts[v]++
	if whole {
		o.whole++
	}
}

// check compares the verdicts of the request with its number of runs at the
// endpoints.
func (o *trackedRequest) check(t *testing.T, runs int) {
	defer func() {
		if t.Failed() {
			t.Logf("%s ran %d times; its arrivals: %s", o.key, runs, strings.Join(o.events, "; "))
		}
	}()
	answered := o.cut
	for _, n := range o.verdicts {
		answered += n
	}
	require.Equal(t, o.arrivals, answered, "%s: arrivals without an outcome", o.key)
	if !o.idempotent {
		require.LessOrEqual(t, runs, 1, "%s ran more than once", o.key)
	}
	if o.verdicts["not-run"] == o.arrivals {
		require.Zero(t, runs, "all arrivals of %s got not-run, but it ran: method %s, keyed %t, arrivals %d, cut %d, verdicts %v",
			o.key, o.method, o.keyed, o.arrivals, o.cut, o.verdicts)
	}
	if o.verdicts["ran"] > 0 {
		require.Positive(t, runs, "%s got verdict ran, but did not run", o.key)
	}
}

// noteResent counts arrivals that the client's transport sent on its own: it
// resends an idempotent request when a kept-alive connection breaks before the
// answer begins. The previous arrival was cut and may have run; the verdict of
// the answer applies to the last arrival only.
func (o *trackedRequest) noteResent(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.arrivals += max(n, 0)
	o.cut += max(n, 0)
}

func drawFaults(rng *rand.Rand) endpoint.Faults {
	share := func() float64 {
		if rng.IntN(3) > 0 {
			return 0
		}
		return rng.Float64() / 3
	}
	return endpoint.Faults{Delay: time.Duration(rng.IntN(5)) * time.Millisecond, Refuse: share(), Reset: share(),
		ResetMidAnswer: share(), Truncate: share(), Hang: share() / 10, Error: share(), CloseIdle: share(), Unsolicited: share()}
}

// TestRandomFaults sends requests through several daemons while the endpoints
// have every kind of fault. With FENNEL_LONG=1 it runs many more seeds.
func TestRandomFaults(t *testing.T) {
	seeds, requests := 2, 300
	if os.Getenv("FENNEL_LONG") == "1" {
		seeds, requests = 40, 2000
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { randomRun(t, uint64(seed), requests) })
	}
}

func randomRun(t *testing.T, seed uint64, n int) {
	const limit = 300 * time.Millisecond
	rng := rand.New(rand.NewPCG(seed, 2))
	c := newCell(t, 3, 5, Options{Config: testConfig(limit)})
	c.pool.returnUnknown = 2 * limit
	var wg sync.WaitGroup
	all := make([]*trackedRequest, n)
	for i := range all {
		if i%50 == 0 {
			for _, e := range c.endpoints {
				e.SetFaults(drawFaults(rng))
			}
		}
		o := drawRequest(rng, i)
		all[i] = o
		for range o.sends {
			url := c.urls[rng.IntN(len(c.urls))]
			wg.Go(func() { o.send(t, url) })
		}
		time.Sleep(time.Duration(rng.IntN(2000)) * time.Microsecond)
	}
	wg.Wait()
	c.setFaults(endpoint.Faults{})
	for _, g := range c.gateways {
		require.Eventually(t, func() bool { return g.InFlight() == 0 }, 10*time.Second, time.Millisecond)
	}
	var whole, ran, notRun, unknown, cut int
	for _, o := range all {
		o.check(t, c.runs(o.key))
		whole += o.whole
		cut += o.cut
		ran, notRun, unknown = ran+o.verdicts["ran"], notRun+o.verdicts["not-run"], unknown+o.verdicts["may-have-run"]
	}
	c.checkLimits(t)
	require.Positive(t, whole)
	t.Logf("whole %d, ran %d, not run %d, may have run %d, cut %d", whole, ran, notRun, unknown, cut)
}
