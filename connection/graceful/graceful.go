// Package graceful ends HTTP servers without cutting requests that are on their way in.
//
// What goes wrong with http.Server.Shutdown alone: it closes every connection without a
// request in progress, and takes for one also a connection whose next request waits in the
// kernel, or has been read in part. On a busy machine that is where requests are. Their
// callers see a cut connection and can not tell whether the request ran.
//
// Guarantees: Shutdown closes a connection only when its last request was answered and no
// byte of another one has come; each answer meanwhile tells the caller not to use the
// connection again. A request that is sent in the moment of the closing still meets a
// closed connection.
package graceful

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"fennelshunt.example/fennelshunt/internal/sleep"
	"fennelshunt.example/fennelshunt/internal/tcpsocket"
)

const (
	// poll is how often Shutdown looks for connections that may be closed.
	poll = 10 * time.Millisecond
	// newConn is how long a connection may take to bring its first request.
	newConn = time.Second
)

// Conns are the connections of one server.
type Conns struct {
	server  *http.Server
	handler http.Handler
	ending  atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]status
}

type status struct {
	state http.ConnState
	since time.Time
}

// Follow makes Conns follow the server's connections; it takes the server's ConnState and
// stands before its Handler. The server has to serve what comes from Listener.
func Follow(s *http.Server) *Conns {
	c := &Conns{server: s, handler: s.Handler, conns: map[net.Conn]status{}}
	s.ConnState, s.Handler = c.note, c
	return c
}

// ServeHTTP implements http.Handler.
func (c *Conns) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c.ending.Load() {
		w.Header().Set("Connection", "close")
	}
	c.handler.ServeHTTP(w, r)
}

func (c *Conns) note(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.conns, conn)
		return
	}
	c.conns[conn] = status{state, time.Now()}
}

// Shutdown closes the connections on which no request is in progress or has begun to come,
// calls stop, which ends the accepting, and waits until the other connections have ended. At
// the end of ctx, whose error is returned, the rest is cut.
func (c *Conns) Shutdown(ctx context.Context, stop func()) error {
	c.ending.Store(true)
	c.settle(ctx)
	stop()
	c.settle(ctx) // what was accepted last
	err := c.server.Shutdown(ctx)
	_ = c.server.Close()
	return err
}

// settle waits until all connections have a request in progress, or ctx ends.
func (c *Conns) settle(ctx context.Context) {
	for c.closeIdle(time.Now()) > 0 && sleep.For(ctx, poll) == nil {
	}
}

// closeIdle closes the connections that no request uses and returns how many of the others
// have none in progress.
func (c *Conns) closeIdle(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	coming := 0
	for conn, s := range c.conns {
		switch {
		case s.state == http.StateActive:
		case s.idle(now) && !asked(conn):
			_ = conn.Close() // the server notices
			delete(c.conns, conn)
		default:
			coming++
		}
	}
	return coming
}

// idle reports whether the server knows of no request on the connection.
func (s status) idle(now time.Time) bool {
	return s.state == http.StateIdle || s.state == http.StateNew && now.Sub(s.since) > newConn
}

// Listener returns l with connections that tell whether a request has begun to come. TLS
// comes above it.
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
	return &conn{TCPConn: t, socket: tcpsocket.Of(t)}, nil
}

// conn knows whether bytes have come since the last ones were written.
type conn struct {
	*net.TCPConn
	socket tcpsocket.Socket
	read   atomic.Bool
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 {
		c.read.Store(true)
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.read.Store(false)
	return c.TCPConn.Write(b)
}

// asked reports whether bytes have come that were not answered.
func (c *conn) asked() bool { return c.read.Load() || c.socket.Readable() }

// asked reports the same of a connection that comes from Listener; of another one, nothing.
func asked(c net.Conn) bool {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	known, ok := c.(interface{ asked() bool })
	return ok && known.asked()
}
