package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/request/forward"
	"fennelshunt.example/fennelshunt/request/slots"
	"fennelshunt.example/fennelshunt/standin/endpoint"
)

func TestTruncatedAnswerNeverLooksComplete(t *testing.T) {
	// Guards against a truncated answer that looks complete: the endpoint's
	// connection ends in the middle of the body, the part that has arrived is
	// passed on, and the caller's connection is closed in an orderly way.
	for _, fault := range []endpoint.Faults{{Truncate: 1}, {ResetMidAnswer: 1}} {
		p := newPool()
		e := startEndpoint(t, p, endpoint.Options{Slots: 8, Connections: 64})
		g, url := startGateway(t, Options{Slots: p})
		e.SetFaults(fault)
		small := do(t, "POST", url, "small", "tiles")
		require.NoError(t, small.err)
		require.Equal(t, http.StatusBadGateway, small.status)
		require.Equal(t, "may-have-run", small.verdict())
		require.Equal(t, 1, e.Runs("small"), "a non-idempotent request was sent again")
		large := do(t, "POST", url+"?size=1000000", "large", "")
		require.Error(t, large.err, "%d of 1000000 bytes looked whole", len(large.body))
		require.Eventually(t, func() bool { return g.counts.Cut.Value() == 1 }, 10*time.Second, time.Millisecond)
		do(t, "GET", url, "again", "")
		require.Equal(t, 3, e.Runs("again"), "attempts of an idempotent request")
	}
}

func TestDeadlineIsAnsweredAtOnceAndTheSlotReturns(t *testing.T) {
	// Guards against slots that stay taken by requests that have long completed:
	// an instance answers after the caller's deadline, and the attempt was aborted
	// at the deadline, so that its completion is never detected.
	p := newPool()
	e := startEndpoint(t, p, endpoint.Options{Slots: 1, Connections: 64})
	release := make(chan struct{})
	e.SetFaults(endpoint.Faults{Delay: 300 * time.Millisecond})
	_, url := startGateway(t, Options{Slots: p})
	go func() {
		defer close(release)
		r := do(t, "POST", url, "late", "", TimeoutHeader, "50ms")
		if r.status != http.StatusGatewayTimeout || r.verdict() != "may-have-run" {
			t.Errorf("status %d, verdict %s, %v", r.status, r.verdict(), r.err)
		}
		if got := e.Report().Completed; got != 0 {
			t.Error("the answer was delayed until the endpoint had finished")
		}
	}()
	<-release
	r := do(t, "POST", url, "next", "")
	require.Equal(t, http.StatusOK, r.status)
	require.Equal(t, string(endpoint.ResponseBody("next", nil)), string(r.body))
	require.Empty(t, p.unknown)
	require.Equal(t, 1, e.Report().PeakRunning)
}

// TestRequestWithLittleTimeLeftIsNotBegun guards against a "may have run" for a request that
// waited for most of its time and is sent although its service takes longer than the rest.
func TestRequestWithLittleTimeLeftIsNotBegun(t *testing.T) {
	p := newPool()
	e := startEndpoint(t, p, endpoint.Options{Slots: 1, Connections: 64})
	e.SetFaults(endpoint.Faults{Delay: 300 * time.Millisecond})
	_, url := startGateway(t, Options{Slots: p})
	for i := range 3 {
		require.Equal(t, http.StatusOK, do(t, "POST", url, fmt.Sprint("before-", i), "").status)
	}
	slot, err := p.Acquire(t.Context(), testService)
	require.NoError(t, err)
	late := make(chan result, 1)
	go func() { late <- do(t, "POST", url, "late", "", TimeoutHeader, "1s") }()
	time.Sleep(850 * time.Millisecond)
	slot.Release(slots.Ended)
	r := <-late
	require.Equal(t, "not-run", r.verdict())
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.Zero(t, e.Runs("late"))
	require.Equal(t, http.StatusOK, do(t, "POST", url, "after", "").status)
}

// passDeadlines calls each alarm that is set, as if its time had come, and waits for the calls.
func passDeadlines(g *Gateway) {
	g.deadlines.mu.Lock()
	due := g.deadlines.heap
	g.deadlines.heap = nil
	for _, a := range due {
		a.index = -1
	}
	g.deadlines.mu.Unlock()
	for _, a := range due {
		a.call()
	}
}

// hookedWriter calls onHeader when the answer's header is prepared, and records write deadlines.
type hookedWriter struct {
	http.ResponseWriter
	onHeader      func()
	writeDeadline time.Time
}

