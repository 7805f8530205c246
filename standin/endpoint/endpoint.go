// Package endpoint is a stand-in for one instance of a service: an HTTP server
// that counts what it sees, checks its own limits on slots and connections,
// and can be told to misbehave. Its answers are bound to the request, so that
// a caller can tell a foreign or a partial answer from its own.
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

// Headers understood and sent by the stand-in.
const (
	// KeyHeader names the request in the bookkeeping; Idempotency-Key and
	// RequestIDHeader are used when it is absent.
	KeyHeader = "Endpoint-Request-Key"
	// RequestIDHeader is echoed into the answer.
	RequestIDHeader = "Fennel-Request-Id"
	// RefusedHeader with the value RefusedBeforeWork tells that the request
	// was refused before any work.
	RefusedHeader     = "Fennel-Refused"
	RefusedBeforeWork = "before-work"
)

const headerTimeout = 10 * time.Second

// Options of an endpoint. Zero limits are not checked.
type Options struct {
	Slots       int           // requests served at once
	Connections int           // connections open at once
	Work        time.Duration // time each request takes
	Seed        uint64        // of the faults' random choices
	// RefuseWhenFull refuses a request beyond Slots before work; it is counted
	// as a violation all the same.
	RefuseWhenFull bool
	// NoEcho leaves RequestIDHeader out of the answers.
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

// New returns an endpoint that does not listen yet.
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

// Start listens on a free port of the process's own loopback address and serves
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

// Address returns host:port; only after Start.
func (e *Endpoint) Address() string { return e.ln.Addr().String() }

// Drain stops accepting, waits for the requests in flight and stops.
func (e *Endpoint) Drain(ctx context.Context) error {
	if err := e.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("endpoint: drain: %w", err)
	}
	e.stopOnce.Do(func() { close(e.stop) })
	return nil
}

// Close cuts every connection, as the death of the VM does.
func (e *Endpoint) Close() error {
	e.stopOnce.Do(func() { close(e.stop) })
	if err := e.server.Close(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("endpoint: close: %w", err)
	}
	return nil
}

// CloseIdle closes the kept-alive connections that wait for a request, as a
// server does after its idle timeout.
func (e *Endpoint) CloseIdle() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for c, s := range e.conns {
		if s == http.StateIdle {
			_ = c.Close()
		}
	}
}
