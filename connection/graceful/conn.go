package graceful

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"fennelshunt.example/fennelshunt/internal/tcpsocket"
)

// conn records whether bytes were read since the last write.
type conn struct {
	*net.TCPConn
	raw    syscall.RawConn
	socket tcpsocket.Socket

	mu      sync.Mutex
	read    bool // bytes were read since the last write
	asked   bool // the server has asked for bytes since the last request ended
	stopped bool // no more bytes are read
}

func newConn(t *net.TCPConn) (*conn, error) {
	raw, err := t.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &conn{TCPConn: t, raw: raw, socket: tcpsocket.Of(t), asked: true}, nil
}

// Read implements net.Conn. A byte is either in the kernel's receive buffer or recorded as read:
// otherwise a goroutine that is not scheduled between the two would have its request overlooked
// and its connection closed.
func (c *conn) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	c.mu.Lock()
	c.asked = true
	c.mu.Unlock()
	var n int
	var readErr error
	err := c.raw.Read(func(fd uintptr) (done bool) {
		n, readErr = c.readNow(int(fd), b)
		return readErr != syscall.EAGAIN
	})
	var failed *net.OpError
	switch {
	case errors.As(err, &failed):
		failed.Op = "read" // as net.TCPConn names it, not "raw-read"
		return 0, failed
	case err != nil:
		return 0, err
	case readErr != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: readErr}
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// readNow takes the bytes that have arrived, and records them.
func (c *conn) readNow(fd int, b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return 0, net.ErrClosed
	}
	for {
		n, err := syscall.Read(fd, b)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
			return 0, syscall.EAGAIN
		case err != nil:
			return 0, os.NewSyscallError("read", err)
		}
		c.read = c.read || n > 0
		return n, nil
	}
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.read = false
	c.mu.Unlock()
	return c.TCPConn.Write(b)
}

// requestEnded is called when the server has finished with a request. It may have read bytes of the
// next one before the last write; with all of them it goes on without asking for more.
func (c *conn) requestEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked = false
}

// unanswered reports whether bytes have arrived since the last write.
func (c *conn) unanswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.arrived()
}

// arrived is unanswered for a caller that holds mu.
func (c *conn) arrived() bool { return c.read || c.socket.Readable() }

// stopReading reports whether no byte of another request has arrived. From then on none is read, so
// that no request that arrives before the connection is closed can run. While the server has not
// asked for bytes since the last request, it may still have some of the next one.
func (c *conn) stopReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.asked || c.arrived() {
		return false
	}
	c.stopped = true
	return true
}

// of returns the connection of Listener under c, which may be a TLS connection; ok is false for
// others.
func of(c net.Conn) (known tracked, ok bool) {
	if secure, isTLS := c.(*tls.Conn); isTLS {
		c = secure.NetConn()
	}
	known, ok = c.(tracked)
	return known, ok
}

// tracked is a connection of Listener.
type tracked interface {
	unanswered() bool
	stopReading() bool
	requestEnded()
}

// unanswered reports whether bytes have arrived on a connection of Listener since the last write,
// and false for others.
func unanswered(c net.Conn) bool {
	known, ok := of(c)
	return ok && known.unanswered()
}

// stopReading stops the reading of a connection of Listener if no byte of another request has
// arrived, and reports whether it may be closed, which others always may.
func stopReading(c net.Conn) bool {
	known, ok := of(c)
	return !ok || known.stopReading()
}