func (w *hookedWriter) Header() http.Header {
	w.onHeader()
	return w.ResponseWriter.Header()
}

func (w *hookedWriter) SetWriteDeadline(at time.Time) error {
	w.writeDeadline = at
	return http.NewResponseController(w.ResponseWriter).SetWriteDeadline(at)
}

func (w *hookedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// TestAnswerOnItsWayAtTheDeadlineIsDelivered guards against an aborted answer, or a 504 in place of
// one, that the instance began in time, but that the daemon or the caller had not yet finished
// transferring. The deadline passes at a given step of the answer, whatever the time that takes.
func TestAnswerOnItsWayAtTheDeadlineIsDelivered(t *testing.T) {
	body := strings.Repeat("plot ", 2000)
	for _, c := range []struct {
		name  string
		keyed bool
		step  string // at which the deadline passes
	}{
		{name: "the header has arrived and is not processed yet", step: "arrived"},
		{name: "the answer has been taken and nothing is written yet", step: "taken"},
		{name: "the caller has part of the answer", step: "passed on"},
		{name: "the header of a keyed request's answer has arrived", keyed: true, step: "arrived"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var g *Gateway
			var reached, rest chan struct{}
			reach := func(step string) {
				if step != c.step {
					return
				}
				select {
				case <-reached:
				default:
					close(reached)
					passDeadlines(g)
					close(rest)
				}
			}
			instance := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if c.step != "passed on" {
					w.Header().Set("Content-Length", strconv.Itoa(len(body)))
				}
				w.Header().Set(forward.LeavingHeader, "1") // for OnLeaving
				_, _ = io.WriteString(w, body[:len(body)/2])
				_ = http.NewResponseController(w).Flush()
				if r.URL.Path == "/slow" {
					<-rest
				}
				_, _ = io.WriteString(w, body[len(body)/2:])
			}))
			defer instance.Close()

			slow, arrived := false, false
			o := Options{Config: testConfig(time.Minute), OnLeaving: func(string) {
				if arrived = slow; slow {
					reach("arrived")
				}
			}}
			var p *pool
			var server *httptest.Server
			if c.keyed {
				cell := newCell(t, 1, 0, o)
				p, g, server = cell.pool, cell.gateways[0], cell.servers[0][0]
			} else {
				p = newPool()
				o.Slots = p
				g, server = startServer(t, o)
			}
			p.add(plan.Endpoint{Service: testService, Address: instance.Listener.Addr().String(), Slots: 1, Conns: 8})
			next := server.Config.Handler
			var writer *hookedWriter
			server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				writer = &hookedWriter{ResponseWriter: w, onHeader: func() {
					if arrived {
						reach("taken")
					}
				}}
				next.ServeHTTP(writer, r)
			})

			for i, path := range []string{"/", "/slow", "/"} {
				reached, rest = make(chan struct{}), make(chan struct{})
				slow, arrived = path == "/slow", false
				req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+path, nil)
				require.NoError(t, err)
				req.Header.Set(ServiceHeader, testService)
				if c.keyed {
					req.Header.Set(KeyHeader, strconv.Itoa(i))
				}
				res, err := http.DefaultClient.Do(req)
				require.NoError(t, err)
				if slow {
					reach("passed on")
				}
				got, err := io.ReadAll(res.Body)
				require.NoError(t, err)
				require.NoError(t, res.Body.Close())
				require.Equal(t, http.StatusOK, res.StatusCode, "%s: %s", path, got)
				require.Equal(t, body, string(got))
				if slow {
					<-reached
				}
				require.Eventually(t, func() bool { return g.InFlight() == 0 }, 10*time.Second, time.Millisecond)
				require.True(t, writer.writeDeadline.IsZero(), "the connection's next request has the write deadline of %s", path)
			}
			require.Empty(t, p.unknown)
		})
	}
}

// TestAnswerThatIsCompleteAfterTheDeadlineCanBeWritten guards against a kept answer that is
// aborted because the time to write it was over when it arrived.
func TestAnswerThatIsCompleteAfterTheDeadlineCanBeWritten(t *testing.T) {
	w := &hookedWriter{ResponseWriter: httptest.NewRecorder()}
	c := &call{w: w, deadline: time.Now().Add(-time.Minute)}
	begun := time.Now()
	done := c.boundWrites()
	require.False(t, w.writeDeadline.Before(begun.Add(writeGrace)))
	done()
	require.True(t, w.writeDeadline.IsZero())
}

