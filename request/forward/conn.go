package forward

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"fennelshunt.example/fennelshunt/internal/tcpsocket"
)

var (
	errSealed      = errors.New("forward: the attempt has ended, nothing more is written")
	errUnsolicited = errors.New("forward: bytes arrived before the request was written")
	errResend      = errors.New("forward: the connection broke after the request was written; not sent again")
)

// exchange follows one attempt down to the bytes on its connection.
//
// What goes wrong without it: the Transport may resend a request, or its write
// loop may write after RoundTrip has returned an error; a caller that was told
// "not run" would find its request run. The exchange is asked before every
// write, and sealed before an error is given a verdict.
type exchange struct {
	cancel context.CancelCauseFunc

	mu     sync.Mutex
	conn   *conn
	wrote  bool // a byte was, or is being, handed to the kernel
	sealed bool
}

// permit is asked before bytes are written; first tells that none was before.
func (x *exchange) permit(c *conn) (first, ok bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.sealed || x.conn != c {
		return false, false
	}
	first = !x.wrote
	x.wrote = true
	return first, true
}

// unwrote takes back the mark of a first write that wrote nothing.
func (x *exchange) unwrote() {
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

// sealUnwritten forbids writing unless a byte was written, and reports whether
// one was.
func (x *exchange) sealUnwritten() (wrote bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sealed = x.sealed || !x.wrote
	return x.wrote
}

// belongs reports whether an answer with this id, which may be empty, is that
// of the request with id want. An endpoint that sends the id back does so in
// every answer, so that on a connection where it has done so an answer without
// it is a late or doubled one of an earlier request.
func (x *exchange) belongs(got, want string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if got == want {
		x.conn.echoes.Store(true)
		return true
	}
	return got == "" && !x.conn.echoes.Load()
}

// mayConnect is called when the Transport looks for a connection, a second
// time when it is about to send the request again.
func (x *exchange) mayConnect(string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.wrote && !x.sealed {
		x.sealed = true
		x.cancel(errResend)
	}
}

// use binds the exchange to the connection that the Transport chose.
func (x *exchange) use(info httptrace.GotConnInfo) {
	c := guarded(info.Conn)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = c
	c.bind(x)
}

// release unbinds the exchange from its connection, unless the next one has
// taken it already: an idle connection keeps nothing of its last request.
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
	// secure connections carry TLS records, which arrive at any time and whose
	// order TLS itself guards; the handshake writes before any exchange.
	secure bool
	socket tcpsocket.Socket
	// echoes is set once an answer on this connection has carried its
	// request's id; used by one exchange at a time.
	echoes atomic.Bool

	// armed is set from the first write of an exchange on, answered once bytes
	// have come back, written counts what was given to the kernel; see Read.
	armed    atomic.Bool
	answered atomic.Bool
	written  atomic.Int64
	exchange atomic.Pointer[exchange]
}

// bind starts a new exchange; nil forbids writing.
func (c *conn) bind(x *exchange) {
	c.armed.Store(false)
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
	first, ok := x.permit(c)
	if !ok {
		return 0, errSealed
	}
	if first && c.byOrder() && c.socket.Readable() {
		x.unwrote()
		_ = c.Close()
		return 0, errUnsolicited
	}
	c.armed.Store(true)
	c.written.Add(int64(len(p)))
	n, err := c.Conn.Write(p)
	if first && n == 0 && err != nil {
		x.unwrote()
	}
	return n, err
}

// byOrder reports whether only the order on the connection tells which request
// an answer belongs to, so that the kernel must be asked.
func (c *conn) byOrder() bool { return !c.secure && !c.echoes.Load() }

// Read implements net.Conn. It cuts the connection when bytes arrive that
// cannot belong to the request in progress: those that arrive before it is
// written, and those that were sent before the other side had received a byte
// of it, which then has none acknowledged. They are a late or doubled answer to
// an earlier request, and would reach the wrong caller.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || c.secure {
		return n, err
	}
	idle := c.exchange.Load() == nil
	if c.answered.Load() && !idle {
		return n, err
	}
	if idle || !c.armed.Load() || c.byOrder() && c.socket.Unacknowledged() >= c.written.Load() {
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
