// Package endpoint is a stand-in for one instance of a service: an HTTP server that
// counts requests and connections, checks its own limits on slots and connections,
// and injects faults. Each response is derived from its request, so that a caller
// can detect a response to another request or a truncated one.
package endpoint

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"fennelshunt.example/fennelshunt/internal/loopback"
)

// Headers that the stand-in reads and sends.
const (
	// KeyHeader is the key of the request in Report.Runs. If it is absent,
	// Idempotency-Key or RequestIDHeader is used.
	KeyHeader = "Endpoint-Request-Key"
	// RequestIDHeader is echoed in the response.
	RequestIDHeader = "Fennel-Request-Id"
	// RefusedHeader with the value RefusedBeforeWork means that the request was
	// refused before any work.
	RefusedHeader     = "Fennel-Refused"
	RefusedBeforeWork = "before-work"
)

const headerTimeout = 10 * time.Second

// Options of an endpoint. A limit of 0 is not checked.
type Options struct {
	Slots       int           // concurrent requests
	Connections int           // concurrent connections
	Work        time.Duration // working time of each request
	Seed        uint64        // of the random faults
	// RefuseWhenFull makes the endpoint refuse requests beyond Slots before work; they
	// still count as violations.
	RefuseWhenFull bool
	// NoEcho omits RequestIDHeader from the responses.
	NoEcho bool
}

// Endpoint is one instance. Its methods are safe for concurrent use.
type Endpoint struct {
	opts   Options
	server *http.Server
	ln     net.Listener
	stop   chan struct{}

	mu       sync.Mutex
	faults   Faults
	rng      *rand.Rand
	running  int
	conns    map[net.Conn]http.ConnState
	report   Report
	stopOnce sync.Once
}

// New returns an endpoint that is not listening yet.
func New(o Options) *Endpoint {
	e := &Endpoint{
		opts:  o,
		stop:  make(chan struct{}),
		rng:   rand.New(rand.NewPCG(o.Seed, 1)),
		conns: map[net.Conn]http.ConnState{},
	}
	e.report.Runs = map[string]int{}
	e.server = &http.Server{
		Handler:           e,
		ReadHeaderTimeout: headerTimeout,
		ConnState:         e.connState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	return e
}

// Start listens on a free port of the process's own loopback address and serves requests
// until Close or Drain.
func (e *Endpoint) Start() error {
	ln, err := loopback.Listen()
	if err != nil {
		return fmt.Errorf("endpoint: listen: %w", err)
	}
	e.ln = ln
	go func() { _ = e.server.Serve(ln) }()
	return nil
}

// Address returns host:port. It must not be called before Start.
func (e *Endpoint) Address() string { return e.ln.Addr().String() }

// Drain stops accepting connections, waits for the requests in flight and stops.
func (e *Endpoint) Drain(ctx context.Context) error {
	if err := e.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("endpoint: drain: %w", err)
	}
	e.stopOnce.Do(func() { close(e.stop) })
	return nil
}

// Close closes all connections at once, as a crash of the VM does.
func (e *Endpoint) Close() error {
	e.stopOnce.Do(func() { close(e.stop) })
	if err := e.server.Close(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("endpoint: close: %w", err)
	}
	return nil
}

// CloseIdle closes the idle keep-alive connections, as a server does after its idle
// timeout.
func (e *Endpoint) CloseIdle() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for c, s := range e.conns {
		if s == http.StateIdle {
			_ = c.Close()
		}
	}
}