func TestRefusalBeforeWorkIsRetriedElsewhere(t *testing.T) {
	p := newPool()
	bad := startEndpoint(t, p, endpoint.Options{Slots: 1, Connections: 64})
	bad.SetFaults(endpoint.Faults{Refuse: 1})
	good := startEndpoint(t, p, endpoint.Options{Slots: 1, Connections: 64})
	_, url := startGateway(t, Options{Slots: p})
	r := do(t, "POST", url, "k", "order")
	require.Equal(t, http.StatusOK, r.status)
	require.Equal(t, 1, good.Runs("k"))
	require.Zero(t, bad.Runs("k"))
}

func TestLeavingNoticeIsPassedOnFromAnyAnswer(t *testing.T) {
	// Guards against an instance that gets new requests until its VM is removed:
	// its leaving notice comes in a refusal or in an answer, and was read from
	// complete answers only.
	for _, refuse := range []float64{0, 1} {
		p := newPool()
		e := startEndpoint(t, p, endpoint.Options{Slots: 4, Connections: 64})
		e.SetFaults(endpoint.Faults{Leaving: true, Refuse: refuse})
		var seen sync.Map
		_, url := startGateway(t, Options{Slots: p, OnLeaving: func(address string) { seen.Store(address, true) }})
		do(t, "POST", url, "k", "")
		_, ok := seen.Load(e.Address())
		require.True(t, ok, "refused: %v", refuse)
	}
}

func TestLossOfAZoneFailsNoRequestThatAnotherInstanceCanServe(t *testing.T) {
	// Guards against failures after the loss of a zone: a third of the instances
	// refuse connections, and a third of the requests fail for a minute because
	// retries use up the budget or get the same instance again.
	p := newPool()
	for i := range 6 {
		e := startEndpoint(t, p, endpoint.Options{Slots: 2, Connections: 64})
		if i%3 == 0 {
			require.NoError(t, e.Close())
		}
	}
	_, url := startGateway(t, Options{Slots: p})
	for i := range 300 {
		r := do(t, "POST", url, fmt.Sprint(i), "order")
		require.Equal(t, http.StatusOK, r.status, "request %d: %s", i, r.body)
	}
}

func TestDrainCutsNothing(t *testing.T) {
	// Guards against a stopping daemon that closes its callers' connections before
	// the requests in flight are answered.
	p := newPool()
	e := startEndpoint(t, p, endpoint.Options{Slots: 8, Connections: 64})
	e.SetFaults(endpoint.Faults{Delay: 100 * time.Millisecond})
	g, url := startGateway(t, Options{Slots: p})
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			r := do(t, "POST", url, fmt.Sprint(i), "plot")
			if r.err != nil || r.status != http.StatusOK {
				t.Errorf("cut: status %d, %v", r.status, r.err)
			}
		})
	}
	require.Eventually(t, func() bool { return e.Report().Running == 8 }, 10*time.Second, time.Millisecond)
	require.NoError(t, g.Drain(t.Context(), 0))
	require.Zero(t, g.InFlight())
	wg.Wait()
	late := do(t, "POST", url, "late", "")
	require.Equal(t, "not-run", late.verdict())
	require.Equal(t, CodeDraining, late.header.Get("Fennel-Code"))
	ready, err := http.Get(url + ReadyPath)
	require.NoError(t, err)
	require.NoError(t, ready.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, ready.StatusCode)
}

// TestStoppingDaemonServesWhileCallersStillCome guards against refusals, and connections closed
// during a request, when the load balancer detects a stop only after the grace period.
func TestStoppingDaemonServesWhileCallersStillCome(t *testing.T) {
	for _, c := range []struct{ coming, drained time.Duration }{
		{0, quietPeriod}, {3 * time.Second, 3*time.Second + quietPeriod}, {time.Minute, quietPeriod + maxQuietWait},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := New(Options{Config: testConfig(time.Second)})
			began := time.Now()
			go func() {
				for time.Since(began) < c.coming {
					g.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://unknown/", nil))
					if refused := g.state.Load() == refusing; refused != (time.Since(began) > quietPeriod+maxQuietWait) {
						t.Errorf("refused with draining: %v after %v", refused, time.Since(began))
					}
					time.Sleep(90 * time.Millisecond)
				}
			}()
			synctest.Wait()
			require.NoError(t, g.Drain(t.Context(), quietPeriod))
			require.InDelta(t, c.drained.Seconds(), time.Since(began).Seconds(), 0.2)
			time.Sleep(c.coming) // until the goroutine has ended
		})
	}
}

