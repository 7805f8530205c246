package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/internal/rapidtest"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/request/forward"
	"fennelshunt.example/fennelshunt/request/slots"
	"fennelshunt.example/fennelshunt/request/verdict"
	"fennelshunt.example/fennelshunt/standin/endpoint"
	"fennelshunt.example/fennelshunt/version/spec"
)

const testService = "survey-desk"

// pool is a pool of slots that is shared by the daemons of a test.
type pool struct {
	mu      sync.Mutex
	free    []plan.Endpoint
	changed chan struct{}
	// unknown holds slots that were released with slots.Unknown. They are returned
	// to the pool after returnUnknown, if that is set.
	unknown       []plan.Endpoint
	returnUnknown time.Duration
}

func newPool() *pool { return &pool{changed: make(chan struct{})} }

func (p *pool) add(e plan.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range e.Slots {
		p.free = append(p.free, e)
	}
	p.wakeLocked()
}

func (p *pool) wakeLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *pool) Acquire(ctx context.Context, _ string) (slots.Slot, error) {
	for {
		p.mu.Lock()
		if len(p.free) > 0 {
			e := p.free[0]
			p.free = p.free[1:]
			p.mu.Unlock()
			return &poolSlot{pool: p, endpoint: e}, nil
		}
		changed := p.changed
		p.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable,
				Code: "no_slot", RetryAfterMillis: retryAfterMillis, Err: ctx.Err()}
		}
	}
}

type poolSlot struct {
	pool     *pool
	endpoint plan.Endpoint
	once     sync.Once
}

func (s *poolSlot) Endpoint() plan.Endpoint { return s.endpoint }

func (s *poolSlot) Release(outcome slots.Outcome) {
	s.once.Do(func() {
		s.pool.mu.Lock()
		defer s.pool.mu.Unlock()
		if outcome == slots.Unknown {
			s.pool.unknown = append(s.pool.unknown, s.endpoint)
			if s.pool.returnUnknown > 0 {
				time.AfterFunc(s.pool.returnUnknown, s.putBack)
			}
			return
		}
		s.pool.free = append(s.pool.free, s.endpoint)
		s.pool.wakeLocked()
	})
}

func (s *poolSlot) putBack() {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.pool.free = append(s.pool.free, s.endpoint)
	s.pool.wakeLocked()
}

type source struct{ config *spec.Config }

func (s source) Current() *spec.Config    { return s.config }
func (s source) Changed() <-chan struct{} { return nil }

func testConfig(timeout time.Duration) source {
	job := &spec.VersionedJob{Job: spec.Job{Name: testService, Team: "authority", Kind: spec.Service,
		Service: &spec.ServiceSettings{Slots: 8, Connections: 64, RequestTimeout: spec.Duration(timeout)}}}
	return source{&spec.Config{Version: 1, Jobs: map[string]*spec.VersionedJob{testService: job}}}
}

func startEndpoint(t testing.TB, p *pool, o endpoint.Options) *endpoint.Endpoint {
	t.Helper()
	e := endpoint.New(o)
	require.NoError(t, e.Start())
	t.Cleanup(func() { _ = e.Close() })
	p.add(plan.Endpoint{Service: testService, Address: e.Address(), Slots: o.Slots, Conns: o.Connections})
	return e
}

// startGateway serves a gateway on loopback and returns its base URL.
func startGateway(t testing.TB, o Options) (*Gateway, string) {
	t.Helper()
	g, server := startServer(t, o)
	return g, server.URL
}

func startServer(t testing.TB, o Options) (*Gateway, *httptest.Server) {
	t.Helper()
	if o.Config == nil {
		o.Config = testConfig(5 * time.Second)
	}
	if o.Forwarder == nil {
		o.Forwarder = forward.New(forward.Options{})
	}
	g := New(o)
	server := httptest.NewUnstartedServer(nil)
	server.Config = NewServer(g.CallerHandler())
	server.Start()
	t.Cleanup(server.Close)
	t.Cleanup(o.Forwarder.CloseIdle)
	return g, server
}

