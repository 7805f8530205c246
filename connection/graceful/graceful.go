// Package graceful shuts down HTTP servers without dropping requests that are being
// received.
//
// http.Server.Shutdown closes every connection without a request in progress, including
// connections whose next request is still in the kernel's receive buffer or has been
// partially read; on a busy machine many requests are. Their callers get a connection
// error and cannot determine whether the request ran.
//
// Guarantees: Shutdown closes a connection only if its last request was answered and no
// byte of another one has arrived; meanwhile each response tells the caller not to reuse
// the connection. A request that is sent at the moment of closing still fails.
package graceful

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"fennelshunt.example/fennelshunt/internal/sleep"
)

const (
	// pollInterval is how often Shutdown looks for connections that may be closed.
	pollInterval = 10 * time.Millisecond
	// firstRequestTimeout is how long a new connection may take to send its first request.
	firstRequestTimeout = time.Second
)

// Conns tracks the connections of one server.
type Conns struct {
	server  *http.Server
	handler http.Handler
	closing atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]status
}

type status struct {
	state http.ConnState
	since time.Time
}

// Track tracks the server's connections. It sets the server's ConnState and wraps its
// Handler. The server must serve a listener returned by Listener.
func Track(s *http.Server) *Conns {
	c := &Conns{server: s, handler: s.Handler, conns: map[net.Conn]status{}}
	s.ConnState, s.Handler = c.setState, c
	return c
}

// ServeHTTP implements http.Handler.
func (c *Conns) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	c.handler.ServeHTTP(w, r)
}

func (c *Conns) setState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(c.conns, conn)
		return
	case http.StateIdle:
		if known, ok := of(conn); ok {
			known.requestEnded()
		}
	}
	c.conns[conn] = status{state, time.Now()}
}

// Shutdown closes the connections on which no request is in progress or has begun to
// arrive, calls stop, which must close the listener, and waits until the other connections
// have been closed. When ctx ends, it closes the rest and returns the error of ctx.
func (c *Conns) Shutdown(ctx context.Context, stop func()) error {
	c.closing.Store(true)
	c.drain(ctx)
	stop()
	c.awaitAll(ctx)
	err := c.server.Shutdown(ctx)
	if errors.Is(err, net.ErrClosed) {
		// stop has closed the listener, and Shutdown closes it once more if Serve has not returned
		// yet. The error says nothing of connections: Shutdown returns it after they have ended.
		err = nil
	}
	_ = c.server.Close()
	return err
}

// drain closes idle connections until all others have a request in progress, or ctx ends.
func (c *Conns) drain(ctx context.Context) {
	for c.closeIdle(time.Now()) > 0 && sleep.For(ctx, pollInterval) == nil {
	}
}

// awaitAll closes idle connections until none is left, or ctx ends. http.Server.Shutdown is left
// with nothing to close: it does not look for requests that have arrived, not even for one that
// follows an answer which was sent before the stop began.
func (c *Conns) awaitAll(ctx context.Context) {
	for c.closeIdle(time.Now()); c.open() > 0 && sleep.For(ctx, pollInterval) == nil; c.closeIdle(time.Now()) {
	}
}

// open returns the number of open connections.
func (c *Conns) open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// closeIdle closes the connections without a request and returns the number of connections
// on which a request may be arriving but is not in progress yet.
func (c *Conns) closeIdle(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	arriving := 0
	for conn, s := range c.conns {
		switch {
		case s.state == http.StateActive:
		case s.idle(now) && stopReading(conn):
			_ = conn.Close() // the server's read fails and ends its goroutine
			delete(c.conns, conn)
		default:
			arriving++
		}
	}
	return arriving
}

// idle reports whether the server has no request on the connection.
func (s status) idle(now time.Time) bool {
	return s.state == http.StateIdle || s.state == http.StateNew && now.Sub(s.since) > firstRequestTimeout
}

// Listener wraps l so that its connections report whether a request has begun to arrive.
// A TLS listener must wrap the returned one.
func Listener(l net.Listener) net.Listener { return listener{l} }

type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	return newConn(t)
}