func TestSlowCallerHoldsNoSlot(t *testing.T) {
	// Guards against stalled callers that block a service: a caller sends a header
	// and half of a body, then nothing, and a slot is acquired before the body has
	// arrived.
	p := newPool()
	e := startEndpoint(t, p, endpoint.Options{Slots: 1, Connections: 64})
	_, url := startGateway(t, Options{Slots: p, BodyTimeout: 50 * time.Millisecond})
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: %s\r\nContent-Length: 10\r\n\r\nhalf", testService)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, do(t, "POST", url, "k", "").status)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	require.Equal(t, http.StatusRequestTimeout, resp.StatusCode)
	require.Equal(t, "not-run", resp.Header.Get("Fennel-Verdict"))
	require.Equal(t, 1, e.Report().Requests)
}

func TestCallerThatDoesNotReadHoldsNoSlotForGood(t *testing.T) {
	// Guards against slots that stay taken while the instances are idle: a caller
	// requests a large answer and never reads it, and the write to it blocks beyond
	// the request's deadline.
	p := newPool()
	startEndpoint(t, p, endpoint.Options{Slots: 1, Connections: 64})
	g, url := startGateway(t, Options{Slots: p})
	p.returnUnknown = time.Millisecond
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprintf(c, "GET /?size=100000000 HTTP/1.1\r\nHost: %s\r\nFennel-Timeout: 100ms\r\n\r\n", testService)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return g.InFlight() == 1 }, 10*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return g.InFlight() == 0 }, 10*time.Second, time.Millisecond)
	require.Equal(t, http.StatusOK, do(t, "POST", url, "k", "").status)
}

func TestConnectionsStayWithinTheInstancesLimit(t *testing.T) {
	// Guards against an instance that refuses connections while it has free slots:
	// eight daemons, and two more that they do not count yet, send in bursts, and
	// each keeps as many idle connections as it has ever used.
	p := newPool()
	e := startEndpoint(t, p, endpoint.Options{Slots: 8, Connections: 64})
	const daemons = 10
	var wg sync.WaitGroup
	for range daemons {
		_, url := startGateway(t, Options{Slots: p,
			Forwarder: forward.New(forward.Options{Members: func() int { return 8 }})})
		for range 8 {
			wg.Go(func() {
				for range 30 {
					if r := do(t, "POST", url, "k", "x"); r.status != http.StatusOK {
						t.Errorf("status %d, %v", r.status, r.err)
					}
				}
			})
		}
	}
	wg.Wait()
	report := e.Report()
	require.Empty(t, report.Violations)
	require.LessOrEqual(t, report.PeakRunning, 8)
}

func TestLargeBodiesAreStreamed(t *testing.T) {
	p := newPool()
	e := startEndpoint(t, p, endpoint.Options{Slots: 1, Connections: 64})
	_, url := startGateway(t, Options{Slots: p, MaxBody: 1 << 20})
	big := strings.Repeat("x", 1<<20)
	r := do(t, "POST", url, "big", big)
	require.Equal(t, http.StatusOK, r.status)
	require.Equal(t, string(endpoint.ResponseBody("big", []byte(big))), string(r.body))
	// A body of unknown length that exceeds the limit results in an error.
	req, err := http.NewRequestWithContext(t.Context(), "POST", url, io.MultiReader(strings.NewReader(big), strings.NewReader("x")))
	require.NoError(t, err)
	req.Header.Set(ServiceHeader, testService)
	req.Header.Set(endpoint.KeyHeader, "huge")
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	require.Equal(t, http.StatusRequestEntityTooLarge, resp.StatusCode)
	require.Equal(t, "may-have-run", resp.Header.Get("Fennel-Verdict"))
	require.Equal(t, 1, e.Report().Completed, "a truncated body was taken for a complete one")
}

// TestDrainingOwnerKeepsItsPeersConnections guards against a handshake for each request that
// is forwarded to a key owner that is stopping.
func TestDrainingOwnerKeepsItsPeersConnections(t *testing.T) {
	c := newCell(t, 2, 2, Options{})
	key := c.keyOwnedElsewhere(t)
	c.gateways[1].state.Store(unready)
	for range 10 {
		r := do(t, "POST", c.urls[0], key, "deed", KeyHeader, key)
		require.NoError(t, r.err)
		require.Equal(t, http.StatusOK, r.status)
	}
	require.Equal(t, int64(1), c.opened[1].Load())
}
