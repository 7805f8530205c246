package forward

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"

	"fennelshunt.example/fennelshunt/internal/tcpsocket"
)

var (
	errSealed      = errors.New("forward: the attempt has ended, nothing more is written")
	errUnsolicited = errors.New("forward: bytes arrived before the request was written")
	errResend      = errors.New("forward: the connection broke after the request was written; not sent again")
)

// exchange tracks one attempt down to the bytes written to its connection.
//
// The Transport may resend a request, and its write loop may write after
// RoundTrip has returned an error; a request that was reported as not run would
// then run. Therefore every write needs the permission of the exchange, and the
// exchange is sealed before an error is given a verdict.
type exchange struct {
	cancel context.CancelCauseFunc

	mu     sync.Mutex
	conn   *conn
	wrote  bool // a byte was, or is being, written to the kernel
	sealed bool
	began  bool // the first byte of the answer was read, and no interim (1xx) response since
}

// permitWrite must be called before bytes are written. ok reports whether they
// may be, and first whether they are the first ones.
func (x *exchange) permitWrite(c *conn) (first, ok bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.sealed || x.conn != c {
		return false, false
	}
	first = !x.wrote
	x.wrote = true
	return first, true
}

// clearWrote resets wrote after a first write that wrote nothing.
func (x *exchange) clearWrote() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.wrote = false
}

// seal forbids further writes and reports whether any byte was written.
func (x *exchange) seal() (wrote bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sealed = true
	return x.wrote
}

// sealUnwritten forbids writes if no byte was written yet, and reports whether
// one was.
func (x *exchange) sealUnwritten() (wrote bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sealed = x.sealed || !x.wrote
	return x.wrote
}

// belongs reports whether an answer with id got, which may be empty, is the
// answer to the request with id want. An endpoint that echoes the id does so in
// every answer; on a connection where it has done so, an answer without the id
// is a late or duplicate answer to an earlier request.
func (x *exchange) belongs(got, want string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if got == want {
		x.conn.echoes.Store(true)
		return true
	}
	return got == "" && !x.conn.echoes.Load()
}

// mayConnect is called when the Transport looks for a connection. A second call
// after a write means that it is about to send the request again, which is
// prevented by cancelling the attempt.
func (x *exchange) mayConnect(string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.wrote && !x.sealed {
		x.sealed = true
		x.cancel(errResend)
	}
}

// firstByte is called when the first byte of a response has been read.
func (x *exchange) firstByte() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.began = true
}

// interim is called for a 1xx response. The work may take any time after it.
func (x *exchange) interim(int, textproto.MIMEHeader) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.began = false
	return nil
}

// answering reports whether bytes of the answer have arrived and the attempt is still in
// progress. Bytes that wait in the kernel count too, except beneath TLS, where they may be
// records of the protocol itself.
func (x *exchange) answering() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn == nil || !x.wrote || x.conn.exchange.Load() != x {
		return false
	}
	return x.began || !x.conn.secure && x.conn.socket.Readable()
}

// use binds the exchange to the connection that the Transport chose.
func (x *exchange) use(info httptrace.GotConnInfo) {
	c := rawConn(info.Conn)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = c
	c.bind(x)
}

// release unbinds the exchange from its connection, unless the next one is
// bound already, so that an idle connection holds no reference to its last
// request.
func (x *exchange) release() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn != nil {
		x.conn.exchange.CompareAndSwap(x, nil)
	}
}

// conn is a connection to an endpoint.
type conn struct {
	net.Conn
	target *target
	closed atomic.Bool
	// secure is set for connections that carry TLS records. These may arrive at any
	// time, TLS itself guards their order, and the handshake writes before any
	// exchange.
	secure bool
	socket tcpsocket.Socket
	// echoes is set once an answer on this connection has echoed its request's
	// id; it is used by one exchange at a time.
	echoes atomic.Bool

	// started is set from the first write of an exchange on, answered once bytes
	// of its answer have arrived; written counts the bytes written to the kernel.
	// See Read.
	started  atomic.Bool
	answered atomic.Bool
	written  atomic.Int64
	exchange atomic.Pointer[exchange]
}

// bind starts a new exchange on the connection.
func (c *conn) bind(x *exchange) {
	c.started.Store(false)
	c.answered.Store(false)
	c.written.Store(0)
	c.exchange.Store(x)
}

// Write implements net.Conn. It writes only for an exchange in progress.
func (c *conn) Write(p []byte) (int, error) {
	x := c.exchange.Load()
	if x == nil && c.secure {
		return c.Conn.Write(p)
	}
	if x == nil {
		return 0, errSealed
	}
	first, ok := x.permitWrite(c)
	if !ok {
		return 0, errSealed
	}
	if first && c.matchedByOrder() && c.socket.Readable() {
		x.clearWrote()
		_ = c.Close()
		return 0, errUnsolicited
	}
	c.started.Store(true)
	c.written.Add(int64(len(p)))
	n, err := c.Conn.Write(p)
	if first && n == 0 && err != nil {
		x.clearWrote()
	}
	return n, err
}

// matchedByOrder reports whether answers are matched to requests only by their order
// on the connection, in which case the state of the kernel's socket is checked too.
func (c *conn) matchedByOrder() bool { return !c.secure && !c.echoes.Load() }

// Read implements net.Conn. It closes the connection when bytes arrive that
// cannot belong to the request in progress, because none of it has been written,
// or because the other side has not acknowledged a byte of it. Such bytes are a
// late or duplicate answer to an earlier request, and would reach the wrong
// caller.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || c.secure {
		return n, err
	}
	idle := c.exchange.Load() == nil
	if c.answered.Load() && !idle {
		return n, err
	}
	if idle || !c.started.Load() || c.matchedByOrder() && c.socket.Unacknowledged() >= c.written.Load() {
		_ = c.Close()
		return 0, errUnsolicited
	}
	c.answered.Store(true)
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	if c.closed.CompareAndSwap(false, true) {
		c.target.connClosed()
	}
	return err
}
