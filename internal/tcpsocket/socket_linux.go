// Package tcpsocket reads the state of TCP connections from the kernel.
package tcpsocket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Socket gives access to the kernel's state of a TCP connection. The zero value reports no data.
type Socket struct{ raw syscall.RawConn }

// Of returns the socket of c, or the zero value if c is not a TCP connection.
func Of(c net.Conn) Socket {
	if t, ok := c.(*net.TCPConn); ok {
		if raw, err := t.SyscallConn(); err == nil {
			return Socket{raw}
		}
	}
	return Socket{}
}

// Readable reports whether the receive buffer has bytes to read.
func (s Socket) Readable() bool {
	if s.raw == nil {
		return false
	}
	waiting := 0
	err := s.raw.Control(func(fd uintptr) { waiting, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
	return err == nil && waiting > 0
}

// Unacknowledged returns the number of written bytes that the peer has not
// acknowledged, or 0 if it is unknown.
func (s Socket) Unacknowledged() int64 {
	if s.raw == nil {
		return 0
	}
	queued := 0
	err := s.raw.Control(func(fd uintptr) { queued, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	if err != nil {
		return 0
	}
	return int64(queued)
}