func TestMain(m *testing.M) {
	log.SetOutput(io.Discard) // net/http logs unsolicited answers
	rapidtest.MainChecks(m, 200)
}

type result struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (r result) verdict() string { return r.header.Get(verdict.Header) }

func do(t testing.TB, method, url, key, body string, header ...string) result {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set(ServiceHeader, testService)
	req.Header.Set(endpoint.KeyHeader, key)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return result{status: resp.StatusCode, header: resp.Header, body: data, err: err}
}

func TestAnswerComesBackWhole(t *testing.T) {
	p := newPool()
	e := startEndpoint(t, p, endpoint.Options{Slots: 8, Connections: 64})
	var logged bytes.Buffer
	g, url := startGateway(t, Options{Slots: p, Log: zerolog.New(&logged)})
	r := do(t, "POST", url+"/report?token=secret", "k1", "plot 7")
	require.NoError(t, r.err)
	require.Equal(t, http.StatusOK, r.status)
	require.Equal(t, "ran", r.verdict())
	require.Equal(t, string(endpoint.ResponseBody("k1", []byte("plot 7"))), string(r.body))
	require.Equal(t, 1, e.Runs("k1"))
	require.Eventually(t, func() bool { return g.InFlight() == 0 }, 10*time.Second, time.Millisecond)
	require.Contains(t, logged.String(), r.header.Get(verdict.RequestIDHeader))
	require.NotContains(t, logged.String(), "secret")

	large := do(t, "GET", url+"/report?size=3000000", "k2", "")
	require.NoError(t, large.err)
	require.Len(t, large.body, 3000000)
	require.Equal(t, endpoint.Filler("k2", 2999999), large.body[2999999])

	trailer := do(t, "POST", url+"/report?trailer=1", "k3", "x")
	require.NoError(t, trailer.err)
	require.Equal(t, string(endpoint.ResponseBody("k3", []byte("x"))), string(trailer.body))
}

func TestBadInputIsRefusedAsNotRun(t *testing.T) {
	p := newPool()
	e := startEndpoint(t, p, endpoint.Options{Slots: 8, Connections: 64})
	_, url := startGateway(t, Options{Slots: p, MaxBody: 1000})
	cases := []struct {
		name, method, body string
		header             []string
		status             int
		code               string
	}{
		{"unknown service", "GET", "", []string{ServiceHeader, "nope"}, 404, CodeNoService},
		{"bad timeout", "GET", "", []string{TimeoutHeader, "soon"}, 400, CodeBadRequest},
		{"negative timeout", "GET", "", []string{TimeoutHeader, "-1s"}, 400, CodeBadRequest},
		{"bad idempotent", "POST", "", []string{IdempotentHeader, "maybe"}, 400, CodeBadRequest},
		{"bad key", "POST", "", []string{KeyHeader, "a b"}, 400, CodeBadRequest},
		{"keys off", "POST", "", []string{KeyHeader, "a"}, 501, CodeKeysOff},
		{"long caller", "GET", "", []string{CallerHeader, strings.Repeat("c", 200)}, 400, CodeBadRequest},
		{"large body", "POST", strings.Repeat("b", 1001), nil, 413, CodeBodyTooLarge},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := do(t, tc.method, url, "bad", tc.body, tc.header...)
			require.NoError(t, r.err)
			require.Equal(t, tc.status, r.status, "%s", r.body)
			require.Equal(t, "not-run", r.verdict())
			var b verdict.Body
			require.NoError(t, json.Unmarshal(r.body, &b))
			require.Equal(t, tc.code, b.Code)
			require.Equal(t, verdict.NotRun, b.Verdict)
			require.NotEmpty(t, b.RequestID)
		})
	}
	require.Zero(t, e.Report().Requests)
}
